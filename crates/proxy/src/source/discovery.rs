//! The client of the discovery service: reads a snapshot of the endpoints over HTTP/1.1, then watches them.

use crate::core::Core;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use pierloom_decision::{Event, ListKind, Member, MemberState, Micros};
use pierloom_host::retry::is_local_error;
use pierloom_wire::NameIndex;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use tokio::sync::watch;

/// A change at discovery must be obeyed once discovery has had it this long, whether or not it has reached
/// the proxy. The platform's protocol sets the value.
pub const MAX_ENDPOINTS_AGE_US: Micros = 6_000_000;
/// The same limit after SIGHUP named another discovery address.
pub const MAX_ENDPOINTS_AGE_AFTER_MOVE_US: Micros = 4_000_000;
/// How long discovery may hold a call of an open watch before it answers, in milliseconds as in the query. A
/// broken connection cannot be told from a held call, so this time, [`HOLD_SLACK_US`] and
/// [`WATCH_OPEN_TIMEOUT_US`] together add up to [`MAX_ENDPOINTS_AGE_US`].
const WATCH_HOLD_MS: u64 = 1_500;
/// Time that a held call may take beyond its hold. With 300 callers this is seldom more than 10 ms, but up to
/// a second while all callers reconnect at once.
const HOLD_SLACK_US: Micros = 1_000_000;
/// Time limit for a call that opens a watch, including its wait in discovery's queue behind the calls of all
/// other proxies. After this limit another call is made beside the first. Discovery itself ends a call that
/// has waited too long. The limit is what is left of [`MAX_ENDPOINTS_AGE_US`] after a watch that went silent.
const WATCH_OPEN_TIMEOUT_US: Micros = MAX_ENDPOINTS_AGE_US - WATCH_HOLD_MS * 1_000 - HOLD_SLACK_US;
/// Time limit for connecting to discovery.
const CONNECT_TIMEOUT_US: Micros = 1_000_000;
/// Delay after a failed call where the endpoints are pushed. The delay is short, since the proxy then calls
/// an agent of its own, which no other proxy calls.
const PUSH_RETRY_DELAY_US: Micros = 100_000;
/// Upper limit of a backend's weight; a larger reported weight is lowered to it. No backend is larger than
/// this many of the smallest backends.
const MAX_WEIGHT: f64 = 1e6;
/// The largest response body that is read. It holds thousands of endpoints.
const MAX_BODY_BYTES: usize = 4 << 20;

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
enum Status {
    Ready,
    Draining,
    Gone,
}

/// A backend as discovery reports it.
#[derive(Clone, Deserialize, Serialize)]
pub struct Endpoint {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    group: u64,
    status: Status,
    weight: Option<f64>,
    #[serde(default)]
    since_ms: u64,
}

/// An entry of a response. An entry that cannot be parsed does not affect the others.
#[derive(Deserialize)]
#[serde(untagged)]
enum Entry {
    Valid(Endpoint),
    Invalid {
        #[serde(default)]
        name: String,
    },
    Unreadable(IgnoredAny),
}

/// A response of discovery, with its valid entries separated from the invalid ones. The initial endpoints in
/// the config file have the same form.
#[derive(Deserialize, Default)]
#[serde(from = "RawResponse")]
pub struct EndpointsResponse {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Endpoint>,
    /// Names of the backends whose entries are invalid; empty for an entry without a readable name.
    invalid: Vec<String>,
}

/// A response of discovery as it arrives.
#[derive(Deserialize)]
struct RawResponse {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<Entry>,
}

impl From<RawResponse> for EndpointsResponse {
    fn from(raw: RawResponse) -> Self {
        let mut response =
            EndpointsResponse { index: raw.index, snapshot: raw.snapshot, ..EndpointsResponse::default() };
        for entry in raw.endpoints {
            match entry {
                Entry::Valid(endpoint) => response.endpoints.push(endpoint),
                Entry::Invalid { name } => response.invalid.push(name),
                Entry::Unreadable(_) => response.invalid.push(String::new()),
            }
        }
        response
    }
}

impl Endpoint {
    fn to_member(&self, names: &NameIndex) -> Member {
        Member {
            backend: self.name.as_str().into(),
            state: match self.status {
                Status::Ready => MemberState::Ready,
                Status::Draining => MemberState::Draining,
                Status::Gone => MemberState::Gone,
            },
            zone: names.zone(&self.zone),
            cell: self.group,
            // The bound keeps sums of weights finite, whatever discovery reports.
            weight: self.weight.unwrap_or(1.0).min(MAX_WEIGHT),
            started: self.since_ms.saturating_mul(1_000),
        }
    }
}

