//! Soak test: several real proxy processes, with faults and events that are drawn from a seed. The clients
//! and backends of the test look for requests that are lost, answered twice, cut off or sent to a draining
//! backend, and for a proxy that stops late, as the rules define them.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::{Proxy, SETTINGS, entry};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of proxies in each run.
const PROXY_COUNT: usize = 3;
/// Number of backends in each run.
const BACKEND_COUNT: usize = 4;
/// Number of clients in each run.
const CLIENT_COUNT: usize = 12;
/// Duration of a run. A drain that a silent watch misses must be obeyed six seconds after discovery has it,
/// so a run with silent watches ends before that and does not check the drain.
const RUN_DURATION: Duration = Duration::from_millis(4_500);
/// The deadline of the request class in these runs.
const DEADLINE_MS: u64 = 900;
/// For this long after a drain is published, requests may still reach the backend.
const DRAIN_WINDOW: Duration = Duration::from_millis(1_000);
/// Tolerance added to a time limit that is checked on real sockets.
const TIME_LIMIT_TOLERANCE: Duration = Duration::from_millis(50);
/// The earliest time after SIGTERM at which the process would be killed.
const MIN_KILL_DELAY: Duration = Duration::from_millis(DEADLINE_MS + 700);
/// How long new clients still come to a proxy after its SIGTERM.
const NEW_CLIENTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);

/// Seeds that CI runs. `PIERLOOM_SOAK_SEEDS` replaces them, as `FIRST..END`.
const SEEDS: std::ops::Range<u64> = 1..7;

/// The behaviour of a stand-in backend.
#[derive(Default)]
struct Backend {
    /// Whether the backend accepts requests and answers none.
    hangs: AtomicBool,
    /// Whether the backend closes each connection after its request.
    closes: AtomicBool,
    /// When each request arrived.
    request_times: Mutex<Vec<Instant>>,
}

fn start_backend() -> (SocketAddr, Arc<Backend>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let backend = Arc::new(Backend::default());
    let shared = backend.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let backend = shared.clone();
            thread::spawn(move || serve(&stream, &backend));
        }
    });
    (address, backend)
}

fn serve(stream: &TcpStream, backend: &Backend) {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    if lines.next().is_none() {
        return;
    }
    backend.request_times.lock().unwrap().push(Instant::now());
    if backend.closes.load(Ordering::Relaxed) {
        return;
    }
    let mut answer = "UP r\r\n";
    loop {
        while backend.hangs.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
        let mut writer = stream;
        if writer.write_all(answer.as_bytes()).is_err() || lines.next().is_none() {
            return;
        }
        answer = "m\r\n";
    }
}

/// What a client reads.
enum ReadOutcome {
    Line(String),
    TimedOut,
    Closed,
    Failed,
}

struct Client {
    reader: BufReader<TcpStream>,
    line: String,
}

impl Client {
    fn read(&mut self) -> ReadOutcome {
        match self.reader.read_line(&mut self.line) {
            Ok(0) => ReadOutcome::Closed,
            Ok(_) => ReadOutcome::Line(std::mem::take(&mut self.line)),
            Err(e) if [ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&e.kind()) => {
                ReadOutcome::TimedOut
            }
            Err(_) => ReadOutcome::Failed,
        }
    }

    /// Reads the next line. The error says how the connection ended instead, or that no line came within
    /// the time.
    fn line_or_end(&mut self, within: Duration) -> Result<String, &'static str> {
        let started_at = Instant::now();
        while started_at.elapsed() < within {
            match self.read() {
                ReadOutcome::Line(line) => return Ok(line),
                ReadOutcome::TimedOut => {}
                ReadOutcome::Closed => return Err("closed with no answer"),
                ReadOutcome::Failed => return Err("reset with no answer"),
            }
        }
        Err("no answer")
    }
}

/// State that the clients of a run share.
struct Run {
    proxies: Vec<SocketAddr>,
    /// Whether a proxy gets no more new clients.
    without_new_clients: [AtomicBool; PROXY_COUNT],
    finished: AtomicBool,
    /// Whether a backend closes connections, so that established connections may end without MOVE.
    backend_closes: AtomicBool,
    violations: Mutex<Vec<String>>,
    served: Mutex<usize>,
}

