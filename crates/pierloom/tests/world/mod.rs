//! Starts the real program and plays those round it: clients, backends and the machine list.
//! Everything waits on events, with limits far beyond what a sound run needs.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A wait that runs into this has failed.
pub const LONG: Duration = Duration::from_secs(30);

/// Looks again and again until there is something to see; none where it takes too long.
pub fn until<T>(look: impl Fn() -> Option<T>) -> Option<T> {
    let start = Instant::now();
    while start.elapsed() < LONG {
        if let Some(seen) = look() {
            return Some(seen);
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

/// One end of a connection, by lines.
pub struct Peer {
    reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LONG)).unwrap();
        Peer { reader: BufReader::new(stream) }
    }

    pub fn connect(address: SocketAddr) -> Self {
        Peer::new(TcpStream::connect(address).unwrap())
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The next line as it came, with its end; empty once the other side has ended.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line
    }

    /// The next line, or how the connection ended in place of one.
    pub fn answer(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => "closed with no answer".into(),
            Ok(_) => line,
            Err(e) => format!("{:?} with no answer", e.kind()),
        }
    }

    /// The next line, if it comes within that time.
    pub fn line_within(&mut self, time: Duration) -> Option<String> {
        self.stream().set_read_timeout(Some(time)).unwrap();
        let mut line = String::new();
        let read = self.reader.read_line(&mut line);
        self.stream().set_read_timeout(Some(LONG)).unwrap();
        read.ok().map(|_| line)
    }

    pub fn read(&mut self, bytes: usize) -> Vec<u8> {
        let mut all = vec![0; bytes];
        self.reader.read_exact(&mut all).unwrap();
        all
    }

    /// Waits for the end; what came before it, and whether it was a reset.
    pub fn end(&mut self) -> (String, bool) {
        let mut rest = Vec::new();
        let end = self.reader.read_to_end(&mut rest);
        let reset = match end {
            Ok(_) => false,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => true,
            Err(e) => panic!("neither an end nor a reset: {e}"),
        };
        (String::from_utf8(rest).unwrap(), reset)
    }

    pub fn end_sending(&self) {
        self.stream().shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// Breaks the connection.
    pub fn reset(self) {
        socket2::SockRef::from(self.stream()).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// A backend: a listener whose connections wait to be taken.
pub struct Node {
    pub name: &'static str,
    address: SocketAddr,
    accepted: Receiver<TcpStream>,
}

impl Node {
    pub fn new(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, accepted) = channel();
        thread::spawn(move || listener.incoming().flatten().try_for_each(|stream| sender.send(stream)));
        Node { name, address, accepted }
    }

    pub fn accept(&self) -> Peer {
        Peer::new(self.accepted.recv_timeout(LONG).expect("a connection"))
    }

    /// Takes a connection and its first line.
    pub fn opened(&self) -> (Peer, String) {
        let mut peer = self.accept();
        let line = peer.line();
        (peer, line)
    }

    /// Takes a connection and its first line, if one is there.
    pub fn try_opened(&self) -> Option<(Peer, String)> {
        let mut peer = Peer::new(self.accepted.try_recv().ok()?);
        let line = peer.line();
        Some((peer, line))
    }

    /// Whether anything ever connected that was not taken.
    pub fn untouched(&self) -> bool {
        self.accepted.try_recv().is_err()
    }

    pub fn entry(&self, status: &str) -> String {
        entry(self.name, self.address, status)
    }

    /// An entry of that name for so many more that listen where this one does.
    pub fn entries(&self, names: std::ops::Range<usize>, status: &str) -> Vec<String> {
        names.map(|i| entry(&format!("s-{i}"), self.address, status)).collect()
    }
}

/// A backend whose queue of connections is full: whoever connects next comes up only once it is unplugged, when
/// the system tries again, within about a second.
pub struct Plugged {
    pub name: &'static str,
    listener: socket2::Socket,
    address: SocketAddr,
    before: Vec<TcpStream>,
}

impl Plugged {
    pub fn new(name: &'static str) -> Self {
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        Plugged { name, listener, address, before: Vec::new() }
    }

    /// Takes the next connection.
    pub fn accept(&self) -> Peer {
        Peer::new(self.listener.accept().unwrap().0.into())
    }

    /// Fills the queue.
    pub fn plug(&mut self) {
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
            self.before.push(stream);
        }
    }

    /// Takes what filled the queue, and then the first connection that was made by others.
    pub fn unplug(&mut self) -> Peer {
        let ours = |from: SocketAddr| self.before.iter().any(|stream| stream.local_addr().unwrap() == from);
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !ours(from.as_socket().unwrap()) {
                return Peer::new(stream.into());
            }
        }
    }

    pub fn entry(&self, status: &str) -> String {
        entry(self.name, self.address, status)
    }
}

