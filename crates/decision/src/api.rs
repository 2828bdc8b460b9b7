//! The interface of the decision module: settings, events and actions as plain types, free of any wire
//! format.
//!
//! The host (a proxy process, the bench's adapter or a test) creates a [`crate::Balancer`] from [`Settings`].
//! It passes each [`Event`] to [`crate::Balancer::handle`] together with the current time, and carries out
//! the [`Action`]s that come back, in order.
//!
//! Two wire formats map to these types. The bench's line protocol, spoken by `pierloom-adapter`, is read and
//! written by the crate `pierloom-wire`. The protocol between clients, proxies and backends belongs to the
//! proxy. Below, "setting" is a key of the JSON object that the bench sends in `INIT` and that a proxy's
//! config file holds under `settings`, "message" is a message of the bench.

use std::sync::Arc;

/// A point in time on the host's clock, or a duration; microseconds.
pub type Micros = u64;
/// Identifies one accepted request; chosen by the host and never reused.
pub type RequestId = u64;
/// Identifies a backend; the same at every proxy and across restarts of the backend's process.
pub type BackendId = Arc<str>;

/// Whether a request may be repeated after an attempt that may have run. Setting `classes[].effect`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated anywhere (`repeatable`).
    Repeatable,
    /// May be repeated at backends of this scope, which discard duplicates of a key for
    /// [`Class::repeat_window`] (`by_key`).
    Keyed(KeyScope),
    /// Must never run twice (`once`).
    Once,
}

/// The backends that discard each other's duplicates of a keyed request. Setting `classes[].group`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every backend (`all`).
    All,
    /// Backends in the same zone (`zone`).
    Zone,
    /// Backends in the same cell (`cell`).
    Cell,
}

/// One class of requests. Setting `classes[]`.
#[derive(Clone, Debug)]
pub struct Class {
    /// Target for the time from a request to its established connection (`target`).
    pub setup_target: Micros,
    /// Time after which the client stops waiting for its connection (`deadline`).
    pub deadline: Micros,
    /// Target for the time that a message on an established connection takes; 0 if there is none. Setting
    /// `family-info.message-aim`.
    pub message_target: Micros,
    /// Whether a request may be repeated.
    pub effect: Effect,
    /// How long backends discard duplicates of a keyed request (`window`).
    pub repeat_window: Micros,
}

/// Limit on retries, that is on attempts beyond each request's first. It holds in every window of the given
/// length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in a window regardless of the number of requests. Setting `contract.extra-free`.
    pub min_retries: f64,
    /// Retries allowed for each request accepted in the window. Setting `contract.repeat-ratio`.
    pub ratio: f64,
    /// Length of the window. Setting `contract.ratio-span`.
    pub window: Micros,
}

/// Configuration of a balancer, fixed at its start. Settings that are not stated keep their defaults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of proxies that run this module, this one included. Setting `balancers`.
    pub proxies: u32,
    /// Zone of this proxy, an index shared with [`Member::zone`]. Settings `zone` and `zones`.
    pub zone: u16,
    /// Classes of requests; [`Request::class`] is an index into them.
    pub classes: Vec<Class>,
    /// Maximum number of attempts for one request. Setting `bounds.max-attempts`.
    pub max_attempts: u32,
    /// Limit on retries; `None` for the module's own.
    pub budget: Option<RetryBudget>,
    /// Whether a backend that the endpoint list removed must get nothing new. If false, only draining must be
    /// obeyed. Setting `contract.removal-not-binding`, negated.
    pub exclude_removed: bool,
    /// Time after which connecting to a backend fails. Setting `bounds.connect-timeout`.
    pub connect_timeout: Micros,
    /// Whether a refusal tells the client when to retry. Setting `bounds.retry-after`.
    pub retry_after: bool,
    /// Longest time that clients wait before they retry. Setting `bounds.max-retry-after`.
    pub max_retry_after: Micros,
    /// Whether the host delivers changes of the endpoints only after [`Action::Subscribe`]; otherwise they
    /// arrive unprompted. Setting `membership-mode`: `ask`.
    pub ask_for_list: bool,
    /// Time within which the endpoints are asked for without a subscription. The first call to discovery is
    /// delayed by at most a quarter of it. Setting `contract.ask-within`.
    pub ask_within: Micros,
    /// A change of the endpoints must be obeyed this long after discovery could have reported it, received or
    /// not. Endpoints older than this therefore allow no new attempt. `None` if there is no such limit. Time
    /// in which discovery is known to be unreachable does not count.
    pub max_endpoints_age: Option<Micros>,
    /// The same limit after discovery moved to another service, counted from the move until that service
    /// sends a full list.
    pub max_endpoints_age_after_move: Micros,
    /// Whether [`Member::weight`] states a backend's size. Setting `weights`: `nominal`, `rough` or `live`.
    pub sized_weights: bool,
    /// Whether weights also fall with a backend's load and change with each report. Setting `weights`:
    /// `live`.
    pub live_weights: bool,
    /// Whether connections of one group share work on a backend. Setting `family-info.groups`.
    pub groups: bool,
    /// Whether backends may be probed. Setting `bounds.may-probe`.
    pub may_probe: bool,
    /// Index of the utilization (demanded load divided by capacity) in a probe's report, if backends may be
    /// probed and report it: the position of `x0` in the setting `feedback.columns`.
    pub load_report: Option<usize>,
    /// Index of the time that a message takes at the backend, in milliseconds, in a probe's report: the
    /// position of `svc_ms` in the setting `feedback.columns`.
    pub delay_report: Option<usize>,
    /// Minimum share of its capacity, 0 to 1, that a backend can take right after its start. Setting
    /// `contract.cold-from`.
    pub slow_start_min_share: f64,
    /// Time from a backend's start to its full capacity. Setting `contract.cold`.
    pub slow_start_duration: Micros,
    /// Price of an attempt that crosses zones, as a share of the result, 0 to 1. Setting
    /// `penalties.cross-zone`.
    pub cross_zone_price: f64,
    /// A backend in slow start overloads if it is sent more than this multiple of its current capacity for as
    /// long as [`Settings::overload_window`]. Setting `contract.fall-multiple`.
    pub overload_multiple: f64,
    /// How long that excess lasts before the backend overloads. Setting `contract.fall`.
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

