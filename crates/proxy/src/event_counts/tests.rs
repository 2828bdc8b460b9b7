use super::*;
use pierloom_decision::Member;

#[test]
fn a_second_with_events_yields_one_line_and_an_empty_second_none() {
    let mut counts = EventCounts::new(&Settings::default(), 100 * SECOND_US);
    let mut starting = Member::ready("n1");
    (starting.started, starting.zone) = (99 * SECOND_US, 1);
    let members = vec![starting].into();
    counts.count_event(100 * SECOND_US, &Event::Members { kind: ListKind::Full, members });
    let send = Action::Send { id: 1, backend: "n1".into(), until: 0 };
    counts.count_action(100 * SECOND_US, &send, ActionTrigger::Other);
    counts.count_event(100 * SECOND_US, &Event::Established { id: 1, attempt: 0, latency: 30_000 });
    counts.count_action(100 * SECOND_US, &Action::Move(1), ActionTrigger::Report);
    assert_eq!(counts.finish_second(100 * SECOND_US + 999_999), None, "the second is open");
    let line = counts.finish_second(103 * SECOND_US).unwrap();
    assert_eq!(
        line,
        "at=100 claims=1 claims_cold=1 claims_far=1 lists_whole=1 moves_report=1 up=1 up_wait_ms=30 \
         standing=1 list_age_ms=1000"
    );
    assert_eq!(counts.finish_second(104 * SECOND_US), None, "nothing happened");
}

// Guards against a count of connections that falls with each client that leaves during an attempt.
#[test]
fn a_client_that_leaves_during_an_attempt_changes_no_count_of_connections() {
    let mut counts = EventCounts::new(&Settings::default(), 100 * SECOND_US);
    counts.count_event(100 * SECOND_US, &Event::Established { id: 1, attempt: 0, latency: 30_000 });
    let (attempt, latency) = (0, 10_000);
    let result = AttemptResult { id: 2, attempt, status: Status::Cancelled, latency, closed: true };
    counts.count_event(100 * SECOND_US, &Event::ClientGone(2));
    counts.count_event(100 * SECOND_US, &Event::AttemptEnded(result));
    let line = counts.finish_second(101 * SECOND_US).unwrap();
    assert!(line.contains(" left=1 ") && line.contains(" standing=1 "), "{line}");
    assert!(!line.contains("over="), "no connection has ended: {line}");
}
