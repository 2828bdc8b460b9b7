//! Upgrades: a second process of the program starts beside the first and takes over its listener, its state
//! and its connections.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses a part of the harness
mod harness;

use harness::{
    Backend, Folder, HandoverPeer, Peer, Proxy, call_console, metric_value, poll_until, wait_until_healthy,
};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::thread;

/// Puts a backend into maintenance (`maint`) or returns it to service (`ready`). Returns the HTTP status.
fn post_maintenance(console: SocketAddr, backend: &str, action: &str) -> u16 {
    call_console(console, "POST", &format!("/label-servers/{backend}/{action}")).0
}

/// Establishes as many connections as `requests`. Each request must reach `backend`.
fn establish_all(proxy: &Proxy, backend: &Backend, name: &str, requests: u32) -> Vec<(Peer, Peer)> {
    (0..requests).map(|n| proxy.establish(&format!("{name}{n}"), backend)).collect()
}

/// Checks that each connection relays a line in both directions.
fn assert_relayed_both_ways(connections: &mut [(Peer, Peer)]) {
    for (client, at_backend) in connections {
        client.send("m\r\n");
        assert_eq!(at_backend.line(), "m\r\n");
        at_backend.send("m back\r\n");
        assert_eq!(client.line(), "m back\r\n");
    }
}

// Guards against an upgrade that refuses clients, cuts connections, or loses what the predecessor learned
// from discovery: the config of the successor does not name the drain that discovery published after the
// start.
#[test]
fn an_upgrade_refuses_no_client_and_keeps_what_the_predecessor_learned() {
    let (folder, backends) = (Folder::new("whole"), [Backend::new("n1"), Backend::new("n2")]);
    let entries = backends.each_ref().map(|backend| backend.entry("ready"));
    let (mut old, old_console) = Proxy::start_serving(&folder, None, &entries);
    // Discovery publishes the drain after the start. The config of the successor is older.
    old.discovery.publish(&backends[1].entry("draining"));
    while metric_value(&call_console(old_console, "GET", "/stats").1, "lb_targets_disabled") == 0 {}
    let mut connections = establish_all(&old, &backends[0], "a", 5);
    let (new, console) = Proxy::start_serving(&folder, Some(old.address), &entries);
    // The successor accepts the connections that wait in the queue while the predecessor ends.
    old.signal("-TERM");
    let during = establish_all(&new, &backends[0], "b", 20);
    assert!(old.wait_for_exit().success());
    // Connections that the predecessor established stay usable.
    assert_relayed_both_ways(&mut connections);
    let after = establish_all(&new, &backends[0], "c", 10);
    let page = call_console(console, "GET", "/stats").1;
    assert_eq!(metric_value(&page, "lb_success{type=\"feed\"}"), (during.len() + after.len()) as u64);
    assert!(backends[1].has_no_new_connection(), "the predecessor knew of the drain");
}

// Guards against a backend that returns from maintenance by an upgrade, and against a console call that
// reaches only one of the two processes while both run.
#[test]
fn maintenance_outlasts_an_upgrade_and_a_call_at_either_process_reaches_both() {
    let (folder, backends) = (Folder::new("maintenance"), [Backend::new("n1"), Backend::new("n2")]);
    let entries = backends.each_ref().map(|backend| backend.entry("ready"));
    let (old, old_console) = Proxy::start_serving(&folder, None, &entries);
    assert_eq!(post_maintenance(old_console, "n2", "maint"), 200);
    let (new, console) = Proxy::start_serving(&folder, Some(old.address), &entries);
    let _connections = establish_all(&new, &backends[0], "a", 20);
    let disabled = |console| metric_value(&call_console(console, "GET", "/stats").1, "lb_targets_disabled");
    // While both processes run: a call at the successor, then one at the predecessor.
    assert_eq!((disabled(old_console), disabled(console)), (1, 1));
    assert_eq!(post_maintenance(console, "n2", "ready"), 200);
    while disabled(old_console) != 0 {}
    assert_eq!(post_maintenance(old_console, "n2", "maint"), 200);
    while disabled(console) != 1 {}
    let _connections = establish_all(&new, &backends[0], "b", 20);
    assert!(backends[1].has_no_new_connection());
}

