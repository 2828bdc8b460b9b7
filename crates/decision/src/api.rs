//! The interface of the decision module: settings, events and actions, without any wire.

use std::sync::Arc;

/// A point in time or a span of time, in microseconds.
pub type Micros = u64;
/// Identity of one accepted request; never reused.
pub type RequestId = u64;
/// Identity of a backend, the same at every relay and across restarts of its process.
pub type BackendId = Arc<str>;

/// How far a request's effect may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Harmless to repeat.
    Repeatable,
    /// Duplicates are discarded by the backends of a group, for a while.
    Keyed(KeyScope),
    /// Must never run twice.
    Once,
}

/// Backends that discard each other's duplicates of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every backend.
    All,
    /// Backends in the same zone.
    Zone,
    /// Backends in the same cell.
    Cell,
}

/// One class of request.
#[derive(Clone, Debug)]
pub struct Class {
    /// Set-up is wanted within this time.
    pub setup_target: Micros,
    /// The client stops waiting after this time.
    pub deadline: Micros,
    /// A message on an open connection is wanted within this time; 0 where nothing is stated.
    pub message_target: Micros,
    /// How far its effect may be repeated.
    pub effect: Effect,
    /// How long a group discards duplicates of a keyed request.
    pub repeat_window: Micros,
}

/// A bound on the attempts beyond each request's first, over any span of a stated length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Further attempts allowed in a span however few requests it saw.
    pub min_retries: f64,
    /// Further attempts allowed for each request accepted in the span.
    pub ratio: f64,
    /// Length of the span.
    pub window: Micros,
}

/// Everything a balancer is told at its start. Unstated figures keep their defaults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of relays that decide alike, this one included.
    pub proxies: u32,
    /// Zone of this relay, as an index that [`Member::zone`] uses too.
    pub zone: u16,
    /// Classes of request.
    pub classes: Vec<Class>,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// Bound on further attempts, where one is stated.
    pub budget: Option<RetryBudget>,
    /// A backend that the list withdraws gets nothing new; otherwise only draining binds.
    pub exclude_removed: bool,
    /// A connection not set up within this time fails.
    pub connect_timeout: Micros,
    /// Clients are told when to come back after a refusal.
    pub retry_after: bool,
    /// Longest wait that clients honour.
    pub max_retry_after: Micros,
    /// The list must be asked for; otherwise changes arrive unprompted.
    pub ask_for_list: bool,
    /// Without a subscription, a list older than this is deemed known.
    pub ask_within: Micros,
    /// What a list would tell binds so long after it could be had, whether it came or not, where that is stated.
    pub max_endpoints_age: Option<Micros>,
    /// The same after the service that tells it became another one.
    pub max_endpoints_age_after_move: Micros,
    /// Members' weights state their registered size.
    pub sized_weights: bool,
    /// Members' weights also fall with the load there, and change with each report.
    pub live_weights: bool,
    /// Connections of one group share work on a backend.
    pub groups: bool,
    /// Backends may be probed.
    pub may_probe: bool,
    /// Backends may be probed, and this value of their report is the load asked of them over what they can do.
    pub load_report: Option<usize>,
    /// This value of their report is the time that a message takes there; milliseconds.
    pub delay_report: Option<usize>,
    /// A started backend takes at least this share of its capacity at first.
    pub slow_start_min_share: f64,
    /// A started backend is warm after this time.
    pub slow_start_duration: Micros,
    /// Price of an attempt that crosses zones, as a share of the result.
    pub cross_zone_price: f64,
    /// Sent more than this multiple of its present capacity, a cold backend falls over...
    pub overload_multiple: f64,
    /// ...when that lasts this long.
    pub overload_window: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        let class = Class {
            setup_target: 500_000,
            deadline: 2_000_000,
            message_target: 0,
            effect: Effect::Repeatable,
            repeat_window: 0,
        };
        Settings {
            proxies: 1,
            zone: 0,
            classes: vec![class],
            max_attempts: 3,
            budget: None,
            exclude_removed: true,
            connect_timeout: 250_000,
            retry_after: false,
            max_retry_after: 0,
            ask_for_list: false,
            ask_within: 10_000_000,
            max_endpoints_age: None,
            max_endpoints_age_after_move: 0,
            sized_weights: false,
            live_weights: false,
            groups: false,
            may_probe: false,
            load_report: None,
            delay_report: None,
            slow_start_min_share: 0.2,
            slow_start_duration: 20_000_000,
            cross_zone_price: 0.0,
            overload_multiple: 2.0,
            overload_window: 1_000_000,
        }
    }
}

/// Settings that no balancer could work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings {
    /// The field of [`Settings`] that is out of range.
    pub field: &'static str,
}

impl std::fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {} is out of range", self.field)
    }
}

impl std::error::Error for InvalidSettings {}

