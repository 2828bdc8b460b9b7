//! Models of clients, and the selection of a proxy for a client.
//!
//! A well-behaved client sends a line every two seconds and reconnects after a disconnection or a MOVE. A
//! misbehaving client breaks the protocol.

use crate::lines::{LineReader, with_deadline, write_all};
use crate::rng::Rng;
use crate::script::{ClientSpec, Misbehavior};
use pierloom_host::{Host, Micros};
use rand::Rng as _;
use rand::seq::IndexedRandom;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Interval of the lines that a well-behaved client sends.
const LINE_INTERVAL_US: Micros = 2_000_000;
/// Delay before a client reconnects after a disconnection.
const RECONNECT_DELAY_US: std::ops::Range<Micros> = 83_000..1_300_000;
/// Delay before a client reconnects after a MOVE.
const MOVE_RECONNECT_DELAY_US: std::ops::Range<Micros> = 20_000..200_000;
/// Delay before a client retries after a refusal or a failure.
const RETRY_DELAY_US: std::ops::Range<Micros> = 40_000..320_000;
/// Delay before a client starts a new request after all its retries failed.
const NEW_REQUEST_DELAY_US: std::ops::Range<Micros> = 1_000_000..2_500_000;
/// Longest time that a client reads remaining bytes after it has ended its side of the connection.
const CLOSE_TIMEOUT_US: Micros = 1_000_000;
/// Length of the longest line that a misbehaving client sends.
const HUGE_LINE_BYTES: usize = 128 << 10;

/// Selects a proxy for a client, among those known to be in service.
#[derive(Default)]
pub struct ProxySelector {
    /// Zone and address of each proxy, and whether the proxy is in service.
    pub proxies: RefCell<Vec<(usize, SocketAddr, bool)>>,
}

impl ProxySelector {
    /// Returns a random proxy in service, in the client's zone if there is one.
    fn pick(&self, zone: usize, rng: &mut Rng) -> Option<SocketAddr> {
        let proxies = self.proxies.borrow();
        let in_service: Vec<_> = proxies.iter().filter(|proxy| proxy.2).collect();
        let same_zone: Vec<_> = in_service.iter().copied().filter(|proxy| proxy.0 == zone).collect();
        let candidates = if same_zone.is_empty() { &in_service } else { &same_zone };
        candidates.choose(rng).map(|proxy| proxy.1)
    }
}

/// Results of a client.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Outcome {
    /// Final answers, one letter each: `U` for UP, `B` for BUSY, `E` for a failure, `-` for none.
    pub answers: String,
    /// Number of disconnections after a MOVE.
    pub moved: u32,
    /// Number of disconnections without MOVE.
    pub cut: u32,
    /// Time for which the client wanted a connection.
    #[serde(rename = "wanted")]
    pub wanted_time: Micros,
    /// Time for which the client had an established connection.
    #[serde(rename = "stood")]
    pub connected_time: Micros,
    /// Number of lines sent.
    pub lines: u32,
    /// Number of lines answered.
    pub answered: u32,
    /// Number of lines answered within the message target.
    pub in_time: u32,
}

/// One client.
pub struct Client {
    /// Settings of the client.
    pub spec: ClientSpec,
    /// Index in the script; the request ids are derived from it.
    pub index: usize,
    /// Machine that the client runs on.
    pub host: Host,
    /// Selects the proxy of each connection.
    pub proxy_selector: Rc<ProxySelector>,
    /// Random numbers of this client.
    pub rng: RefCell<Rng>,
    /// Longest time to wait for an answer, in milliseconds.
    pub deadline_ms: u64,
    /// Target for the time between a line and its answer.
    pub message_target: Micros,
    /// Results so far.
    pub outcome: RefCell<Outcome>,
    /// Number of attempts so far.
    pub attempt_count: Cell<u32>,
}

/// Result of one connection of a client to a proxy.
enum ConnectionResult {
    /// The client left, at the end of its life or before it got an answer.
    Completed,
    /// The proxy or the backend sent MOVE and ended the connection.
    Moved,
    /// The connection broke or ended without MOVE.
    Disconnected,
    /// The request was refused, with the retry delay if the answer contained one.
    Busy(Option<Micros>),
    /// The request failed or got no answer.
    Failed,
}

