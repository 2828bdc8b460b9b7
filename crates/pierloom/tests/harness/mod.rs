//! Test harness: starts the real program and stands in for its clients, its backends and discovery.
//! Tests wait for events, with time limits far beyond what a passing run needs.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time that a test waits for an event. A wait that takes longer fails the test.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls `condition` until it returns a value; `None` after `EVENT_TIMEOUT`.
pub fn poll_until<T>(condition: impl Fn() -> Option<T>) -> Option<T> {
    let started_at = Instant::now();
    while started_at.elapsed() < EVENT_TIMEOUT {
        if let Some(value) = condition() {
            return Some(value);
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

/// One end of a TCP connection, read line by line. Dropping it ends the connection at once.
pub struct Peer {
    reader: BufReader<TcpStream>,
}

impl Drop for Peer {
    /// Ends the sending. The close that follows does not suffice: a process that another test starts at this
    /// moment holds a copy of the descriptor until it executes its program.
    fn drop(&mut self) {
        // The other side may have ended the connection, and `reset` has.
        let _ = self.stream().shutdown(std::net::Shutdown::Write);
    }
}

impl Peer {
    /// Wraps a connection. A read or a write that takes longer than `EVENT_TIMEOUT` fails.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(EVENT_TIMEOUT)).unwrap();
        Peer { reader: BufReader::new(stream) }
    }

    /// Opens a connection to `address`.
    pub fn connect(address: SocketAddr) -> Self {
        Peer::new(TcpStream::connect_timeout(&address, EVENT_TIMEOUT).unwrap())
    }

    /// The underlying stream.
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Sends `text`, unchanged.
    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next line with its terminator; empty once the other side has closed.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line
    }

    /// Reads the next line; `None` once the other side has closed or reset the connection, or stays silent.
    pub fn next_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).ok()?;
        (read > 0).then_some(line)
    }

    /// Sends `text`, unchanged, unless the other side has closed the connection. Returns whether it was sent.
    pub fn send_if_open(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Reads the next line, or describes how the connection ended instead.
    pub fn line_or_end(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => "closed with no answer".into(),
            Ok(_) => line,
            Err(e) => format!("{:?} with no answer", e.kind()),
        }
    }

    /// Reads the next line, if it arrives within `time`.
    pub fn line_within(&mut self, time: Duration) -> Option<String> {
        self.stream().set_read_timeout(Some(time)).unwrap();
        let mut line = String::new();
        let read = self.reader.read_line(&mut line);
        self.stream().set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        read.ok().map(|_| line)
    }

    /// Reads exactly this number of bytes.
    pub fn read(&mut self, bytes: usize) -> Vec<u8> {
        let mut all = vec![0; bytes];
        self.reader.read_exact(&mut all).unwrap();
        all
    }

    /// Reads until the connection ends. Returns the bytes received, and whether the connection was reset.
    pub fn read_to_end(&mut self) -> (String, bool) {
        let mut rest = Vec::new();
        let end = self.reader.read_to_end(&mut rest);
        let reset = match end {
            Ok(_) => false,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => true,
            Err(e) => panic!("neither an end nor a reset: {e}"),
        };
        (String::from_utf8(rest).unwrap(), reset)
    }

    /// Shuts down the write side of the connection. There is nothing to shut down once the other side has reset
    /// the connection.
    pub fn shutdown_write(&self) {
        match self.stream().shutdown(std::net::Shutdown::Write) {
            Err(error) if error.kind() == ErrorKind::NotConnected => {}
            result => result.unwrap(),
        }
    }

    /// Closes the connection with a TCP reset, even if another process holds a copy of its descriptor.
    pub fn reset(self) {
        rustix::net::connect_unspec(self.stream()).unwrap();
    }
}

/// A stand-in backend: a listener whose connections wait until the test accepts them.
pub struct Backend {
    /// Name of the backend in endpoint entries.
    pub name: &'static str,
    address: SocketAddr,
    accepted: Receiver<TcpStream>,
}