// Guards against connections that are lost when a process that took them over is upgraded again.
#[test]
fn repeated_upgrades_keep_all_connections() {
    let (folder, backend) = (Folder::new("repeated"), Backend::new("n1"));
    let entries = [backend.entry("ready")];
    let (mut running, _) = Proxy::start_serving(&folder, None, &entries);
    let mut connections = Vec::new();
    for round in ["a", "b", "c"] {
        connections.extend(establish_all(&running, &backend, round, 3));
        let (next, _) = Proxy::start_serving(&folder, Some(running.address), &entries);
        running.signal("-TERM");
        assert!(running.wait_for_exit().success());
        running = next;
        assert_relayed_both_ways(&mut connections);
    }
    running.signal("-TERM");
    for (client, _) in &mut connections {
        assert_eq!(client.line(), "MOVE\r\n", "no successor takes the connections");
    }
}

// Guards against a proxy that stops accepting because its successor died. The proxy must accept again whether
// or not the successor had already announced the takeover.
#[test]
fn a_successor_that_dies_during_the_handover_loses_no_request() {
    let (folder, backend) = (Folder::new("dies"), Backend::new("n1"));
    let (old, _) = Proxy::start_serving(&folder, None, &[backend.entry("ready")]);
    for message in ["", "\"tak", "\"taken\"\n", "nonsense\n"] {
        // Until the proxy notices the death of the previous successor, it accepts no other.
        let connect = || HandoverPeer::connect(&folder.file("pierloom-p0.sock")).ok();
        let mut successor = poll_until(connect).expect("a process that accepts again");
        let state = successor.message();
        assert!(state.contains("\"n1\""), "{state}");
        successor.send(message);
        if message == "\"taken\"\n" {
            assert_eq!(successor.message(), "\"released\"\n");
        }
        drop(successor);
        establish_all(&old, &backend, &format!("{}", message.len()), 3);
    }
}

// Guards against a handover that loses or changes bytes: connections are handed over in the middle of a line,
// after an end in one direction, while a request awaits its answer, and before a request is complete.
#[test]
fn connections_handed_over_at_any_stage_lose_no_bytes() {
    let (folder, backend) = (Folder::new("stages"), Backend::new("n1"));
    let entries = [backend.entry("ready")];
    let (mut old, _) = Proxy::start_serving(&folder, None, &entries);
    let (mut mid_line, mut mid_line_backend) = old.establish("1", &backend);
    mid_line.send("up");
    mid_line_backend.send("down");
    assert_eq!((mid_line_backend.read(2), mid_line.read(4)), (b"up".to_vec(), b"down".to_vec()));
    let (mut half_closed, half_closed_backend) = old.establish("2", &backend);
    half_closed_backend.shutdown_write();
    assert_eq!(half_closed.line(), "");
    let mut unanswered = old.send_request("3");
    let (mut unanswered_backend, _) = backend.accept_first_line();
    // Accepted, with an incomplete request.
    let mut incomplete = old.client();
    incomplete.send("OPEN 0a4 ");
    // The listener accepts in order: once this request is served, the connection before it is accepted.
    old.establish("5", &backend);
    let (mut new, console) = Proxy::start_serving(&folder, Some(old.address), &entries);
    old.signal("-TERM");
    unanswered_backend.send("UP late\r\nmore\r\n");
    incomplete.send("4 c=feed,d=4800\r\n");
    let (mut incomplete_backend, _) = backend.accept_first_line();
    incomplete_backend.send("UP r\r\n");
    assert_eq!(incomplete.line(), "UP r\r\n");
    assert!(old.wait_for_exit().success());
    mid_line.send(" rest\r\n");
    mid_line_backend.send(" rest\r\n");
    assert_eq!(
        (mid_line_backend.line(), mid_line.line()),
        (" rest\r\n".to_string(), " rest\r\n".to_string())
    );
    assert_eq!((unanswered.line(), unanswered.line()), ("UP late\r\n".to_string(), "more\r\n".to_string()));
    let mut connections =
        [(mid_line, mid_line_backend), (unanswered, unanswered_backend), (incomplete, incomplete_backend)];
    assert_relayed_both_ways(&mut connections);
    // The successor established one connection: that of the request which was completed after the takeover.
    let page = call_console(console, "GET", "/stats").1;
    assert_eq!(
        (metric_value(&page, "lb_concurrent"), metric_value(&page, "lb_success{type=\"feed\"}")),
        (3, 1)
    );
    // The proxy sends MOVE only after the end of a line, also of one that began before the handover.
    connections[0].1.send("half");
    assert_eq!(connections[0].0.read(4), b"half");
    new.signal("-TERM");
    assert!(connections[0].0.line_within(std::time::Duration::from_millis(700)).is_none());
    connections[0].1.send(" line\r\n");
    assert_eq!(connections[0].0.line(), " line\r\n");
    assert_eq!(connections[0].0.line(), "MOVE\r\n");
    drop(connections);
    assert!(new.wait_for_exit().success());
}