/// Error for settings with a value out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings {
    /// The value that is out of range, by its name in error texts.
    pub field: &'static str,
}

impl std::fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {} is out of range", self.field)
    }
}

impl std::error::Error for InvalidSettings {}

impl Settings {
    /// Checks that all values are in range; the error names the first that is not.
    pub fn check(&self) -> Result<(), InvalidSettings> {
        let is_share = |value: f64| (0.0..=1.0).contains(&value);
        let is_valid_budget =
            |budget: &RetryBudget| budget.min_retries >= 0.0 && budget.ratio >= 0.0 && budget.window > 0;
        let checks = [
            ("relays", self.proxies > 0),
            ("classes", !self.classes.is_empty()),
            ("classes[].deadline", self.classes.iter().all(|class| class.deadline > 0)),
            ("max_attempts", self.max_attempts > 0),
            ("budget", self.budget.as_ref().is_none_or(is_valid_budget)),
            ("connect_timeout", self.connect_timeout > 0),
            ("cold_from", is_share(self.slow_start_min_share)),
            ("cross_zone_price", is_share(self.cross_zone_price)),
            ("fall_multiple", self.overload_multiple > 0.0),
            ("fall", self.overload_window > 0),
        ];
        match checks.into_iter().find(|&(_, in_range)| !in_range) {
            Some((field, _)) => Err(InvalidSettings { field }),
            None => Ok(()),
        }
    }
}

/// State of a backend in the endpoint list. Field `health` of the message `M`, field `status` of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Accepts new connections (`healthy`, `ready`).
    Ready,
    /// Finishes its work and must get nothing new (`cordoned`, `draining`).
    Draining,
    /// Removed (`deregistered`, `gone`).
    Gone,
}

/// One entry of the endpoint list: a backend as discovery reports it. Message `M`.
#[derive(Clone, Debug)]
pub struct Member {
    /// The backend.
    pub backend: BackendId,
    /// The backend's state.
    pub state: MemberState,
    /// The backend's zone, an index shared with [`Settings::zone`].
    pub zone: u16,
    /// The backend's cell; 0 if it has none.
    pub cell: u64,
    /// The backend's weight relative to other backends.
    pub weight: f64,
    /// When the backend's process last started; 0 for long ago.
    pub started: Micros,
}

impl Member {
    /// A ready backend of weight 1 in zone 0 that started long ago.
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

/// A client's request for a connection. Message `ACCEPT`; at a proxy, a client's line `OPEN`.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Identifies the request in later events and actions.
    pub id: RequestId,
    /// Index into [`Settings::classes`]. An index out of range is a class without a description: its requests
    /// must never run twice.
    pub class: usize,
    /// Stable hash of the client's key, if there is one.
    pub key: Option<u64>,
    /// Stable hash of the connection's group, if there is one.
    pub group: Option<u64>,
    /// Time at which the client gives up.
    pub deadline: Micros,
    /// Expected load of the connection, if the client states it: microseconds of work of a standard core per
    /// second.
    pub load_hint: Option<f64>,
    /// Packets of a connection that is already established arrive.
    pub mid_flow: bool,
    /// The client reconnects after a broken connection or a move.
    pub reconnecting: bool,
}

/// Result of an attempt or a probe. The numbers are the field `how` of the messages `COMPLETED` and `PONG`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The backend served it (200).
    Ok,
    /// The backend answered with an error; the request may have run (502).
    Error,
    /// The backend refused the request without running it (429).
    Overloaded,
    /// No answer arrived in time; the request may have run (408).
    Timeout,
    /// The connection could not be made; the request never ran (521).
    ConnectFailed,
    /// The connection broke; the request may have run (520).
    Reset,
    /// The attempt was cancelled; the request may have run (444).
    Cancelled,
    /// The attempt was never sent, and does not count as a retry (409).
    NotSent,
}