/// An entry of the machine list.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// What the machine list's service was asked, and on which of its connections; `from` is 0 for the whole list. Calls that
/// only open a watch are left out.
pub struct Call {
    pub connection: usize,
    pub from: u64,
    pub at: Instant,
}

#[derive(Default)]
struct Told {
    index: u64,
    news: VecDeque<(u64, String)>,
    failures: u32,
    /// Answers that are sent as they are, each with the end of its connection.
    spoilt: VecDeque<String>,
    /// Connections accepted so far, and those below this number that nothing is said on any more.
    accepted: usize,
    mute: usize,
    /// Calls on connections below this number do not fail.
    spared: usize,
    /// How long the calls of others are worked through before one that opens a watch, whether its caller stays or not.
    turn: Duration,
}

/// The service of the machine list.
pub struct MachineList {
    pub address: SocketAddr,
    told: Arc<(Mutex<Told>, Condvar)>,
    pub calls: Receiver<Call>,
}

impl MachineList {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let told = Arc::new((Mutex::new(Told { index: 1, ..Told::default() }), Condvar::new()));
        let (sender, calls) = channel();
        let shared = told.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (told, sender) = (shared.clone(), sender.clone());
                told.0.lock().unwrap().accepted = connection + 1;
                thread::spawn(move || {
                    let (mut peer, mut first) = (Peer::new(stream), true);
                    loop {
                        let head = peer.line();
                        while !peer.line().trim().is_empty() {}
                        if head.is_empty() {
                            return;
                        }
                        let from = head.split("from=").nth(1).and_then(|rest| rest.split('&').next());
                        let from = from.map_or(0, |from| from.parse().unwrap());
                        let held = !head.contains("hold_ms=0 ");
                        // Where a watch goes on, it takes no turn.
                        let turn = told.0.lock().unwrap().turn;
                        thread::sleep(if std::mem::take(&mut first) { turn } else { Duration::ZERO });
                        // One that may not wait and finds nothing new opens a watch and is no more than that.
                        let open = |told: &Told| told.failures == 0 && told.spoilt.is_empty();
                        let up = |told: &Told| connection >= told.mute && open(told) && told.index == from;
                        if !held && up(&told.0.lock().unwrap()) {
                            let body = format!(r#"{{"index":{from},"snapshot":false,"endpoints":[]}}"#);
                            peer.send(&http(&body, body.len()));
                            continue;
                        }
                        if sender.send(Call { connection, from, at: Instant::now() }).is_err() {
                            return;
                        }
                        let (text, last) = answer(&told, from, connection);
                        // Whoever has read enough of a spoilt one may be gone.
                        let sent = peer.stream().write_all(text.as_bytes());
                        if last || sent.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        MachineList { address, told, calls }
    }

    /// Tells a change to whoever watches.
    pub fn tell(&self, entry: &str) {
        let mut told = self.told.0.lock().unwrap();
        told.index += 1;
        let index = told.index;
        told.news.push_back((index, entry.to_string()));
        self.told.1.notify_all();
    }

    /// Answers the call that waits with that, as it is, and ends its connection.
    pub fn spoil(&self, text: String) {
        self.told.0.lock().unwrap().spoilt.push_back(text);
        self.told.1.notify_all();
    }

    /// Says nothing more on the connections that there are: whoever waits there waits for ever.
    pub fn fall_silent(&self) {
        let mut told = self.told.0.lock().unwrap();
        told.mute = told.accepted;
    }

    /// Says again what it has to say on the connections on which it fell silent; calls on others fail.
    pub fn speak_late(&self) {
        let mut told = self.told.0.lock().unwrap();
        (told.spared, told.failures, told.mute) = (told.mute, u32::MAX, 0);
        self.told.1.notify_all();
    }

    /// Waits until somebody connects.
    pub fn reached(&self) {
        until(|| (self.told.0.lock().unwrap().accepted > 0).then_some(())).expect("a connection");
    }

    /// Works through the calls of others for so long before each call that opens a watch.
    pub fn make_wait(&self, turn: Duration) {
        self.told.0.lock().unwrap().turn = turn;
    }

    /// Ends the call that waits and fails as many more as it takes to make this number.
    pub fn fail(&self, calls: u32) {
        self.told.0.lock().unwrap().failures = calls;
        self.told.1.notify_all();
    }
}

/// An answer, and whether the connection ends after it.
fn answer(told: &(Mutex<Told>, Condvar), from: u64, connection: usize) -> (String, bool) {
    let fails = |told: &Told| told.failures > 0 && connection >= told.spared;
    let still = |told: &mut Told| {
        connection < told.mute || told.index <= from && !fails(told) && told.spoilt.is_empty()
    };
    let mut state = told.1.wait_timeout_while(told.0.lock().unwrap(), LONG, still).unwrap().0;
    if fails(&state) {
        state.failures -= 1;
        return ("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into(), false);
    }
    if let Some(text) = state.spoilt.pop_front() {
        return (text, true);
    }
    let news = state.news.iter().filter(|(index, _)| *index > from).map(|(_, entry)| entry.as_str());
    let entries = news.collect::<Vec<_>>().join(",");
    let (index, whole) = (state.index, from == 0);
    let body = format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{entries}]}}"#);
    (http(&body, body.len()), false)
}

/// An answer of that body, which says that it is so long.
pub fn http(body: &str, length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// One call to a second address: the status and the body of the answer, and how long it took.
pub fn call(console: SocketAddr, method: &str, path: &str) -> (u16, String, Duration) {
    let since = Instant::now();
    let mut peer = Peer::connect(console);
    peer.send(&format!("{method} {path} HTTP/1.1\r\nHost: staff\r\n\r\n"));
    let (answer, _) = peer.end();
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).expect(&answer);
    let body = answer.split_once("\r\n\r\n").expect(&answer).1;
    (status, body.to_string(), since.elapsed())
}

/// A figure of a page of figures, by its whole name.
pub fn figure(page: &str, name: &str) -> u64 {
    let line = page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {name} in {page}")).parse().unwrap()
}

/// The settings of these tests; `bounds` may say more.
pub const SETTINGS: &str = r#"{"balancers":1,"zone":"a","zones":["a"],"membership-mode":"ask","weights":"nominal",
 "bounds":{"max-attempts":4,"connect-timeout":0.2,"retry-after":true,"max-retry-after":2.0},
 "classes":[{"name":"feed","target":0.8,"deadline":4.8,"effect":"repeatable","group":"all"}],
 "feedback":{"columns":["x0","svc_ms"],"how":"probe"},
 "family-info":{"groups":true,"message-aim":[0.06]}}"#;

