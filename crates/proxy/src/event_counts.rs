//! Counts of the events and actions that pass between the core and the decision module, logged as one line a
//! second. `pierloom-lab ledger` sums the lines of all proxies second by second, as one proxy alone sees too
//! little.

use pierloom_decision::{
    Action, AttemptResult, BackendId, Event, ListKind, Measurement, MemberState, Micros, RequestId, Settings,
    Status,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

const SECOND_US: Micros = 1_000_000;

/// The properties of a backend in the endpoint list that the counts depend on.
struct ListedBackend {
    zone: u16,
    /// Unix time of the last start in microseconds; 0 for long ago.
    started: Micros,
}

/// Counts of the current second. A second without events writes no line.
pub struct EventCounts {
    zone: u16,
    slow_start_duration: Micros,
    second: u64,
    counts: BTreeMap<&'static str, u64>,
    backends: BTreeMap<BackendId, ListedBackend>,
    /// When discovery last reported the endpoints or answered a watch.
    endpoints_updated_at: Micros,
    /// The requests whose connections are established.
    established: BTreeSet<RequestId>,
}

impl EventCounts {
    /// Starts with the second of `now` and no counts.
    pub fn new(settings: &Settings, now: Micros) -> Self {
        EventCounts {
            zone: settings.zone,
            slow_start_duration: settings.slow_start_duration,
            second: now / SECOND_US,
            counts: BTreeMap::new(),
            backends: BTreeMap::new(),
            endpoints_updated_at: now,
            established: BTreeSet::new(),
        }
    }

    fn add(&mut self, name: &'static str, count: u64) {
        *self.counts.entry(name).or_default() += count;
    }

    /// Ends the current second if `now` is past it, and returns its line if there are counts.
    pub fn finish_second(&mut self, now: Micros) -> Option<String> {
        let second = std::mem::replace(&mut self.second, now / SECOND_US);
        if second == self.second || self.counts.is_empty() {
            return None;
        }
        let mut line = format!("at={second}");
        for (name, count) in std::mem::take(&mut self.counts) {
            let _ = write!(line, " {name}={count}");
        }
        let age = ((second + 1) * SECOND_US).saturating_sub(self.endpoints_updated_at) / 1_000;
        let _ = write!(line, " standing={} list_age_ms={age}", self.established.len());
        Some(line)
    }

    /// Counts an event that is passed to the decision module.
    pub fn count_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::Request(_) => self.add("jobs", 1),
            Event::Resumed(request, _) => {
                self.established.insert(request.id);
                self.add("resumed", 1);
            }
            Event::Established { id, latency, .. } => {
                self.established.insert(*id);
                self.add("up", 1);
                self.add("up_wait_ms", latency / 1_000);
            }
            Event::AttemptEnded(result) => self.count_attempt_end(result),
            Event::ClientGone(_) => self.add("left", 1),
            Event::Probed { status: Status::Ok, .. } => self.add("probes_answered", 1),
            Event::Probed { .. } => self.add("probes_failed", 1),
            Event::Members { kind, members } => {
                let name = match kind {
                    ListKind::Full => "lists_whole",
                    ListKind::Delta => "lists_changed",
                    ListKind::Superseded => "lists_superseded",
                    ListKind::Failed => "lists_failed",
                    ListKind::Unreachable => "lists_unreached",
                    ListKind::DiscoveryMoved => "lists_moved",
                };
                self.add(name, 1);
                if !matches!(kind, ListKind::Full | ListKind::Delta) {
                    return;
                }
                self.endpoints_updated_at = now;
                for member in members.iter().filter(|member| member.state != MemberState::Gone) {
                    let backend = ListedBackend { zone: member.zone, started: member.started };
                    self.backends.insert(member.backend.clone(), backend);
                }
            }
            Event::Maintenance(_, true) => self.add("withheld", 1),
            Event::Maintenance(_, false) => self.add("given_back", 1),
            Event::Stopping | Event::LearnedState(_) | Event::Measured(..) | Event::Timer(_) => {}
        }
    }

    /// Counts the end of an attempt, or of the connection that it established.
    fn count_attempt_end(&mut self, result: &AttemptResult) {
        let was_established = self.established.remove(&result.id);
        self.add(
            match (was_established, result.status) {
                (true, Status::Reset) => "broken",
                (true, _) => "over",
                (false, Status::Overloaded) => "claims_full",
                (false, Status::Error) => "claims_error",
                (false, Status::Timeout) => "claims_late",
                (false, Status::ConnectFailed) => "claims_unconnected",
                (false, Status::Reset) => "claims_reset",
                (false, _) => "claims_other",
            },
            1,
        );
    }

    /// Counts an action of the decision module; moves are counted by the event that triggered them.
    pub fn count_action(&mut self, now: Micros, action: &Action, trigger: ActionTrigger) {
        match action {
            Action::Send { backend, .. } => {
                self.add("claims", 1);
                let Some(listed_backend) = self.backends.get(backend) else { return };
                let (in_other_zone, in_slow_start) = (
                    listed_backend.zone != self.zone,
                    listed_backend.started + self.slow_start_duration > now,
                );
                if in_other_zone {
                    self.add("claims_far", 1);
                }
                if in_slow_start {
                    self.add("claims_cold", 1);
                }
            }
            Action::Refuse { .. } => self.add("refused", 1),
            Action::Fail(_) => self.add("failed", 1),
            Action::Move(_) => self.add(trigger.moves_count_name(), 1),
            Action::Probe(_) => self.add("probes", 1),
            Action::Subscribe => self.add("list_calls", 1),
            Action::Timer(..) => {}
        }
    }
}

/// The kind of event that triggered an action.
#[derive(Clone, Copy)]
pub enum ActionTrigger {
    /// A load reported for a connection.
    Load,
    /// A message delay measured on a connection.
    Delay,
    /// An unanswered message on a connection.
    Unanswered,
    /// The result of a probe.
    Report,
    /// An established connection.
    Established,
    /// Any other event, such as a timer.
    Other,
}

impl ActionTrigger {
    /// The kind of `event`.
    pub fn from_event(event: &Event) -> Self {
        match event {
            Event::Measured(_, Measurement::Load(_)) => ActionTrigger::Load,
            Event::Measured(_, Measurement::Delay(_)) => ActionTrigger::Delay,
            Event::Measured(_, Measurement::Unanswered(_)) => ActionTrigger::Unanswered,
            Event::Probed { .. } => ActionTrigger::Report,
            Event::Established { .. } => ActionTrigger::Established,
            _ => ActionTrigger::Other,
        }
    }

    fn moves_count_name(self) -> &'static str {
        match self {
            ActionTrigger::Load => "moves_load",
            ActionTrigger::Delay => "moves_delay",
            ActionTrigger::Unanswered => "moves_silent",
            ActionTrigger::Report => "moves_report",
            ActionTrigger::Established => "moves_set_up",
            // A timer moves clients only away from backends that are leaving.
            ActionTrigger::Other => "moves_leaving",
        }
    }
}

#[cfg(test)]
mod tests;