impl Run {
    /// Records a violation of the rules.
    fn report(&self, description: String) {
        self.violations.lock().unwrap().push(description);
    }

    /// Runs one client: it sends a request, uses the connection if one is established, and tries again.
    fn run_client(&self, number: usize, random: &mut Random) {
        for request_number in 0.. {
            if self.finished.load(Ordering::Relaxed) {
                return;
            }
            let proxy = random.below(PROXY_COUNT);
            if self.without_new_clients[proxy].load(Ordering::Relaxed) {
                continue;
            }
            let Ok(stream) = TcpStream::connect(self.proxies[proxy]) else { continue };
            stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
            let mut client = Client { reader: BufReader::new(stream), line: String::new() };
            let request =
                format!("OPEN {number:04x}{request_number:04x} k{number} c=feed,d={DEADLINE_MS}\r\n");
            if client.reader.get_mut().write_all(request.as_bytes()).is_err() {
                self.report(format!("client {number}: its request could not be written"));
                continue;
            }
            // The answer to a request must come half a second after its deadline at the latest.
            match client.line_or_end(Duration::from_millis(DEADLINE_MS + 500)) {
                Ok(line) if line.starts_with("UP ") => self.use_connection(number, &mut client, random),
                Ok(line) if line.starts_with("BUSY") || line.starts_with("ERR") => {
                    self.expect_no_more_lines(number, &mut client)
                }
                Ok(line) => self.report(format!("client {number} at proxy {proxy}: {line:?}")),
                Err(how) => self.report(format!("client {number} at proxy {proxy}: {how}")),
            }
            thread::sleep(Duration::from_millis(20 + random.below(60) as u64));
        }
    }

    /// Reports a violation if another line follows a final answer.
    fn expect_no_more_lines(&self, number: usize, client: &mut Client) {
        if let Ok(line) = client.line_or_end(Duration::from_millis(200)) {
            self.report(format!("client {number}: a second answer {line:?}"));
        }
    }

    /// Sends messages on an established connection until the proxy moves the client, or the client leaves.
    fn use_connection(&self, number: usize, client: &mut Client, random: &mut Random) {
        *self.served.lock().unwrap() += 1;
        for _ in 0..5 + random.below(30) {
            if self.finished.load(Ordering::Relaxed) || client.reader.get_mut().write_all(b"m\r\n").is_err() {
                return;
            }
            match client.line_or_end(Duration::from_millis(100)) {
                Ok(line) if line == "MOVE\r\n" => return,
                Ok(_) | Err("no answer") => {}
                // The backend may have closed the connection; a proxy may not close it without MOVE.
                Err(_) if self.backend_closes.load(Ordering::Relaxed) => return,
                Err(how) => return self.report(format!("client {number}: cut off without MOVE ({how})")),
            }
        }
    }
}

/// Pseudo-random numbers from a seed.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % limit
    }
}

/// Failures of system calls under which a proxy is started, as arguments of `strace`. One is drawn for each
/// proxy; the first is none.
const SYSCALL_FAULTS: [&[&str]; 5] = [
    &["-e", "trace=none"],
    &["-e", "trace=recvfrom,sendto", "-e", "inject=recvfrom,sendto:error=EINTR:when=9+4"],
    &["-e", "trace=accept4", "-e", "inject=accept4:error=ECONNABORTED:when=3+3"],
    &["-e", "trace=connect", "-e", "inject=connect:error=EADDRNOTAVAIL:when=5+3"],
    &["-e", "trace=setsockopt", "-e", "inject=setsockopt:error=ENOBUFS:when=9+3"],
];

