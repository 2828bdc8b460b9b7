//! The machine list: discovery's list over HTTP/1.1, read whole once and then watched for changes.

use crate::core::Core;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use pierloom_decision::{Event, ListKind, Member, MemberState, Micros};
use pierloom_wire::Names;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// How long discovery may hold a watch; milliseconds. A change binds six seconds after discovery had it, and a watch
/// that has fallen silent looks like one that is held: what is left of its hold, of [`SLACK`], the module's pause
/// before it asks again and the answer's own time have to fit into those six seconds together.
const HOLD_MS: u64 = 1_500;
/// What a call may take beyond its hold; microseconds. Seldom more than 10 ms with 300 callers; up to a second while
/// all of them come back at once.
const SLACK: Micros = 1_000_000;
/// A connection to discovery takes no longer than this; microseconds.
const CONNECT: Micros = 1_000_000;
/// Pause after a call that failed to an agent of this proxy's own, which no other calls; microseconds.
const PUSHED_PAUSE: Micros = 100_000;
/// No machine is larger than so many of the smallest.
const MOST_WEIGHT: f64 = 1e6;
/// Largest list that is read: thousands of machines; bytes.
const MOST: usize = 4 << 20;

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
enum Status {
    Ready,
    Draining,
    Gone,
}

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

/// An answer of discovery's.
#[derive(Deserialize, Default)]
pub struct List {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<Endpoint>,
}

impl Endpoint {
    fn member(&self, names: &Names) -> Member {
        Member {
            backend: self.name.as_str().into(),
            state: match self.status {
                Status::Ready => MemberState::Ready,
                Status::Draining => MemberState::Draining,
                Status::Gone => MemberState::Gone,
            },
            zone: names.zone(&self.zone),
            cell: self.group,
            // Sums of weights stay finite whatever is told.
            weight: self.weight.unwrap_or(1.0).min(MOST_WEIGHT),
            started: self.since_ms.saturating_mul(1_000),
        }
    }
}

/// The machine list as it stands: all that was told so far, less who is gone.
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct Roster {
    index: u64,
    endpoints: BTreeMap<String, Endpoint>,
}

impl Roster {
    fn enter(&mut self, list: &List, kind: ListKind) {
        if kind == ListKind::Full {
            self.endpoints.clear();
        }
        self.index = list.index;
        for endpoint in &list.endpoints {
            match endpoint.status {
                Status::Gone => self.endpoints.remove(&endpoint.name),
                _ => self.endpoints.insert(endpoint.name.clone(), endpoint.clone()),
            };
        }
    }

    /// As discovery would tell it whole.
    pub fn list(&self) -> List {
        List { index: self.index, snapshot: true, endpoints: self.endpoints.values().cloned().collect() }
    }
}

/// Hands a list to the core: the addresses first, so that whatever the module picks can be dialled.
pub fn enter(core: &Core, names: &Names, roster: &RefCell<Roster>, list: &List, kind: ListKind) {
    roster.borrow_mut().enter(list, kind);
    for endpoint in &list.endpoints {
        match endpoint.address.parse() {
            Ok(address) => core.set_address(endpoint.name.as_str().into(), address),
            // A machine that is gone may be named without one.
            Err(_) if matches!(endpoint.status, Status::Gone) => {}
            Err(_) => {
                tracing::warn!(target: "machine_list", "{} has the address {:?}", endpoint.name, endpoint.address)
            }
        }
    }
    let members = list.endpoints.iter().map(|endpoint| endpoint.member(names)).collect();
    core.tell(Event::Members { kind, members });
}

type Sender = SendRequest<Empty<Bytes>>;

async fn connect(core: &Core, discovery: SocketAddr) -> Result<Sender, String> {
    let stream = tokio::select! {
        biased;
        stream = core.host.connect(discovery) => stream.map_err(|e| e.to_string())?,
        () = core.deadlines.until(core.now() + CONNECT) => return Err("no connection".to_string()),
    };
    stream.set_nodelay().map_err(|e| e.to_string())?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    core.host.spawn(async move {
        // How it ended shows at the call that used it.
        let _ = connection.await;
    });
    Ok(sender)
}

