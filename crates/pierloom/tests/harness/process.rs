//! Processes that a test starts: the program itself, and commands beside it.

use super::EVENT_TIMEOUT;
use std::fs::{File, OpenOptions};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// The environment variables that the program reads.
const PROGRAM_VARIABLES: [&str; 5] = ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG", "LB_CONSOLE"];

/// A command that runs the program without the variables of `PROGRAM_VARIABLES`.
pub fn program_command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pierloom"));
    for name in PROGRAM_VARIABLES {
        command.env_remove(name);
    }
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Waits for a process to exit.
pub fn wait_for_exit(child: &mut Child) -> ExitStatus {
    let started_at = Instant::now();
    while started_at.elapsed() < EVENT_TIMEOUT {
        if let Some(status) = child.try_wait().unwrap() {
            return status;
        }
        thread::sleep(Duration::from_millis(2));
    }
    child.kill().unwrap();
    panic!("the program does not exit");
}

/// Runs a command to its end. Returns its output, which must be short: it is read after the end.
pub fn run_to_end(command: &mut Command) -> Output {
    let mut child = command.spawn().unwrap();
    wait_for_exit(&mut child);
    child.wait_with_output().unwrap()
}

/// Sends a signal, named as for `kill`, to a process.
pub fn send_signal(process_id: u32, name: &str) {
    let mut kill = Command::new("kill").args([name, &process_id.to_string()]).spawn().unwrap();
    assert!(wait_for_exit(&mut kill).success());
}

/// Opens a named pipe for writing, once another process has opened it for reading.
pub fn open_pipe_for_writing(path: &Path) -> File {
    let (sender, opened) = channel();
    let path = path.to_path_buf();
    // This open blocks until another process opens the pipe.
    thread::spawn(move || sender.send(OpenOptions::new().write(true).open(path).unwrap()));
    opened.recv_timeout(EVENT_TIMEOUT).expect("a process that opens the pipe")
}

/// A command that runs `strace` with these arguments, detached: the started process is the traced program.
pub fn strace_command(tracing: &[&str]) -> Command {
    let mut command = Command::new("strace");
    for name in PROGRAM_VARIABLES {
        command.env_remove(name);
    }
    command.args(["-D", "-f", "-qq", "-o", "/dev/null"]).args(tracing);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}