impl Settings {
    /// Refuses what is out of range and names the field.
    pub fn check(&self) -> Result<(), InvalidSettings> {
        let share = |value: f64| (0.0..=1.0).contains(&value);
        let budget = |b: &RetryBudget| b.min_retries >= 0.0 && b.ratio >= 0.0 && b.window > 0;
        let fields = [
            ("relays", self.proxies > 0),
            ("classes", !self.classes.is_empty()),
            ("classes[].deadline", self.classes.iter().all(|class| class.deadline > 0)),
            ("max_attempts", self.max_attempts > 0),
            ("budget", self.budget.as_ref().is_none_or(budget)),
            ("connect_timeout", self.connect_timeout > 0),
            ("cold_from", share(self.slow_start_min_share)),
            ("cross_zone_price", share(self.cross_zone_price)),
            ("fall_multiple", self.overload_multiple > 0.0),
            ("fall", self.overload_window > 0),
        ];
        match fields.into_iter().find(|&(_, sound)| !sound) {
            Some((field, _)) => Err(InvalidSettings { field }),
            None => Ok(()),
        }
    }
}

/// What the list says of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Takes new work.
    Ready,
    /// Finishes its work and wants nothing new.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One entry of the list of backends.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its identity.
    pub backend: BackendId,
    /// Its state.
    pub state: MemberState,
    /// Its zone, as [`Settings::zone`] counts them.
    pub zone: u16,
    /// Its cell.
    pub cell: u64,
    /// Its weight beside other backends.
    pub weight: f64,
    /// When its process last started; 0 for long ago.
    pub started: Micros,
}

impl Member {
    /// A ready backend of weight 1, in zone 0, started long ago.
    pub fn ready(backend: &str) -> Self {
        Member {
            backend: backend.into(),
            state: MemberState::Ready,
            zone: 0,
            cell: 0,
            weight: 1.0,
            started: 0,
        }
    }
}

/// A client's request for a connection.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its identity.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Stable hash of the client's key, where it has one.
    pub key: Option<u64>,
    /// Stable hash of the connection's group, where it has one.
    pub group: Option<u64>,
    /// The client gives up at this time.
    pub deadline: Micros,
    /// Expected work per second, as microseconds of a standard core, where hinted.
    pub load_hint: Option<f64>,
    /// Packets of an established connection arrive.
    pub mid_flow: bool,
    /// The client is back after a break or a move.
    pub reconnecting: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time; may have run.
    Timeout,
    /// No connection could be made; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Withdrawn; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Status {
    /// Whether the attempt may have had its effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Status::Overloaded | Status::ConnectFailed | Status::NotSent)
    }
}

/// What a list event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// A call failed or the subscription broke; no entries.
    Failed,
    /// A call failed, as there was no way to the service that tells of the list; no entries.
    Unreachable,
    /// The service that tells of the list is another one now, and has not told it yet; no entries.
    DiscoveryMoved,
}

/// News of an open connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measurement {
    /// Its load now, in microseconds of work a second.
    Load(f64),
    /// Time a message takes at its backend now.
    Delay(Micros),
    /// A message has been without its answer on this connection for so long.
    Unanswered(Micros),
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub status: Status,
    /// Time since it was sent.
    pub latency: Micros,
    /// Set when the request has its final answer.
    pub closed: bool,
}

/// What a balancer is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of backends.
    Members {
        /// Complete, changes, or a failure.
        kind: ListKind,
        /// The entries.
        members: Arc<[Member]>,
    },
    /// Staff withhold a backend, whatever the list says, or (false) gave it back.
    Maintenance(BackendId, bool),
    /// What the module learned whose place this one takes, after its list.
    LearnedState(Box<crate::LearnedState>),
    /// A client's request arrives; it is owed one final answer.
    Request(Request),
    /// A connection that already stands when the balancer starts.
    Resumed(Request, BackendId),
    /// An attempt's connection stands.
    Established {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Time since it was sent.
        latency: Micros,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The client left; nothing is owed any more.
    ClientGone(RequestId),
    /// The process is about to end: whoever waits is answered, and nothing more is begun.
    Stopping,
    /// News of an open connection.
    Measured(RequestId, Measurement),
    /// A probe's result.
    Probed {
        /// The backend probed.
        backend: BackendId,
        /// How it ended.
        status: Status,
        /// The values it reported, empty when none came.
        report: Vec<f64>,
    },
    /// A timer set earlier fell due.
    Timer(u64),
}

/// What a balancer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        backend: BackendId,
        /// Time at which to stop waiting for it.
        until: Micros,
    },
    /// Final answer: refused; to try again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away, where it can be told.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed; nothing is promised.
    Fail(RequestId),
    /// End an open connection politely; its client returns.
    Move(RequestId),
    /// Probe a backend; answered by [`Event::Probed`].
    Probe(BackendId),
    /// Ask for changes of the list from now on.
    Subscribe,
    /// Wake up after this time, with this token.
    Timer(Micros, u64),
}