// Guards against connections that end without MOVE because the successor refuses them or dies before it
// accepts them.
#[test]
fn connections_that_the_successor_does_not_accept_are_moved() {
    let (folder, backend) = (Folder::new("refused"), Backend::new("n1"));
    let (mut old, _) = Proxy::start_serving(&folder, None, &[backend.entry("ready")]);
    let mut connections = establish_all(&old, &backend, "a", 3);
    let mut successor = HandoverPeer::connect(&folder.file("pierloom-p0.sock")).unwrap();
    successor.send("\"taken\"\n");
    let mut offered = 0;
    while offered < 2 {
        let message = successor.message();
        if message.contains("released") {
            old.signal("-TERM");
        }
        if message.contains("connection") {
            // The successor refuses the first connection, and dies while it answers the second.
            successor.send("{\"holds\":false}\n");
            offered += 1;
        }
    }
    drop(successor);
    for (client, _) in &mut connections {
        assert_eq!(client.line(), "MOVE\r\n");
    }
    drop(connections);
    assert!(old.wait_for_exit().success());
}

// Guards against a successor that serves nothing, or forgets the maintenance on disk, because its predecessor
// stops in the middle of the handover.
#[test]
fn an_interrupted_handover_leaves_a_successor_that_serves() {
    let backend = Backend::new("n1");
    // The predecessor closes at once, closes after a message without the listener, or stays silent.
    for (i, message) in [Some(""), Some("{\"state\":{\"withheld\":["), None].into_iter().enumerate() {
        let folder = Folder::new(&format!("cut{i}"));
        let handover = UnixListener::bind(folder.file("pierloom-p0.sock")).unwrap();
        std::fs::write(folder.file("pierloom-p0.withheld"), r#"["n2"]"#).unwrap();
        let predecessor = thread::spawn(move || {
            let mut successor = HandoverPeer::accept(&handover);
            if let Some(message) = message {
                successor.send(message);
            }
            // Otherwise the predecessor never answers.
            message.is_none().then_some((successor, handover))
        });
        let other = Backend::new("n2");
        let (new, _) = Proxy::start_serving(&folder, None, &[backend.entry("ready"), other.entry("ready")]);
        establish_all(&new, &backend, "a", 10);
        assert!(other.has_no_new_connection(), "the maintenance was stored on disk");
        drop(predecessor.join());
    }
}

// Guards against a process that does not start, or forgets maintenance, because of the files of a killed
// predecessor: its socket, its maintenance file, and a damaged maintenance file.
#[test]
fn a_process_starts_from_the_files_of_a_killed_predecessor() {
    let (folder, backends) = (Folder::new("left"), [Backend::new("n1"), Backend::new("n2")]);
    let entries = backends.each_ref().map(|backend| backend.entry("ready"));
    let (killed, console) = Proxy::start_serving(&folder, None, &entries);
    assert_eq!(post_maintenance(console, "n2", "maint"), 200);
    killed.signal("-KILL");
    let address = killed.address;
    drop(killed);
    let (restarted, _) = Proxy::start_serving(&folder, Some(address), &entries);
    establish_all(&restarted, &backends[0], "a", 20);
    assert!(backends[1].has_no_new_connection(), "the maintenance outlasts the process");
    // The restarted process can be upgraded as well.
    let (successor, _) = Proxy::start_serving(&folder, Some(address), &entries);
    establish_all(&successor, &backends[0], "b", 20);
    assert!(backends[1].has_no_new_connection());
    drop((restarted, successor));
    std::fs::write(folder.file("pierloom-p0.withheld"), "[\"n").unwrap();
    let (damaged, _) = Proxy::start_serving(&folder, None, &entries);
    establish_all(&damaged, &backends[0], "c", 1);
}

// Guards against a proxy that ends without MOVE at SIGTERM because a successor has asked for its state and
// not yet taken over.
#[test]
fn sigterm_before_the_takeover_is_a_planned_stop() {
    let (folder, backend) = (Folder::new("stop"), Backend::new("n1"));
    let (mut old, _) = Proxy::start_serving(&folder, None, &[backend.entry("ready")]);
    let mut connections = establish_all(&old, &backend, "a", 2);
    let mut successor = HandoverPeer::connect(&folder.file("pierloom-p0.sock")).unwrap();
    successor.message();
    old.signal("-TERM");
    // A request that arrives now is still answered.
    let mut late = old.send_request("b");
    let (mut at_backend, _) = backend.accept_first_line();
    at_backend.send("UP r\r\n");
    assert_eq!((late.line(), late.line()), ("UP r\r\n".to_string(), "MOVE\r\n".to_string()));
    assert_eq!(connections[0].0.line(), "MOVE\r\n");
    drop((connections, late, at_backend));
    assert!(old.wait_for_exit().success());
}

/// Sends a handover message with these sockets.
fn send_with_sockets(to: &UnixStream, message: &str, sockets: &[BorrowedFd<'_>]) {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut rights = SendAncillaryBuffer::new(&mut space);
    assert!(rights.push(SendAncillaryMessage::ScmRights(sockets)));
    let sent = sendmsg(to, &[IoSlice::new(message.as_bytes())], &mut rights, SendFlags::NOSIGNAL).unwrap();
    assert_eq!(sent, message.len());
}

/// Both ends of a connection: the proxy's end, which is handed over, and the end of the peer.
fn connection_pair() -> (TcpStream, Peer) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener.accept().unwrap().0, Peer::new(peer))
}

