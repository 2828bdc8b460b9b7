//! Signals during startup, stops with short deadlines, and clients that shut down their write side.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses a part of the harness
mod harness;

use harness::{
    Backend, Discovery, Peer, Proxy, SETTINGS, config_text, open_pipe_for_writing, poll_until,
    program_command, run_to_end, send_signal, wait_for_exit, write_config_file,
};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::time::{Duration, Instant};

// Guards against a signal that kills the process because its handler is installed too late. The config is a
// pipe, so that the signal arrives while the program reads it.
#[test]
fn a_signal_while_the_config_is_read_is_handled() {
    for (name, sent, stops) in [("early-hup", "-HUP", false), ("early-term", "-TERM", true)] {
        let (discovery, backend) = (Discovery::new(), Backend::new("n"));
        let text = config_text(discovery.address, 1024, &backend.entry("ready"), SETTINGS);
        let path = write_config_file(name, &text);
        std::fs::remove_file(&path).unwrap();
        assert!(run_to_end(Command::new("mkfifo").arg(&path)).status.success());
        let mut child = program_command(&["serve"]).env("LB_CONFIG", &path).spawn().unwrap();
        let mut pipe = open_pipe_for_writing(&path);
        send_signal(child.id(), sent);
        // A reload then reads a regular file.
        let new_path = path.with_extension("new");
        std::fs::write(&new_path, &text).unwrap();
        std::fs::rename(&new_path, &path).unwrap();
        // The write fails if the signal has killed the program.
        let _ = pipe.write_all(text.as_bytes());
        drop(pipe);
        let exited = || has_exited(child.id());
        if stops {
            let status = wait_for_exit(&mut child);
            assert!(status.success(), "{sent}: {status:?}, signal {:?}", status.signal());
            continue;
        }
        std::thread::sleep(Duration::from_millis(300));
        assert!(!exited(), "{sent} killed the program");
        send_signal(child.id(), "-KILL");
        wait_for_exit(&mut child);
    }
}

/// Whether the process has exited. Its parent may not have waited for it yet.
fn has_exited(process_id: u32) -> bool {
    std::fs::read_to_string(format!("/proc/{process_id}/stat")).map_or(true, |stat| stat.contains(") Z "))
}

// Guards against a stop whose steps leave no time for moves when deadlines are short. The process may be
// killed as early as 0.7 s plus the longest deadline after the signal.
#[test]
fn a_stop_with_short_deadlines_moves_all_clients_before_the_earliest_kill() {
    for deadline in [0.05, 0.2, 0.5] {
        let settings = SETTINGS.replace("\"deadline\":4.8", &format!("\"deadline\":{deadline}"));
        let backend = Backend::new("n");
        let mut proxy = Proxy::start_with_settings("stop-short", 1024, &[backend.entry("ready")], &settings);
        let mut connections: Vec<(Peer, Peer)> =
            (0..5).map(|i| establish(&proxy, &backend, i, deadline)).collect();
        let signaled_at = Instant::now();
        proxy.signal("-TERM");
        for (client, _) in &mut connections {
            assert_eq!(client.line_or_end(), "MOVE\r\n", "deadline {deadline} s");
        }
        drop(connections);
        assert!(proxy.wait_for_exit().success());
        let kill = Duration::from_secs_f64(deadline + 0.7);
        assert!(
            signaled_at.elapsed() < kill,
            "deadline {deadline} s: ended after {:?}",
            signaled_at.elapsed()
        );
    }
}

/// Establishes a connection whose client waits as long as the deadline of its class.
fn establish(proxy: &Proxy, backend: &Backend, number: usize, deadline_seconds: f64) -> (Peer, Peer) {
    let mut client = proxy.client();
    client.send(&format!("OPEN 0a{number} k{number} c=feed,d={}\r\n", (deadline_seconds * 1e3) as u64));
    let (mut at_backend, _) = backend.accept_first_line();
    at_backend.send("UP r1\r\n");
    assert_eq!(client.line(), "UP r1\r\n");
    (client, at_backend)
}

// Guards against a client without an answer after it shuts down its write side behind its request. The proxy
// has read the request and must answer it, whether or not the shutdown means that the client has gone.
#[test]
fn a_client_that_shuts_down_its_write_side_is_answered() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("half-closed", &[&backend]);
    let mut early = proxy.send_request("a");
    early.shutdown_write();
    assert_eq!(early.line_or_end(), "ERR\r\n", "shut down with the request");
    let mut late = proxy.send_request("b");
    let (at_backend, _) = poll_until(|| backend.try_accept_first_line()).expect("an attempt");
    late.shutdown_write();
    assert_eq!(late.line_or_end(), "ERR\r\n", "shut down during an attempt");
    drop(at_backend);
}

// Guards against a proxy that never stops after SIGTERM because the reader of its log has gone.
#[test]
fn a_stop_completes_after_the_reader_of_the_log_has_gone() {
    let (discovery, backend) = (Discovery::new(), Backend::new("n"));
    let text = config_text(discovery.address, 1024, &backend.entry("ready"), SETTINGS);
    let path = write_config_file("log-reader", &text);
    let mut child = program_command(&["serve"]).env("LB_CONFIG", &path).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    log.read_line(&mut line).unwrap();
    drop(log);
    // The proxy logs event counts for each second with events.
    std::thread::sleep(Duration::from_secs(4));
    send_signal(child.id(), "-TERM");
    assert!(wait_for_exit(&mut child).success());
}
