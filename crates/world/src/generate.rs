//! Generates a script from a seed. Each seed enables a random subset of the fault kinds (swarm testing, Groce
//! et al., ISSTA 2012), each with its own random frequency and severity.

use crate::rng::{Rng, stream};
use crate::script::{
    ALL_MISBEHAVIORS, BackendSpec, ClientSpec, Contract, FORMAT, Fault, LinkSpec, ProxySpec, Script,
};
use rand::Rng as _;
use rand::seq::IndexedRandom;
use std::ops::Range;

/// Length of a generated run.
const RUN_LENGTH_MS: Range<u64> = 20_000..26_000;
/// Number of fault kinds that a seed may enable.
const FAULT_KIND_COUNT: usize = 15;

/// Generates the script of a seed.
pub fn generate_script(seed: u64) -> Script {
    let mut rng = stream(seed, "site");
    let length_ms = rng.random_range(RUN_LENGTH_MS);
    let links = LinkSpec {
        same_us: rng.random_range(50..400),
        cross_us: rng.random_range(1_000..6_000),
        jitter: rng.random_range(0.0..1.0),
        window: *[64, 512, 4_096, 65_536, 65_536].choose(&mut rng).unwrap_or(&65_536),
        partial: if rng.random_bool(0.5) { rng.random_range(0.0..0.4) } else { 0.0 },
        lossy: if rng.random_bool(0.5) { rng.random_range(0.0..1.0) } else { 0.0 },
    };
    let contract = Contract {
        deadline_ms: 4_800,
        target_ms: 800,
        message_ms: 60,
        slow_start_min_share: 0.3,
        slow_start_ms: 9_000,
        overload_multiple: 4.0,
        overload_window_ms: 1_500,
    };
    let proxies: Vec<ProxySpec> = (0..rng.random_range(2..=4))
        .map(|index| ProxySpec {
            zone: index % 3,
            descriptors: if rng.random_bool(0.1) { rng.random_range(100..160) } else { 512 },
            configured_descriptors: None,
            // TOML integers are signed, so the seed must fit into 63 bits.
            seed: rng.random::<u64>() >> 1,
        })
        .collect();
    let backends: Vec<BackendSpec> =
        (0..rng.random_range(5..=10)).map(|index| backend(index, &mut rng)).collect();
    let clients = clients(seed, length_ms, proxies.len(), &mut rng);
    let faults = faults(seed, length_ms, &proxies, &backends);
    Script {
        format: FORMAT,
        order_seed: stream(seed, "order of the script").random::<u64>() >> 1,
        length_ms,
        links,
        contract,
        proxies,
        backends,
        clients,
        faults,
    }
}

fn backend(index: usize, rng: &mut Rng) -> BackendSpec {
    let has_four_cores = rng.random_bool(0.5);
    BackendSpec {
        name: format!("label-{index}"),
        zone: rng.random_range(0..3),
        cores: if has_four_cores { 4 } else { 2 },
        speed: round_to_thousandths(if has_four_cores {
            rng.random_range(0.64..0.86)
        } else {
            rng.random_range(0.85..1.1)
        }),
        connections_per_core: round_to_thousandths(rng.random_range(11.0..17.0)),
        max_connections: rng.random_range(60..200),
        queue: rng.random_range(8..40),
        setup_ms: round_to_thousandths(rng.random_range(2.0..15.0)),
        message_ms: round_to_thousandths(rng.random_range(1.0..6.0)),
        report_ms: rng.random_range(440..1_100),
        noise: round_to_thousandths(rng.random_range(0.0..0.2)),
        sends_move_on_drain: rng.random_bool(0.3),
    }
}