impl Backend {
    /// Starts a backend that listens at a free address.
    pub fn new(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, accepted) = channel();
        thread::spawn(move || listener.incoming().flatten().try_for_each(|stream| sender.send(stream)));
        Backend { name, address, accepted }
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> Peer {
        Peer::new(self.accepted.recv_timeout(EVENT_TIMEOUT).expect("a connection"))
    }

    /// Accepts a connection and reads its first line.
    pub fn accept_first_line(&self) -> (Peer, String) {
        let mut peer = self.accept();
        let line = peer.line();
        (peer, line)
    }

    /// Accepts a connection and reads its first line, if a connection is waiting.
    pub fn try_accept_first_line(&self) -> Option<(Peer, String)> {
        let mut peer = Peer::new(self.accepted.try_recv().ok()?);
        let line = peer.line();
        Some((peer, line))
    }

    /// Whether no connection has arrived beyond those that the test accepted.
    pub fn has_no_new_connection(&self) -> bool {
        self.accepted.try_recv().is_err()
    }

    /// The endpoint entry of this backend, with this status.
    pub fn entry(&self, status: &str) -> String {
        entry(self.name, self.address, status)
    }

    /// Endpoint entries named `s-{i}` that all have the address of this backend.
    pub fn entries(&self, names: std::ops::Range<usize>, status: &str) -> Vec<String> {
        names.map(|i| entry(&format!("s-{i}"), self.address, status)).collect()
    }
}

/// A stand-in backend whose accept queue can be filled. The next connection is then established only after
/// the test empties the queue, when the kernel retransmits the SYN, within about a second.
pub struct FullQueueBackend {
    /// Name of the backend in endpoint entries.
    pub name: &'static str,
    listener: socket2::Socket,
    address: SocketAddr,
    queued: Vec<TcpStream>,
}

impl FullQueueBackend {
    /// Starts a backend that listens at a free address, with the shortest accept queue. An accept fails after
    /// `EVENT_TIMEOUT`.
    pub fn new(name: &'static str) -> Self {
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        FullQueueBackend { name, listener, address, queued: Vec::new() }
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> Peer {
        Peer::new(self.listener.accept().expect("a connection").0.into())
    }

    /// Fills the accept queue with connections of the test.
    pub fn fill_queue(&mut self) {
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
            self.queued.push(stream);
        }
    }

    /// Accepts the connections that fill the queue, and returns the first one that the test did not make.
    pub fn accept_after_queue(&mut self) -> Peer {
        let made_by_test =
            |from: SocketAddr| self.queued.iter().any(|stream| stream.local_addr().unwrap() == from);
        loop {
            let (stream, from) = self.listener.accept().expect("a connection");
            if !made_by_test(from.as_socket().unwrap()) {
                return Peer::new(stream.into());
            }
        }
    }

    /// The endpoint entry of this backend, with this status.
    pub fn entry(&self, status: &str) -> String {
        entry(self.name, self.address, status)
    }
}

/// An endpoint entry as discovery reports it.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// A call that discovery received. Calls that only open a watch are left out.
pub struct DiscoveryCall {
    /// Number of the call's connection, in the order of acceptance.
    pub connection: usize,
    /// Index of the list from which the call watches; 0 for a snapshot.
    pub from_index: u64,
    /// When the call arrived, or left the queue after the queue delay.
    pub at: Instant,
}

#[derive(Default)]
struct DiscoveryState {
    index: u64,
    updates: VecDeque<(u64, String)>,
    failures: u32,
    /// Answers that are sent unchanged. The connection is closed after each.
    raw_answers: VecDeque<String>,
    /// Number of connections accepted so far.
    accepted: usize,
    /// Calls on connections below this number get no answer.
    unanswered_below: usize,
    /// Calls on connections below this number do not fail.
    not_failed_below: usize,
    /// How long the first call of each connection waits, as if behind calls of other proxies, even if the
    /// caller has left.
    queue_delay: Duration,
}

/// A stand-in for the discovery service.
pub struct Discovery {
    /// Address of the service.
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    /// Calls received so far that the test has not taken.
    pub calls: Receiver<DiscoveryCall>,
}