impl Client {
    fn random_delay(&self, range: std::ops::Range<Micros>) -> Micros {
        self.rng.borrow_mut().random_range(range)
    }

    /// Runs the client until the end of its life.
    pub async fn run(self: Rc<Self>) {
        if let Some(misbehavior) = self.spec.misbehavior {
            return self.misbehave(misbehavior).await;
        }
        let started_at = self.host.now();
        let life_end = started_at + self.spec.life_ms * 1_000;
        let (mut reconnecting, mut is_retry, mut retries_left) = (false, false, self.spec.retries);
        while self.host.now() < life_end {
            let outcome = self.run_connection(life_end, reconnecting, is_retry).await;
            is_retry = false;
            let pause = match outcome {
                ConnectionResult::Completed => break,
                ConnectionResult::Moved => {
                    reconnecting = true;
                    self.outcome.borrow_mut().moved += 1;
                    self.random_delay(MOVE_RECONNECT_DELAY_US)
                }
                ConnectionResult::Disconnected => {
                    reconnecting = true;
                    self.outcome.borrow_mut().cut += 1;
                    self.random_delay(RECONNECT_DELAY_US)
                }
                ConnectionResult::Busy(_) | ConnectionResult::Failed if retries_left > 0 => {
                    (retries_left, is_retry) = (retries_left - 1, true);
                    match outcome {
                        ConnectionResult::Busy(Some(retry_after)) => retry_after.min(2_000_000),
                        _ => self.random_delay(RETRY_DELAY_US),
                    }
                }
                _ => {
                    retries_left = self.spec.retries;
                    self.random_delay(NEW_REQUEST_DELAY_US)
                }
            };
            self.host.sleep_until(self.host.now() + pause).await;
        }
        self.outcome.borrow_mut().wanted_time = self.host.now().min(life_end) - started_at;
    }

    /// Connects, sends one request, and keeps the connection if the request is served.
    async fn run_connection(&self, life_end: Micros, reconnecting: bool, is_retry: bool) -> ConnectionResult {
        let proxy = self.proxy_selector.pick(self.spec.zone, &mut self.rng.borrow_mut());
        let Some(proxy) = proxy else { return ConnectionResult::Failed };
        let timeout = self.deadline_ms * 1_000;
        let connected = with_deadline(&self.host, self.host.now() + timeout, self.host.connect(proxy)).await;
        let Some(Ok(stream)) = connected else { return ConnectionResult::Failed };
        let mut lines = LineReader::new(stream);
        let attempt_count = self.attempt_count.replace(self.attempt_count.get() + 1);
        let (id, key, group) =
            (format!("{:06x}{attempt_count:02x}", self.index), self.spec.key, self.spec.group);
        let again = if reconnecting { ",again=1" } else { "" };
        let retry = if is_retry { ",r=1" } else { "" };
        let request_line = format!(
            "OPEN {id} {key:016x} c=status-feed,d={},g={group:08x}{retry}{again}\r\n",
            self.deadline_ms
        );
        let stream = lines.stream.clone();
        if write_all(&stream, request_line.as_bytes()).await.is_err() {
            return ConnectionResult::Failed;
        }
        let sent_at = self.host.now();
        let leave_at = self.spec.leave_after_ms.map(|ms| sent_at + ms * 1_000);
        let answer_by = leave_at.unwrap_or(sent_at + timeout).min(sent_at + timeout);
        let answer = with_deadline(&self.host, answer_by, lines.next_line()).await;
        let classify = |answer: &Option<Option<String>>| match answer {
            Some(Some(line)) if line.starts_with("UP ") => 'U',
            Some(Some(line)) if line.starts_with("BUSY") => 'B',
            Some(Some(_)) => 'E',
            _ => '-',
        };
        let answer_code = classify(&answer);
        self.outcome.borrow_mut().answers.push(answer_code);
        match answer_code {
            'U' => {}
            'B' => {
                let line = answer.flatten().unwrap_or_default();
                let retry_after_ms = line.split(' ').nth(1).and_then(|ms| ms.parse::<u64>().ok());
                return ConnectionResult::Busy(retry_after_ms.map(|ms| ms * 1_000));
            }
            _ if leave_at.is_some() => {
                if self.spec.resets {
                    stream.reset_on_close();
                }
                return ConnectionResult::Completed;
            }
            _ => return ConnectionResult::Failed,
        }
        let established_at = self.host.now();
        let outcome = self.run_established(&mut lines, life_end).await;
        self.outcome.borrow_mut().connected_time += self.host.now() - established_at;
        outcome
    }

