//! The hard cases, each brought about on the virtual clock, with a look at the crossings that shows it occurred.

mod common;

use common::calm;
use pierloom_host::Micros;
use pierloom_world::observer::Trace;
use pierloom_world::run::{Options, Report, run_script, single_process};
use pierloom_world::script::{Fault, Script};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Plays it in that many orders; each keeps the rules. Everything that crossed, run by run.
fn keeps_the_rules(script: &Script, orders: u64) -> Vec<Report> {
    (0..orders)
        .map(|order| {
            let script = Script { order_seed: order, ..script.clone() };
            let report = run_script(&script, &Options { trace: Trace::Keep, ..Options::default() });
            assert!(report.violations.is_empty(), "order {order}: {:#?}", report.violations);
            report
        })
        .collect()
}

/// A crossing's time in microseconds and its words.
fn parsed(line: &str) -> (Micros, &str) {
    let (seconds, words) = line.split_once(' ').unwrap();
    ((seconds.parse::<f64>().unwrap() * 1e6).round() as Micros, words)
}

/// Its connection.
fn connection(words: &str) -> &str {
    words.split(' ').next().unwrap()
}

#[test]
fn timers_due_in_the_same_instant_come_in_both_orders() {
    let first = |seed| {
        let (sim, host) = single_process(seed);
        let woken = Rc::new(RefCell::new(Vec::new()));
        for name in ["a", "b"] {
            let (machine, woken) = (host.clone(), woken.clone());
            host.spawn(async move {
                machine.sleep_until(machine.now() + 1_000).await;
                woken.borrow_mut().push(name);
            });
        }
        let end = sim.now() + 2_000;
        assert!(sim.run_until(end));
        woken.borrow()[0]
    };
    let orders: Vec<&str> = (0..16).map(first).collect();
    assert!(orders.contains(&"a") && orders.contains(&"b"), "{orders:?}");
    assert_eq!(orders, (0..16).map(first).collect::<Vec<_>>(), "the same seed, the same order");
    // And the whole world: everybody comes in one instant on links without jitter.
    let mut script = calm(60, 0);
    script.links.jitter = 0.0;
    let reports = keeps_the_rules(&script, 8);
    assert!(reports.iter().any(|report| report.digest != reports[0].digest));
}

#[test]
fn a_message_lost_while_its_connection_closes_from_either_side() {
    let mut script = calm(80, 100);
    (script.links.lossy, script.links.same_us, script.links.cross_us) = (1.0, 20_000, 60_000);
    // Lives that end as a line has just been sent: each two seconds after the last.
    for (i, client) in script.clients.iter_mut().enumerate() {
        (client.resets, client.life_ms) = (true, 3_000 + 40 * i as u64);
        // Some leave while their opening is on its way.
        client.leave_after_ms = (i % 4 == 0).then_some(0);
    }
    for at_ms in (2_000..9_000).step_by(1_000) {
        for i in 0..6 {
            let (backend, at_ms) = (format!("label-{i}"), at_ms + i * 70);
            script.faults.push(Fault::Crash { node: backend, at_ms, until_ms: Some(at_ms + 500) });
        }
    }
    let reports = keeps_the_rules(&script, 6);
    // Bytes that a side sent on a connection that it then reset, and that never arrived.
    let lost = |side: &str| {
        let mut lost = 0;
        for report in &reports {
            let mut under_way: BTreeMap<&str, i64> = BTreeMap::new();
            for (_, words) in report.trace_lines.iter().map(|line| parsed(line)) {
                let mine = words.split_once(' ').is_some_and(|(_, rest)| rest.starts_with(side));
                if !mine || !words.contains(" p") {
                    continue;
                }
                let bytes = words.split(" bytes").next().and_then(|head| head.rsplit(' ').next());
                let bytes = bytes.and_then(|bytes| bytes.parse::<i64>().ok()).unwrap_or(0);
                let way = under_way.entry(connection(words)).or_default();
                *way += if words.contains(" sends to ") { bytes } else { -bytes };
                if words.ends_with(" reaches p0 a reset") || words.ends_with(" reaches p1 a reset") {
                    lost += *way;
                }
            }
        }
        lost
    };
    let (backends, clients) = (lost("label-"), lost("submitter "));
    assert!(backends > 0 && clients > 0, "lost from nodes {backends}, from submitters {clients}");
}