// Guards against a lost connection when the predecessor is killed after it sent the sockets of the connection
// and before it received the confirmation: only the successor holds the connection then. The test takes the
// predecessor's role. It sends the messages of a real process and closes its end at once, so that the
// predecessor is gone before the successor can confirm.
#[test]
fn a_connection_survives_a_predecessor_killed_during_its_handover() {
    let (first_folder, backend) = (Folder::new("predecessor"), Backend::new("n1"));
    let (old, _) = Proxy::start_serving(&first_folder, None, &[backend.entry("ready")]);
    let _connections = establish_all(&old, &backend, "a", 1);
    let mut successor = HandoverPeer::connect(&first_folder.file("pierloom-p0.sock")).unwrap();
    successor.send("\"taken\"\n");
    let state = successor.message();
    while !successor.message().contains("released") {}
    old.signal("-TERM");
    let connection_message = std::iter::repeat_with(|| successor.message())
        .find(|message| message.contains("connection"))
        .unwrap();
    // The successor starts to send before or after the predecessor's end.
    for (folder, awaits_takeover) in [("killed", true), ("killed-early", false)] {
        let folder = Folder::new(folder);
        let handover = UnixListener::bind(folder.file("pierloom-p0.sock")).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let ((client_end, mut client), (backend_end, mut at_backend)) =
            (connection_pair(), connection_pair());
        let (state, connection_message) = (state.clone(), connection_message.clone());
        let predecessor = thread::spawn(move || {
            let mut successor = HandoverPeer::accept(&handover);
            send_with_sockets(successor.stream(), &state, &[listener.as_fd()]);
            if awaits_takeover {
                assert_eq!(successor.message(), "\"taken\"\n");
            }
            successor.send("\"released\"\n");
            let sockets = [client_end.as_fd(), backend_end.as_fd()];
            send_with_sockets(successor.stream(), &connection_message, &sockets);
        });
        let (_new, _) = Proxy::start_serving(&folder, None, &[backend.entry("ready")]);
        predecessor.join().unwrap();
        client.send("m\r\n");
        assert_eq!(at_backend.line(), "m\r\n");
        at_backend.send("m back\r\n");
        assert_eq!(client.line(), "m back\r\n");
    }
}

