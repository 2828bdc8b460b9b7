//! One and the same script on the virtual clock and on real loopback sockets.

mod common;

use common::calm;
use pierloom_world::real;
use pierloom_world::run::{Options, run_script, service_quality};
use pierloom_world::script::{Fault, Script};

/// Both give each submitter the same answers, and services that lie as close as that.
fn agree(script: &Script, within: f64) {
    let made = run_script(script, &Options::default());
    assert!(made.violations.is_empty(), "{:#?}", made.violations);
    let real = real::run_script(script).unwrap();
    let answers = |outcomes: &[pierloom_world::client::Outcome]| {
        outcomes.iter().map(|outcome| outcome.answers.clone()).collect::<Vec<_>>()
    };
    let (virtually, really) = (service_quality(&made.outcomes), service_quality(&real.outcomes));
    println!("service: virtual {virtually:.4}, real {really:.4}");
    assert_eq!(answers(&made.outcomes), answers(&real.outcomes));
    assert!((virtually - really).abs() <= within, "service {virtually:.4} and {really:.4}");
}

/// Lives of some seconds, so that real time is short.
fn short() -> Script {
    let mut script = calm(40, 100);
    script.links.cross_us = 200;
    script.clients.iter_mut().for_each(|client| client.life_ms = 6_000);
    script
}

#[test]
fn a_calm_script_gives_the_same_on_real_sockets() {
    agree(&short(), 0.05);
}

#[test]
fn a_rough_script_gives_the_same_on_real_sockets() {
    let mut script = short();
    // Those who stand at the node that crashes come again; everybody else stays.
    script.faults.push(Fault::Crash { node: "label-1".into(), at_ms: 5_200, until_ms: Some(7_000) });
    script.faults.push(Fault::Slow { node: "label-2".into(), at_ms: 2_000, until_ms: 6_000, factor: 2.0 });
    script.faults.push(Fault::LateReports { at_ms: 1_000, until_ms: 6_000, by_ms: 2_000 });
    agree(&script, 0.08);
}
