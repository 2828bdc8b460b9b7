//! Rare interleavings, produced in the simulated world. Most tests also read the trace or the counts, to
//! check that the interleaving occurred.

mod common;

use common::script_without_faults;
use pierloom_host::Micros;
use pierloom_world::generate::generate_script;
use pierloom_world::observer::Trace;
use pierloom_world::run::{Options, Report, run_script, single_process};
use pierloom_world::script::{Fault, Script};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Runs the script once for each of `orders` event orders, and checks that no rule broke.
/// Returns the reports, with their traces.
fn run_without_violations(script: &Script, orders: u64) -> Vec<Report> {
    (0..orders)
        .map(|order| {
            let script = Script { order_seed: order, ..script.clone() };
            let report = run_script(&script, &Options { trace: Trace::Keep, ..Options::default() });
            assert!(report.violations.is_empty(), "order {order}: {:#?}", report.violations);
            report
        })
        .collect()
}

/// Splits a trace line into its time in microseconds and the rest, which describes the event.
fn parse_trace_line(line: &str) -> (Micros, &str) {
    let (seconds, event) = line.split_once(' ').unwrap();
    ((seconds.parse::<f64>().unwrap() * 1e6).round() as Micros, event)
}

/// The connection of a trace event.
fn connection(event: &str) -> &str {
    event.split(' ').next().unwrap()
}

/// Guards against a simulation that runs simultaneous events in a fixed order, which would hide races.
/// Two timers are due at the same instant: which one fires first depends on the seed, and is the same for
/// equal seeds.
#[test]
fn timers_due_at_the_same_instant_fire_in_either_order_depending_on_the_seed() {
    let first_to_fire = |seed| {
        let (sim, host) = single_process(seed);
        let fired = Rc::new(RefCell::new(Vec::new()));
        for name in ["a", "b"] {
            let (machine, fired) = (host.clone(), fired.clone());
            host.spawn(async move {
                machine.sleep_until(machine.now() + 1_000).await;
                fired.borrow_mut().push(name);
            });
        }
        let end = sim.now() + 2_000;
        assert!(sim.run_until(end));
        fired.borrow()[0]
    };
    let first_timers: Vec<&str> = (0..16).map(first_to_fire).collect();
    assert!(first_timers.contains(&"a") && first_timers.contains(&"b"), "{first_timers:?}");
    assert_eq!(
        first_timers,
        (0..16).map(first_to_fire).collect::<Vec<_>>(),
        "the order differs for equal seeds"
    );
    // The event order of a whole run depends on the seed as well: all clients connect at the same instant, on
    // links without jitter.
    let mut script = script_without_faults(60, 0);
    script.links.jitter = 0.0;
    let reports = run_without_violations(&script, 8);
    assert!(reports.iter().any(|report| report.digest != reports[0].digest));
}

/// Guards against a broken rule when a client or a backend resets its connection and bytes that it sent
/// before are lost. Every reset overtakes the bytes in flight; clients reset as they send, and backends
/// crash.
#[test]
fn reset_that_loses_bytes_from_either_side_keeps_every_rule() {
    let mut script = script_without_faults(80, 100);
    (script.links.lossy, script.links.same_us, script.links.cross_us) = (1.0, 20_000, 60_000);
    // Clients send a line every two seconds. Lifetimes differ by 40 ms, so that some end just as a line has
    // been sent.
    for (i, client) in script.clients.iter_mut().enumerate() {
        (client.resets, client.life_ms) = (true, 3_000 + 40 * i as u64);
        // Every fourth client leaves while its request is in flight.
        client.leave_after_ms = (i % 4 == 0).then_some(0);
    }
    for at_ms in (2_000..9_000).step_by(1_000) {
        for i in 0..6 {
            let (backend, at_ms) = (format!("label-{i}"), at_ms + i * 70);
            script.faults.push(Fault::Crash { node: backend, at_ms, until_ms: Some(at_ms + 500) });
        }
    }
    let reports = run_without_violations(&script, 6);
    // Bytes that hosts of this name sent to a proxy before they reset the connection, and that never arrived.
    let lost_bytes = |sender: &str| {
        let mut lost = 0;
        for report in &reports {
            let mut in_flight: BTreeMap<&str, i64> = BTreeMap::new();
            for (_, event) in report.trace_lines.iter().map(|line| parse_trace_line(line)) {
                let from_sender = event.split_once(' ').is_some_and(|(_, rest)| rest.starts_with(sender));
                if !from_sender || !event.contains(" p") {
                    continue;
                }
                let bytes = event.split(" bytes").next().and_then(|head| head.rsplit(' ').next());
                let bytes = bytes.and_then(|bytes| bytes.parse::<i64>().ok()).unwrap_or(0);
                let unarrived = in_flight.entry(connection(event)).or_default();
                *unarrived += if event.contains(" sends to ") { bytes } else { -bytes };
                if event.ends_with(" reaches p0 a reset") || event.ends_with(" reaches p1 a reset") {
                    lost += *unarrived;
                }
            }
        }
        lost
    };
    let (from_backends, from_clients) = (lost_bytes("label-"), lost_bytes("submitter "));
    assert!(
        from_backends > 0 && from_clients > 0,
        "bytes lost from backends {from_backends}, from clients {from_clients}"
    );
}

