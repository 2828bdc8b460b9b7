//! Starts a second process of the program beside the first, as operators do at an upgrade.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // real processes on real sockets

#[allow(dead_code)] // each test program uses its part
mod world;

use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use std::io::{BufRead, BufReader, IoSlice, Write};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::thread;
use world::{Folder, Node, Peer, Proxy, call, figure, until};

fn order(console: std::net::SocketAddr, node: &str, what: &str) -> u16 {
    call(console, "POST", &format!("/label-servers/{node}/{what}")).0
}

/// Calls for its health until it says yes.
fn yes(console: std::net::SocketAddr) {
    while call(console, "GET", "/healthcheck").0 != 200 {
        thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// Opens so many jobs; each has to come to that node.
fn all_at(proxy: &Proxy, node: &Node, name: &str, jobs: u32) -> Vec<(Peer, Peer)> {
    (0..jobs).map(|n| proxy.connect(&format!("{name}{n}"), node)).collect()
}

/// Lines pass both ways.
fn still_stand(standing: &mut [(Peer, Peer)]) {
    for (client, at_node) in standing {
        client.send("m\r\n");
        assert_eq!(at_node.line(), "m\r\n");
        at_node.send("m back\r\n");
        assert_eq!(client.line(), "m back\r\n");
    }
}

#[test]
fn an_upgrade_turns_nobody_back_and_keeps_what_the_old_one_knew() {
    let (folder, nodes) = (Folder::new("whole"), [Node::new("n1"), Node::new("n2")]);
    let entries = nodes.each_ref().map(|node| node.entry("ready"));
    let (mut old, old_console) = Proxy::start_in(&folder, None, &entries);
    yes(old_console);
    // What discovery told since the start; the config of the next process is older.
    old.list.tell(&nodes[1].entry("draining"));
    while figure(&call(old_console, "GET", "/stats").1, "lb_targets_disabled") == 0 {}
    let mut standing = all_at(&old, &nodes[0], "a", 5);
    let (new, console) = Proxy::start_in(&folder, Some(old.address), &entries);
    yes(console);
    // Those who wait in the queue while the old one ends are taken in by the new one.
    old.signal("-TERM");
    let during = all_at(&new, &nodes[0], "b", 20);
    assert!(old.exit().success());
    // Whoever stood goes on as if nothing had been.
    still_stand(&mut standing);
    let after = all_at(&new, &nodes[0], "c", 10);
    let page = call(console, "GET", "/stats").1;
    assert_eq!(figure(&page, "lb_success{type=\"feed\"}"), (during.len() + after.len()) as u64);
    assert!(nodes[1].untouched(), "a drain that the old one knew of");
}

#[test]
fn a_mark_holds_across_an_upgrade_and_calls_at_either_process_reach_both() {
    let (folder, nodes) = (Folder::new("mark"), [Node::new("n1"), Node::new("n2")]);
    let entries = nodes.each_ref().map(|node| node.entry("ready"));
    let (old, old_console) = Proxy::start_in(&folder, None, &entries);
    yes(old_console);
    assert_eq!(order(old_console, "n2", "maint"), 200);
    let (new, console) = Proxy::start_in(&folder, Some(old.address), &entries);
    yes(console);
    let _marked = all_at(&new, &nodes[0], "a", 20);
    let disabled = |console| figure(&call(console, "GET", "/stats").1, "lb_targets_disabled");
    // During the overlap: at the new one, then at the old one.
    assert_eq!((disabled(old_console), disabled(console)), (1, 1));
    assert_eq!(order(console, "n2", "ready"), 200);
    while disabled(old_console) != 0 {}
    assert_eq!(order(old_console, "n2", "maint"), 200);
    while disabled(console) != 1 {}
    let _marked = all_at(&new, &nodes[0], "b", 20);
    assert!(nodes[1].untouched());
}

#[test]
fn two_upgrades_in_a_row_work_like_one() {
    let (folder, node) = (Folder::new("row"), Node::new("n1"));
    let entries = [node.entry("ready")];
    let (mut running, console) = Proxy::start_in(&folder, None, &entries);
    yes(console);
    let mut standing = Vec::new();
    for round in ["a", "b", "c"] {
        standing.extend(all_at(&running, &node, round, 3));
        let (next, console) = Proxy::start_in(&folder, Some(running.address), &entries);
        yes(console);
        running.signal("-TERM");
        assert!(running.exit().success());
        running = next;
        still_stand(&mut standing);
    }
    running.signal("-TERM");
    for (client, _) in &mut standing {
        assert_eq!(client.line(), "MOVE\r\n", "nobody is there to take them");
    }
}

/// The one that runs accepts again whenever the next one dies, whether or not it had taken over.
#[test]
fn a_new_process_that_dies_before_its_yes_costs_nothing() {
    let (folder, node) = (Folder::new("dies"), Node::new("n1"));
    let (old, console) = Proxy::start_in(&folder, None, &[node.entry("ready")]);
    yes(console);
    for said in ["", "\"tak", "\"taken\"\n", "nonsense\n"] {
        // The one before has just died: until that is noticed nobody takes another.
        let asked = || UnixStream::connect(folder.file("pierloom-p0.sock")).ok();
        let mut next = until(asked).expect("a process that accepts again");
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
        all_at(&old, &node, &format!("{}", said.len()), 3);
    }
}

/// Guards against a hand-over in the middle of a line, of a job that waits for its answer, and of an end.
#[test]
fn connections_are_handed_on_whatever_they_are_at() {
    let (folder, node) = (Folder::new("at"), Node::new("n1"));
    let entries = [node.entry("ready")];
    let (mut old, console) = Proxy::start_in(&folder, None, &entries);
    yes(console);
    let (mut half, mut half_at) = old.connect("1", &node);
    half.send("up");
    half_at.send("down");
    assert_eq!((half_at.read(2), half.read(4)), (b"up".to_vec(), b"down".to_vec()));
    let (mut ends, ends_at) = old.connect("2", &node);
    ends_at.end_sending();
    assert_eq!(ends.line(), "");
    let mut waits = old.open("3");
    let (mut waits_at, _) = node.opened();
    // Taken in, and nothing heard yet.
    let mut unheard = old.client();
    unheard.send("OPEN 0a4 ");
    // The listener takes them in in order.
    old.connect("5", &node);
    let (mut new, console) = Proxy::start_in(&folder, Some(old.address), &entries);
    yes(console);
    old.signal("-TERM");
    waits_at.send("UP late\r\nmore\r\n");
    unheard.send("4 c=feed,d=4800\r\n");
    let (mut unheard_at, _) = node.opened();
    unheard_at.send("UP r\r\n");
    assert_eq!(unheard.line(), "UP r\r\n");
    assert!(old.exit().success());
    half.send(" rest\r\n");
    half_at.send(" rest\r\n");
    assert_eq!((half_at.line(), half.line()), (" rest\r\n".to_string(), " rest\r\n".to_string()));
    assert_eq!((waits.line(), waits.line()), ("UP late\r\n".to_string(), "more\r\n".to_string()));
    let mut standing = [(half, half_at), (waits, waits_at), (unheard, unheard_at)];
    still_stand(&mut standing);
    // A move waits for the end of a line that the old process saw begin.
    let page = call(console, "GET", "/stats").1;
    assert_eq!((figure(&page, "lb_concurrent"), figure(&page, "lb_success{type=\"feed\"}")), (3, 0));
    standing[0].1.send("half");
    assert_eq!(standing[0].0.read(4), b"half");
    new.signal("-TERM");
    assert!(standing[0].0.line_within(std::time::Duration::from_millis(700)).is_none());
    standing[0].1.send(" line\r\n");
    assert_eq!(standing[0].0.line(), " line\r\n");
    assert_eq!(standing[0].0.line(), "MOVE\r\n");
    drop(standing);
    assert!(new.exit().success());
}

#[test]
fn connections_that_the_next_process_does_not_take_are_moved() {
    let (folder, node) = (Folder::new("untaken"), Node::new("n1"));
    let (mut old, console) = Proxy::start_in(&folder, None, &[node.entry("ready")]);
    yes(console);
    let mut standing = all_at(&old, &node, "a", 3);
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
    for (client, _) in &mut standing {
        assert_eq!(client.line(), "MOVE\r\n");
    }
    drop(standing);
    assert!(old.exit().success());
}

#[test]
fn a_hand_over_cut_in_the_middle_leaves_a_process_that_serves() {
    let node = Node::new("n1");
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
        let other = Node::new("n2");
        let (new, console) = Proxy::start_in(&folder, None, &[node.entry("ready"), other.entry("ready")]);
        yes(console);
        all_at(&new, &node, "a", 10);
        assert!(other.untouched(), "the mark was written down");
        drop(cut.join());
    }
}

#[test]
fn what_a_killed_process_left_behind_is_met() {
    let (folder, nodes) = (Folder::new("left"), [Node::new("n1"), Node::new("n2")]);
    let entries = nodes.each_ref().map(|node| node.entry("ready"));
    let (killed, console) = Proxy::start_in(&folder, None, &entries);
    yes(console);
    assert_eq!(order(console, "n2", "maint"), 200);
    killed.signal("-KILL");
    let address = killed.address;
    drop(killed);
    let (again, console) = Proxy::start_in(&folder, Some(address), &entries);
    yes(console);
    all_at(&again, &nodes[0], "a", 20);
    assert!(nodes[1].untouched(), "the mark outlives the process");
    // And it can be upgraded in its turn.
    let (next, console) = Proxy::start_in(&folder, Some(address), &entries);
    yes(console);
    all_at(&next, &nodes[0], "b", 20);
    assert!(nodes[1].untouched());
    drop((again, next));
    std::fs::write(folder.file("pierloom-p0.withheld"), "[\"n").unwrap();
    let (spoilt, console) = Proxy::start_in(&folder, None, &entries);
    yes(console);
    all_at(&spoilt, &nodes[0], "c", 1);
}

#[test]
fn a_stop_before_the_hand_over_is_whole_is_a_planned_one() {
    let (folder, node) = (Folder::new("stop"), Node::new("n1"));
    let (mut old, console) = Proxy::start_in(&folder, None, &[node.entry("ready")]);
    yes(console);
    let mut standing = all_at(&old, &node, "a", 2);
    let next = UnixStream::connect(folder.file("pierloom-p0.sock")).unwrap();
    let mut state = String::new();
    BufReader::new(next.try_clone().unwrap()).read_line(&mut state).unwrap();
    old.signal("-TERM");
    // One that comes now still has its answer.
    let mut late = old.open("b");
    let (mut at_node, _) = node.opened();
    at_node.send("UP r\r\n");
    assert_eq!((late.line(), late.line()), ("UP r\r\n".to_string(), "MOVE\r\n".to_string()));
    assert_eq!(standing[0].0.line(), "MOVE\r\n");
    drop((standing, late, at_node));
    assert!(old.exit().success());
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
    let (first, node) = (Folder::new("says"), Node::new("n1"));
    let (old, console) = Proxy::start_in(&first, None, &[node.entry("ready")]);
    yes(console);
    let _standing = all_at(&old, &node, "a", 1);
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
    let ((client_end, mut client), (node_end, mut at_node)) = (connection(), connection());
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
    let (_new, console) = Proxy::start_in(&folder, None, &[node.entry("ready")]);
    yes(console);
    played.join().unwrap();
    client.send("m\r\n");
    assert_eq!(at_node.line(), "m\r\n");
    at_node.send("m back\r\n");
    assert_eq!(client.line(), "m back\r\n");
}

// Guards against a yes for a mark that is not written down: the folder's writes fail for a moment, and then the process
// is killed.
#[test]
fn a_mark_that_staff_got_a_yes_for_outlives_writes_that_fail_and_a_kill() {
    let (folder, node) = (Folder::new("marks"), Node::new("n1"));
    let entries = [node.entry("ready")];
    // Its first rename is that of the socket on which the next process would ask.
    let failing = ["-e", "trace=rename,renameat,renameat2,fsync,fdatasync"];
    let renames = ["-e", "inject=rename,renameat,renameat2:error=ENOSPC:when=2..4"];
    let syncs = ["-e", "inject=fsync,fdatasync:error=EIO:when=1..2"];
    let tracing = [failing, renames, syncs].concat();
    let (proxy, console) = Proxy::start_in_traced(&folder, &tracing, &entries);
    yes(console);
    until(|| folder.file("pierloom-p0.sock").exists().then_some(())).expect("an offer");
    let since = std::time::Instant::now();
    assert_eq!(order(console, "n1", "maint"), 200);
    assert!(since.elapsed() < std::time::Duration::from_secs(1), "each answer is owed within a second");
    drop(proxy);
    let (after, console) = Proxy::start_in(&folder, None, &entries);
    yes(console);
    assert!(after.open("a").line().starts_with("BUSY"));
    assert!(node.untouched(), "nothing new goes there");
    assert_eq!(order(console, "n1", "ready"), 200);
}
