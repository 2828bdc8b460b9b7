//! The machine list: discovery's list over HTTP/1.1, read whole once and then watched for changes.

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

/// Whatever discovery has to tell binds so long after it had it, whether it was told or not: the protocol's figure;
/// microseconds.
pub const MAX_ENDPOINTS_AGE_US: Micros = 6_000_000;
/// The same after SIGHUP named another discovery; microseconds.
pub const MAX_ENDPOINTS_AGE_AFTER_MOVE_US: Micros = 4_000_000;
/// How long discovery may hold a watch; milliseconds. A watch that has fallen silent looks like one that is held: what
/// is left of its hold, of [`SLACK`] and the call that replaces it have to fit into [`MAX_ENDPOINTS_AGE_US`]
/// together.
const HOLD_MS: u64 = 1_500;
/// What a held call may take beyond its hold; microseconds. Seldom more than 10 ms with 300 callers; up to a second
/// while all of them come back at once.
const SLACK: Micros = 1_000_000;
/// How long a call that opens a watch waits before another is made beside it; microseconds. It waits its turn behind
/// the calls of all other proxies, and discovery itself ends one that has waited too long. This is what is left of
/// [`MAX_ENDPOINTS_AGE_US`] after a watch that fell silent.
const TURN: Micros = MAX_ENDPOINTS_AGE_US - HOLD_MS * 1_000 - SLACK;
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

/// An entry as it comes: one that cannot be read harms no other.
#[derive(Deserialize)]
#[serde(untagged)]
enum Entry {
    Whole(Endpoint),
    Odd {
        #[serde(default)]
        name: String,
    },
    Nonsense(IgnoredAny),
}

/// An answer of discovery's.
#[derive(Deserialize, Default)]
#[serde(from = "RawResponse")]
pub struct EndpointsResponse {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Endpoint>,
    /// Who has an entry that cannot be read.
    invalid: Vec<String>,
}

#[derive(Deserialize)]
struct RawResponse {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<Entry>,
}

impl From<RawResponse> for EndpointsResponse {
    fn from(told: RawResponse) -> Self {
        let mut list =
            EndpointsResponse { index: told.index, snapshot: told.snapshot, ..EndpointsResponse::default() };
        for entry in told.endpoints {
            match entry {
                Entry::Whole(endpoint) => list.endpoints.push(endpoint),
                Entry::Odd { name } => list.invalid.push(name),
                Entry::Nonsense(_) => list.invalid.push(String::new()),
            }
        }
        list
    }
}