/// The known endpoints: all that discovery has reported so far, without the backends that are gone.
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct Endpoints {
    index: u64,
    endpoints: BTreeMap<String, Endpoint>,
}

impl Endpoints {
    /// Applies a response: a snapshot replaces all endpoints, a delta changes those that it names.
    fn apply(&mut self, update: &EndpointsResponse, kind: ListKind) {
        if kind == ListKind::Full {
            self.endpoints.clear();
        }
        self.index = update.index;
        for endpoint in &update.endpoints {
            match endpoint.status {
                Status::Gone => self.endpoints.remove(&endpoint.name),
                _ => self.endpoints.insert(endpoint.name.clone(), endpoint.clone()),
            };
        }
    }

    /// Returns the endpoints as discovery would report them in a snapshot.
    pub fn snapshot(&self) -> EndpointsResponse {
        let endpoints = self.endpoints.values().cloned().collect();
        EndpointsResponse { index: self.index, snapshot: true, endpoints, invalid: Vec::new() }
    }
}

/// Passes a response of discovery to the core. The addresses go first, so that the proxy can connect to
/// whichever backend the decision module picks. An invalid entry leaves the backend that it names unchanged.
pub fn apply_endpoints(
    core: &Core,
    names: &NameIndex,
    endpoints: &RefCell<Endpoints>,
    mut update: EndpointsResponse,
    kind: ListKind,
) {
    for name in &update.invalid {
        tracing::warn!(target: "machine_list", "endpoint {name:?} has an invalid entry");
        let previous = endpoints.borrow().endpoints.get(name).cloned();
        update.endpoints.extend(previous.filter(|_| kind == ListKind::Full));
    }
    endpoints.borrow_mut().apply(&update, kind);
    for endpoint in &update.endpoints {
        match endpoint.address.parse() {
            Ok(address) => core.set_address(endpoint.name.as_str().into(), address),
            // A backend that is gone may be reported without an address.
            Err(_) if matches!(endpoint.status, Status::Gone) => {}
            Err(_) => {
                tracing::warn!(
                    target: "machine_list",
                    "endpoint {} has the invalid address {:?}",
                    endpoint.name,
                    endpoint.address
                )
            }
        }
    }
    let members = update.endpoints.iter().map(|endpoint| endpoint.to_member(names)).collect();
    core.dispatch_event(Event::Members { kind, members });
}

type RequestSender = SendRequest<Empty<Bytes>>;

/// Why a call to discovery failed.
struct CallError {
    /// Whether discovery counts as reachable: the call got beyond connecting, or failed for a local error.
    reachable: bool,
    reason: String,
}

impl CallError {
    /// A failure that shows discovery to be unreachable.
    fn unreachable(reason: impl ToString) -> Self {
        CallError { reachable: false, reason: reason.to_string() }
    }

    /// A failure to connect. A local error says nothing about discovery, so it does not count as unreachable.
    fn from_connect_error(error: io::Error) -> Self {
        if is_local_error(&error) {
            CallError::at_stage("request not sent", error)
        } else {
            CallError::unreachable(error)
        }
    }

    /// A failure at a stage of the call that does not show discovery to be unreachable.
    fn at_stage(stage: &str, reason: impl ToString) -> Self {
        CallError { reachable: true, reason: format!("{stage}: {}", reason.to_string()) }
    }
}

/// The response to a call, with the discovery address that sent it and the connection that it arrived on.
struct CallResponse {
    update: EndpointsResponse,
    is_snapshot: bool,
    discovery: SocketAddr,
    sender: RequestSender,
}

/// A call in progress, without a time limit.
type PendingCall<'a> = Pin<Box<dyn Future<Output = Result<CallResponse, CallError>> + 'a>>;

