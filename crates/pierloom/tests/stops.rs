//! Signals at the earliest and the latest moment, and stops that leave little time.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses its part
mod harness;

use harness::{
    Backend, Discovery, Peer, Proxy, SETTINGS, config_text, poll_until, program_command, write_config_file,
};
use std::io::Write;
use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::time::{Duration, Instant};

/// Sends a process a signal by its number.
fn signal(process: u32, name: &str) {
    assert!(Command::new("kill").args([name, &process.to_string()]).status().unwrap().success());
}

// Guards against a signal that ends the process since its handler comes late: the config is a pipe, so that the signal
// comes while the program reads it.
#[test]
fn a_signal_while_the_config_is_read_is_heeded_and_ends_nothing() {
    for (name, sent, stops) in [("early-hup", "-HUP", false), ("early-term", "-TERM", true)] {
        let (discovery, backend) = (Discovery::new(), Backend::new("n"));
        let text = config_text(discovery.address, 1024, &backend.entry("ready"), SETTINGS);
        let path = write_config_file(name, &text);
        std::fs::remove_file(&path).unwrap();
        assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
        let mut child = program_command(&["serve"]).env("LB_CONFIG", &path).spawn().unwrap();
        // Opens once the program does.
        let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
        signal(child.id(), sent);
        // Whatever reads it again finds a file.
        let beside = path.with_extension("new");
        std::fs::write(&beside, &text).unwrap();
        std::fs::rename(&beside, &path).unwrap();
        // One that the signal has ended reads nothing.
        let _ = pipe.write_all(text.as_bytes());
        drop(pipe);
        let ended = || child_ended(child.id());
        if stops {
            let status = child.wait().unwrap();
            assert!(status.success(), "{sent}: {status:?}, signal {:?}", status.signal());
            continue;
        }
        std::thread::sleep(Duration::from_millis(300));
        assert!(!ended(), "{sent} ended it");
        signal(child.id(), "-KILL");
        child.wait().unwrap();
    }
}

/// Whether the process has ended, and waits to be looked at.
fn child_ended(process: u32) -> bool {
    std::fs::read_to_string(format!("/proc/{process}/stat")).map_or(true, |stat| stat.contains(") Z "))
}

// Guards against a stop whose steps leave no time for moves where deadlines are short: the kill may come 0.7 s and the
// longest deadline after the signal.
#[test]
fn a_stop_with_short_deadlines_moves_everyone_before_the_earliest_kill() {
    for deadline in [0.05, 0.2, 0.5] {
        let settings = SETTINGS.replace("\"deadline\":4.8", &format!("\"deadline\":{deadline}"));
        let backend = Backend::new("n");
        let mut proxy = Proxy::start_with("stop-short", 1024, &[backend.entry("ready")], &settings);
        let mut connections: Vec<(Peer, Peer)> =
            (0..5).map(|i| connect(&proxy, &backend, i, deadline)).collect();
        let told = Instant::now();
        proxy.signal("-TERM");
        for (client, _) in &mut connections {
            assert_eq!(client.answer(), "MOVE\r\n", "deadline {deadline} s");
        }
        drop(connections);
        assert!(proxy.wait_for_exit().success());
        let kill = Duration::from_secs_f64(deadline + 0.7);
        assert!(told.elapsed() < kill, "deadline {deadline} s: ended after {:?}", told.elapsed());
    }
}

/// A connection that is up, whose client waits for as long as its class does.
fn connect(proxy: &Proxy, backend: &Backend, i: usize, deadline: f64) -> (Peer, Peer) {
    let mut client = proxy.client();
    client.send(&format!("OPEN 0a{i} k{i} c=feed,d={}\r\n", (deadline * 1e3) as u64));
    let (mut at_backend, _) = backend.accept_open();
    at_backend.send("UP r1\r\n");
    assert_eq!(client.line(), "UP r1\r\n");
    (client, at_backend)
}

// Guards against a client that ends its sending behind its request and waits: what it has asked was read, and is
// owed an answer, whether or not the end of its sending means that it has gone.
#[test]
fn a_client_that_ends_its_sending_is_answered() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("half-closed", &[&backend]);
    let mut before = proxy.open("a");
    before.shutdown_write();
    assert_eq!(before.answer(), "ERR\r\n", "ended with its request");
    let mut later = proxy.open("b");
    let (at_backend, _) = poll_until(|| backend.try_accept_open()).expect("an attempt");
    later.shutdown_write();
    assert_eq!(later.answer(), "ERR\r\n", "ended while an attempt was out");
    drop(at_backend);
}