impl Endpoint {
    fn member(&self, names: &NameIndex) -> Member {
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
pub struct Endpoints {
    index: u64,
    endpoints: BTreeMap<String, Endpoint>,
}

impl Endpoints {
    fn enter(&mut self, list: &EndpointsResponse, kind: ListKind) {
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
    pub fn snapshot(&self) -> EndpointsResponse {
        let endpoints = self.endpoints.values().cloned().collect();
        EndpointsResponse { index: self.index, snapshot: true, endpoints, invalid: Vec::new() }
    }
}

/// Hands a list to the core: the addresses first, so that whatever the module picks can be dialled. An entry that cannot
/// be read leaves who it names as before.
pub fn apply_endpoints(
    core: &Core,
    names: &NameIndex,
    roster: &RefCell<Endpoints>,
    mut list: EndpointsResponse,
    kind: ListKind,
) {
    for name in &list.invalid {
        tracing::warn!(target: "machine_list", "{name:?} has an entry that cannot be read");
        let before = roster.borrow().endpoints.get(name).cloned();
        list.endpoints.extend(before.filter(|_| kind == ListKind::Full));
    }
    roster.borrow_mut().enter(&list, kind);
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
    core.dispatch_event(Event::Members { kind, members });
}

type Sender = SendRequest<Empty<Bytes>>;

/// Why a call came to nothing.
struct Failure {
    /// Whether it came as far as a connection.
    reached: bool,
    why: String,
}

impl Failure {
    fn unreached(why: impl ToString) -> Self {
        Failure { reached: false, why: why.to_string() }
    }

    /// One of this machine's own tells nothing of discovery.
    fn connecting(why: io::Error) -> Self {
        if is_local_error(&why) { Failure::after("not asked", why) } else { Failure::unreached(why) }
    }

    fn after(stage: &str, why: impl ToString) -> Self {
        Failure { reached: true, why: format!("{stage}: {}", why.to_string()) }
    }
}

/// What a call brought, from which discovery, and the connection that it came on.
struct Answer {
    list: EndpointsResponse,
    whole: bool,
    discovery: SocketAddr,
    sender: Sender,
}

/// A call under way, however long it takes.
type Calling<'a> = Pin<Box<dyn Future<Output = Result<Answer, Failure>> + 'a>>;

async fn connect(core: &Core, discovery: SocketAddr) -> Result<Sender, Failure> {
    let stream = tokio::select! {
        biased;
        stream = core.host.connect(discovery) => stream.map_err(Failure::connecting)?,
        () = core.deadlines.until(core.now() + CONNECT) => return Err(Failure::unreached("no connection")),
    };
    stream.set_nodelay();
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|e| Failure::after("not asked", e))?;
    core.host.spawn(async move {
        // How it ended shows at the call that used it.
        let _ = connection.await;
    });
    Ok(sender)
}

/// One call on the kept connection, or on a new one: a watch from a version on, or for the whole list. A watch is held
/// where it goes on; the call that opens it is answered at its turn, so that what keeps it is others' calls alone.
async fn call(
    core: &Core,
    kept: Option<Sender>,
    discovery: SocketAddr,
    from: Option<u64>,
) -> Result<Answer, Failure> {
    let hold = if kept.is_some() { HOLD_MS } else { 0 };
    let mut sender = match kept {
        Some(sender) => sender,
        None => connect(core, discovery).await?,
    };
    sender.ready().await.map_err(|e| Failure::after("not asked", e))?;
    let query = from.map_or(String::new(), |index| format!("?from={index}&hold_ms={hold}"));
    let request = hyper::Request::get(format!("/api/targets{query}"))
        .header(HOST, discovery.to_string())
        .body(Empty::new())
        .map_err(|e| Failure::after("not asked", e))?;
    let response = sender.send_request(request).await.map_err(|e| Failure::after("asked, no answer", e))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MOST).collect().await;
    let body = body.map_err(|e| Failure::after("an answer that is not whole", e))?;
    if !status.is_success() {
        return Err(Failure::after("answered", format!("status {status}")));
    }
    let mut bytes = body.to_bytes().to_vec();
    let list: EndpointsResponse = simd_json::serde::from_slice(&mut bytes)
        .map_err(|e| Failure::after("an answer that is no list", e))?;
    let whole = list.snapshot || from.is_none();
    if list.endpoints.is_empty() && whole {
        // A fleet that left all at once would be told as gone, machine by machine.
        return Err(Failure::after("answered", "a whole list that names nobody"));
    }
    Ok(Answer { list, whole, discovery, sender })
}

/// Calls that were late, or went to the discovery before, and may be answered yet, each with when it began.
#[derive(Default)]
struct Late<'a>(Vec<(Micros, Calling<'a>)>);

impl Late<'_> {
    /// The first answer that comes; those that came to nothing are forgotten. Waits for ever where there are none.
    async fn answer(&mut self) -> Answer {
        poll_fn(|context| {
            let mut answer = None;
            self.0.retain_mut(|(_, calling)| match calling.as_mut().poll(context) {
                Poll::Pending => true,
                Poll::Ready(ended) => {
                    answer = answer.take().or(ended.ok());
                    false
                }
            });
            answer.take().map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }
}

/// What a wait for discovery came to.
enum Came {
    Answer(Answer),
    Failure(Failure),
    /// Discovery is elsewhere now.
    Moved,
    /// It is time for another call.
    Again,
}

/// Whoever follows a discovery, and how far.
struct Follower<'a> {
    core: &'a Core,
    names: &'a NameIndex,
    roster: &'a RefCell<Endpoints>,
    moves: watch::Receiver<SocketAddr>,
    discovery: SocketAddr,
    /// The version seen last; none before a list of this discovery's.
    from: Option<u64>,
    kept: Option<Sender>,
    late: Late<'a>,
}