/// Rounds to three decimals, which are enough and keep a printed script short.
fn round_to_thousandths(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

fn clients(seed: u64, length_ms: u64, zones: usize, rng: &mut Rng) -> Vec<ClientSpec> {
    let mut client_rng = stream(seed, "submitters");
    let count = rng.random_range(100..170);
    let groups = rng.random_range(8..60);
    // Some seeds have a burst of arrivals, misbehaving clients, clients that leave early, or slow readers.
    let burst_at_ms = rng.random_bool(0.3).then(|| rng.random_range(2_000..length_ms - 4_000));
    let bad_share = if rng.random_bool(0.4) { rng.random_range(0.02..0.3) } else { 0.0 };
    let early_leaver_share = if rng.random_bool(0.4) { rng.random_range(0.02..0.3) } else { 0.0 };
    let slow_reader_share = if rng.random_bool(0.2) { 0.05 } else { 0.0 };
    let retries = rng.random_range(0..=1);
    (0..count)
        .map(|index| {
            let at_ms = match burst_at_ms {
                Some(at) if client_rng.random_bool(0.4) => at + client_rng.random_range(0..1_500),
                _ => client_rng.random_range(0..length_ms * 3 / 4),
            };
            ClientSpec {
                at_ms,
                zone: client_rng.random_range(0..zones.min(3)),
                key: index,
                group: client_rng.random_range(0..groups),
                life_ms: client_rng.random_range(2_000..30_000),
                load: round_to_thousandths(client_rng.random_range(0.3..1.7)),
                retries,
                misbehavior: client_rng
                    .random_bool(bad_share)
                    .then(|| *ALL_MISBEHAVIORS.choose(&mut client_rng).unwrap_or(&ALL_MISBEHAVIORS[0])),
                leave_after_ms: client_rng
                    .random_bool(early_leaver_share)
                    .then(|| client_rng.random_range(0..60)),
                resets: client_rng.random_bool(0.2),
                read_interval_ms: client_rng
                    .random_bool(slow_reader_share)
                    .then(|| client_rng.random_range(500..4_000)),
            }
        })
        .collect()
}

fn faults(seed: u64, length_ms: u64, proxies: &[ProxySpec], backends: &[BackendSpec]) -> Vec<Fault> {
    let mut rng = stream(seed, "faults");
    let kind_share = rng.random_range(0.05..0.5);
    let mut faults = Vec::new();
    // One seed in ten has no fault at all.
    if rng.random_bool(0.1) {
        return faults;
    }
    let first_fault_at_ms = 1_000;
    for kind in 0..FAULT_KIND_COUNT {
        let mut rng = stream(seed, &format!("fault {kind}"));
        if !rng.random_bool(kind_share) {
            continue;
        }
        for _ in 0..rng.random_range(1..=3) {
            let at_ms = rng.random_range(first_fault_at_ms..length_ms - 4_000);
            let until_ms = at_ms + rng.random_range(500..9_000);
            let backend = backends.choose(&mut rng).map(|backend| backend.name.clone()).unwrap_or_default();
            let proxy = rng.random_range(0..proxies.len());
            let fault = match kind {
                0 => {
                    Fault::Crash { node: backend, at_ms, until_ms: rng.random_bool(0.8).then_some(until_ms) }
                }
                1 => {
                    let stop_ms = at_ms + rng.random_range(1_500..8_000);
                    let restart_ms = stop_ms + rng.random_range(200..4_000);
                    Fault::Drain {
                        node: backend,
                        at_ms,
                        stop_ms,
                        until_ms: rng.random_bool(0.7).then_some(restart_ms),
                    }
                }
                2 => Fault::Silence {
                    node: backend,
                    at_ms,
                    until_ms: until_ms + 4_000,
                    reset: rng.random_bool(0.5),
                },
                3 => Fault::Slow {
                    node: backend,
                    at_ms,
                    until_ms,
                    factor: round_to_thousandths(rng.random_range(2.0..10.0)),
                },
                4 => Fault::Neighbour {
                    node: backend,
                    at_ms,
                    until_ms,
                    share: round_to_thousandths(rng.random_range(0.3..0.75)),
                },
                5 => Fault::LateReports { at_ms, until_ms, by_ms: rng.random_range(500..5_000) },
                6 => Fault::DiscoveryLate { at_ms, until_ms, by_ms: rng.random_range(50..1_000) },
                7 => Fault::DiscoveryFails { at_ms, until_ms },
                8 => Fault::DiscoveryCut { at_ms, until_ms },
                9 => Fault::DiscoveryDown { at_ms, until_ms },
                10 => Fault::Reload { at_ms },
                11 => Fault::BadReload { proxy, at_ms },
                12 => Fault::Restart { proxy, at_ms, until_ms: at_ms + rng.random_range(5_000..7_000) },
                13 => Fault::Kill { proxy, at_ms, until_ms: at_ms + rng.random_range(300..3_000) },
                // About a quarter of the backends crash at once.
                _ => {
                    let chosen = backends.choose_multiple(&mut rng, backends.len() / 4 + 1);
                    let crashed: Vec<_> = chosen.map(|backend| backend.name.clone()).collect();
                    for backend in &crashed[1..] {
                        let backend = backend.clone();
                        faults.push(Fault::Crash { node: backend, at_ms, until_ms: Some(until_ms) });
                    }
                    Fault::Crash { node: crashed[0].clone(), at_ms, until_ms: Some(until_ms) }
                }
            };
            faults.push(fault);
        }
    }
    remove_overlaps(faults, length_ms)
}

/// Removes each fault that overlaps an earlier fault of the same process, as a process can only be stopped
/// once at a time. Restarts that end less than 1 s before the end of the run are removed as well.
fn remove_overlaps(mut faults: Vec<Fault>, length_ms: u64) -> Vec<Fault> {
    faults.sort_by_key(Fault::span);
    let mut kept: Vec<Fault> = Vec::new();
    for fault in faults {
        let end_ms = |fault: &Fault| match fault {
            Fault::Crash { until_ms: None, .. } | Fault::Drain { until_ms: None, .. } => u64::MAX,
            _ => fault.span().1 + 200,
        };
        let affected_process = |fault: &Fault| match fault {
            Fault::Crash { node: backend, .. }
            | Fault::Drain { node: backend, .. }
            | Fault::Silence { node: backend, .. } => Some(backend.clone()),
            Fault::Restart { proxy, .. } | Fault::Kill { proxy, .. } => Some(format!("proxy {proxy}")),
            Fault::DiscoveryDown { .. } | Fault::DiscoveryCut { .. } | Fault::Reload { .. } => {
                Some("discovery".into())
            }
            _ => None,
        };
        let affected = affected_process(&fault);
        let overlaps = affected.is_some()
            && kept.iter().any(|other| affected_process(other) == affected && end_ms(other) > fault.span().0);
        let ends_too_late = matches!(fault, Fault::Restart { .. }) && fault.span().1 + 1_000 > length_ms;
        if !overlaps && !ends_too_late {
            kept.push(fault);
        }
    }
    kept
}
