//! A soak: several real processes, and one seed that draws what happens to them. What the terms count as lost, answered
//! twice, sent to a backend that leaves, cut off or stopped late is looked for from outside.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses its part
mod harness;

use harness::{Proxy, SETTINGS, entry};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: usize = 3;
const BACKENDS: usize = 4;
const CLIENTS: usize = 12;
/// How long a run lasts, and one whose watches fall silent: what they miss binds six seconds later.
const RUN: Duration = Duration::from_millis(4_500);
/// The class's deadline in these runs, the grace of a drain, and what every limit is longer by on sockets.
const DEADLINE_MS: u64 = 900;
const GRACE: Duration = Duration::from_millis(1_000);
const SLACK: Duration = Duration::from_millis(50);
/// The kill comes so long after SIGTERM at the earliest.
const KILL: Duration = Duration::from_millis(DEADLINE_MS + 700);
/// New clients come to a proxy that ends for so long.
const STILL_COMING: Duration = Duration::from_millis(300);

/// Seeds of the run in CI; `PIERLOOM_SOAK_SEEDS` names more, as `FIRST..END`.
const SEEDS: std::ops::Range<u64> = 1..7;

/// What a backend does.
#[derive(Default)]
struct Backend {
    /// It takes openings and answers none.
    hangs: AtomicBool,
    /// It ends connections as they come.
    resets: AtomicBool,
    /// When an opening came.
    opened: Mutex<Vec<Instant>>,
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
    backend.opened.lock().unwrap().push(Instant::now());
    if backend.resets.load(Ordering::Relaxed) {
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
enum Read {
    Line(String),
    Nothing,
    End,
    Broke,
}

struct Client {
    reader: BufReader<TcpStream>,
    line: String,
}

impl Client {
    fn read(&mut self) -> Read {
        match self.reader.read_line(&mut self.line) {
            Ok(0) => Read::End,
            Ok(_) => Read::Line(std::mem::take(&mut self.line)),
            Err(e) if [ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&e.kind()) => Read::Nothing,
            Err(_) => Read::Broke,
        }
    }

    /// The next line, or how the connection ended in place of one, or that none came within that time.
    fn answer(&mut self, within: Duration) -> Result<String, &'static str> {
        let since = Instant::now();
        while since.elapsed() < within {
            match self.read() {
                Read::Line(line) => return Ok(line),
                Read::Nothing => {}
                Read::End => return Err("closed with no answer"),
                Read::Broke => return Err("reset with no answer"),
            }
        }
        Err("no answer")
    }
}

/// What the clients of a run share.
struct Run {
    proxies: Vec<SocketAddr>,
    /// Proxies to which the front sends nobody new any more.
    closed: [AtomicBool; PROXIES],
    over: AtomicBool,
    /// Backends are in trouble, so that connections that stand may end without a word.
    troubled: AtomicBool,
    odd: Mutex<Vec<String>>,
    served: Mutex<usize>,
}

impl Run {
    fn note(&self, what: String) {
        self.odd.lock().unwrap().push(what);
    }

    /// One client's life: it opens, speaks while it stands, and comes again.
    fn client(&self, number: usize, chance: &mut Chance) {
        for try_number in 0.. {
            if self.over.load(Ordering::Relaxed) {
                return;
            }
            let at = chance.below(PROXIES);
            if self.closed[at].load(Ordering::Relaxed) {
                continue;
            }
            let Ok(stream) = TcpStream::connect(self.proxies[at]) else { continue };
            stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
            let mut client = Client { reader: BufReader::new(stream), line: String::new() };
            let opening = format!("OPEN {number:04x}{try_number:04x} k{number} c=feed,d={DEADLINE_MS}\r\n");
            if client.reader.get_mut().write_all(opening.as_bytes()).is_err() {
                self.note(format!("client {number}: its request could not be written"));
                continue;
            }
            // A request has its answer half a second after its time at the latest.
            match client.answer(Duration::from_millis(DEADLINE_MS + 500)) {
                Ok(line) if line.starts_with("UP ") => self.stand(number, &mut client, chance),
                Ok(line) if line.starts_with("BUSY") || line.starts_with("ERR") => {
                    self.ends(number, &mut client)
                }
                Ok(line) => self.note(format!("client {number} at proxy {at}: {line:?}")),
                Err(how) => self.note(format!("client {number} at proxy {at}: {how}")),
            }
            thread::sleep(Duration::from_millis(20 + chance.below(60) as u64));
        }
    }

    /// Nothing comes behind a final answer.
    fn ends(&self, number: usize, client: &mut Client) {
        if let Ok(line) = client.answer(Duration::from_millis(200)) {
            self.note(format!("client {number}: a second answer {line:?}"));
        }
    }