/// Follows discovery wherever it is: from the known version on once the module asks, else with the whole list
/// at once. Another discovery is asked for the whole list at once too, whatever is left of a back-off.
///
/// Where the list must be asked for, whether and when to ask again is the module's to say; where it is pushed, what the
/// agent beside this proxy has binds whether or not a watch is open, so that one is opened at the start and soon after
/// each that ended.
///
/// A call that is late counts as failed and another one follows, but its connection is read on until one is answered, as
/// is that of a call to the discovery before: what is written there counts as told. And a call that is given up takes its
/// turn at discovery all the same: a fleet that gave up its calls while they waited their turns would keep discovery busy
/// with calls that nobody hears.
pub async fn watch(
    core: Rc<Core>,
    names: Rc<NameIndex>,
    roster: Rc<RefCell<Endpoints>>,
    mut moves: watch::Receiver<SocketAddr>,
    from: Option<u64>,
) {
    let discovery = *moves.borrow_and_update();
    let (core, names, roster) = (&*core, &*names, &*roster);
    let (kept, late) = (None, Late::default());
    let mut follower = Follower { core, names, roster, moves, discovery, from, kept, late };
    let asked_first = from.is_some() && core.settings().ask_for_list;
    let mut came = if asked_first { follower.pause().await } else { Came::Again };
    loop {
        came = match came {
            Came::Answer(answer) => {
                follower.enter(answer);
                follower.call().await
            }
            Came::Failure(Failure { reached, why }) => {
                tracing::warn!(target: "machine_list", "a call failed: {why}");
                core.clear_list_request();
                let kind = if reached { ListKind::Failed } else { ListKind::Unreachable };
                core.dispatch_event(Event::Members { kind, members: [].into() });
                follower.pause().await
            }
            Came::Moved => {
                core.dispatch_event(Event::Members { kind: ListKind::DiscoveryMoved, members: [].into() });
                (follower.from, follower.kept) = (None, None);
                follower.discovery = *follower.moves.borrow_and_update();
                follower.call().await
            }
            Came::Again => follower.call().await,
        }
    }
}

impl<'a> Follower<'a> {
    /// Enters what the discovery that is followed told.
    fn enter(&mut self, Answer { list, whole, sender, .. }: Answer) {
        (self.from, self.kept, self.late) = (Some(list.index), Some(sender), Late::default());
        apply_endpoints(
            self.core,
            self.names,
            self.roster,
            list,
            if whole { ListKind::Full } else { ListKind::Delta },
        );
    }

    /// What came on a call that was late: the answer, if the discovery that is followed gave it. The one before is
    /// watched on where it still answers, until the new one does.
    fn sort(&mut self, answer: Answer) -> Option<Answer> {
        if answer.discovery == self.discovery {
            return Some(answer);
        }
        let Answer { list, whole, discovery, sender } = answer;
        let (core, index) = (self.core, list.index);
        // A whole list of the one before would stand for the new one's.
        if whole {
            return None;
        }
        apply_endpoints(core, self.names, self.roster, list, ListKind::Delta);
        let goes_on = Box::pin(call(core, Some(sender), discovery, Some(index)));
        self.late.0.push((core.now(), goes_on));
        None
    }

    /// Makes a call. Where one that was late is answered first, the watch goes on there: there is no need of this one.
    async fn call(&mut self) -> Came {
        let (core, began) = (self.core, self.core.now());
        let open = self.kept.take().filter(|sender| !sender.is_closed());
        let patience = if open.is_some() { HOLD_MS * 1_000 + SLACK } else { TURN };
        let mut calling: Calling<'a> = Box::pin(call(core, open, self.discovery, self.from));
        let mut overdue = pin!(core.deadlines.until(began + patience));
        let came = loop {
            tokio::select! {
                biased;
                answer = &mut calling => return answer.map_or_else(Came::Failure, Came::Answer),
                answer = self.late.answer() => if let Some(answer) = self.sort(answer) {
                    return Came::Answer(answer);
                },
                Ok(()) = self.moves.changed() => break Came::Moved,
                () = &mut overdue => {
                    let why = format!("within {} ms", patience / 1_000);
                    break Came::Failure(Failure::after("asked, no answer", why));
                }
            }
        };
        self.late.0.retain(|(began, _)| core.now() < began + core.settings().ask_within);
        self.late.0.push((began, calling));
        came
    }

    /// Waits until it is time for another call.
    async fn pause(&mut self) -> Came {
        let core = self.core;
        let mut again = pin!(async {
            match core.settings().ask_for_list {
                true => core.list_requested().await,
                false => core.deadlines.until(core.now() + PUSHED_PAUSE).await,
            }
        });
        loop {
            tokio::select! {
                biased;
                answer = self.late.answer() => if let Some(answer) = self.sort(answer) {
                    return Came::Answer(answer);
                },
                Ok(()) = self.moves.changed() => return Came::Moved,
                () = &mut again => return Came::Again,
            }
        }
    }
}

impl EndpointsResponse {
    /// The version from which to watch.
    pub fn index(&self) -> u64 {
        self.index
    }
}
