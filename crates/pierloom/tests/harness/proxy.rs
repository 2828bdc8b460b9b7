//! A running proxy, as a process of the real program.

use super::kernel_socket::KernelSocket;
use super::{
    Backend, ConfigFile, Discovery, EVENT_TIMEOUT, Folder, Peer, SETTINGS, config_text, poll_until,
    program_command, send_signal, strace_command, wait_for_exit, wait_until_healthy, write_config_file,
};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

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

    /// The same as `start_in_folder`, and waits until the proxy reports itself as serving.
    pub fn start_serving(
        folder: &Folder,
        listen: Option<SocketAddr>,
        entries: &[String],
    ) -> (Self, SocketAddr) {
        let (proxy, console) = Proxy::start_in_folder(folder, listen, entries);
        wait_until_healthy(console);
        (proxy, console)
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
        command.env("LB_CONSOLE", "127.0.0.1:0").env("TMPDIR", &folder.path);
        command.envs(folder.discovery.get().map(|discovery| ("LB_DISCOVERY", discovery.to_string())));
        command.envs(listen.map(|listen| ("LB_LISTEN", listen.to_string())));
        // Each process has its own config file outside the shared folder.
        let proxy = Proxy::start_command(command, "upgrade", 1024, entries, SETTINGS);
        folder.discovery.get_or_init(|| proxy.discovery.address);
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
        let discovery = Discovery::listing(entries);
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

impl Drop for Proxy {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