    /// Sends a line every two seconds on an established connection, until the end of the client's life or of
    /// the connection.
    async fn run_established(&self, lines: &mut LineReader, life_end: Micros) -> ConnectionResult {
        let stream = lines.stream.clone();
        let mut next_line_at = self.host.now() + self.random_delay(0..LINE_INTERVAL_US);
        let mut sent_times = std::collections::VecDeque::new();
        let mut moved = false;
        let mut read_at = self.host.now();
        loop {
            let pause = self.spec.read_interval_ms.map_or(0, |ms| ms * 1_000);
            let read_line = async {
                if pause > 0 {
                    self.host.sleep_until(read_at).await;
                }
                lines.next_line().await
            };
            tokio::select! {
                biased;
                line = read_line => {
                    read_at = self.host.now() + pause;
                    match line.as_deref() {
                        None if moved => return ConnectionResult::Moved,
                        None => return ConnectionResult::Disconnected,
                        Some("MOVE") => moved = true,
                        Some(line) if line.starts_with("NEWS ") => {
                            let mut outcome = self.outcome.borrow_mut();
                            outcome.answered += 1;
                            if let Some(since) = sent_times.pop_front() {
                                outcome.in_time += u32::from(self.host.now() - since <= self.message_target);
                            }
                        }
                        Some(_) => {}
                    }
                }
                () = self.host.sleep_until(next_line_at.min(life_end)) => {
                    if self.host.now() >= life_end {
                        break;
                    }
                    next_line_at = self.host.now() + LINE_INTERVAL_US;
                    sent_times.push_back(self.host.now());
                    self.outcome.borrow_mut().lines += 1;
                    if write_all(&stream, b"SEEN\r\n").await.is_err() {
                        return if moved { ConnectionResult::Moved } else { ConnectionResult::Disconnected };
                    }
                }
            }
        }
        if self.spec.resets {
            stream.reset_on_close();
        } else if stream.finish().is_ok() {
            let discard = async { while lines.next_line().await.is_some() {} };
            with_deadline(&self.host, self.host.now() + CLOSE_TIMEOUT_US, discard).await;
        }
        ConnectionResult::Completed
    }

    /// Breaks the protocol, and reads everything that the proxy sends.
    async fn misbehave(&self, misbehavior: Misbehavior) {
        let proxy = self.proxy_selector.pick(self.spec.zone, &mut self.rng.borrow_mut());
        let Some(proxy) = proxy else { return };
        let Ok(stream) = self.host.connect(proxy).await else { return };
        let mut lines = LineReader::new(stream);
        let stream = lines.stream.clone();
        let bytes: Vec<u8> = match misbehavior {
            Misbehavior::Silent => Vec::new(),
            Misbehavior::Garbage => (0..400).map(|_| self.rng.borrow_mut().random()).collect(),
            Misbehavior::NoEnd => vec![b'a'; 6_000],
            Misbehavior::WrongClass => b"OPEN ba0 k c=nothing,d=4800\r\n".to_vec(),
            Misbehavior::WrongDeadline => b"OPEN ba1 k c=status-feed,d=soon\r\n".to_vec(),
            Misbehavior::NoId => b"OPEN  c=status-feed,d=4800\r\n".to_vec(),
            Misbehavior::Half => b"OPEN ba2 k c=sta".to_vec(),
            Misbehavior::Commands => b"OPEN ba3 k c=status-feed,d=4800\r\n".repeat(300),
            Misbehavior::Huge => {
                let mut line = b"OPEN ba4 k c=status-feed,d=4800,g=".to_vec();
                line.resize(HUGE_LINE_BYTES, b'9');
                line
            }
        };
        // The proxy may close the connection before all bytes are written.
        let send = async {
            if write_all(&stream, &bytes).await.is_ok() && misbehavior == Misbehavior::Half {
                let _ = stream.finish();
            }
            std::future::pending::<()>().await;
        };
        let receive = async { while lines.next_line().await.is_some() {} };
        tokio::select! {
            biased;
            () = receive => {}
            () = send => {}
        }
    }
}