/// One call on the kept connection, or on a new one: a watch from a version on, or for the whole list.
async fn call(
    core: &Core,
    kept: &mut Option<Sender>,
    discovery: SocketAddr,
    from: Option<u64>,
) -> Result<List, String> {
    let mut sender = match kept.take().filter(|sender| !sender.is_closed()) {
        Some(sender) => sender,
        None => connect(core, discovery).await?,
    };
    sender.ready().await.map_err(|e| e.to_string())?;
    let query = from.map_or(String::new(), |index| format!("?from={index}&hold_ms={HOLD_MS}"));
    let request = hyper::Request::get(format!("/api/targets{query}"))
        .header(HOST, discovery.to_string())
        .body(Empty::new())
        .map_err(|e| e.to_string())?;
    let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MOST).collect().await.map_err(|e| e.to_string())?;
    if !status.is_success() {
        return Err(format!("status {status}"));
    }
    *kept = Some(sender);
    let mut bytes = body.to_bytes().to_vec();
    let list: List = simd_json::serde::from_slice(&mut bytes).map_err(|e| e.to_string())?;
    if list.endpoints.is_empty() && (list.snapshot || from.is_none()) {
        // A fleet that left all at once would be told as gone, machine by machine.
        return Err("a whole list that names nobody".to_string());
    }
    Ok(list)
}

/// Follows discovery wherever it is: from the known version on once the module asks, else with the whole list
/// at once. Another discovery is asked for the whole list at once too; the call to the old one and its
/// connection are dropped, and what is left of a back-off with them.
pub async fn watch(
    core: Rc<Core>,
    names: Rc<Names>,
    roster: Rc<RefCell<Roster>>,
    mut discovery: watch::Receiver<SocketAddr>,
    mut known: Option<u64>,
) {
    loop {
        let address = *discovery.borrow_and_update();
        tokio::select! {
            biased;
            () = follow(&core, &names, &roster, address, known.take()) => {}
            // An error is the end of the process.
            _ = discovery.changed() => {}
        }
    }
}

/// Watches for as long as calls succeed. Where the list must be asked for, whether and when to ask again is the module's
/// to say; where it is pushed, what the agent beside this proxy has binds whether or not a watch is open, so that one is
/// opened at the start and soon after each that ended.
async fn follow(
    core: &Core,
    names: &Names,
    roster: &RefCell<Roster>,
    discovery: SocketAddr,
    mut from: Option<u64>,
) {
    let mut kept = None;
    let pushed = !core.settings().ask_for_list;
    if from.is_some() && !pushed {
        core.asked().await;
    }
    loop {
        let answer = tokio::select! {
            biased;
            answer = call(core, &mut kept, discovery, from) => answer,
            // One for the whole list may wait its turn for as long as a watch is held.
            () = core.deadlines.until(core.now() + HOLD_MS * 1_000 + SLACK) => Err("no answer".to_string()),
        };
        match answer {
            Ok(list) => {
                let whole = list.snapshot || from.is_none();
                from = Some(list.index);
                let kind = if whole { ListKind::Full } else { ListKind::Delta };
                enter(core, names, roster, &list, kind);
            }
            Err(why) => {
                tracing::warn!(target: "machine_list", "a call failed: {why}");
                kept = None;
                core.forget_asked();
                core.tell(Event::Members { kind: ListKind::Failed, members: [].into() });
                match pushed {
                    true => core.deadlines.until(core.now() + PUSHED_PAUSE).await,
                    false => core.asked().await,
                }
            }
        }
    }
}

impl List {
    /// The version from which to watch.
    pub fn index(&self) -> u64 {
        self.index
    }
}
