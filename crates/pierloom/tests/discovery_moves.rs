//! SIGHUP moves a proxy to other discovery addresses, there and back. An address that is named again belongs
//! to a new discovery service: what the proxy asked there before is no answer of it. What an earlier service
//! still reports binds where a backend leaves, and never where one is back.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses a part of the harness
mod harness;

use harness::{Backend, Discovery, EVENT_TIMEOUT, Folder, Peer, Proxy, SETTINGS, poll_until};
use std::thread;
use std::time::Duration;

/// How long discovery lets the first call of a connection wait, as if behind calls of other proxies.
const QUEUE_DELAY: Duration = Duration::from_secs(1);
/// After a move nothing new may be sent from this time on, unless the current discovery has sent its list.
const LIST_DUE_AFTER_MOVE: Duration = Duration::from_secs(4);

/// Starts a proxy that holds a watch, and moves it to `detours` other addresses and back. The watch from
/// before the moves is answered first, without changes; the call after them waits in discovery's queue.
fn start_and_move_there_and_back(name: &str, settings: &str, detours: usize, backend: &Backend) -> Proxy {
    let mut proxy = Proxy::start_with_settings(name, 1024, &[backend.entry("ready")], settings);
    assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
    proxy.discovery.set_queue_delay(QUEUE_DELAY);
    let (mut first, mut others) = (None, Vec::new());
    for _ in 0..detours {
        let detour = Discovery::new();
        detour.set_queue_delay(EVENT_TIMEOUT);
        let previous = proxy.reload_with_discovery(detour);
        proxy.discovery.wait_until_connected();
        match &first {
            None => first = Some(previous),
            Some(_) => others.push(previous),
        }
    }
    others.push(proxy.reload_with_discovery(first.unwrap()));
    proxy.discovery.wait_for_connections(2);
    proxy.discovery.publish(&backend.entry("ready"));
    proxy
}

// Guards against a proxy that refuses everything for good: the answer to a watch from before the moves is
// taken for one of the current discovery, so that the whole list is never asked for again.
#[test]
fn a_proxy_moved_to_another_discovery_and_back_serves_requests_after_the_limit() {
    let backend = Backend::new("n");
    let proxy = start_and_move_there_and_back("there-and-back", SETTINGS, 1, &backend);
    thread::sleep(LIST_DUE_AFTER_MOVE + Duration::from_millis(300));
    proxy.establish("k", &backend);
}

// Guards against a watch that goes on from an index of an earlier discovery, whether lists are pushed or
// asked for, after one detour or several. Only a whole list tells what the current discovery has.
#[test]
fn the_watch_goes_on_from_the_whole_list_of_the_current_discovery() {
    let backend = Backend::new("n");
    for (mode, detours) in [("ask", 1), ("ask", 3), ("push", 1), ("push", 3)] {
        let settings = SETTINGS.replace("\"ask\"", &format!("\"{mode}\""));
        let proxy = start_and_move_there_and_back("watch-after-moves", &settings, detours, &backend);
        let calls = || proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).expect("a call");
        let first_after_list = std::iter::repeat_with(calls)
            .skip_while(|call| call.from_index != 0)
            .find(|call| call.connection > 0 && call.from_index > 0)
            .unwrap();
        let described = (first_after_list.connection, first_after_list.from_index);
        assert_eq!(described, (1, 2), "{mode}, {detours} detours");
    }
}