/// Connects to discovery.
async fn connect(core: &Core, discovery: SocketAddr) -> Result<RequestSender, CallError> {
    let stream = tokio::select! {
        biased;
        stream = core.host.connect(discovery) => stream.map_err(CallError::from_connect_error)?,
        () = core.deadlines.until(core.now() + CONNECT_TIMEOUT_US) => {
            return Err(CallError::unreachable("connect timed out"))
        }
    };
    stream.set_nodelay();
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|e| CallError::at_stage("request not sent", e))?;
    core.host.spawn(async move {
        // The call that uses the connection reports its error.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Makes one call on the kept connection, or on a new one. With an index the call asks for the changes since
/// that index, without one it asks for a snapshot. Discovery holds a call that continues a watch on a kept
/// connection. The call that opens a watch is not held: it is answered as soon as it reaches the head of
/// discovery's queue, so that only the calls of other proxies delay it.
async fn call_discovery(
    core: &Core,
    kept_sender: Option<RequestSender>,
    discovery: SocketAddr,
    from_index: Option<u64>,
) -> Result<CallResponse, CallError> {
    let hold_ms = if kept_sender.is_some() { WATCH_HOLD_MS } else { 0 };
    let mut sender = match kept_sender {
        Some(sender) => sender,
        None => connect(core, discovery).await?,
    };
    sender.ready().await.map_err(|e| CallError::at_stage("request not sent", e))?;
    let query = from_index.map_or(String::new(), |index| format!("?from={index}&hold_ms={hold_ms}"));
    let request = hyper::Request::get(format!("/api/targets{query}"))
        .header(HOST, discovery.to_string())
        .body(Empty::new())
        .map_err(|e| CallError::at_stage("request not sent", e))?;
    let response = sender.send_request(request).await.map_err(|e| CallError::at_stage("no response", e))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|e| CallError::at_stage("incomplete response", e))?;
    if !status.is_success() {
        return Err(CallError::at_stage("response", format!("status {status}")));
    }
    let mut bytes = body.to_bytes().to_vec();
    let update: EndpointsResponse = simd_json::serde::from_slice(&mut bytes)
        .map_err(|e| CallError::at_stage("response is not an endpoint list", e))?;
    let is_snapshot = update.snapshot || from_index.is_none();
    if update.endpoints.is_empty() && is_snapshot {
        // If all backends left at once, discovery would report each of them as gone.
        return Err(CallError::at_stage("response", "snapshot without endpoints"));
    }
    Ok(CallResponse { update, is_snapshot, discovery, sender })
}

/// Calls that timed out or went to the previous discovery address, and may still be answered, each with its
/// start time.
#[derive(Default)]
struct LateCalls<'a>(Vec<(Micros, PendingCall<'a>)>);

impl LateCalls<'_> {
    /// Waits for the first response, and drops the calls that fail. Waits forever if there are no calls.
    async fn next_response(&mut self) -> CallResponse {
        poll_fn(|context| {
            let mut response = None;
            self.0.retain_mut(|(_, pending_call)| match pending_call.as_mut().poll(context) {
                Poll::Pending => true,
                Poll::Ready(result) => {
                    response = response.take().or(result.ok());
                    false
                }
            });
            response.take().map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }
}

/// The outcome of a wait for discovery.
enum WaitOutcome {
    Received(CallResponse),
    Failed(CallError),
    /// Discovery has a new address.
    DiscoveryMoved,
    /// The next call is due.
    CallDue,
}

/// The state of watching discovery.
struct Watcher<'a> {
    core: &'a Core,
    names: &'a NameIndex,
    endpoints: &'a RefCell<Endpoints>,
    address_changes: watch::Receiver<SocketAddr>,
    discovery: SocketAddr,
    /// The last index received; `None` before the first response of the current discovery.
    from_index: Option<u64>,
    kept_sender: Option<RequestSender>,
    late_calls: LateCalls<'a>,
}

/// Watches discovery, and follows it to a new address. With a known index, the watch continues from that
/// index once the decision module asks for a call; without one, a snapshot is requested at once. After a
/// move of discovery a snapshot is requested at once too, whatever is left of a backoff.
///
/// Where the proxy asks for endpoints, the decision module decides whether and when to call again after a
/// failure. Where endpoints are pushed, the changes that the agent beside this proxy has must be obeyed
/// whether or not a watch is open. A watch is therefore opened at the start, and again soon after each one
/// that ended.
///
/// A call that times out counts as failed, and another one follows. The connection of the late call is still
/// read until some call is answered, and so is that of a call to the previous discovery address: what
/// discovery has written there counts as received. Besides, an abandoned call keeps its place in discovery's
/// queue: if all proxies abandoned their queued calls, discovery would be kept busy with calls whose
/// responses no proxy reads.
pub async fn watch(
    core: Rc<Core>,
    names: Rc<NameIndex>,
    endpoints: Rc<RefCell<Endpoints>>,
    mut address_changes: watch::Receiver<SocketAddr>,
    from_index: Option<u64>,
) {
    let discovery = *address_changes.borrow_and_update();
    let (core, names, endpoints) = (&*core, &*names, &*endpoints);
    let (kept_sender, late_calls) = (None, LateCalls::default());
    let mut watcher =
        Watcher { core, names, endpoints, address_changes, discovery, from_index, kept_sender, late_calls };
    let wait_first = from_index.is_some() && core.settings().ask_for_list;
    let mut outcome = if wait_first { watcher.wait_for_next_call().await } else { WaitOutcome::CallDue };
    loop {
        outcome = match outcome {
            WaitOutcome::Received(response) => {
                watcher.apply_response(response);
                watcher.make_call().await
            }
            WaitOutcome::Failed(CallError { reachable, reason }) => {
                tracing::warn!(target: "machine_list", "call to discovery failed: {reason}");
                core.clear_list_request();
                let kind = if reachable { ListKind::Failed } else { ListKind::Unreachable };
                core.dispatch_event(Event::Members { kind, members: [].into() });
                watcher.wait_for_next_call().await
            }
            WaitOutcome::DiscoveryMoved => {
                core.dispatch_event(Event::Members { kind: ListKind::DiscoveryMoved, members: [].into() });
                (watcher.from_index, watcher.kept_sender) = (None, None);
                watcher.discovery = *watcher.address_changes.borrow_and_update();
                watcher.make_call().await
            }
            WaitOutcome::CallDue => watcher.make_call().await,
        }
    }
}

