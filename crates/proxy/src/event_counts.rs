//! The ledger: what passed between the core and the module in a second, counted, as one line of the log. The lines
//! of a whole fleet can be summed second by second (`pierloom-lab ledger`), where one proxy sees too little.

use pierloom_decision::{
    Action, AttemptResult, BackendId, Event, ListKind, Measurement, MemberState, Micros, Settings, Status,
};
use std::collections::BTreeMap;
use std::fmt::Write as _;

const SECOND: Micros = 1_000_000;

/// What the machine list says of a backend, as far as the ledger counts by it.
struct Backend {
    zone: u16,
    /// When it last started; Unix time in microseconds, 0 for long ago.
    started: Micros,
}

/// Counts of the second that is open. Nothing is written for a second in which nothing happened.
pub struct EventCounts {
    zone: u16,
    cold: Micros,
    second: u64,
    counts: BTreeMap<&'static str, u64>,
    backends: BTreeMap<BackendId, Backend>,
    /// When the machine list was last told, or a watch on it answered.
    listed: Micros,
    standing: u64,
}

impl EventCounts {
    pub fn new(settings: &Settings, now: Micros) -> Self {
        EventCounts {
            zone: settings.zone,
            cold: settings.slow_start_duration,
            second: now / SECOND,
            counts: BTreeMap::new(),
            backends: BTreeMap::new(),
            listed: now,
            standing: 0,
        }
    }

    fn add(&mut self, name: &'static str, count: u64) {
        *self.counts.entry(name).or_default() += count;
    }

    /// Closes the second that is open, if `now` is past it; its line.
    pub fn finish_second(&mut self, now: Micros) -> Option<String> {
        let second = std::mem::replace(&mut self.second, now / SECOND);
        if second == self.second || self.counts.is_empty() {
            return None;
        }
        let mut line = format!("at={second}");
        for (name, count) in std::mem::take(&mut self.counts) {
            let _ = write!(line, " {name}={count}");
        }
        let age = ((second + 1) * SECOND).saturating_sub(self.listed) / 1_000;
        let _ = write!(line, " standing={} list_age_ms={age}", self.standing);
        Some(line)
    }

    /// Counts what the module is told.
    pub fn count_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::Request(_) => self.add("jobs", 1),
            Event::Resumed(..) => {
                self.standing += 1;
                self.add("resumed", 1);
            }
            Event::Established { latency, .. } => {
                self.standing += 1;
                self.add("up", 1);
                self.add("up_wait_ms", latency / 1_000);
            }
            Event::AttemptEnded(ended) => self.ended(ended),
            Event::ClientGone(_) => self.add("left", 1),
            Event::Probed { status: Status::Ok, .. } => self.add("probes_answered", 1),
            Event::Probed { .. } => self.add("probes_failed", 1),
            Event::Members { kind, members } => {
                let name = match kind {
                    ListKind::Full => "lists_whole",
                    ListKind::Delta => "lists_changed",
                    ListKind::Failed => "lists_failed",
                    ListKind::Unreachable => "lists_unreached",
                    ListKind::DiscoveryMoved => "lists_moved",
                };
                self.add(name, 1);
                if !matches!(kind, ListKind::Full | ListKind::Delta) {
                    return;
                }
                self.listed = now;
                for member in members.iter().filter(|member| member.state != MemberState::Gone) {
                    let backend = Backend { zone: member.zone, started: member.started };
                    self.backends.insert(member.backend.clone(), backend);
                }
            }
            Event::Maintenance(_, true) => self.add("withheld", 1),
            Event::Maintenance(_, false) => self.add("given_back", 1),
            Event::Stopping | Event::LearnedState(_) | Event::Measured(..) | Event::Timer(_) => {}
        }
    }

    /// Counts the end of a claim, or of the connection that it had become.
    fn ended(&mut self, ended: &AttemptResult) {
        if ended.closed {
            self.standing = self.standing.saturating_sub(1);
        }
        self.add(
            match (ended.closed, ended.status) {
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

    /// Counts what the module wants done, and for moves what it was told when it wanted them.
    pub fn count_action(&mut self, now: Micros, action: &Action, trigger: ActionTrigger) {
        match action {
            Action::Send { backend, .. } => {
                self.add("claims", 1);
                let Some(listed_backend) = self.backends.get(backend) else { return };
                let (far, cold) =
                    (listed_backend.zone != self.zone, listed_backend.started + self.cold > now);
                if far {
                    self.add("claims_far", 1);
                }
                if cold {
                    self.add("claims_cold", 1);
                }
            }
            Action::Refuse { .. } => self.add("refused", 1),
            Action::Fail(_) => self.add("failed", 1),
            Action::Move(_) => self.add(trigger.moves(), 1),
            Action::Probe(_) => self.add("probes", 1),
            Action::Subscribe => self.add("list_calls", 1),
            Action::Timer(..) => {}
        }
    }
}

/// What the module was told when it wanted something.
#[derive(Clone, Copy)]
pub enum ActionTrigger {
    Load,
    Delay,
    Silence,
    Report,
    SetUp,
    Other,
}

impl ActionTrigger {
    pub fn from_event(event: &Event) -> Self {
        match event {
            Event::Measured(_, Measurement::Load(_)) => ActionTrigger::Load,
            Event::Measured(_, Measurement::Delay(_)) => ActionTrigger::Delay,
            Event::Measured(_, Measurement::Unanswered(_)) => ActionTrigger::Silence,
            Event::Probed { .. } => ActionTrigger::Report,
            Event::Established { .. } => ActionTrigger::SetUp,
            _ => ActionTrigger::Other,
        }
    }

    fn moves(self) -> &'static str {
        match self {
            ActionTrigger::Load => "moves_load",
            ActionTrigger::Delay => "moves_delay",
            ActionTrigger::Silence => "moves_silent",
            ActionTrigger::Report => "moves_report",
            ActionTrigger::SetUp => "moves_set_up",
            // Only leaving backends are emptied by the clock.
            ActionTrigger::Other => "moves_leaving",
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use pierloom_decision::Member;

    #[test]
    fn a_second_is_one_line_and_an_empty_one_none() {
        let mut counts = EventCounts::new(&Settings::default(), 100 * SECOND);
        let mut cold = Member::ready("n1");
        (cold.started, cold.zone) = (99 * SECOND, 1);
        let members = vec![cold].into();
        counts.count_event(100 * SECOND, &Event::Members { kind: ListKind::Full, members });
        let send = Action::Send { id: 1, backend: "n1".into(), until: 0 };
        counts.count_action(100 * SECOND, &send, ActionTrigger::Other);
        counts.count_event(100 * SECOND, &Event::Established { id: 1, attempt: 0, latency: 30_000 });
        counts.count_action(100 * SECOND, &Action::Move(1), ActionTrigger::Report);
        assert_eq!(counts.finish_second(100 * SECOND + 999_999), None, "the second is open");
        let line = counts.finish_second(103 * SECOND).unwrap();
        assert_eq!(
            line,
            "at=100 claims=1 claims_cold=1 claims_far=1 lists_whole=1 moves_report=1 up=1 up_wait_ms=30 \
             standing=1 list_age_ms=1000"
        );
        assert_eq!(counts.finish_second(104 * SECOND), None, "nothing happened");
    }
}
