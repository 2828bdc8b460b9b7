//! Several processes of the real program round a machine list that is slow, refuses or falls silent: no request begins
//! at a node that was announced as leaving once that binds, whether or not it came.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses its part
mod world;

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};
use world::{LONG, MachineList, Node, Proxy, SETTINGS, http};

/// When a change binds, whether it was told or not.
const BINDS: Duration = Duration::from_secs(6);

fn nodes() -> [Node; 2] {
    [Node::new("n0"), Node::new("n1")]
}

fn fleet(name: &str, list: &MachineList, nodes: &[Node]) -> Vec<Proxy> {
    (0..3).map(|i| Proxy::start_at(&format!("{name}{i}"), list.address, nodes)).collect()
}

/// Waits until a change that was made then binds, and a little longer.
fn until_binding(made: Instant) {
    thread::sleep((BINDS + Duration::from_millis(100)).saturating_sub(made.elapsed()));
}

// Guards against calls that are given up while they wait their turn, which discovery works through all the same: with
// enough proxies it then answers nobody who is still there.
#[test]
fn a_call_that_waits_its_turn_behind_others_is_not_given_up() {
    let (nodes, list) = (nodes(), MachineList::new());
    list.make_wait(Duration::from_secs(3));
    let proxies = fleet("turn", &list, &nodes);
    let standing: Vec<_> = proxies.iter().map(|proxy| proxy.connect_any("k", &nodes)).collect();
    let made = Instant::now();
    nodes.iter().for_each(|node| list.tell(&node.entry("draining")));
    for (mut client, _at_node) in standing {
        assert_eq!(client.line_within(BINDS.saturating_sub(made.elapsed())).as_deref(), Some("MOVE\r\n"));
    }
}

// Guards against what discovery writes on a call that another one has replaced: it counts as told.
#[test]
fn what_comes_on_a_call_that_was_late_is_entered() {
    let (nodes, list) = (nodes(), MachineList::new());
    let proxies = fleet("late", &list, &nodes);
    let standing: Vec<_> = proxies.iter().map(|proxy| proxy.connect_any("k", &nodes)).collect();
    let calls = |n: usize| (0..n).for_each(|_| assert!(list.calls.recv_timeout(LONG).is_ok()));
    calls(3);
    list.fall_silent();
    nodes.iter().for_each(|node| list.tell(&node.entry("draining")));
    // Each has called anew by then, and is answered what it missed; the first of them is enough to go on.
    calls(1);
    list.speak_late();
    for (mut client, _at_node) in standing {
        assert_eq!(client.line(), "MOVE\r\n");
    }
}

// Guards against requests to a node that left while discovery refused every call: what it would have told binds.
#[test]
fn nothing_begins_where_what_was_not_told_may_bind() {
    let (nodes, list) = (nodes(), MachineList::new());
    list.fail(u32::MAX);
    let proxies = fleet("refused", &list, &nodes);
    let made = Instant::now();
    nodes.iter().for_each(|node| list.tell(&node.entry("draining")));
    until_binding(made);
    for proxy in &proxies {
        assert!(proxy.open("k").line().starts_with("BUSY"), "refused, as another try is harmless");
    }
    assert!(nodes.iter().all(Node::untouched));
    // Once it is told again, whoever is ready is used.
    list.tell(&nodes[1].entry("ready"));
    list.fail(0);
    for proxy in &proxies {
        let served = || {
            let mut client = proxy.open("k2");
            let answer = client.line_within(Duration::from_millis(50));
            answer.is_none_or(|line| !line.starts_with("BUSY")).then_some(client)
        };
        let mut client = world::until(served).expect("a request that is sent on");
        let (mut at_node, _) = nodes[1].opened();
        at_node.send("UP r1\r\n");
        assert_eq!(client.line(), "UP r1\r\n");
    }
    assert!(nodes[0].untouched());
}

// Guards against what the discovery before still writes while the new one has not answered.
#[test]
fn a_reload_does_not_lose_what_the_old_discovery_tells_meanwhile() {
    let (nodes, old) = (nodes(), MachineList::new());
    let mut proxies = fleet("moved", &old, &nodes);
    let standing: Vec<_> = proxies.iter().map(|proxy| proxy.connect_any("k", &nodes)).collect();
    (0..3).for_each(|_| assert!(old.calls.recv_timeout(LONG).is_ok()));
    for proxy in &mut proxies {
        let new = MachineList::new();
        new.make_wait(Duration::from_secs(3));
        new.tell(&nodes[0].entry("ready"));
        proxy.turn_to(new);
    }
    proxies.iter().for_each(|proxy| proxy.list.reached());
    let made = Instant::now();
    nodes.iter().for_each(|node| old.tell(&node.entry("draining")));
    for (mut client, _at_node) in standing {
        let before_the_new_one = Duration::from_secs(2).saturating_sub(made.elapsed());
        assert_eq!(client.line_within(before_the_new_one).as_deref(), Some("MOVE\r\n"));
    }
}

// Guards against bounds on the length of a list, and against lists that take long to enter while requests come.
#[test]
fn a_thousand_that_leave_at_once_get_nothing_more() {
    let (leaving, stays) = (Node::new("leaving"), Node::new("stays"));
    let mut entries = leaving.entries(0..1023, "ready");
    entries.push(stays.entry("ready"));
    let proxy = Proxy::start_with("thousand", 1024, &entries, SETTINGS);
    proxy.list.calls.recv_timeout(LONG).unwrap();
    for (index, whole) in [(7, false), (8, true)] {
        let mut told = leaving.entries(0..1023, "draining");
        told.push(stays.entry("ready"));
        let list = format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, told.join(","));
        let since = Instant::now();
        proxy.list.spoil(http(&list, list.len()));
        assert_eq!(proxy.list.calls.recv_timeout(LONG).unwrap().from, index);
        // The grace is a second by default; this is the unoptimised program on a machine that does other things too.
        assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
        for i in 0..50 {
            let mut client = proxy.open(&format!("{index}{i}"));
            let (mut at_node, _) = stays.opened();
            at_node.send("UP r1\r\n");
            assert_eq!(client.line(), "UP r1\r\n");
        }
        assert!(leaving.untouched());
    }
    assert!(proxy.most_memory_kb() < 32 << 10, "{} kB", proxy.most_memory_kb());
}

// Guards against a fleet that serves nobody while discovery is not there at all: that binds nobody.
#[test]
fn a_discovery_that_is_not_there_stops_nobody() {
    let nodes = nodes();
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let since = Instant::now();
    let proxies: Vec<Proxy> = (0..3).map(|i| Proxy::start_at(&format!("down{i}"), nobody, &nodes)).collect();
    until_binding(since + Duration::from_secs(1));
    for proxy in &proxies {
        proxy.connect_any("k", &nodes);
    }
}