impl<'a> Watcher<'a> {
    /// Applies a response of the current discovery.
    fn apply_response(&mut self, CallResponse { update, is_snapshot, sender, .. }: CallResponse) {
        (self.from_index, self.kept_sender, self.late_calls) =
            (Some(update.index), Some(sender), LateCalls::default());
        apply_endpoints(
            self.core,
            self.names,
            self.endpoints,
            update,
            if is_snapshot { ListKind::Full } else { ListKind::Delta },
        );
    }

    /// Handles the response to a late call, and returns it if it is from the current discovery. The previous
    /// discovery is watched further while it still answers, until the current one answers.
    fn handle_late(&mut self, response: CallResponse) -> Option<CallResponse> {
        if response.discovery == self.discovery {
            return Some(response);
        }
        let CallResponse { update, is_snapshot, discovery, sender } = response;
        let (core, index) = (self.core, update.index);
        // A snapshot of the previous discovery would be taken for the current one's.
        if is_snapshot {
            return None;
        }
        apply_endpoints(core, self.names, self.endpoints, update, ListKind::Delta);
        let next_call = Box::pin(call_discovery(core, Some(sender), discovery, Some(index)));
        self.late_calls.0.push((core.now(), next_call));
        None
    }

    /// Makes a call. If a late call is answered first, the watch continues there and this call is dropped.
    async fn make_call(&mut self) -> WaitOutcome {
        let (core, started_at) = (self.core, self.core.now());
        let open_sender = self.kept_sender.take().filter(|sender| !sender.is_closed());
        let timeout =
            if open_sender.is_some() { WATCH_HOLD_MS * 1_000 + HOLD_SLACK_US } else { WATCH_OPEN_TIMEOUT_US };
        let mut pending_call: PendingCall<'a> =
            Box::pin(call_discovery(core, open_sender, self.discovery, self.from_index));
        let mut timed_out = pin!(core.deadlines.until(started_at + timeout));
        let outcome = loop {
            tokio::select! {
                biased;
                result = &mut pending_call => {
                    return result.map_or_else(WaitOutcome::Failed, WaitOutcome::Received)
                }
                late = self.late_calls.next_response() => if let Some(response) = self.handle_late(late) {
                    return WaitOutcome::Received(response);
                },
                Ok(()) = self.address_changes.changed() => break WaitOutcome::DiscoveryMoved,
                () = &mut timed_out => {
                    let reason = format!("timeout after {} ms", timeout / 1_000);
                    break WaitOutcome::Failed(CallError::at_stage("no response", reason));
                }
            }
        };
        self.late_calls.0.retain(|(started_at, _)| core.now() < started_at + core.settings().ask_within);
        self.late_calls.0.push((started_at, pending_call));
        outcome
    }

    /// Waits until the next call is due.
    async fn wait_for_next_call(&mut self) -> WaitOutcome {
        let core = self.core;
        let mut call_due = pin!(async {
            match core.settings().ask_for_list {
                true => core.list_requested().await,
                false => core.deadlines.until(core.now() + PUSH_RETRY_DELAY_US).await,
            }
        });
        loop {
            tokio::select! {
                biased;
                late = self.late_calls.next_response() => if let Some(response) = self.handle_late(late) {
                    return WaitOutcome::Received(response);
                },
                Ok(()) = self.address_changes.changed() => return WaitOutcome::DiscoveryMoved,
                () = &mut call_due => return WaitOutcome::CallDue,
            }
        }
    }
}

impl EndpointsResponse {
    /// The index from which to watch.
    pub fn index(&self) -> u64 {
        self.index
    }
}