/// Guards against a broken rule when discovery reports a drain while an attempt is in progress. Setup
/// takes 120 ms, so that attempts are in progress when the report arrives.
#[test]
fn drain_reported_during_an_attempt_keeps_every_rule() {
    let mut script = script_without_faults(150, 60);
    script.backends.iter_mut().for_each(|backend| backend.setup_ms = 120.0);
    for (i, at_ms) in [(0, 3_000), (1, 5_000), (2, 7_000)] {
        let backend = format!("label-{i}");
        script.faults.push(Fault::Drain {
            node: backend,
            at_ms,
            stop_ms: at_ms + 4_000,
            until_ms: Some(at_ms + 6_000),
        });
    }
    let reports = run_without_violations(&script, 4);
    let mut occurrences = 0;
    for report in &reports {
        let trace_lines: Vec<(Micros, &str)> =
            report.trace_lines.iter().map(|line| parse_trace_line(line)).collect();
        for (reported_at, event) in
            trace_lines.iter().filter(|(_, event)| event.contains("discovery reaches p0"))
        {
            // Attempts of p0 that started less than 60 ms before the report and were answered after it.
            let opened = trace_lines.iter().filter(|(at, sent)| {
                sent.contains("p0 sends to label-")
                    && sent.contains("OPEN ")
                    && at + 60_000 > *reported_at
                    && at < reported_at
            });
            occurrences += opened
                .filter(|(_, sent)| {
                    trace_lines.iter().any(|(at, answer)| {
                        connection(answer) == connection(sent)
                            && answer.contains("reaches p0")
                            && at > reported_at
                    })
                })
                .count();
            let _ = event;
        }
    }
    assert!(occurrences > 0, "no attempt was in progress when discovery reported a change");
}

/// Guards against a broken rule when a load report arrives after its backend crashed and came back in
/// slow start. Reports arrive 4 s late, and crashed backends are back after 400 ms.
#[test]
fn load_report_from_before_a_restart_keeps_every_rule() {
    let mut script = script_without_faults(120, 80);
    script.faults.push(Fault::LateReports { at_ms: 1_000, until_ms: 18_000, by_ms: 4_000 });
    for i in 0..3 {
        let backend = format!("label-{i}");
        let at_ms = 4_000 + i * 1_500;
        script.faults.push(Fault::Crash { node: backend, at_ms, until_ms: Some(at_ms + 400) });
    }
    let reports = run_without_violations(&script, 6);
    // The backend label-0 is back 4.4 s after the start, and then answers probes.
    let answers = reports.iter().flat_map(|report| &report.trace_lines);
    let answers = answers.filter(|line| line.contains("label-0 reaches p") && line.contains("PONG x0"));
    assert!(answers.map(|line| parse_trace_line(line).0).any(|at| at > 4_400_000));
}

/// Guards against a broken rule, or a planned stop that moves no client, when SIGTERM arrives during a
/// config reload. SIGTERM follows SIGHUP after 0 to 400 ms, and the other proxy gets an invalid config at
/// the same time.
#[test]
fn sigterm_during_a_reload_moves_clients_and_keeps_every_rule() {
    for gap_ms in [0, 1, 20, 400] {
        let mut script = script_without_faults(100, 100);
        script.faults.push(Fault::Reload { at_ms: 6_000 });
        script.faults.push(Fault::Restart { proxy: 0, at_ms: 6_000 + gap_ms, until_ms: 12_000 });
        script.faults.push(Fault::BadReload { proxy: 1, at_ms: 6_000 + gap_ms });
        let reports = run_without_violations(&script, 3);
        assert!(reports.iter().all(|report| report.counts.moves > 0), "the stop moved no client");
    }
}

/// Guards against a broken rule when discovery is cut off while it reports a drain: discovery
/// falls silent, without closing its connections, 0 to 50 ms after the backend begins to drain.
#[test]
fn discovery_cut_off_while_reporting_a_drain_keeps_every_rule() {
    for gap_ms in [0, 1, 2, 50] {
        let mut script = script_without_faults(100, 100);
        let backend = "label-0".to_string();
        let (stop_ms, until_ms) = (11_000, Some(12_000));
        script.faults.push(Fault::Drain { node: backend, at_ms: 5_000, stop_ms, until_ms });
        script.faults.push(Fault::DiscoveryCut { at_ms: 5_000 + gap_ms, until_ms: 9_000 });
        run_without_violations(&script, 3);
    }
}