/// Runs one seed. Returns the violations, and how many requests were served.
fn run_seed(seed: u64) -> (Vec<String>, usize) {
    let mut random = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let backends: Vec<_> = (0..BACKEND_COUNT).map(|_| start_backend()).collect();
    let entry_of = |i: usize, status| entry(&format!("s-{i}"), backends[i].0, status);
    let entries: Vec<String> = (0..BACKEND_COUNT).map(|i| entry_of(i, "ready")).collect();
    let settings =
        SETTINGS.replace("\"deadline\":4.8", &format!("\"deadline\":{}", DEADLINE_MS as f64 / 1e3));
    let start = |i: usize, random: &mut Random| {
        let fault = SYSCALL_FAULTS[random.below(SYSCALL_FAULTS.len())];
        Proxy::start_traced(&format!("soak-{seed}-{i}"), fault, &entries, &settings)
    };
    let mut proxies: Vec<Proxy> = (0..PROXY_COUNT).map(|i| start(i, &mut random)).collect();
    let run = Arc::new(Run {
        proxies: proxies.iter().map(|proxy| proxy.address).collect(),
        without_new_clients: Default::default(),
        finished: AtomicBool::new(false),
        backend_closes: AtomicBool::new(false),
        violations: Mutex::default(),
        served: Mutex::default(),
    });
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|number| {
            let (run, mut random) = (run.clone(), Random(seed ^ (number as u64) << 32 | 1));
            thread::spawn(move || run.run_client(number, &mut random))
        })
        .collect();
    let started_at = Instant::now();
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(started_at.elapsed()));
    wait_until(Duration::from_millis(600 + random.below(400) as u64));
    let silent = random.below(4) == 0;
    if silent {
        proxies.iter().for_each(|proxy| proxy.discovery.stop_answering());
    }
    let draining = random.below(BACKEND_COUNT);
    proxies.iter().for_each(|proxy| proxy.discovery.publish(&entry_of(draining, "draining")));
    let published_at = Instant::now();
    let faulty = (draining + 1) % BACKEND_COUNT;
    match random.below(3) {
        0 => {
            run.backend_closes.store(true, Ordering::Relaxed);
            backends[faulty].1.closes.store(true, Ordering::Relaxed);
        }
        1 => backends[faulty].1.hangs.store(true, Ordering::Relaxed),
        _ => {}
    }
    let suspended = random.below(PROXY_COUNT);
    proxies[suspended].signal("-STOP");
    thread::sleep(Duration::from_millis(150));
    proxies[suspended].signal("-CONT");
    let stopping = random.below(PROXY_COUNT);
    for _ in 0..random.below(3) {
        proxies[stopping].signal("-HUP");
    }
    thread::sleep(Duration::from_millis(random.below(500) as u64));
    for _ in 0..1 + random.below(2) {
        proxies[stopping].signal("-TERM");
    }
    let signaled_at = Instant::now();
    thread::sleep(NEW_CLIENTS_AFTER_SIGTERM);
    run.without_new_clients[stopping].store(true, Ordering::Relaxed);
    let status = proxies[stopping].wait_for_exit();
    if !status.success() || signaled_at.elapsed() > MIN_KILL_DELAY {
        run.report(format!("proxy {stopping} ended {:?} after SIGTERM: {status:?}", signaled_at.elapsed()));
    }
    wait_until(RUN_DURATION);
    run.finished.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let late_requests = backends[draining]
        .1
        .request_times
        .lock()
        .unwrap()
        .iter()
        .filter(|&&at| at > published_at + DRAIN_WINDOW + TIME_LIMIT_TOLERANCE)
        .count();
    if !silent && late_requests > 0 {
        run.report(format!("{late_requests} requests at a backend that had been reported as draining"));
    }
    let violations = std::mem::take(&mut *run.violations.lock().unwrap());
    let served = *run.served.lock().unwrap();
    (violations, served)
}

#[test]
fn random_runs_lose_no_request_and_break_no_rule() {
    let seeds_text = std::env::var("PIERLOOM_SOAK_SEEDS").ok();
    let range = seeds_text.as_deref().and_then(|text| text.split_once(".."));
    let seeds = range.map_or(SEEDS, |(first, end)| first.parse().unwrap()..end.parse().unwrap());
    let mut failures = Vec::new();
    for seed in seeds.clone() {
        let (violations, served) = run_seed(seed);
        if !violations.is_empty() || served < CLIENT_COUNT {
            failures.push(format!("seed {seed}: {served} served, {violations:#?}"));
        }
    }
    assert!(
        failures.is_empty(),
        "{} of {} seeds: {}",
        failures.len(),
        seeds.end - seeds.start,
        failures.join("\n")
    );
}