#[test]
fn a_drain_told_in_the_middle_of_an_attempt() {
    // Set-ups take long, so that claims are out when the drain is told.
    let mut script = calm(150, 60);
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
    let reports = keeps_the_rules(&script, 4);
    let mut met = 0;
    for report in &reports {
        let trace_lines: Vec<(Micros, &str)> = report.trace_lines.iter().map(|line| parsed(line)).collect();
        for (at, words) in trace_lines.iter().filter(|(_, words)| words.contains("discovery reaches p0")) {
            // A claim of p0's that opened shortly before and came up or was turned away shortly after.
            let opened = trace_lines.iter().filter(|(t, w)| {
                w.contains("p0 sends to label-") && w.contains("OPEN ") && t + 60_000 > *at && t < at
            });
            met += opened
                .filter(|(_, w)| {
                    trace_lines.iter().any(|(t, answer)| {
                        connection(answer) == connection(w) && answer.contains("reaches p0") && t > at
                    })
                })
                .count();
            let _ = words;
        }
    }
    assert!(met > 0, "no claim was out when a change was told");
}

#[test]
fn a_report_that_arrives_after_its_backend_died_and_came_back_cold() {
    let mut script = calm(120, 80);
    script.faults.push(Fault::LateReports { at_ms: 1_000, until_ms: 18_000, by_ms: 4_000 });
    for i in 0..3 {
        let backend = format!("label-{i}");
        let at_ms = 4_000 + i * 1_500;
        script.faults.push(Fault::Crash { node: backend, at_ms, until_ms: Some(at_ms + 400) });
    }
    let reports = keeps_the_rules(&script, 6);
    // The node that is back answers probes.
    let answers = reports.iter().flat_map(|report| &report.trace_lines);
    let answers = answers.filter(|line| line.contains("label-0 reaches p") && line.contains("PONG x0"));
    assert!(answers.map(|line| parsed(line).0).any(|at| at > 4_400_000));
}

#[test]
fn sigterm_during_a_reload() {
    for gap in [0, 1, 20, 400] {
        let mut script = calm(100, 100);
        script.faults.push(Fault::Reload { at_ms: 6_000 });
        script.faults.push(Fault::Restart { proxy: 0, at_ms: 6_000 + gap, until_ms: 12_000 });
        script.faults.push(Fault::BadReload { proxy: 1, at_ms: 6_000 + gap });
        let reports = keeps_the_rules(&script, 3);
        assert!(reports.iter().all(|report| report.counts.moves > 0), "the stop moved nobody");
    }
}

#[test]
fn discovery_cut_silently_while_it_tells_of_a_drain() {
    for gap in [0, 1, 2, 50] {
        let mut script = calm(100, 100);
        let backend = "label-0".to_string();
        let (stop_ms, until_ms) = (11_000, Some(12_000));
        script.faults.push(Fault::Drain { node: backend, at_ms: 5_000, stop_ms, until_ms });
        script.faults.push(Fault::DiscoveryCut { at_ms: 5_000 + gap, until_ms: 9_000 });
        keeps_the_rules(&script, 3);
    }
}

