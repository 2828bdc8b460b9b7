//! SIGHUP moves a proxy to other discovery addresses, there and back. An address that is named again belongs
//! to a new discovery service: what the proxy asked there before is no answer of it.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses a part of the harness
mod harness;

use harness::{Backend, Discovery, EVENT_TIMEOUT, Folder, Proxy, SETTINGS};
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
