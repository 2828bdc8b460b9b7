//! Runs the same script in the simulated world and on real loopback sockets.

mod common;

use common::script_without_faults;
use pierloom_world::real;
use pierloom_world::run::{Options, run_script, service_quality};
use pierloom_world::script::{Fault, Script};

/// Checks that each client gets the same answers in both runs, and that the service values differ by at most
/// `tolerance`.
fn assert_same_answers_on_real_sockets(script: &Script, tolerance: f64) {
    let simulated = run_script(script, &Options::default());
    assert!(simulated.violations.is_empty(), "{:#?}", simulated.violations);
    let real = real::run_script(script).unwrap();
    let answers = |outcomes: &[pierloom_world::client::Outcome]| {
        outcomes.iter().map(|outcome| outcome.answers.clone()).collect::<Vec<_>>()
    };
    let (simulated_service, real_service) =
        (service_quality(&simulated.outcomes), service_quality(&real.outcomes));
    println!("service: simulated {simulated_service:.4}, real {real_service:.4}");
    assert_eq!(answers(&simulated.outcomes), answers(&real.outcomes));
    assert!(
        (simulated_service - real_service).abs() <= tolerance,
        "service: simulated {simulated_service:.4}, real {real_service:.4}"
    );
}

/// A script whose connections last 6 s, so that its run in real time is short.
fn short_script() -> Script {
    let mut script = script_without_faults(40, 100);
    script.links.cross_us = 200;
    script.clients.iter_mut().for_each(|client| client.life_ms = 6_000);
    script
}

/// Guards against a simulation in which clients get other answers than on real sockets, without faults.
#[test]
fn script_without_faults_gives_the_same_answers_on_real_sockets() {
    assert_same_answers_on_real_sockets(&short_script(), 0.05);
}

/// Guards against a simulation in which clients get other answers than on real sockets when a backend
/// crashes, another one is slow, and load reports are late.
#[test]
fn script_with_faults_gives_the_same_answers_on_real_sockets() {
    let mut script = short_script();
    // Clients of the crashed backend reconnect; all others keep their connections.
    script.faults.push(Fault::Crash { node: "label-1".into(), at_ms: 5_200, until_ms: Some(7_000) });
    script.faults.push(Fault::Slow { node: "label-2".into(), at_ms: 2_000, until_ms: 6_000, factor: 2.0 });
    script.faults.push(Fault::LateReports { at_ms: 1_000, until_ms: 6_000, by_ms: 2_000 });
    assert_same_answers_on_real_sockets(&script, 0.08);
}