impl Discovery {
    /// Starts a service at a free address. Its endpoint list has index 1 and no updates.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state =
            Arc::new((Mutex::new(DiscoveryState { index: 1, ..DiscoveryState::default() }), Condvar::new()));
        let (sender, calls) = channel();
        let shared = state.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (state, sender) = (shared.clone(), sender.clone());
                state.0.lock().unwrap().accepted = connection + 1;
                thread::spawn(move || {
                    let (mut peer, mut first) = (Peer::new(stream), true);
                    loop {
                        // The proxy may close or reset the connection at any point.
                        let Some(head) = peer.next_line() else { return };
                        while peer.next_line().is_some_and(|line| !line.trim().is_empty()) {}
                        let from = head.split("from=").nth(1).and_then(|rest| rest.split('&').next());
                        let from_index = from.map_or(0, |from| from.parse().unwrap());
                        let may_wait = !head.contains("hold_ms=0 ");
                        // Only the first call of a connection is queued; later ones continue its watch.
                        let queue_delay = state.0.lock().unwrap().queue_delay;
                        thread::sleep(if std::mem::take(&mut first) { queue_delay } else { Duration::ZERO });
                        // A call that may not wait and finds nothing new only opens a watch.
                        let answers_normally =
                            |state: &DiscoveryState| state.failures == 0 && state.raw_answers.is_empty();
                        let is_current = |state: &DiscoveryState| {
                            connection >= state.unanswered_below
                                && answers_normally(state)
                                && state.index == from_index
                        };
                        if !may_wait && is_current(&state.0.lock().unwrap()) {
                            let body = format!(r#"{{"index":{from_index},"snapshot":false,"endpoints":[]}}"#);
                            if !peer.send_if_open(&http_response(&body, body.len())) {
                                return;
                            }
                            continue;
                        }
                        if sender.send(DiscoveryCall { connection, from_index, at: Instant::now() }).is_err()
                        {
                            return;
                        }
                        let (text, closes) = next_answer(&state, from_index, connection);
                        // The proxy may have closed the connection before it read all of a raw answer.
                        if !peer.send_if_open(&text) || closes {
                            return;
                        }
                    }
                });
            }
        });
        Discovery { address, state, calls }
    }

    /// Publishes a change to all proxies that watch.
    pub fn publish(&self, entry: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.updates.push_back((index, entry.to_string()));
        self.state.1.notify_all();
    }

    /// Answers the waiting call with `text`, unchanged, and closes its connection.
    pub fn send_raw_answer(&self, text: String) {
        self.state.0.lock().unwrap().raw_answers.push_back(text);
        self.state.1.notify_all();
    }

    /// Sends no more answers on the connections accepted so far: calls there wait without end.
    pub fn stop_answering(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.unanswered_below = state.accepted;
    }

    /// Answers again on the connections that `stop_answering` silenced; calls on all others fail.
    pub fn answer_old_connections_only(&self) {
        let mut state = self.state.0.lock().unwrap();
        (state.not_failed_below, state.failures, state.unanswered_below) =
            (state.unanswered_below, u32::MAX, 0);
        self.state.1.notify_all();
    }

    /// Waits until a proxy connects.
    pub fn wait_until_connected(&self) {
        poll_until(|| (self.state.0.lock().unwrap().accepted > 0).then_some(())).expect("a connection");
    }

    /// Delays the first call of each connection, as if calls of other proxies were queued before it.
    pub fn set_queue_delay(&self, queue_delay: Duration) {
        self.state.0.lock().unwrap().queue_delay = queue_delay;
    }

    /// Fails that many calls, the waiting one included.
    pub fn fail_calls(&self, calls: u32) {
        self.state.0.lock().unwrap().failures = calls;
        self.state.1.notify_all();
    }
}

/// Waits for the next answer to a call. Returns its text, and whether the connection closes after it.
fn next_answer(
    shared: &(Mutex<DiscoveryState>, Condvar),
    from_index: u64,
    connection: usize,
) -> (String, bool) {
    let fails = |state: &DiscoveryState| state.failures > 0 && connection >= state.not_failed_below;
    let must_wait = |state: &mut DiscoveryState| {
        connection < state.unanswered_below
            || state.index <= from_index && !fails(state) && state.raw_answers.is_empty()
    };
    let mut state =
        shared.1.wait_timeout_while(shared.0.lock().unwrap(), EVENT_TIMEOUT, must_wait).unwrap().0;
    if fails(&state) {
        state.failures -= 1;
        return ("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into(), false);
    }
    if let Some(text) = state.raw_answers.pop_front() {
        return (text, true);
    }
    let updates =
        state.updates.iter().filter(|(index, _)| *index > from_index).map(|(_, entry)| entry.as_str());
    let entries = updates.collect::<Vec<_>>().join(",");
    let (index, is_snapshot) = (state.index, from_index == 0);
    let body = format!(r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{entries}]}}"#);
    (http_response(&body, body.len()), false)
}