// Guards against maintenance that the console confirms and that is not stored on disk: writes to the folder
// fail for a moment, and then the process is killed.
#[test]
fn confirmed_maintenance_survives_failed_writes_and_a_kill() {
    let (folder, backend) = (Folder::new("maintenance-disk"), Backend::new("n1"));
    let entries = [backend.entry("ready")];
    // The first rename is that of the handover socket, so failures start with the second.
    let traced_calls = ["-e", "trace=rename,renameat,renameat2,fsync,fdatasync"];
    let renames = ["-e", "inject=rename,renameat,renameat2:error=ENOSPC:when=2..4"];
    let syncs = ["-e", "inject=fsync,fdatasync:error=EIO:when=1..2"];
    let tracing = [traced_calls, renames, syncs].concat();
    let (proxy, console) = Proxy::start_in_folder_traced(&folder, &tracing, &entries);
    wait_until_healthy(console);
    poll_until(|| folder.file("pierloom-p0.sock").exists().then_some(())).expect("a handover socket");
    let started_at = std::time::Instant::now();
    assert_eq!(post_maintenance(console, "n1", "maint"), 200);
    assert!(
        started_at.elapsed() < std::time::Duration::from_secs(1),
        "the console must answer within a second"
    );
    drop(proxy);
    let (after, console) = Proxy::start_serving(&folder, None, &entries);
    assert!(after.send_request("a").line().starts_with("BUSY"));
    assert!(backend.has_no_new_connection(), "a backend in maintenance gets no new request");
    assert_eq!(post_maintenance(console, "n1", "ready"), 200);
}

/// Starts a process with two backends, and takes over from it as its successor.
fn take_over_from_process(folder: &Folder, backends: &[Backend; 2]) -> (Proxy, SocketAddr, HandoverPeer) {
    let entries = backends.each_ref().map(|backend| backend.entry("ready"));
    let (old, console) = Proxy::start_serving(folder, None, &entries);
    let mut successor = HandoverPeer::connect(&folder.file("pierloom-p0.sock")).unwrap();
    successor.message();
    successor.send("\"taken\"\n");
    while !successor.message().contains("released") {}
    (old, console, successor)
}

// Guards against a lost mark of operators: each of the two processes of an upgrade puts a backend into
// maintenance, and the one that writes the file last does not know of the other's yet. Then both are killed.
#[test]
fn maintenance_that_a_peer_reports_is_written_to_the_file_too() {
    let (folder, backends) = (Folder::new("peer-writes"), [Backend::new("n1"), Backend::new("n2")]);
    let (old, console, mut successor) = take_over_from_process(&folder, &backends);
    // The successor has written its own change, and the predecessor writes the file before it learns of that.
    std::fs::write(folder.file("pierloom-p0.withheld"), r#"["n2"]"#).unwrap();
    assert_eq!(post_maintenance(console, "n1", "maint"), 200);
    successor.send("{\"withheld\":[\"n2\",true]}\n");
    let file = || std::fs::read_to_string(folder.file("pierloom-p0.withheld")).unwrap();
    poll_until(|| (file() == r#"["n1","n2"]"#).then_some(())).expect("both backends in the file");
    old.signal("-KILL");
}

// Guards against requests to a backend that operators put into maintenance by a call at the other process of an
// upgrade, which was killed after its yes and before it reported the change.
#[test]
fn maintenance_outlasts_a_peer_that_dies_before_it_reports_it() {
    let (folder, backends) = (Folder::new("peer-dies"), [Backend::new("n1"), Backend::new("n2")]);
    let (old, console, successor) = take_over_from_process(&folder, &backends);
    std::fs::write(folder.file("pierloom-p0.withheld"), r#"["n2"]"#).unwrap();
    drop(successor);
    let disabled = || metric_value(&call_console(console, "GET", "/stats").1, "lb_targets_disabled");
    poll_until(|| (disabled() == 1).then_some(())).expect("a backend in maintenance");
    establish_all(&old, &backends[0], "a", 20);
    assert!(backends[1].has_no_new_connection());
}
