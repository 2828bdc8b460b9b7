//! Starts a second process of the program beside the first, as operators do at an upgrade.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // real processes on real sockets

#[allow(dead_code)] // each test program uses its part
mod harness;

use harness::{Backend, Folder, Peer, Proxy, call_console, metric_value, poll_until};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use std::io::{BufRead, BufReader, IoSlice, Write};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::thread;

fn post_maintenance(console: std::net::SocketAddr, backend: &str, what: &str) -> u16 {
    call_console(console, "POST", &format!("/label-servers/{backend}/{what}")).0
}

/// Calls for its health until it says yes.
fn wait_until_healthy(console: std::net::SocketAddr) {
    while call_console(console, "GET", "/healthcheck").0 != 200 {
        thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// Opens so many jobs; each has to come to that node.
fn connect_all(proxy: &Proxy, backend: &Backend, name: &str, requests: u32) -> Vec<(Peer, Peer)> {
    (0..requests).map(|n| proxy.connect(&format!("{name}{n}"), backend)).collect()
}

/// Lines pass both ways.
fn assert_relayed_both_ways(connections: &mut [(Peer, Peer)]) {
    for (client, at_backend) in connections {
        client.send("m\r\n");
        assert_eq!(at_backend.line(), "m\r\n");
        at_backend.send("m back\r\n");
        assert_eq!(client.line(), "m back\r\n");
    }
}

#[test]
fn an_upgrade_turns_nobody_back_and_keeps_what_the_old_one_knew() {
    let (folder, backends) = (Folder::new("whole"), [Backend::new("n1"), Backend::new("n2")]);
    let entries = backends.each_ref().map(|backend| backend.entry("ready"));
    let (mut old, old_console) = Proxy::start_in_folder(&folder, None, &entries);
    wait_until_healthy(old_console);
    // What discovery told since the start; the config of the next process is older.
    old.discovery.publish(&backends[1].entry("draining"));
    while metric_value(&call_console(old_console, "GET", "/stats").1, "lb_targets_disabled") == 0 {}
    let mut connections = connect_all(&old, &backends[0], "a", 5);
    let (new, console) = Proxy::start_in_folder(&folder, Some(old.address), &entries);
    wait_until_healthy(console);
    // Those who wait in the queue while the old one ends are taken in by the new one.
    old.signal("-TERM");
    let during = connect_all(&new, &backends[0], "b", 20);
    assert!(old.wait_for_exit().success());
    // Whoever stood goes on as if nothing had been.
    assert_relayed_both_ways(&mut connections);
    let after = connect_all(&new, &backends[0], "c", 10);
    let page = call_console(console, "GET", "/stats").1;
    assert_eq!(metric_value(&page, "lb_success{type=\"feed\"}"), (during.len() + after.len()) as u64);
    assert!(backends[1].has_no_new_connection(), "a drain that the old one knew of");
}

#[test]
fn a_mark_holds_across_an_upgrade_and_calls_at_either_process_reach_both() {
    let (folder, backends) = (Folder::new("mark"), [Backend::new("n1"), Backend::new("n2")]);
    let entries = backends.each_ref().map(|backend| backend.entry("ready"));
    let (old, old_console) = Proxy::start_in_folder(&folder, None, &entries);
    wait_until_healthy(old_console);
    assert_eq!(post_maintenance(old_console, "n2", "maint"), 200);
    let (new, console) = Proxy::start_in_folder(&folder, Some(old.address), &entries);
    wait_until_healthy(console);
    let _marked = connect_all(&new, &backends[0], "a", 20);
    let disabled = |console| metric_value(&call_console(console, "GET", "/stats").1, "lb_targets_disabled");
    // During the overlap: at the new one, then at the old one.
    assert_eq!((disabled(old_console), disabled(console)), (1, 1));
    assert_eq!(post_maintenance(console, "n2", "ready"), 200);
    while disabled(old_console) != 0 {}
    assert_eq!(post_maintenance(old_console, "n2", "maint"), 200);
    while disabled(console) != 1 {}
    let _marked = connect_all(&new, &backends[0], "b", 20);
    assert!(backends[1].has_no_new_connection());
}

#[test]
fn two_upgrades_in_a_row_work_like_one() {
    let (folder, backend) = (Folder::new("row"), Backend::new("n1"));
    let entries = [backend.entry("ready")];
    let (mut running, console) = Proxy::start_in_folder(&folder, None, &entries);
    wait_until_healthy(console);
    let mut connections = Vec::new();
    for round in ["a", "b", "c"] {
        connections.extend(connect_all(&running, &backend, round, 3));
        let (next, console) = Proxy::start_in_folder(&folder, Some(running.address), &entries);
        wait_until_healthy(console);
        running.signal("-TERM");
        assert!(running.wait_for_exit().success());
        running = next;
        assert_relayed_both_ways(&mut connections);
    }
    running.signal("-TERM");
    for (client, _) in &mut connections {
        assert_eq!(client.line(), "MOVE\r\n", "nobody is there to take them");
    }
}

/// The one that runs accepts again whenever the next one dies, whether or not it had taken over.
#[test]
fn a_new_process_that_dies_before_its_yes_costs_nothing() {
    let (folder, backend) = (Folder::new("dies"), Backend::new("n1"));
    let (old, console) = Proxy::start_in_folder(&folder, None, &[backend.entry("ready")]);
    wait_until_healthy(console);
    for said in ["", "\"tak", "\"taken\"\n", "nonsense\n"] {
        // The one before has just died: until that is noticed nobody takes another.
        let asked = || UnixStream::connect(folder.file("pierloom-p0.sock")).ok();
        let mut next = poll_until(asked).expect("a process that accepts again");
        let mut words = BufReader::new(next.try_clone().unwrap());
        let mut state = String::new();
        words.read_line(&mut state).unwrap();
        assert!(state.contains("\"n1\""), "{state}");
        next.write_all(said.as_bytes()).unwrap();
        if said == "\"taken\"\n" {
            let mut released = String::new();
            words.read_line(&mut released).unwrap();
            assert_eq!(released, "\"released\"\n");
        }
        drop((next, words));
        connect_all(&old, &backend, &format!("{}", said.len()), 3);
    }
}

/// Guards against a hand-over in the middle of a line, of a job that waits for its answer, and of an end.
#[test]
fn connections_are_handed_on_whatever_they_are_at() {
    let (folder, backend) = (Folder::new("at"), Backend::new("n1"));
    let entries = [backend.entry("ready")];
    let (mut old, console) = Proxy::start_in_folder(&folder, None, &entries);
    wait_until_healthy(console);
    let (mut half, mut half_at) = old.connect("1", &backend);
    half.send("up");
    half_at.send("down");
    assert_eq!((half_at.read(2), half.read(4)), (b"up".to_vec(), b"down".to_vec()));
    let (mut ends, ends_at) = old.connect("2", &backend);
    ends_at.shutdown_write();
    assert_eq!(ends.line(), "");
    let mut waits = old.open("3");
    let (mut waits_at, _) = backend.accept_open();
    // Taken in, and nothing heard yet.
    let mut unheard = old.client();
    unheard.send("OPEN 0a4 ");
    // The listener takes them in in order.
    old.connect("5", &backend);
    let (mut new, console) = Proxy::start_in_folder(&folder, Some(old.address), &entries);
    wait_until_healthy(console);
    old.signal("-TERM");
    waits_at.send("UP late\r\nmore\r\n");
    unheard.send("4 c=feed,d=4800\r\n");
    let (mut unheard_at, _) = backend.accept_open();
    unheard_at.send("UP r\r\n");
    assert_eq!(unheard.line(), "UP r\r\n");
    assert!(old.wait_for_exit().success());
    half.send(" rest\r\n");
    half_at.send(" rest\r\n");
    assert_eq!((half_at.line(), half.line()), (" rest\r\n".to_string(), " rest\r\n".to_string()));
    assert_eq!((waits.line(), waits.line()), ("UP late\r\n".to_string(), "more\r\n".to_string()));
    let mut connections = [(half, half_at), (waits, waits_at), (unheard, unheard_at)];
    assert_relayed_both_ways(&mut connections);
    // A move waits for the end of a line that the old process saw begin.
    let page = call_console(console, "GET", "/stats").1;
    assert_eq!(
        (metric_value(&page, "lb_concurrent"), metric_value(&page, "lb_success{type=\"feed\"}")),
        (3, 0)
    );
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

#[test]
fn connections_that_the_next_process_does_not_take_are_moved() {
    let (folder, backend) = (Folder::new("untaken"), Backend::new("n1"));
    let (mut old, console) = Proxy::start_in_folder(&folder, None, &[backend.entry("ready")]);
    wait_until_healthy(console);
    let mut connections = connect_all(&old, &backend, "a", 3);
    let mut next = UnixStream::connect(folder.file("pierloom-p0.sock")).unwrap();
    let mut words = BufReader::new(next.try_clone().unwrap());
    next.write_all(b"\"taken\"\n").unwrap();
    let (mut word, mut seen) = (String::new(), 0);
    while seen < 2 {
        word.clear();
        words.read_line(&mut word).unwrap();
        if word.contains("released") {
            old.signal("-TERM");
        }
        if word.contains("connection") {
            // It declines the first, and dies over the second.
            next.write_all(b"{\"holds\":false}\n").unwrap();
            seen += 1;
        }
    }
    drop((next, words));
    for (client, _) in &mut connections {
        assert_eq!(client.line(), "MOVE\r\n");
    }
    drop(connections);
    assert!(old.wait_for_exit().success());
}

#[test]
fn a_hand_over_cut_in_the_middle_leaves_a_process_that_serves() {
    let backend = Backend::new("n1");
    // Nothing at all before the end; words without the socket; silence.
    for (i, said) in [Some(""), Some("{\"state\":{\"withheld\":["), None].into_iter().enumerate() {
        let folder = Folder::new(&format!("cut{i}"));
        let offers = UnixListener::bind(folder.file("pierloom-p0.sock")).unwrap();
        std::fs::write(folder.file("pierloom-p0.withheld"), r#"["n2"]"#).unwrap();
        let cut = thread::spawn(move || {
            let (mut asked, _) = offers.accept().unwrap();
            match said {
                Some(said) => asked.write_all(said.as_bytes()).unwrap(),
                // It never answers.
                None => drop(asked.set_read_timeout(None)),
            }
            said.is_none().then_some((asked, offers))
        });
        let other = Backend::new("n2");
        let (new, console) =
            Proxy::start_in_folder(&folder, None, &[backend.entry("ready"), other.entry("ready")]);
        wait_until_healthy(console);
        connect_all(&new, &backend, "a", 10);
        assert!(other.has_no_new_connection(), "the mark was written down");
        drop(cut.join());
    }
}

#[test]
fn what_a_killed_process_left_behind_is_met() {
    let (folder, backends) = (Folder::new("left"), [Backend::new("n1"), Backend::new("n2")]);
    let entries = backends.each_ref().map(|backend| backend.entry("ready"));
    let (killed, console) = Proxy::start_in_folder(&folder, None, &entries);
    wait_until_healthy(console);
    assert_eq!(post_maintenance(console, "n2", "maint"), 200);
    killed.signal("-KILL");
    let address = killed.address;
    drop(killed);
    let (again, console) = Proxy::start_in_folder(&folder, Some(address), &entries);
    wait_until_healthy(console);
    connect_all(&again, &backends[0], "a", 20);
    assert!(backends[1].has_no_new_connection(), "the mark outlives the process");
    // And it can be upgraded in its turn.
    let (next, console) = Proxy::start_in_folder(&folder, Some(address), &entries);
    wait_until_healthy(console);
    connect_all(&next, &backends[0], "b", 20);
    assert!(backends[1].has_no_new_connection());
    drop((again, next));
    std::fs::write(folder.file("pierloom-p0.withheld"), "[\"n").unwrap();
    let (spoilt, console) = Proxy::start_in_folder(&folder, None, &entries);
    wait_until_healthy(console);
    connect_all(&spoilt, &backends[0], "c", 1);
}

#[test]
fn a_stop_before_the_hand_over_is_whole_is_a_planned_one() {
    let (folder, backend) = (Folder::new("stop"), Backend::new("n1"));
    let (mut old, console) = Proxy::start_in_folder(&folder, None, &[backend.entry("ready")]);
    wait_until_healthy(console);
    let mut connections = connect_all(&old, &backend, "a", 2);
    let next = UnixStream::connect(folder.file("pierloom-p0.sock")).unwrap();
    let mut state = String::new();
    BufReader::new(next.try_clone().unwrap()).read_line(&mut state).unwrap();
    old.signal("-TERM");
    // One that comes now still has its answer.
    let mut late = old.open("b");
    let (mut at_backend, _) = backend.accept_open();
    at_backend.send("UP r\r\n");
    assert_eq!((late.line(), late.line()), ("UP r\r\n".to_string(), "MOVE\r\n".to_string()));
    assert_eq!(connections[0].0.line(), "MOVE\r\n");
    drop((connections, late, at_backend));
    assert!(old.wait_for_exit().success());
}

/// Says a word to the process beside, with these sockets.
fn say_with(to: &UnixStream, word: &str, sockets: &[BorrowedFd<'_>]) {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut rights = SendAncillaryBuffer::new(&mut space);
    assert!(rights.push(SendAncillaryMessage::ScmRights(sockets)));
    let sent = sendmsg(to, &[IoSlice::new(word.as_bytes())], &mut rights, SendFlags::NOSIGNAL).unwrap();
    assert_eq!(sent, word.len());
}

/// Both ends of a connection: the one that a process is handed, and the one that stays with its peer.
fn connection() -> (TcpStream, Peer) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener.accept().unwrap().0, Peer::new(peer))
}

// Guards a connection whose sockets were sent by a process that was killed before it heard that they had come: nobody
// else holds it any more. The words are those of a real process; the one that is killed is played here, so that it is
// gone before the next one can answer.
#[test]
fn a_connection_whose_old_process_dies_over_the_hand_over_goes_on_in_the_new_one() {
    let (first, backend) = (Folder::new("says"), Backend::new("n1"));
    let (old, console) = Proxy::start_in_folder(&first, None, &[backend.entry("ready")]);
    wait_until_healthy(console);
    let _standing = connect_all(&old, &backend, "a", 1);
    let mut next = UnixStream::connect(first.file("pierloom-p0.sock")).unwrap();
    let mut words = BufReader::new(next.try_clone().unwrap());
    next.write_all(b"\"taken\"\n").unwrap();
    let mut word = || {
        let mut word = String::new();
        words.read_line(&mut word).unwrap();
        word
    };
    let state = word();
    while !word().contains("released") {}
    old.signal("-TERM");
    let connection_word = std::iter::repeat_with(&mut word).find(|word| word.contains("connection")).unwrap();
    let folder = Folder::new("killed");
    let offers = UnixListener::bind(folder.file("pierloom-p0.sock")).unwrap();
    let taken_over = TcpListener::bind("127.0.0.1:0").unwrap();
    let ((client_end, mut client), (node_end, mut at_backend)) = (connection(), connection());
    let played = thread::spawn(move || {
        let (mut asked, _) = offers.accept().unwrap();
        say_with(&asked, &state, &[taken_over.as_fd()]);
        let mut words = BufReader::new(asked.try_clone().unwrap());
        let mut taken = String::new();
        words.read_line(&mut taken).unwrap();
        assert_eq!(taken, "\"taken\"\n");
        asked.write_all(b"\"released\"\n").unwrap();
        say_with(&asked, &connection_word, &[client_end.as_fd(), node_end.as_fd()]);
    });
    let (_new, console) = Proxy::start_in_folder(&folder, None, &[backend.entry("ready")]);
    wait_until_healthy(console);
    played.join().unwrap();
    client.send("m\r\n");
    assert_eq!(at_backend.line(), "m\r\n");
    at_backend.send("m back\r\n");
    assert_eq!(client.line(), "m back\r\n");
}

// Guards against a yes for a mark that is not written down: the folder's writes fail for a moment, and then the process
// is killed.
#[test]
fn a_mark_that_staff_got_a_yes_for_outlives_writes_that_fail_and_a_kill() {
    let (folder, backend) = (Folder::new("marks"), Backend::new("n1"));
    let entries = [backend.entry("ready")];
    // Its first rename is that of the socket on which the next process would ask.
    let failing = ["-e", "trace=rename,renameat,renameat2,fsync,fdatasync"];
    let renames = ["-e", "inject=rename,renameat,renameat2:error=ENOSPC:when=2..4"];
    let syncs = ["-e", "inject=fsync,fdatasync:error=EIO:when=1..2"];
    let tracing = [failing, renames, syncs].concat();
    let (proxy, console) = Proxy::start_in_folder_traced(&folder, &tracing, &entries);
    wait_until_healthy(console);
    poll_until(|| folder.file("pierloom-p0.sock").exists().then_some(())).expect("an offer");
    let since = std::time::Instant::now();
    assert_eq!(post_maintenance(console, "n1", "maint"), 200);
    assert!(since.elapsed() < std::time::Duration::from_secs(1), "each answer is owed within a second");
    drop(proxy);
    let (after, console) = Proxy::start_in_folder(&folder, None, &entries);
    wait_until_healthy(console);
    assert!(after.open("a").line().starts_with("BUSY"));
    assert!(backend.has_no_new_connection(), "nothing new goes there");
    assert_eq!(post_maintenance(console, "n1", "ready"), 200);
}