#[test]
fn a_client_that_leaves_in_the_instant_of_its_up() {
    // Links without jitter: an answer takes as long each time, and some leave just when it is under way.
    let mut script = calm(160, 40);
    script.links.jitter = 0.0;
    for (i, client) in script.clients.iter_mut().enumerate() {
        client.leave_after_ms = Some(1 + i as u64 % 16);
        client.resets = i % 3 == 0;
    }
    let reports = keeps_the_rules(&script, 4);
    let mut met = 0;
    for report in &reports {
        let trace_lines: Vec<(Micros, &str)> = report.trace_lines.iter().map(|line| parsed(line)).collect();
        for (at, words) in
            trace_lines.iter().filter(|(_, w)| w.contains("sends to submitter") && w.contains("\"UP "))
        {
            // It left before the answer reached it, and the proxy did not know yet.
            met += trace_lines
                .iter()
                .filter(|(t, w)| {
                    connection(w) == connection(words)
                        && w.contains(" submitter ")
                        && w.contains(" sends to p")
                        && (w.ends_with("its end") || w.ends_with("a reset"))
                        && t.abs_diff(*at) < 1_000
                })
                .count();
        }
    }
    assert!(met > 0, "nobody left in the instant of its UP");
}

#[test]
fn the_last_byte_of_open_written_as_the_backend_resets() {
    // A window smaller than the line: its last bytes are written later than its first ones.
    // That end is on its way for 50 ms between zones, and 40 lines are written there each second before a crash.
    let mut script = calm(400, 20);
    (script.links.window, script.links.partial, script.links.cross_us) = (64, 0.5, 50_000);
    for i in 0..6 {
        for at_ms in [2_000, 4_000, 6_000] {
            let (backend, at_ms) = (format!("label-{i}"), at_ms + i * 131);
            script.faults.push(Fault::Crash { node: backend, at_ms, until_ms: Some(at_ms + 800) });
        }
    }
    let reports = keeps_the_rules(&script, 4);
    let mut met = 0;
    for report in &reports {
        let trace_lines: Vec<(Micros, &str)> = report.trace_lines.iter().map(|line| parsed(line)).collect();
        for (i, (_, words)) in trace_lines.iter().enumerate() {
            if !(words.contains(" sends to p") && words.contains(" label-") && words.ends_with("a reset")) {
                continue;
            }
            let mine = |w: &&(Micros, &str)| connection(w.1) == connection(words);
            let sent = trace_lines.iter().filter(mine).filter(|(_, w)| w.contains("sends to label-"));
            let wrote_all = sent.clone().any(|(_, w)| w.contains("\\r\\n\""));
            let heard_all = trace_lines[..i]
                .iter()
                .filter(mine)
                .any(|(_, w)| w.contains("reaches label-") && w.contains("\\r\\n\""));
            let begun = sent.clone().any(|(_, w)| w.contains("\"OPEN") || w.contains("\"O"));
            met += usize::from(begun && wrote_all && !heard_all);
        }
    }
    assert!(met > 0, "no node reset while the end of a line was on its way");
}

#[test]
fn all_backends_gone_and_back() {
    let mut script = calm(120, 80);
    for i in 0..6 {
        script.faults.push(Fault::Crash { node: format!("label-{i}"), at_ms: 6_000, until_ms: Some(9_000) });
    }
    let reports = keeps_the_rules(&script, 6);
    for report in &reports {
        let after = |at: f64, what: &str| {
            report.trace_lines.iter().any(|line| parsed(line).0 as f64 > at * 1e6 && line.contains(what))
        };
        assert!(after(6.1, "\"BUSY") && after(9.5, "\"UP "), "refused meanwhile, and served again");
    }
}

#[test]
fn out_of_descriptors_while_draining() {
    let mut script = calm(150, 40);
    script.clients.iter_mut().for_each(|s| s.zone = 0);
    // As many as the system allows are fewer than the proxy is told: it meets the wall.
    for proxy in &mut script.proxies {
        (proxy.descriptors, proxy.configured_descriptors) = (96, Some(512));
    }
    script.faults.push(Fault::Drain {
        node: "label-0".into(),
        at_ms: 6_000,
        stop_ms: 9_000,
        until_ms: Some(11_000),
    });
    let reports = keeps_the_rules(&script, 4);
    assert!(reports.iter().all(|report| report.counts.refused > 10), "nobody was refused for want of room");
}
