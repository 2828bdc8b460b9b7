//! Clients of the soak test, and the rules that they check.

use crate::backend::Backend;
use crate::plan::{Crowd, Random};
use crate::{DEADLINE_MS, PROXY_COUNT, REQUEST_AFTER_CLIENT_LEFT, TIME_LIMIT_TOLERANCE};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The answer to a request must come half a second after its deadline at the latest.
const ANSWER_LIMIT: Duration = Duration::from_millis(DEADLINE_MS + 500);
/// How long a client waits for one read.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Number of messages of a client that does not use its connection to the end.
const MIN_MESSAGES: usize = 5;
/// How long a client goes on after MOVE, if it does not leave at once.
const LINGER_AFTER_MOVE: Duration = Duration::from_millis(300);

/// How a connection ended that brought no line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoLine {
    /// Nothing came within the time.
    Silent,
    /// The proxy closed the connection.
    Closed,
    /// The proxy reset the connection.
    Reset,
}

/// A client's connection. Dropping it ends the connection at once.
struct Connection {
    reader: BufReader<TcpStream>,
    line: String,
}

impl Connection {
    fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Some(Connection { reader: BufReader::new(stream), line: String::new() })
    }

    /// Sends a line. Returns whether the connection took it.
    fn send(&mut self, line: &str) -> bool {
        self.reader.get_mut().write_all(line.as_bytes()).is_ok()
    }

    /// Reads the next line.
    fn line(&mut self, within: Duration) -> Result<String, NoLine> {
        let started_at = Instant::now();
        loop {
            match self.reader.read_line(&mut self.line) {
                Ok(0) => return Err(NoLine::Closed),
                Ok(_) => return Ok(std::mem::take(&mut self.line)),
                Err(e) if [ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&e.kind()) => {}
                Err(_) => return Err(NoLine::Reset),
            }
            if started_at.elapsed() >= within {
                return Err(NoLine::Silent);
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The other side may have ended the connection.
        let _ = self.reader.get_ref().shutdown(Shutdown::Write);
    }
}

/// State that the clients of a run share.
pub struct Run {
    proxies: Vec<SocketAddr>,
    /// Whether a proxy gets no more new clients.
    pub without_new_clients: [AtomicBool; PROXY_COUNT],
    /// Set when the clients are to end.
    pub finished: AtomicBool,
    violations: Mutex<Vec<String>>,
    served: AtomicUsize,
    /// When each client left that did not wait for its answer, by the id of its request.
    left_at: Mutex<BTreeMap<String, Instant>>,
}

impl Run {
    /// A run with proxies at these addresses.
    pub fn new(proxies: Vec<SocketAddr>) -> Self {
        Run {
            proxies,
            without_new_clients: Default::default(),
            finished: AtomicBool::new(false),
            violations: Mutex::default(),
            served: AtomicUsize::new(0),
            left_at: Mutex::default(),
        }
    }

    /// Records a violation of the rules.
    pub fn report(&self, description: String) {
        self.violations.lock().unwrap().push(description);
    }

    /// The violations, and how many requests were served.
    pub fn result(&self) -> (Vec<String>, usize) {
        (std::mem::take(&mut *self.violations.lock().unwrap()), self.served.load(Ordering::Relaxed))
    }

    /// Reports the requests that reached the backend too long after their clients had left.
    pub fn check_requests_of_clients_that_left(&self, backend: &Backend) {
        let left_at = self.left_at.lock().unwrap();
        for request in backend.requests.lock().unwrap().iter() {
            let Some(&left_at) = left_at.get(&request.id) else { continue };
            let delay = request.at.saturating_duration_since(left_at);
            if delay > REQUEST_AFTER_CLIENT_LEFT + TIME_LIMIT_TOLERANCE {
                self.report(format!("request {} arrived {delay:?} after its client had left", request.id));
            }
        }
    }

    /// Connects to a drawn proxy that still gets new clients. Returns its number as well.
    fn connect(&self, random: &mut Random) -> Option<(usize, Connection)> {
        let proxy = random.below(PROXY_COUNT);
        if self.without_new_clients[proxy].load(Ordering::Relaxed) {
            return None;
        }
        Some((proxy, Connection::open(self.proxies[proxy])?))
    }

    /// Runs one client: it sends a request, uses the connection if one is established, and tries again.
    pub fn run_client(&self, number: usize, random: &mut Random) {
        for request_number in 0.. {
            if self.finished.load(Ordering::Relaxed) {
                return;
            }
            let Some((proxy, mut connection)) = self.connect(random) else { continue };
            let name = format!("client {number} at proxy {proxy}");
            let id = format!("{number:04x}{request_number:04x}");
            if random.once_in(6) {
                self.leave_early(&id, connection, random);
            } else {
                // Some clients connect and send their request later, also while the proxy stops.
                let idle_for =
                    if random.once_in(8) { random.milliseconds_below(1_200) } else { Duration::ZERO };
                thread::sleep(idle_for);
                if self.request(&name, &id, &mut connection) {
                    self.use_connection(&name, &mut connection, random);
                }
            }
            thread::sleep(Duration::from_millis(20) + random.milliseconds_below(60));
        }
    }

    /// Sends a request and leaves without its answer.
    fn leave_early(&self, id: &str, mut connection: Connection, random: &mut Random) {
        connection.send(&request_line(id));
        thread::sleep(random.milliseconds_below(30));
        drop(connection);
        self.left_at.lock().unwrap().insert(id.to_string(), Instant::now());
    }

    /// Sends a request and waits for its answer. Returns whether the connection is established.
    fn request(&self, name: &str, id: &str, connection: &mut Connection) -> bool {
        // A proxy that has refused the connection meanwhile may not take the line any more.
        connection.send(&request_line(id));
        match connection.line(ANSWER_LIMIT) {
            Ok(line) if line.starts_with("UP ") => {
                self.served.fetch_add(1, Ordering::Relaxed);
                return true;
            }
            Ok(line) if line.starts_with("BUSY") || line.starts_with("ERR") => {
                if let Ok(line) = connection.line(Duration::from_millis(200)) {
                    self.report(format!("{name}: a second answer {line:?}"));
                }
            }
            Ok(line) => self.report(format!("{name}: {line:?}")),
            Err(how) => self.report(format!("{name}: no answer ({how:?})")),
        }
        false
    }

    /// Sends messages on an established connection until the proxy moves the client, or the client leaves.
    /// Some clients use their connection for as long as it lasts, up to the kill of the proxy.
    fn use_connection(&self, name: &str, connection: &mut Connection, random: &mut Random) {
        let to_the_end = random.once_in(2);
        let lingers = random.once_in(3);
        let messages = if to_the_end { usize::MAX } else { MIN_MESSAGES + random.below(30) };
        for _ in 0..messages {
            if self.finished.load(Ordering::Relaxed) {
                return;
            }
            // A failed write says nothing: what the proxy sent before is still to be read.
            connection.send("m\r\n");
            match connection.line(Duration::from_millis(100)) {
                Ok(line) if line == "MOVE\r\n" => {
                    if lingers {
                        self.linger(name, connection);
                    }
                    return;
                }
                Ok(_) | Err(NoLine::Silent) => {}
                // No backend closes a connection that it has accepted with UP.
                Err(how) => return self.report(format!("{name}: cut off without MOVE ({how:?})")),
            }
            if to_the_end {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// Goes on sending after MOVE. Nothing may follow MOVE but the end of the connection.
    fn linger(&self, name: &str, connection: &mut Connection) {
        let started_at = Instant::now();
        while started_at.elapsed() < LINGER_AFTER_MOVE && connection.send("m\r\n") {
            match connection.line(READ_TIMEOUT) {
                Ok(line) => return self.report(format!("{name}: {line:?} after MOVE")),
                Err(NoLine::Silent) => {}
                Err(_) => return,
            }
        }
    }

    /// Runs a crowd: many clients connect at once, half of them send their requests later, and all read their
    /// answers.
    pub fn run_crowd(&self, crowd: &Crowd, random: &mut Random) {
        thread::sleep(crowd.at);
        let mut connections: Vec<_> = (0..crowd.size).filter_map(|_| self.connect(random)).collect();
        let id = |i: usize| format!("c{i:07x}");
        let send = |connections: &mut [(usize, Connection)], rest: usize| {
            for (i, (_, connection)) in connections.iter_mut().enumerate().filter(|(i, _)| i % 2 == rest) {
                connection.send(&request_line(&id(i)));
            }
            Instant::now()
        };
        let first_sent_at = send(&mut connections, 0);
        thread::sleep(crowd.idle_for);
        let second_sent_at = send(&mut connections, 1);
        for (i, (proxy, connection)) in connections.iter_mut().enumerate() {
            let sent_at = if i % 2 == 0 { first_sent_at } else { second_sent_at };
            match connection.line(ANSWER_LIMIT.saturating_sub(sent_at.elapsed())) {
                Ok(line) if ["UP", "BUSY", "ERR"].iter().any(|answer| line.starts_with(answer)) => {}
                Ok(line) => self.report(format!("crowd {i} at proxy {proxy}: {line:?}")),
                Err(how) => self.report(format!("crowd {i} at proxy {proxy}: no answer ({how:?})")),
            }
        }
    }
}

fn request_line(id: &str) -> String {
    format!("OPEN {id} k{id} c=feed,d={DEADLINE_MS}\r\n")
}