/// Guards against a broken rule when a client leaves at the moment that the proxy answers UP. Links have
/// no jitter, so that an answer takes equally long each time. Clients leave 1 to 16 ms after their
/// request, so that some leave while the answer is in flight; every third one leaves by a reset.
#[test]
fn client_leaving_while_its_up_is_in_flight_keeps_every_rule() {
    let mut script = script_without_faults(160, 40);
    script.links.jitter = 0.0;
    for (i, client) in script.clients.iter_mut().enumerate() {
        client.leave_after_ms = Some(1 + i as u64 % 16);
        client.resets = i % 3 == 0;
    }
    let reports = run_without_violations(&script, 4);
    let mut occurrences = 0;
    for report in &reports {
        let trace_lines: Vec<(Micros, &str)> =
            report.trace_lines.iter().map(|line| parse_trace_line(line)).collect();
        for (up_at, up) in trace_lines
            .iter()
            .filter(|(_, event)| event.contains("sends to submitter") && event.contains("\"UP "))
        {
            // The client left before UP reached it, and the proxy did not know yet.
            occurrences += trace_lines
                .iter()
                .filter(|(at, event)| {
                    connection(event) == connection(up)
                        && event.contains(" submitter ")
                        && event.contains(" sends to p")
                        && (event.ends_with("its end") || event.ends_with("a reset"))
                        && at.abs_diff(*up_at) < 1_000
                })
                .count();
        }
    }
    assert!(occurrences > 0, "no client left while its UP was in flight");
}

/// Guards against a broken rule when a backend resets the connection while the end of the OPEN line is in
/// flight to it. The window is smaller than the line, so that its last bytes are written later than its
/// first ones. They are in flight for 50 ms between zones, and 40 lines are written there each second
/// before a crash.
#[test]
fn backend_reset_while_the_end_of_open_is_in_flight_keeps_every_rule() {
    let mut script = script_without_faults(400, 20);
    (script.links.window, script.links.partial, script.links.cross_us) = (64, 0.5, 50_000);
    for i in 0..6 {
        for at_ms in [2_000, 4_000, 6_000] {
            let (backend, at_ms) = (format!("label-{i}"), at_ms + i * 131);
            script.faults.push(Fault::Crash { node: backend, at_ms, until_ms: Some(at_ms + 800) });
        }
    }
    let reports = run_without_violations(&script, 4);
    let mut occurrences = 0;
    for report in &reports {
        let trace_lines: Vec<(Micros, &str)> =
            report.trace_lines.iter().map(|line| parse_trace_line(line)).collect();
        for (i, (_, reset)) in trace_lines.iter().enumerate() {
            if !(reset.contains(" sends to p") && reset.contains(" label-") && reset.ends_with("a reset")) {
                continue;
            }
            let same_connection = |line: &&(Micros, &str)| connection(line.1) == connection(reset);
            let sent = trace_lines
                .iter()
                .filter(same_connection)
                .filter(|(_, event)| event.contains("sends to label-"));
            let line_end_sent = sent.clone().any(|(_, event)| event.contains("\\r\\n\""));
            let line_end_arrived = trace_lines[..i]
                .iter()
                .filter(same_connection)
                .any(|(_, event)| event.contains("reaches label-") && event.contains("\\r\\n\""));
            let open_sent = sent.clone().any(|(_, event)| event.contains("\"OPEN") || event.contains("\"O"));
            occurrences += usize::from(open_sent && line_end_sent && !line_end_arrived);
        }
    }
    assert!(occurrences > 0, "no backend reset its connection while the end of a line was in flight");
}

/// Guards against proxies that do not recover from the loss of all backends. All six crash at 6 s and are
/// back at 9 s: clients are refused in between, and served again afterwards.
#[test]
fn clients_are_refused_while_all_backends_are_down_and_served_after_their_restart() {
    let mut script = script_without_faults(120, 80);
    for i in 0..6 {
        script.faults.push(Fault::Crash { node: format!("label-{i}"), at_ms: 6_000, until_ms: Some(9_000) });
    }
    let reports = run_without_violations(&script, 6);
    for report in &reports {
        let occurs_after = |seconds: f64, text: &str| {
            report
                .trace_lines
                .iter()
                .any(|line| parse_trace_line(line).0 as f64 > seconds * 1e6 && line.contains(text))
        };
        assert!(
            occurs_after(6.1, "\"BUSY") && occurs_after(9.5, "\"UP "),
            "no refusal during the outage, or no client served after it"
        );
    }
}

/// Guards against a broken rule when a proxy runs out of file descriptors while a backend drains. The
/// system allows fewer descriptors than the proxy's config states, so that the proxy reaches the system's
/// limit.
#[test]
fn clients_are_refused_when_descriptors_run_out_during_a_drain() {
    let mut script = script_without_faults(150, 40);
    script.clients.iter_mut().for_each(|client| client.zone = 0);
    for proxy in &mut script.proxies {
        (proxy.descriptors, proxy.configured_descriptors) = (96, Some(512));
    }
    script.faults.push(Fault::Drain {
        node: "label-0".into(),
        at_ms: 6_000,
        stop_ms: 9_000,
        until_ms: Some(11_000),
    });
    let reports = run_without_violations(&script, 4);
    assert!(reports.iter().all(|report| report.counts.refused > 10), "no more than 10 clients were refused");
}

/// Guards against requests at backends that a late snapshot no longer lists. In this script discovery moves
/// twice, and a proxy's call to the second address is answered after it has turned to the third.
#[test]
fn a_late_snapshot_of_the_previous_discovery_address_is_obeyed() {
    run_without_violations(&generate_script(5280), 32);
}