/// The program, and a folder for its config.
pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    pub list: MachineList,
    log: Receiver<String>,
    text: String,
    path: std::path::PathBuf,
}

/// The variables that the program goes by.
const OWN_VARIABLES: [&str; 5] = ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG", "LB_CONSOLE"];

/// A command for the program that sees nothing of this process's variables for it.
pub fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pierloom"));
    for name in OWN_VARIABLES {
        command.env_remove(name);
    }
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// `strace` as a process of its own beside the one that it starts, with those arguments.
pub fn traced(tracing: &[&str]) -> Command {
    let mut command = Command::new("strace");
    for name in OWN_VARIABLES {
        command.env_remove(name);
    }
    command.args(["-D", "-f", "-qq", "-o", "/dev/null"]).args(tracing);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// What processes share that upgrade each other.
pub struct Folder(pub std::path::PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        // Short, as the path of a socket is bounded.
        let path = std::env::temp_dir().join(format!("pierloom-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    pub fn file(&self, name: &str) -> std::path::PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Writes a config into a folder of its own, made anew.
pub fn config_file(name: &str, text: &str) -> std::path::PathBuf {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("config.json");
    std::fs::write(&path, text).unwrap();
    path
}

pub fn config(discovery: SocketAddr, sockets: u32, entries: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"p0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"00000000000000a7",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
 "known":{{"index":1,"snapshot":true,"endpoints":[{entries}]}},"settings":{settings}}}"#
    )
}

impl Proxy {
    /// Starts with these backends on its list.
    pub fn start(name: &str, nodes: &[&Node]) -> Self {
        let entries: Vec<String> = nodes.iter().map(|node| node.entry("ready")).collect();
        Proxy::start_with(name, 1024, &entries, SETTINGS)
    }

    /// Starts with so many descriptors, whatever number its config says.
    pub fn start_limited(name: &str, descriptors: u32, sockets: u32, entries: &[String]) -> Self {
        let mut shell = Command::new("sh");
        shell.args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\" serve")]);
        shell.arg(env!("CARGO_BIN_EXE_pierloom")).stderr(Stdio::piped());
        Proxy::start_command(shell, name, sockets, entries, SETTINGS)
    }

    pub fn start_with(name: &str, sockets: u32, entries: &[String], settings: &str) -> Self {
        Proxy::start_command(program(&["serve"]), name, sockets, entries, settings)
    }

    /// Starts under `strace` with these arguments; the process is the program itself.
    pub fn start_traced(name: &str, tracing: &[&str], entries: &[String], settings: &str) -> Self {
        let mut command = traced(tracing);
        command.args([env!("CARGO_BIN_EXE_pierloom"), "serve"]);
        Proxy::start_command(command, name, 1024, entries, settings)
    }

    /// Starts with a machine list that others may have too, or with none at that address.
    pub fn start_at(name: &str, discovery: SocketAddr, nodes: &[Node]) -> Self {
        let mut command = program(&["serve"]);
        command.env("LB_DISCOVERY", discovery.to_string());
        let entries: Vec<String> = nodes.iter().map(|node| node.entry("ready")).collect();
        // What its config names comes into force with a reload.
        Proxy::start_command(command, name, 1024, &entries, SETTINGS)
    }

    /// Starts with a second address; the proxy and that address.
    pub fn start_console(name: &str, sockets: u32, entries: &[String], settings: &str) -> (Self, SocketAddr) {
        let mut command = program(&["serve"]);
        command.env("LB_CONSOLE", "127.0.0.1:0");
        let proxy = Proxy::start_command(command, name, sockets, entries, settings);
        let line = proxy.logged();
        let console = line.rsplit(' ').next().unwrap().parse().expect(&line);
        (proxy, console)
    }

    /// Starts with a second address, at that first one (or a free one), in a folder that it shares with the next.
    pub fn start_in(folder: &Folder, listen: Option<SocketAddr>, entries: &[String]) -> (Self, SocketAddr) {
        Proxy::start_beside(program(&["serve"]), folder, listen, entries)
    }

    /// The same under `strace` with these arguments.
    pub fn start_in_traced(folder: &Folder, tracing: &[&str], entries: &[String]) -> (Self, SocketAddr) {
        let mut command = traced(tracing);
        command.args([env!("CARGO_BIN_EXE_pierloom"), "serve"]);
        Proxy::start_beside(command, folder, None, entries)
    }

    fn start_beside(
        mut command: Command,
        folder: &Folder,
        listen: Option<SocketAddr>,
        entries: &[String],
    ) -> (Self, SocketAddr) {
        command.env("LB_CONSOLE", "127.0.0.1:0").env("TMPDIR", &folder.0);
        command.envs(listen.map(|listen| ("LB_LISTEN", listen.to_string())));
        // Each has its own config beside what they share.
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let name = format!("upgrade-{}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let proxy = Proxy::start_command(command, &name, 1024, entries, SETTINGS);
        let line = proxy.logged();
        let console = line.rsplit(' ').next().unwrap().parse().expect(&line);
        (proxy, console)
    }

    fn start_command(
        mut command: Command,
        name: &str,
        sockets: u32,
        entries: &[String],
        settings: &str,
    ) -> Self {
        let list = MachineList::new();
        let text = config(list.address, sockets, &entries.join(","), settings);
        let path = config_file(name, &text);
        let mut child = command.env("LB_CONFIG", &path).spawn().unwrap();
        let (sender, log) = channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let named = || -> String { log.recv_timeout(LONG).expect("a line that names the address") };
        let first = std::iter::repeat_with(named).find(|line| line.contains(" listening on ")).unwrap();
        let address = first.rsplit(' ').next().unwrap().parse().expect(&first);
        Proxy { child, address, list, log, text, path }
    }

    pub fn client(&self) -> Peer {
        Peer::connect(self.address)
    }

    /// Opens a job with that key, and with an id made of it.
    pub fn open(&self, key: &str) -> Peer {
        let mut peer = self.client();
        peer.send(&format!("OPEN 0a{key} {key} c=feed,d=4800\r\n"));
        peer
    }

    /// Opens a job and has the backend say that it is up.
    pub fn connect(&self, key: &str, node: &Node) -> (Peer, Peer) {
        let mut client = self.open(key);
        let (mut at_node, _) = node.opened();
        at_node.send("UP r1\r\n");
        assert_eq!(client.line(), "UP r1\r\n");
        (client, at_node)
    }

    /// Opens a job and has whichever node it comes to say that it is up.
    pub fn connect_any(&self, key: &str, nodes: &[Node]) -> (Peer, Peer) {
        let mut client = self.open(key);
        let opened = || nodes.iter().find_map(Node::try_opened);
        let mut at_node = until(opened).expect("an attempt").0;
        at_node.send("UP r1\r\n");
        assert_eq!(client.line(), "UP r1\r\n");
        (client, at_node)
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    /// Stops it where it is; whatever arrives meanwhile is there at once when it goes on.
    pub fn halt(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = || std::fs::read_to_string(&stat).unwrap().contains(") T ").then_some(());
        until(stopped).expect("it stops");
    }

    /// Whether it is connecting to the node of that entry: the system knows of a connection that is not up yet.
    pub fn dials(&self, entry: String) -> bool {
        let port = entry.split("127.0.0.1:").nth(1).and_then(|rest| rest.split('"').next()).unwrap();
        let remote = format!("0100007F:{:04X} 02", port.parse::<u16>().unwrap());
        std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&remote)
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// Waits until a planned stop begins nothing more.
    pub fn stopping(&self) {
        let refused = || {
            let mut peer = self.open("probe");
            peer.line_within(Duration::from_millis(20)).filter(|line| line.starts_with("BUSY"))
        };
        until(refused).expect("a refusal");
    }

    /// The most memory that it ever held.
    pub fn most_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        most.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Replaces its config by that text with SIGHUP.
    pub fn reload(&self, text: &str) {
        self.replace(text);
        self.signal("-HUP");
    }

    /// Replaces its config by one with another machine list, and says nothing.
    pub fn write_config(&self, list: &MachineList) {
        self.replace(&self.text.replace(&self.list.address.to_string(), &list.address.to_string()));
    }

    fn replace(&self, text: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &self.path).unwrap();
    }

    /// Reloads with another machine list; the one before.
    pub fn turn_to(&mut self, list: MachineList) -> MachineList {
        let (old, new) = (self.list.address.to_string(), list.address.to_string());
        self.text = self.text.replace(&old, &new);
        self.reload(&self.text);
        std::mem::replace(&mut self.list, list)
    }

    /// Waits for the next line of its log. Guards against a verdict that hangs on when a second ends: the ledger's
    /// lines, one for each second in which something happened, are passed over.
    pub fn logged(&self) -> String {
        loop {
            let line = self.log.recv_timeout(LONG).expect("a line in the log");
            if !line.contains("ledger") {
                return line;
            }
        }
    }

    pub fn exit(&mut self) -> ExitStatus {
        // Its log ends with the process.
        loop {
            match self.log.recv_timeout(LONG) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => return self.child.wait().unwrap(),
                Err(RecvTimeoutError::Timeout) => panic!("the program does not exit"),
            }
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(self.path.parent().unwrap());
    }
}
