//! A small script that the tests change as they need.

use pierloom_world::script::{BackendSpec, ClientSpec, Contract, FORMAT, LinkSpec, ProxySpec, Script};

/// A script of two proxies, six backends and `clients` clients, without faults. One client connects every
/// `gap_ms`.
pub fn script_without_faults(clients: u64, gap_ms: u64) -> Script {
    let backend = |i: usize| BackendSpec {
        name: format!("label-{i}"),
        zone: i % 2,
        cores: 2,
        speed: 1.0,
        connections_per_core: 14.0,
        max_connections: 100,
        queue: 20,
        setup_ms: 10.0,
        message_ms: 2.0,
        report_ms: 600,
        noise: 0.1,
        sends_move_on_drain: false,
    };
    let client = |i: u64| ClientSpec {
        at_ms: 500 + i * gap_ms,
        zone: (i % 2) as usize,
        key: i,
        group: i % 12,
        life_ms: 20_000,
        load: 1.0,
        retries: 1,
        misbehavior: None,
        leave_after_ms: None,
        resets: false,
        read_interval_ms: None,
    };
    Script {
        format: FORMAT,
        order_seed: 1,
        length_ms: 20_000,
        links: LinkSpec {
            same_us: 200,
            cross_us: 3_000,
            jitter: 0.2,
            window: 4_096,
            partial: 0.0,
            lossy: 0.0,
        },
        contract: Contract {
            deadline_ms: 4_800,
            target_ms: 800,
            message_ms: 60,
            slow_start_min_share: 0.3,
            slow_start_ms: 9_000,
            overload_multiple: 4.0,
            overload_window_ms: 1_500,
        },
        proxies: (0..2)
            .map(|i| ProxySpec { zone: i, descriptors: 512, configured_descriptors: None, seed: i as u64 })
            .collect(),
        backends: (0..6).map(backend).collect(),
        clients: (0..clients).map(client).collect(),
        faults: Vec::new(),
    }
}