impl Status {
    /// Whether the request may have run at the backend.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Status::Overloaded | Status::ConnectFailed | Status::NotSent)
    }
}

/// What an event about the endpoint list reports. Field `mode` of the message `ROSTER_CHANGE`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Entries that changed (`delta`).
    Delta,
    /// The complete list (`full`, `cached`).
    Full,
    /// Entries that a discovery service reported after another one had become responsible. They bind where a
    /// backend leaves (draining, gone) or has restarted, until the responsible service sends its list. They
    /// never make a backend ready, and do not renew the endpoints. The bench has none.
    Superseded,
    /// A call to discovery failed or the subscription broke; no entries (`failed`).
    Failed,
    /// A call failed because discovery could not be reached; no entries.
    Unreachable,
    /// Discovery moved to another service, which has not sent its list yet; no entries.
    DiscoveryMoved,
}

/// A measurement of an established connection. The first two are the topics 1 and 2 of the message `NOTE`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measurement {
    /// The connection's current load; microseconds of work per second.
    Load(f64),
    /// Time that a message now takes at the connection's backend.
    Delay(Micros),
    /// How long a message on the connection has been without an answer.
    Unanswered(Micros),
}

/// How an attempt ended. Message `COMPLETED`.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How the attempt ended.
    pub status: Status,
    /// Time from the sending of the attempt to its end.
    pub latency: Micros,
    /// Whether the request already has its final answer, so that neither a retry nor an answer may follow.
    pub closed: bool,
}

/// An event that the host delivers to the balancer as soon as it happens. Where no message is named, the
/// bench has none.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery reported the endpoint list or changes of it, or a call to discovery failed. Message
    /// `ROSTER_CHANGE`.
    Members {
        /// Whether the entries are all or changes, or what failed.
        kind: ListKind,
        /// The entries; empty after a failure.
        members: Arc<[Member]>,
    },
    /// Operators put a backend into maintenance (true) or returned it to service (false). A backend in
    /// maintenance gets nothing new, whatever the endpoint list reports. A proxy sends this when an operator
    /// calls its console, when a peer process reports such a call, and at its start for the backends that it
    /// stored as in maintenance.
    Maintenance(BackendId, bool),
    /// State that the predecessor's module learned. Sent once at an upgrade, after the endpoint list.
    LearnedState(Box<crate::LearnedState>),
    /// A client's request arrived. It gets exactly one final answer: an established connection,
    /// [`Action::Refuse`] or [`Action::Fail`]. Message `ACCEPT`.
    Request(Request),
    /// A connection that another process established and that this one continues, with its backend. Message
    /// `OPEN`.
    Resumed(Request, BackendId),
    /// An attempt's connection is established. Message `FIRST_BYTE`.
    Established {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Time from the sending of the attempt to the established connection.
        latency: Micros,
    },
    /// An attempt ended, before or after its connection was established. Message `COMPLETED`.
    AttemptEnded(AttemptResult),
    /// The client left; its request needs no answer any more. The end of an attempt in progress is still
    /// reported. Message `GONE`.
    ClientGone(RequestId),
    /// The process is shutting down: every request that waits is answered, and no further attempt starts.
    Stopping,
    /// The host measured an established connection. Message `NOTE`.
    Measured(RequestId, Measurement),
    /// A probe that [`Action::Probe`] asked for ended. Message `PONG`.
    Probed {
        /// The probed backend.
        backend: BackendId,
        /// How the probe ended.
        status: Status,
        /// The values that the backend reported, in the order of the setting `feedback.columns`; empty if
        /// none arrived.
        report: Vec<f64>,
    },
    /// A timer set by [`Action::Timer`] is due; carries the token of the timer. Message `DUE`.
    Timer(u64),
}

/// An action that the host must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a backend. The host reports [`Event::Established`] once the connection is
    /// established, and [`Event::AttemptEnded`] at its end. A proxy asks
    /// [`crate::Balancer::may_send_attempt`] before it writes the request to the backend. Message `HAND_OFF`.
    Send {
        /// The request.
        id: RequestId,
        /// The backend to connect to.
        backend: BackendId,
        /// Time at which the host stops waiting for the connection and ends the attempt.
        until: Micros,
    },
    /// Final answer: refuse the request, which promises the client that a retry is harmless. Message
    /// `REJECT`; a proxy answers `BUSY`.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries, if a refusal can say so.
        retry_after: Option<Micros>,
    },
    /// Final answer: fail the request, which promises nothing. Message `GIVE_UP`; a proxy answers `ERR`.
    Fail(RequestId),
    /// Ask the client of an established connection to reconnect elsewhere. Message `GO_AWAY`; a proxy sends
    /// `MOVE`.
    Move(RequestId),
    /// Probe a backend and report [`Event::Probed`]. Message `SAMPLE`; a proxy asks the backend with `STATS`.
    Probe(BackendId),
    /// Subscribe to changes of the endpoint list. Message `SUBSCRIBE`; a proxy calls discovery.
    Subscribe,
    /// Deliver [`Event::Timer`] with this token after this time. Message `WAKE_ME`.
    Timer(Micros, u64),
}