// Guards against an upgrade in which the new process watches from an index of a discovery service that is no
// longer responsible: the old process has moved to another one and back, and has no list of it yet.
#[test]
fn a_successor_asks_for_the_whole_list_if_the_predecessor_has_none_of_the_current_discovery() {
    let (folder, backend) = (Folder::new("moved-upgrade"), Backend::new("n"));
    let entries = [backend.entry("ready")];
    let (mut old, _) = Proxy::start_serving(&folder, None, &entries);
    assert_eq!(old.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
    old.discovery.set_queue_delay(EVENT_TIMEOUT);
    let detour = Discovery::new();
    detour.set_queue_delay(EVENT_TIMEOUT);
    let first = old.reload_with_discovery(detour);
    old.discovery.wait_until_connected();
    let _detour = old.reload_with_discovery(first);
    old.discovery.wait_for_connections(2);
    old.discovery.set_queue_delay(Duration::ZERO);
    let (_new, _) = Proxy::start_serving(&folder, Some(old.address), &entries);
    let calls = || old.discovery.calls.recv_timeout(EVENT_TIMEOUT).expect("a call");
    let first_of_successor = std::iter::repeat_with(calls).find(|call| call.connection == 2).unwrap();
    assert_eq!(first_of_successor.from_index, 0);
}

/// A proxy that holds a connection at the first of two backends and was then moved to a discovery service that
/// does not answer yet.
struct MovedProxy {
    proxy: Proxy,
    earlier: Discovery,
    client: Peer,
    _at_backend: Peer,
}

impl MovedProxy {
    fn start(name: &str, settings: &str, backends: &[Backend; 2]) -> Self {
        let entries = backends.each_ref().map(|backend| backend.entry("ready"));
        let mut proxy = Proxy::start_with_settings(name, 1024, &entries, settings);
        assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
        let (client, at_backend) = establish_at(&proxy, &backends[0], backends, "a");
        let next = Discovery::listing(&entries);
        next.set_queue_delay(EVENT_TIMEOUT);
        let earlier = proxy.reload_with_discovery(next);
        proxy.discovery.wait_until_connected();
        MovedProxy { proxy, earlier, client, _at_backend: at_backend }
    }
}

/// Establishes a connection every 50 ms until one is at `wanted`, and returns that one. The others stay open
/// meanwhile, so that the load of their backend grows.
fn establish_at(proxy: &Proxy, wanted: &Backend, backends: &[Backend; 2], key: &str) -> (Peer, Peer) {
    let mut others = Vec::new();
    loop {
        let mut client = proxy.send_request(&format!("{key}{}", others.len()));
        let attempt =
            || backends.iter().find_map(|backend| Some((backend.name, backend.try_accept_first_line()?.0)));
        let (name, mut at_backend) = poll_until(attempt).expect("an attempt");
        at_backend.send("UP r1\r\n");
        assert_eq!(client.line(), "UP r1\r\n");
        if name == wanted.name {
            return (client, at_backend);
        }
        others.push((client, at_backend));
        thread::sleep(Duration::from_millis(50));
    }
}

/// Establishes connections, which must all reach the second backend. They stay open meanwhile, so that a proxy
/// that may use the first one too prefers it.
fn assert_all_reach_second(proxy: &Proxy, backends: &[Backend; 2]) {
    let connections: Vec<_> = (0..8).map(|n| proxy.establish(&format!("k{n}"), &backends[1])).collect();
    assert!(backends[0].has_no_new_connection());
    drop(connections);
}

const MODES: [&str; 2] = ["ask", "push"];

fn settings_with_mode(mode: &str) -> String {
    SETTINGS.replace("\"ask\"", &format!("\"{mode}\""))
}

// Guards against connections to a backend that discovery reported as leaving, in a whole list of an earlier
// service: as draining, or by leaving it out.
#[test]
fn a_backend_that_leaves_in_a_late_whole_list_gets_nothing_new() {
    for (mode, status) in MODES.iter().flat_map(|mode| ["draining", "gone"].map(|status| (mode, status))) {
        let backends = [Backend::new("n0"), Backend::new("n1")];
        let mut moved = MovedProxy::start("late-list", &settings_with_mode(mode), &backends);
        moved.earlier.answer_whole_lists();
        moved.earlier.publish(&backends[0].entry(status));
        let moved_within = moved.client.line_within(Duration::from_secs(2));
        assert_eq!(moved_within.as_deref(), Some("MOVE\r\n"), "{mode}, {status}");
        assert_all_reach_second(&moved.proxy, &backends);
    }
}

// Guards against a lost word of a service that the proxy has left before it answered at all: moved twice, the
// proxy gets the whole list of the second address while the third has not answered.
#[test]
fn the_whole_list_of_a_service_in_between_tells_which_backends_leave() {
    for mode in MODES {
        let backends = [Backend::new("n0"), Backend::new("n1")];
        let entries = backends.each_ref().map(|backend| backend.entry("ready"));
        let mut proxy = Proxy::start_with_settings("between", 1024, &entries, &settings_with_mode(mode));
        assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
        let (mut client, _at_backend) = establish_at(&proxy, &backends[0], &backends, "a");
        let between = Discovery::listing(&[backends[0].entry("draining"), backends[1].entry("ready")]);
        between.set_queue_delay(QUEUE_DELAY);
        let _first = proxy.reload_with_discovery(between);
        proxy.discovery.wait_until_connected();
        let last = Discovery::listing(&entries);
        last.set_queue_delay(EVENT_TIMEOUT);
        let _between = proxy.reload_with_discovery(last);
        let moved_within = client.line_within(QUEUE_DELAY + Duration::from_secs(1));
        assert_eq!(moved_within.as_deref(), Some("MOVE\r\n"), "{mode}");
        assert_all_reach_second(&proxy, &backends);
    }
}

// Guards against a late answer that brings a backend back, as changes or as a whole list. Only the responsible
// service can say that.
#[test]
fn a_late_answer_brings_no_backend_back() {
    let forms: [fn(&Discovery); 2] = [|_| {}, Discovery::answer_whole_lists];
    for (mode, form) in MODES.iter().flat_map(|mode| forms.map(|form| (mode, form))) {
        let backends = [Backend::new("n0"), Backend::new("n1")];
        let mut moved = MovedProxy::start("not-back", &settings_with_mode(mode), &backends);
        let wait_for_call = |from_index| {
            let calls = || moved.earlier.calls.recv_timeout(EVENT_TIMEOUT).expect("a call");
            std::iter::repeat_with(calls).find(|call| call.from_index == from_index)
        };
        form(&moved.earlier);
        moved.earlier.publish(&backends[0].entry("draining"));
        wait_for_call(2);
        moved.earlier.publish(&backends[0].entry("ready"));
        wait_for_call(3);
        assert_all_reach_second(&moved.proxy, &backends);
        // The word binds until the responsible service answers.
        let next = Discovery::listing(&backends.each_ref().map(|backend| backend.entry("ready")));
        let _silent = moved.proxy.reload_with_discovery(next);
        establish_at(&moved.proxy, &backends[0], &backends, "b");
    }
}

// Guards against a list that brings a backend back though it is older than the word that the backend leaves: the
// responsible service was asked before, and answers after, an earlier service reported the drain.
#[test]
fn a_list_asked_for_before_a_backend_left_does_not_bring_it_back() {
    for mode in MODES {
        let backends = [Backend::new("n0"), Backend::new("n1")];
        let entries = backends.each_ref().map(|backend| backend.entry("ready"));
        let mut proxy = Proxy::start_with_settings("asked-before", 1024, &entries, &settings_with_mode(mode));
        assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
        let (mut client, _at_backend) = establish_at(&proxy, &backends[0], &backends, "a");
        let next = Discovery::listing(&entries);
        next.leave_unanswered_below(1);
        let earlier = proxy.reload_with_discovery(next);
        assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 0);
        earlier.publish(&backends[0].entry("draining"));
        assert_eq!(client.line(), "MOVE\r\n", "{mode}");
        // The list arrives, and nothing after it.
        proxy.discovery.answer_old_connections_only();
        assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
        assert_all_reach_second(&proxy, &backends);
        // The next answer settles that the backend is back.
        proxy.discovery.fail_calls(0);
        establish_at(&proxy, &backends[0], &backends, "b");
    }
}

// Guards against a late answer that is lost because another one has arrived at the same moment.
#[test]
fn late_answers_that_arrive_together_are_all_obeyed() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let entries = backends.each_ref().map(|backend| backend.entry("ready"));
    let mut proxy = Proxy::start_with_settings("together", 1024, &entries, SETTINGS);
    assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
    let clients = backends.each_ref().map(|backend| establish_at(&proxy, backend, &backends, backend.name));
    let services = [0, 1].map(|_| {
        let next = Discovery::listing(&entries);
        next.leave_unanswered_below(1);
        let earlier = proxy.reload_with_discovery(next);
        proxy.discovery.wait_until_connected();
        earlier
    });
    assert_eq!(services[1].calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 0);
    proxy.suspend();
    services[0].publish(&backends[0].entry("draining"));
    services[1].publish(&backends[1].entry("draining"));
    services[1].answer_old_connections_only();
    thread::sleep(Duration::from_millis(100));
    proxy.resume();
    for (mut client, _at_backend) in clients {
        assert_eq!(client.line_within(Duration::from_secs(2)).as_deref(), Some("MOVE\r\n"));
    }
}