/// An HTTP response with this body and this `Content-Length`, which may differ from the actual length.
pub fn http_response(body: &str, length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Calls a console. Returns the status and the body of the answer, and how long the call took.
pub fn call_console(console: SocketAddr, method: &str, path: &str) -> (u16, String, Duration) {
    let started_at = Instant::now();
    let mut peer = Peer::connect(console);
    peer.send(&format!("{method} {path} HTTP/1.1\r\nHost: staff\r\n\r\n"));
    let (answer, _) = peer.read_to_end();
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).expect(&answer);
    let body = answer.split_once("\r\n\r\n").expect(&answer).1;
    (status, body.to_string(), started_at.elapsed())
}

/// The value of a metric on a metrics page, by its full name with labels.
pub fn metric_value(page: &str, name: &str) -> u64 {
    let line = page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {name} in {page}")).parse().unwrap()
}

/// The default settings of these tests.
pub const SETTINGS: &str = r#"{"balancers":1,"zone":"a","zones":["a"],"membership-mode":"ask","weights":"nominal",
 "bounds":{"max-attempts":4,"connect-timeout":0.2,"retry-after":true,"max-retry-after":2.0},
 "classes":[{"name":"feed","target":0.8,"deadline":4.8,"effect":"repeatable","group":"all"}],
 "feedback":{"columns":["x0","svc_ms"],"how":"probe"},
 "family-info":{"groups":true,"message-aim":[0.06]}}"#;

/// A running proxy process with its config file and its stand-in discovery service.
pub struct Proxy {
    child: Child,
    /// Address at which the proxy accepts clients.
    pub address: SocketAddr,
    /// Discovery service named in the config.
    pub discovery: Discovery,
    log: Receiver<String>,
    config: String,
    config_path: ConfigFile,
}

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

/// The test's end of a handover between two processes. A wait that takes longer than `EVENT_TIMEOUT` fails.
pub struct HandoverPeer {
    stream: UnixStream,
    messages: BufReader<UnixStream>,
}

impl HandoverPeer {
    fn new(stream: UnixStream) -> Self {
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(EVENT_TIMEOUT)).unwrap();
        let messages = BufReader::new(stream.try_clone().unwrap());
        HandoverPeer { stream, messages }
    }

    /// Connects to the process that hands over at `path`, as its successor.
    pub fn connect(path: &std::path::Path) -> std::io::Result<Self> {
        UnixStream::connect(path).map(HandoverPeer::new)
    }

    /// Accepts the process that takes over from the test.
    pub fn accept(listener: &UnixListener) -> Self {
        socket2::SockRef::from(listener).set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        HandoverPeer::new(listener.accept().expect("a process that takes over").0)
    }

    /// The underlying stream.
    pub fn stream(&self) -> &UnixStream {
        &self.stream
    }

    /// Sends `text`, unchanged.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next message. Fails once the other process has closed.
    pub fn message(&mut self) -> String {
        let mut message = String::new();
        assert!(self.messages.read_line(&mut message).unwrap() > 0, "the other process closed the handover");
        message
    }
}