    /// Speaks on a connection that is up until it is moved, or leaves.
    fn stand(&self, number: usize, client: &mut Client, chance: &mut Chance) {
        *self.served.lock().unwrap() += 1;
        for _ in 0..5 + chance.below(30) {
            if self.over.load(Ordering::Relaxed) || client.reader.get_mut().write_all(b"m\r\n").is_err() {
                return;
            }
            match client.answer(Duration::from_millis(100)) {
                Ok(line) if line == "MOVE\r\n" => return,
                Ok(_) | Err("no answer") => {}
                // Its backend may have ended; a proxy may not without a word.
                Err(_) if self.troubled.load(Ordering::Relaxed) => return,
                Err(how) => return self.note(format!("client {number}: cut off without MOVE ({how})")),
            }
        }
    }
}

/// Chance from a seed.
struct Chance(u64);

impl Chance {
    fn below(&mut self, most: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % most
    }
}

/// Failures of system calls that a proxy is started under, by chance none.
const FAILING: [&[&str]; 5] = [
    &["-e", "trace=none"],
    &["-e", "trace=recvfrom,sendto", "-e", "inject=recvfrom,sendto:error=EINTR:when=9+4"],
    &["-e", "trace=accept4", "-e", "inject=accept4:error=ECONNABORTED:when=3+3"],
    &["-e", "trace=connect", "-e", "inject=connect:error=EADDRNOTAVAIL:when=5+3"],
    &["-e", "trace=setsockopt", "-e", "inject=setsockopt:error=ENOBUFS:when=9+3"],
];

/// Plays one seed; what it found, and how many requests were served.
fn play(seed: u64) -> (Vec<String>, usize) {
    let mut chance = Chance(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let backends: Vec<_> = (0..BACKENDS).map(|_| start_backend()).collect();
    let entry_of = |i: usize, status| entry(&format!("s-{i}"), backends[i].0, status);
    let entries: Vec<String> = (0..BACKENDS).map(|i| entry_of(i, "ready")).collect();
    let settings =
        SETTINGS.replace("\"deadline\":4.8", &format!("\"deadline\":{}", DEADLINE_MS as f64 / 1e3));
    let start = |i: usize, chance: &mut Chance| {
        let failing = FAILING[chance.below(FAILING.len())];
        Proxy::start_traced(&format!("soak-{seed}-{i}"), failing, &entries, &settings)
    };
    let mut proxies: Vec<Proxy> = (0..PROXIES).map(|i| start(i, &mut chance)).collect();
    let run = Arc::new(Run {
        proxies: proxies.iter().map(|proxy| proxy.address).collect(),
        closed: Default::default(),
        over: AtomicBool::new(false),
        troubled: AtomicBool::new(false),
        odd: Mutex::default(),
        served: Mutex::default(),
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (run, mut chance) = (run.clone(), Chance(seed ^ (number as u64) << 32 | 1));
            thread::spawn(move || run.client(number, &mut chance))
        })
        .collect();
    let began = Instant::now();
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    wait_until(Duration::from_millis(600 + chance.below(400) as u64));
    let silent = chance.below(4) == 0;
    if silent {
        proxies.iter().for_each(|proxy| proxy.discovery.stop_answering());
    }
    let draining = chance.below(BACKENDS);
    proxies.iter().for_each(|proxy| proxy.discovery.publish(&entry_of(draining, "draining")));
    let told = Instant::now();
    let trouble = (draining + 1) % BACKENDS;
    match chance.below(3) {
        0 => {
            run.troubled.store(true, Ordering::Relaxed);
            backends[trouble].1.resets.store(true, Ordering::Relaxed);
        }
        1 => backends[trouble].1.hangs.store(true, Ordering::Relaxed),
        _ => {}
    }
    let held = chance.below(PROXIES);
    proxies[held].signal("-STOP");
    thread::sleep(Duration::from_millis(150));
    proxies[held].signal("-CONT");
    let ended = chance.below(PROXIES);
    for _ in 0..chance.below(3) {
        proxies[ended].signal("-HUP");
    }
    thread::sleep(Duration::from_millis(chance.below(500) as u64));
    for _ in 0..1 + chance.below(2) {
        proxies[ended].signal("-TERM");
    }
    let terminated = Instant::now();
    thread::sleep(STILL_COMING);
    run.closed[ended].store(true, Ordering::Relaxed);
    let status = proxies[ended].wait_for_exit();
    if !status.success() || terminated.elapsed() > KILL {
        run.note(format!("proxy {ended} ended {:?} after SIGTERM: {status:?}", terminated.elapsed()));
    }
    wait_until(RUN);
    run.over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let late =
        backends[draining].1.opened.lock().unwrap().iter().filter(|&&at| at > told + GRACE + SLACK).count();
    if !silent && late > 0 {
        run.note(format!("{late} requests at a backend that had been told as draining"));
    }
    let odd = std::mem::take(&mut *run.odd.lock().unwrap());
    let served = *run.served.lock().unwrap();
    (odd, served)
}

#[test]
fn drawn_runs_lose_nobody_and_keep_the_rules() {
    let named = std::env::var("PIERLOOM_SOAK_SEEDS").ok();
    let range = named.as_deref().and_then(|named| named.split_once(".."));
    let seeds = range.map_or(SEEDS, |(first, end)| first.parse().unwrap()..end.parse().unwrap());
    let mut failures = Vec::new();
    for seed in seeds.clone() {
        let (odd, served) = play(seed);
        if !odd.is_empty() || served < CLIENTS {
            failures.push(format!("seed {seed}: {served} served, {odd:#?}"));
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