/// Opens a named pipe for writing, once another process has opened it for reading.
pub fn open_pipe_for_writing(path: &std::path::Path) -> std::fs::File {
    let (sender, opened) = channel();
    let path = path.to_path_buf();
    // This open blocks until another process opens the pipe.
    thread::spawn(move || sender.send(std::fs::OpenOptions::new().write(true).open(path).unwrap()));
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

/// A folder shared by proxy processes that upgrade each other.
pub struct Folder(pub std::path::PathBuf);

impl Folder {
    /// Creates the folder. It is removed when the value is dropped.
    pub fn new(name: &str) -> Self {
        // The path is short because the length of a Unix socket path is limited.
        let path = std::env::temp_dir().join(format!("pierloom-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    /// Path of a file in the folder.
    pub fn file(&self, name: &str) -> std::path::PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A config file in its own folder, which is removed when the value is dropped.
pub struct ConfigFile(std::path::PathBuf);

impl std::ops::Deref for ConfigFile {
    type Target = std::path::Path;

    fn deref(&self) -> &std::path::Path {
        &self.0
    }
}

impl AsRef<std::path::Path> for ConfigFile {
    fn as_ref(&self) -> &std::path::Path {
        &self.0
    }
}

impl AsRef<std::ffi::OsStr> for ConfigFile {
    fn as_ref(&self) -> &std::ffi::OsStr {
        self.0.as_ref()
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(self.0.parent().unwrap());
    }
}

/// Writes a config file into its own folder. No other call, in this process or another one that runs at the
/// same time, uses that folder.
pub fn write_config_file(name: &str, text: &str) -> ConfigFile {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let (process, number) = (std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{process}-{number}"));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("config.json");
    std::fs::write(&path, text).unwrap();
    ConfigFile(path)
}

/// The text of a config file with this discovery address, descriptor limit, endpoint entries and settings.
pub fn config_text(
    discovery: SocketAddr,
    configured_descriptors: u32,
    entries: &str,
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"p0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"00000000000000a7",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":{configured_descriptors}}},
 "known":{{"index":1,"snapshot":true,"endpoints":[{entries}]}},"settings":{settings}}}"#
    )
}

impl Proxy {
    /// Starts a proxy whose initial endpoints are these backends, all ready.
    pub fn start(name: &str, backends: &[&Backend]) -> Self {
        let entries: Vec<String> = backends.iter().map(|backend| backend.entry("ready")).collect();
        Proxy::start_with_settings(name, 1024, &entries, SETTINGS)
    }

    /// Starts a proxy that the system limits to `max_descriptors`, while its config names
    /// `configured_descriptors`.
    pub fn start_limited(
        name: &str,
        max_descriptors: u32,
        configured_descriptors: u32,
        entries: &[String],
    ) -> Self {
        let mut shell = Command::new("sh");
        shell.args(["-c", &format!("ulimit -n {max_descriptors}; exec \"$0\" serve")]);
        shell.arg(env!("CARGO_BIN_EXE_pierloom")).stderr(Stdio::piped());
        Proxy::start_command(shell, name, configured_descriptors, entries, SETTINGS)
    }

    /// Starts a proxy with this descriptor limit, these initial endpoints and these settings.
    pub fn start_with_settings(
        name: &str,
        configured_descriptors: u32,
        entries: &[String],
        settings: &str,
    ) -> Self {
        Proxy::start_command(program_command(&["serve"]), name, configured_descriptors, entries, settings)
    }

    /// Starts a proxy under `strace` with these arguments; signals go to the proxy itself.
    pub fn start_traced(name: &str, tracing: &[&str], entries: &[String], settings: &str) -> Self {
        let mut command = strace_command(tracing);
        command.args([env!("CARGO_BIN_EXE_pierloom"), "serve"]);
        Proxy::start_command(command, name, 1024, entries, settings)
    }

    /// Starts a proxy with a discovery address that other proxies may share, or where no service listens.
    pub fn start_with_discovery(name: &str, discovery: SocketAddr, backends: &[Backend]) -> Self {
        let mut command = program_command(&["serve"]);
        command.env("LB_DISCOVERY", discovery.to_string());
        let entries: Vec<String> = backends.iter().map(|backend| backend.entry("ready")).collect();
        // The discovery address of the config takes effect at a reload.
        Proxy::start_command(command, name, 1024, &entries, SETTINGS)
    }

    /// Starts a proxy with a console. Returns the proxy and the address of its console.
    pub fn start_with_console(
        name: &str,
        configured_descriptors: u32,
        entries: &[String],
        settings: &str,
    ) -> (Self, SocketAddr) {
        let mut command = program_command(&["serve"]);
        command.env("LB_CONSOLE", "127.0.0.1:0");
        let proxy = Proxy::start_command(command, name, configured_descriptors, entries, settings);
        let line = proxy.next_log_line();
        let console = line.rsplit(' ').next().unwrap().parse().expect(&line);
        (proxy, console)
    }

    /// Starts a proxy with a console, at `listen` or a free address. Its successor shares the folder.
    pub fn start_in_folder(
        folder: &Folder,
        listen: Option<SocketAddr>,
        entries: &[String],
    ) -> (Self, SocketAddr) {
        Proxy::start_sharing_folder(program_command(&["serve"]), folder, listen, entries)
    }

    /// The same as `start_in_folder`, under `strace` with these arguments.
    pub fn start_in_folder_traced(
        folder: &Folder,
        tracing: &[&str],
        entries: &[String],
    ) -> (Self, SocketAddr) {
        let mut command = strace_command(tracing);
        command.args([env!("CARGO_BIN_EXE_pierloom"), "serve"]);
        Proxy::start_sharing_folder(command, folder, None, entries)
    }

    fn start_sharing_folder(
        mut command: Command,
        folder: &Folder,
        listen: Option<SocketAddr>,
        entries: &[String],
    ) -> (Self, SocketAddr) {
        command.env("LB_CONSOLE", "127.0.0.1:0").env("TMPDIR", &folder.0);
        command.envs(listen.map(|listen| ("LB_LISTEN", listen.to_string())));
        // Each process has its own config file outside the shared folder.
        let proxy = Proxy::start_command(command, "upgrade", 1024, entries, SETTINGS);
        let line = proxy.next_log_line();
        let console = line.rsplit(' ').next().unwrap().parse().expect(&line);
        (proxy, console)
    }

    fn start_command(
        mut command: Command,
        name: &str,
        configured_descriptors: u32,
        entries: &[String],
        settings: &str,
    ) -> Self {
        let discovery = Discovery::new();
        let config = config_text(discovery.address, configured_descriptors, &entries.join(","), settings);
        let config_path = write_config_file(name, &config);
        let mut child = command.env("LB_CONFIG", &config_path).spawn().unwrap();
        let (sender, log) = channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let next_line =
            || -> String { log.recv_timeout(EVENT_TIMEOUT).expect("a line that names the address") };
        let first = std::iter::repeat_with(next_line).find(|line| line.contains(" listening on ")).unwrap();
        let address = first.rsplit(' ').next().unwrap().parse().expect(&first);
        Proxy { child, address, discovery, log, config, config_path }
    }

    /// Opens a client connection to the proxy.
    pub fn client(&self) -> Peer {
        Peer::connect(self.address)
    }

    /// Sends a request with this key, and with an id made from it.
    pub fn send_request(&self, key: &str) -> Peer {
        let mut peer = self.client();
        peer.send(&format!("OPEN 0a{key} {key} c=feed,d=4800\r\n"));
        peer
    }

    /// Sends a request and answers it at `backend` with `UP`. Returns the client and the backend connection.
    pub fn establish(&self, key: &str, backend: &Backend) -> (Peer, Peer) {
        let mut client = self.send_request(key);
        let (mut at_backend, _) = backend.accept_first_line();
        at_backend.send("UP r1\r\n");
        assert_eq!(client.line(), "UP r1\r\n");
        (client, at_backend)
    }

    /// Sends a request and answers it with `UP` at the backend that it reaches.
    pub fn establish_at_any(&self, key: &str, backends: &[Backend]) -> (Peer, Peer) {
        let mut client = self.send_request(key);
        let attempt = || backends.iter().find_map(Backend::try_accept_first_line);
        let mut at_backend = poll_until(attempt).expect("an attempt").0;
        at_backend.send("UP r1\r\n");
        assert_eq!(client.line(), "UP r1\r\n");
        (client, at_backend)
    }

    /// Sends a signal, named as for `kill`, to the proxy.
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Suspends the process. Everything that arrives meanwhile is ready at the same time when it resumes.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = || std::fs::read_to_string(&stat).unwrap().contains(") T ").then_some(());
        poll_until(stopped).expect("a suspended process");
    }

    /// Whether the proxy is connecting to the backend of `entry`: the kernel lists a socket in SYN_SENT.
    pub fn is_connecting_to(&self, entry: String) -> bool {
        let port = entry.split("127.0.0.1:").nth(1).and_then(|rest| rest.split('"').next()).unwrap();
        let remote = format!("0100007F:{:04X} 02", port.parse::<u16>().unwrap());
        std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&remote)
    }

    /// Resumes a suspended process, once the ends of all clients that have left it have arrived.
    pub fn resume(&self) {
        poll_until(|| (!self.awaits_end_of_client()).then_some(())).expect("the ends of all clients");
        self.signal("-CONT");
    }

    /// Whether a client has ended its connection and the end has not arrived at the proxy's socket. The client's
    /// own socket does not tell, as the acknowledgement of its end may be delayed.
    fn awaits_end_of_client(&self) -> bool {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let sockets: Vec<KernelSocket> = table.lines().filter_map(KernelSocket::parse).collect();
        let proxy = format!("0100007F:{:04X}", self.address.port());
        let is_established = |local: &str, remote: &str| {
            sockets.iter().any(|socket| {
                (socket.local, socket.remote, socket.state) == (local, remote, KernelSocket::ESTABLISHED)
            })
        };
        let has_ended =
            |socket: &&KernelSocket| socket.remote == proxy && socket.state != KernelSocket::ESTABLISHED;
        sockets.iter().filter(has_ended).any(|client| is_established(&proxy, client.local))
    }

    /// Waits until a proxy in a planned stop refuses new requests.
    pub fn wait_until_stopping(&self) {
        let refused = || {
            let mut peer = self.send_request("probe");
            peer.line_within(Duration::from_millis(20)).filter(|line| line.starts_with("BUSY"))
        };
        poll_until(refused).expect("a refusal");
    }

    /// The peak resident memory of the process.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Replaces the config file by `text` and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        self.replace_config(text);
        self.signal("-HUP");
    }

    /// Replaces the config file by one with another discovery address, without a signal.
    pub fn replace_discovery_in_config(&self, discovery: &Discovery) {
        self.replace_config(
            &self.config.replace(&self.discovery.address.to_string(), &discovery.address.to_string()),
        );
    }

    fn replace_config(&self, text: &str) {
        let new = self.config_path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &*self.config_path).unwrap();
    }

    /// Reloads with another discovery service. Returns the previous one.
    pub fn reload_with_discovery(&mut self, discovery: Discovery) -> Discovery {
        let (old, new) = (self.discovery.address.to_string(), discovery.address.to_string());
        self.config = self.config.replace(&old, &new);
        self.reload(&self.config);
        std::mem::replace(&mut self.discovery, discovery)
    }

    /// Waits for the next log line. Skips the event counts, which the proxy logs for each second with events,
    /// so that a test result does not depend on when a second ends.
    pub fn next_log_line(&self) -> String {
        loop {
            let line = self.log.recv_timeout(EVENT_TIMEOUT).expect("a line in the log");
            if !line.contains("ledger") {
                return line;
            }
        }
    }

    /// Waits for the process to exit by that time. Kills it and returns `None` if it does not.
    pub fn wait_or_kill(&mut self, at: Instant) -> Option<ExitStatus> {
        while Instant::now() < at {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(2));
        }
        self.child.kill().unwrap();
        None
    }

    /// Waits for the process to exit.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        // The log ends when the process exits.
        loop {
            match self.log.recv_timeout(EVENT_TIMEOUT) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => return wait_for_exit(&mut self.child),
                Err(RecvTimeoutError::Timeout) => panic!("the program does not exit"),
            }
        }
    }
}

/// A socket as `/proc/net/tcp` lists it.
struct KernelSocket<'a> {
    local: &'a str,
    remote: &'a str,
    state: &'a str,
}

impl<'a> KernelSocket<'a> {
    /// The state of a connection that neither side has ended.
    const ESTABLISHED: &'static str = "01";

    fn parse(line: &'a str) -> Option<Self> {
        let mut fields = line.split_whitespace().skip(1);
        Some(KernelSocket { local: fields.next()?, remote: fields.next()?, state: fields.next()? })
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
