//! The rules, checked from what crosses the sockets and from what the world knows of its own parties. It never
//! looks into a proxy.

use crate::net::Segment;
use crate::sim::{EPOCH, ProcessId};
use pierloom_host::Micros;
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::Xxh3;

/// What every time limit is longer by on sockets.
const GRACE: Micros = 50_000;
/// Nothing new goes to an execute node this long after a proxy was told that it drains or is gone.
const DRAIN: Micros = 1_000_000;
/// A line may be held back this long.
const HELD: Micros = 1_000_000;
/// An end is passed on within this.
const END: Micros = 1_000_000;
/// A silent execute node's connections are moved within this.
const SILENT: Micros = 7_000_000;
/// The next call of a watch comes within this.
const WATCH: Micros = 200_000;
/// A call comes this long after the one before at the latest, whatever became of that: the longest hold of ten
/// seconds, what a proxy may wait beyond it, and its longest pause.
const ASKED: Micros = 18_000_000;
/// A proxy calls discovery no more often than this, beside one call for each change; calls in a second.
const CALLS: usize = 12;
/// A bad submitter has its error or its close within this.
const BAD: Micros = 3_000_000;
/// How often what did not happen is looked for.
const SWEEP: Micros = 250_000;
/// Crossings that are kept to show what led to a breach, and how many of them are shown.
const KEPT: usize = 4_000;
const SHOWN: usize = 14;
/// Bytes of a crossing that are kept.
const HEAD: usize = 48;

/// What becomes of everything that crosses the sockets, beside its check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trace {
    /// Nothing.
    #[default]
    None,
    /// It is printed.
    Print,
    /// It is kept in words.
    Keep,
}

/// What a process is to the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A proxy, by its place in the script.
    Proxy(usize),
    /// An execute node, by its place.
    Backend(usize),
    /// A submitter, by its place; one that is bad, or that reads slowly.
    Client {
        /// Its place.
        index: usize,
        /// It keeps no protocol and is owed an error or a close.
        bad: bool,
        /// It reads when it likes, so that lines to it may wait.
        slow: bool,
    },
    /// The service of the machine list.
    Discovery,
    /// Anybody else.
    Other,
}

/// A rule that the observer checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A job without its final answer in time.
    Unanswered,
    /// Anything after a final answer.
    AnsweredTwice,
    /// Two claims of a job out at once.
    TwoClaims,
    /// Something new to an execute node after its drain window.
    DrainWindow,
    /// A cold execute node sent over its multiple.
    ColdOverrun,
    /// Served with what no execute node sent, or a first line that no submitter sent.
    MadeUp,
    /// Bytes changed on a connection that stands.
    Changed,
    /// A connection cut off without MOVE while its execute node answers.
    Cut,
    /// A line held back.
    HeldBack,
    /// An end not passed on in time.
    EndKept,
    /// A silent execute node's connection kept.
    SilentKept,
    /// A watch not carried on in time.
    WatchGap,
    /// Discovery called too often.
    Hammering,
    /// A bad submitter without its error or close in time.
    BadUnanswered,
    /// Tasks, descriptors or connections left over at the end.
    LeftOver,
    /// A panic.
    Panic,
    /// The proxy ended without being told to, or would not end.
    Exit,
    /// The proxy never comes to rest within one instant.
    Restless,
}

/// A broken rule.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, since the start of the run; microseconds.
    pub at: Micros,
    /// Who, and how.
    pub what: String,
    /// The last crossings that concern the parties.
    #[serde(rename = "led_to")]
    pub preceding_events: Vec<String>,
}

/// What a run held.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counts {
    /// Connections opened.
    pub connections: u64,
    /// Jobs whose opening reached a proxy.
    #[serde(rename = "jobs")]
    pub requests: u64,
    /// Of them, served, refused and failed.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Claims sent to execute nodes.
    #[serde(rename = "claims")]
    pub attempts: u64,
    /// Moves.
    pub moves: u64,
    /// Crossings: bytes, ends and resets, sent or arrived.
    #[serde(rename = "crossings")]
    pub network_events: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Opened,
    Sent,
    Arrived,
}

struct NetworkEvent {
    at: Micros,
    connection: usize,
    /// Whose doing: 0 for the side that connected.
    end: usize,
    phase: Phase,
    what: Shape,
}

#[derive(Clone, Copy)]
enum Shape {
    Bytes(usize, [u8; HEAD]),
    Fin,
    Reset,
    None,
}

/// Bytes that came and have not gone out on the other side yet.
#[derive(Default)]
struct Passing {
    chunks: VecDeque<(Micros, VecDeque<u8>)>,
    /// The last byte that went out ended a line.
    between: bool,
}

impl Passing {
    fn came(&mut self, at: Micros, bytes: &[u8]) {
        self.chunks.push_back((at, bytes.iter().copied().collect()));
    }

    /// Takes that byte if it is the next.
    fn take(&mut self, byte: u8) -> bool {
        let Some((_, first)) = self.chunks.front_mut() else { return false };
        if first.front() != Some(&byte) {
            return false;
        }
        first.pop_front();
        if first.is_empty() {
            self.chunks.pop_front();
        }
        self.between = byte == b'\n';
        true
    }

    /// Since when a whole line waits.
    fn oldest_line(&self) -> Option<Micros> {
        let whole = self.chunks.iter().any(|(_, bytes)| bytes.contains(&b'\n'));
        self.chunks.front().map(|(at, _)| *at).filter(|_| whole)
    }
}

/// A connection between a submitter and a proxy.
#[derive(Default)]
struct Submission {
    proxy: usize,
    bad: bool,
    slow: bool,
    opened_at: Micros,
    line: Vec<u8>,
    sent_at: Micros,
    /// The job's id, when its last byte came and until when it waits.
    request: Option<(String, Micros, Micros)>,
    first_line: Vec<u8>,
    /// What the proxy has written of the line it is writing.
    answer: Vec<u8>,
    answers: u32,
    up: bool,
    moved: bool,
    moving: usize,
    /// The submitter's end arrived at the proxy.
    left: Option<Micros>,
    /// The proxy ended it.
    ended: Option<Micros>,
    attempt: Option<usize>,
    up_passing: Passing,
    down_passing: Passing,
    /// When each line went up that has no line back yet.
    waiting: VecDeque<Micros>,
}

/// A connection between a proxy and an execute node.
#[derive(Default)]
struct Attempt {
    proxy: usize,
    backend: usize,
    first: Vec<u8>,
    first_whole: bool,
    id: Option<String>,
    submission: Option<usize>,
    /// The execute node's end arrived at the proxy.
    gone: Option<Micros>,
    /// The proxy ended its side.
    ended: bool,
    came: Vec<u8>,
    said_end: bool,
}

/// A connection between a proxy and discovery.
#[derive(Default)]
struct Call {
    proxy: usize,
    request: Vec<u8>,
    answer: Vec<u8>,
    /// The call that is out asks for the whole list.
    whole: bool,
    /// Its number among the calls of that proxy.
    number: u64,
}

enum Kind {
    Submission(Submission),
    Attempt(Attempt),
    Call(Call),
    Other,
}

struct Line {
    from: ProcessId,
    to: ProcessId,
    kind: Kind,
}

#[derive(Default)]
struct Proxy {
    process: ProcessId,
    running: bool,
    /// When it was told to stop.
    stopping: Option<Micros>,
    told: BTreeMap<usize, Micros>,
    /// Since when each execute node runs, as it was told.
    starts: BTreeMap<usize, Micros>,
    answered_at: Option<Micros>,
    /// Calls to discovery so far.
    called: u64,
    /// When it last asked discovery, or started or was told where discovery is.
    asked_at: Micros,
    calls: VecDeque<Micros>,
    changes: VecDeque<Micros>,
    attempts: BTreeMap<String, usize>,
    requests: BTreeMap<String, usize>,
}

/// What the world knows of an execute node.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendState {
    /// It runs and is not cut off.
    pub answers: bool,
    /// When it started, if it started cold.
    pub cold_since: Option<Micros>,
    /// Connections a second whose load fills it, when warm.
    pub rate: f64,
}

/// The figures of the fourth rule.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartRule {
    /// Share of its capacity at the start.
    pub from: f64,
    /// Warm after this; microseconds.
    pub warm: Micros,
    /// Falls over beyond this multiple...
    pub multiple: f64,
    /// ...over this time; microseconds.
    pub fall: Micros,
}

#[derive(Default)]
struct Backend {
    truth: BackendState,
    /// Openings that reached it: when, and whether the proxy had been told of its start.
    reached: VecDeque<(Micros, bool)>,
}

/// Watches a run.
pub struct Observer {
    cold: SlowStartRule,
    roles: Vec<(Role, String)>,
    lines: Vec<Line>,
    live: Vec<usize>,
    proxies: Vec<Proxy>,
    backends: Vec<Backend>,
    names: BTreeMap<String, usize>,
    kept: VecDeque<NetworkEvent>,
    digest: Xxh3,
    next_sweep: Micros,
    now: Micros,
    trace: Trace,
    /// Every crossing in words, where it was asked for.
    pub trace_lines: Vec<String>,
    /// Broken rules, in order; at most a few of each run are kept.
    pub violations: Vec<Violation>,
    /// What the run held.
    pub counts: Counts,
}

/// Most breaches that a run keeps.
const MAX_VIOLATIONS: usize = 20;

impl Observer {
    /// An observer of that many proxies and of execute nodes of those names.
    pub fn new(proxies: usize, backends: &[String], cold: SlowStartRule, trace: Trace) -> Self {
        Observer {
            cold,
            roles: Vec::new(),
            lines: Vec::new(),
            live: Vec::new(),
            proxies: (0..proxies).map(|_| Proxy::default()).collect(),
            backends: backends.iter().map(|_| Backend::default()).collect(),
            names: backends.iter().cloned().enumerate().map(|(i, name)| (name, i)).collect(),
            kept: VecDeque::new(),
            digest: Xxh3::new(),
            next_sweep: EPOCH + SWEEP,
            now: EPOCH,
            trace,
            trace_lines: Vec::new(),
            violations: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// One hash of everything that crossed the sockets so far, with its times.
    pub fn digest(&self) -> u64 {
        self.digest.digest()
    }

    /// Says what the process of that number is.
    pub fn register_process(&mut self, process: ProcessId, role: Role, name: &str) {
        self.roles.resize(self.roles.len().max(process + 1), (Role::Other, String::new()));
        self.roles[process] = (role, name.to_string());
        if let Role::Proxy(i) = role {
            self.proxies[i] = Proxy { process, running: true, asked_at: self.now, ..Proxy::default() };
        }
    }

    /// What is true of an execute node from now on.
    pub fn backend(&mut self, index: usize, truth: BackendState) {
        if truth.cold_since != self.backends[index].truth.cold_since {
            self.backends[index].reached.clear();
        }
        self.backends[index].truth = truth;
    }

    /// SIGTERM goes to that proxy.
    pub fn stop_requested(&mut self, proxy: usize) {
        self.proxies[proxy].stopping = Some(self.now);
    }

    /// SIGHUP goes to that proxy, and its discovery moves: the old watch ends there.
    pub fn reload_requested(&mut self, proxy: usize) {
        self.proxies[proxy].answered_at = None;
    }

    /// That proxy ended by itself; it holds nothing that it should have moved or answered.
    pub fn exited(&mut self, proxy: usize) {
        if self.proxies[proxy].stopping.is_none() {
            self.record_violation(Rule::Exit, None, format!("proxy {proxy} ended without being told to"));
        }
        self.abandoned(proxy, "ended by itself");
    }

    /// That proxy is killed after a planned stop that it did not finish.
    pub fn exit_overdue(&mut self, proxy: usize) {
        self.record_violation(Rule::Exit, None, format!("proxy {proxy} still runs when the kill comes"));
        self.abandoned(proxy, "was killed after its stop");
    }

    fn abandoned(&mut self, proxy: usize, how: &str) {
        let held: Vec<usize> = self.live.clone();
        for connection in held {
            let Kind::Submission(s) = &self.lines[connection].kind else { continue };
            // One that reads when it likes may not have taken its MOVE yet.
            if s.proxy != proxy || s.bad || s.slow || s.left.is_some() || s.ended.is_some() {
                continue;
            }
            let attempt = s.attempt.and_then(|attempt| self.attempt(attempt));
            let over = attempt.is_some_and(|attempt| {
                attempt.gone.is_some() || !self.backends[attempt.backend].truth.answers
            });
            if s.up && !s.moved && !over {
                self.record_violation(
                    Rule::Cut,
                    Some(connection),
                    format!("proxy {proxy} {how} and held a connection"),
                );
            } else if s.request.is_some() && s.answers == 0 {
                self.record_violation(
                    Rule::Unanswered,
                    Some(connection),
                    format!("proxy {proxy} {how} and owed an answer"),
                );
            }
        }
    }

    /// A process is killed; what follows from that is no doing of its own.
    pub fn killed(&mut self, process: ProcessId) {
        if let Role::Proxy(i) = self.roles[process].0 {
            self.proxies[i].running = false;
            let lines = &self.lines;
            self.live.retain(|&connection| {
                let line = &lines[connection];
                line.from != process && line.to != process
            });
        }
    }

    /// Something else that the world saw.
    pub fn report_violation(&mut self, rule: Rule, what: String) {
        self.record_violation(rule, None, what);
    }

    fn record_violation(&mut self, rule: Rule, connection: Option<usize>, what: String) {
        if self.violations.len() >= MAX_VIOLATIONS {
            return;
        }
        let parties = connection.map(|c| {
            let partner = match &self.lines[c].kind {
                Kind::Submission(s) => s.attempt,
                Kind::Attempt(attempt) => attempt.submission,
                _ => None,
            };
            (c, partner)
        });
        let concerns = |event: &&NetworkEvent| {
            parties.is_none_or(|(c, p)| event.connection == c || Some(event.connection) == p)
        };
        let mut preceding_events: Vec<String> =
            self.kept.iter().rev().filter(concerns).take(SHOWN).map(|event| self.show(event)).collect();
        preceding_events.reverse();
        let who = connection.map_or(String::new(), |c| {
            let line = &self.lines[c];
            format!(" [{} - {}]", self.roles[line.from].1, self.roles[line.to].1)
        });
        self.violations.push(Violation { rule, at: self.now - EPOCH, what: what + &who, preceding_events });
    }

    fn show(&self, event: &NetworkEvent) -> String {
        let line = &self.lines[event.connection];
        let names = [&self.roles[line.from].1, &self.roles[line.to].1];
        let (by, other) = match event.phase {
            Phase::Arrived => (names[1 - event.end], names[event.end]),
            _ => (names[event.end], names[1 - event.end]),
        };
        let phase = match event.phase {
            Phase::Opened => "opens to",
            Phase::Sent => "sends to",
            Phase::Arrived => "reaches",
        };
        let what = match event.what {
            Shape::Bytes(length, head) => {
                format!("{length} bytes {:?}", String::from_utf8_lossy(&head[..length.min(HEAD)]))
            }
            Shape::Fin => "its end".into(),
            Shape::Reset => "a reset".into(),
            Shape::None => String::new(),
        };
        let at = (event.at - EPOCH) as f64 / 1e6;
        format!("{at:.6} #{} {by} {phase} {other} {what}", event.connection)
    }

    fn keep(&mut self, connection: usize, end: usize, phase: Phase, segment: Option<&Segment>) {
        self.counts.network_events += 1;
        let what = match segment {
            Some(Segment::Bytes(bytes)) => {
                let mut head = [0; HEAD];
                let kept = bytes.len().min(HEAD);
                head[..kept].copy_from_slice(&bytes[..kept]);
                self.digest.update(bytes);
                Shape::Bytes(bytes.len(), head)
            }
            Some(Segment::Fin) => Shape::Fin,
            Some(Segment::Reset) => Shape::Reset,
            None => Shape::None,
        };
        let code = match what {
            Shape::Bytes(length, _) => length as u64 * 8,
            Shape::Fin => 1,
            Shape::Reset => 2,
            Shape::None => 3,
        };
        let mark = [self.now, connection as u64, end as u64 * 3 + phase as u64, code];
        mark.into_iter().for_each(|part| self.digest.update(&part.to_le_bytes()));
        let event = NetworkEvent { at: self.now, connection, end, phase, what };
        match self.trace {
            Trace::None => {}
            Trace::Print => println!("{}", self.show(&event)),
            Trace::Keep => {
                let words = self.show(&event);
                self.trace_lines.push(words);
            }
        }
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(event);
    }

    /// The clock goes on to that time.
    pub fn advance_to(&mut self, to: Micros) {
        while self.next_sweep <= to {
            self.now = self.next_sweep;
            self.next_sweep += SWEEP;
            self.sweep();
        }
        self.now = to;
    }

    /// A process dials a machine, whether it is answered or not.
    pub fn connecting(&mut self, from: ProcessId, machine: ProcessId) {
        if let (Role::Proxy(proxy), Role::Discovery) = (self.roles[from].0, self.roles[machine].0) {
            self.proxies[proxy].asked_at = self.now;
        }
    }

    /// A connection was made.
    pub fn opened(&mut self, now: Micros, connection: usize, from: ProcessId, to: ProcessId) {
        self.now = now;
        self.counts.connections += 1;
        let kind = match (self.roles[from].0, self.roles[to].0) {
            (Role::Client { bad, slow, .. }, Role::Proxy(proxy)) => {
                Kind::Submission(Submission { proxy, bad, slow, opened_at: now, ..Submission::default() })
            }
            (Role::Proxy(proxy), Role::Backend(backend)) => {
                Kind::Attempt(Attempt { proxy, backend, ..Attempt::default() })
            }
            (Role::Proxy(proxy), Role::Discovery) => Kind::Call(Call { proxy, ..Call::default() }),
            _ => Kind::Other,
        };
        if matches!(kind, Kind::Submission(_) | Kind::Attempt(_)) {
            self.live.push(connection);
        }
        self.lines.push(Line { from, to, kind });
        self.keep(connection, 0, Phase::Opened, None);
    }

    /// That end sent something.
    pub fn sent(&mut self, now: Micros, connection: usize, end: usize, segment: &Segment) {
        self.now = now;
        self.keep(connection, end, Phase::Sent, Some(segment));
        match (&mut self.lines[connection].kind, end) {
            (Kind::Submission(s), 0) => s.sent_at = now,
            (Kind::Submission(_), _) => self.proxy_answers(connection, segment),
            (Kind::Attempt(_), 0) => self.proxy_attempts(connection, segment),
            (Kind::Call(_), 0) => self.proxy_calls(connection, segment),
            _ => {}
        }
    }

    /// That end let go of its connection; after a reset from the other side that says nothing on the network.
    pub fn closed(&mut self, now: Micros, connection: usize, end: usize) {
        match (&mut self.lines[connection].kind, end) {
            (Kind::Submission(s), 1) => drop(s.ended.get_or_insert(now)),
            (Kind::Attempt(attempt), 0) => attempt.ended = true,
            _ => {}
        }
    }

    /// Something arrived at that end.
    pub fn arrived(&mut self, now: Micros, connection: usize, end: usize, segment: &Segment) {
        self.now = now;
        self.keep(connection, end, Phase::Arrived, Some(segment));
        match (&self.lines[connection].kind, end) {
            (Kind::Submission(_), 1) => self.client_says(connection, segment),
            (Kind::Attempt(_), 0) => self.backend_says(connection, segment),
            (Kind::Attempt(_), 1) => self.backend_hears(connection, segment),
            (Kind::Call(_), 0) => self.discovery_says(connection, segment),
            _ => {}
        }
    }

    fn submission(&mut self, connection: usize) -> Option<&mut Submission> {
        match self.lines.get_mut(connection).map(|line| &mut line.kind) {
            Some(Kind::Submission(s)) => Some(s),
            _ => None,
        }
    }

    fn attempt(&self, connection: usize) -> Option<&Attempt> {
        match self.lines.get(connection).map(|line| &line.kind) {
            Some(Kind::Attempt(attempt)) => Some(attempt),
            _ => None,
        }
    }

    fn attempt_mut(&mut self, connection: usize) -> Option<&mut Attempt> {
        match self.lines.get_mut(connection).map(|line| &mut line.kind) {
            Some(Kind::Attempt(attempt)) => Some(attempt),
            _ => None,
        }
    }

    fn client_says(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Some(s) = self.submission(connection) else { return };
        let Segment::Bytes(bytes) = segment else {
            s.left.get_or_insert(now);
            return;
        };
        if s.request.is_some() {
            if s.up || s.attempt.is_some() {
                s.up_passing.came(now, bytes);
            }
            return;
        }
        // A bad one has no job, and may send megabytes.
        if s.bad {
            return;
        }
        s.line.extend_from_slice(bytes);
        while let Some(at) = s.line.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = s.line.drain(..=at).collect();
            let Some(text) = std::str::from_utf8(&line).ok().filter(|text| text.starts_with("OPEN ")) else {
                continue;
            };
            let mut words = text.split_whitespace();
            let id = words.nth(1).unwrap_or_default().to_string();
            let fields = words.nth(1).unwrap_or_default();
            let wait = fields.split(',').find_map(|field| field.strip_prefix("d=")?.parse::<u64>().ok());
            let due = s.sent_at + wait.unwrap_or(0) * 1_000;
            s.request = Some((id.clone(), now, due));
            s.first_line = line;
            let proxy = s.proxy;
            self.proxies[proxy].requests.insert(id, connection);
            self.counts.requests += 1;
            break;
        }
    }

    /// Bytes that the proxy sends to a submitter, or its end.
    fn proxy_answers(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Some(s) = self.submission(connection) else { return };
        let proxy = s.proxy;
        let Segment::Bytes(bytes) = segment else {
            if s.ended.replace(now).is_none() {
                self.proxy_ends(connection, matches!(segment, Segment::Reset));
            }
            return;
        };
        if s.bad || s.request.is_none() {
            // PONG, or an error for one without a job.
            if s.bad && bytes.starts_with(b"UP ") {
                self.record_violation(Rule::MadeUp, Some(connection), "a bad submitter is served".into());
            } else if let Some(s) = self.submission(connection) {
                s.answers += 1;
            }
            return;
        }
        for &byte in bytes {
            let Some(s) = self.submission(connection) else { return };
            if s.up {
                self.passes_down(connection, byte);
                continue;
            }
            s.answer.push(byte);
            if byte != b'\n' {
                continue;
            }
            let line = std::mem::take(&mut s.answer);
            s.answers += 1;
            let (answers, due, id) =
                (s.answers, s.request.as_ref().map_or(0, |request| request.2), s.request.clone());
            let up = line.starts_with(b"UP ");
            s.up = up;
            let left = s.left.is_some();
            if answers > 1 {
                let said = String::from_utf8_lossy(&line).trim_end().to_string();
                self.record_violation(
                    Rule::AnsweredTwice,
                    Some(connection),
                    format!("{said:?} after a final answer"),
                );
            }
            if now > due + GRACE && !left {
                self.record_violation(
                    Rule::Unanswered,
                    Some(connection),
                    format!("answered {} us late", now - due),
                );
            }
            match line.split(|&b| b == b' ' || b == b'\r').next() {
                Some(b"UP") => self.counts.served += 1,
                Some(b"BUSY") => self.counts.refused += 1,
                _ => self.counts.failed += 1,
            }
            if up {
                let attempt = id.and_then(|request| self.proxies[proxy].attempts.get(&request.0).copied());
                let came =
                    attempt.and_then(|attempt| self.attempt(attempt)).map(|attempt| attempt.came.clone());
                if !came.as_ref().is_some_and(|came| came.starts_with(&line)) {
                    self.record_violation(
                        Rule::MadeUp,
                        Some(connection),
                        "an UP that no execute node sent".into(),
                    );
                }
                let rest = came.map_or(Vec::new(), |came| came[line.len().min(came.len())..].to_vec());
                if let Some(attempt) = attempt.and_then(|attempt| self.attempt_mut(attempt)) {
                    attempt.submission = Some(connection);
                }
                if let Some(s) = self.submission(connection) {
                    s.attempt = attempt;
                    s.down_passing.between = true;
                    if !rest.is_empty() {
                        s.down_passing.came(now, &rest);
                    }
                }
            }
        }
    }

    /// A byte that goes down on a connection that stands: the next that came, or one of the proxy's own MOVE.
    fn passes_down(&mut self, connection: usize, byte: u8) {
        const MOVE: &[u8] = b"MOVE\r\n";
        let now = self.now;
        let Some(s) = self.submission(connection) else { return };
        let since = s.down_passing.chunks.front().map(|(at, _)| *at);
        if s.moving == 0 && s.down_passing.take(byte) {
            if byte == b'\n' {
                s.waiting.pop_front();
                let slow = s.slow;
                if !slow && since.is_some_and(|at| now > at + HELD + GRACE) {
                    self.record_violation(Rule::HeldBack, Some(connection), "a line went down late".into());
                }
            }
            return;
        }
        if MOVE.get(s.moving) == Some(&byte) && (s.moving > 0 || s.down_passing.between) {
            s.moving += 1;
            if s.moving == MOVE.len() {
                s.moved = true;
                self.counts.moves += 1;
            }
            return;
        }
        let within = s.moving > 0 || !s.down_passing.between;
        let what = if byte == b'M' && within { "a MOVE within a line" } else { "bytes that did not come" };
        s.moving = MOVE.len() + 1;
        self.record_violation(Rule::Changed, Some(connection), format!("{what} go down"));
    }

    /// The proxy ends a submitter's connection.
    fn proxy_ends(&mut self, connection: usize, reset: bool) {
        let Some(s) = self.submission(connection) else { return };
        let (up, request, answers, moved, left) =
            (s.up, s.request.is_some(), s.answers, s.moved, s.left.is_some());
        let (proxy, bad, part) = (s.proxy, s.bad, s.answer.len());
        if bad || left || !self.proxies[proxy].running {
            return;
        }
        if request && answers == 0 {
            let how = if reset { "reset" } else { "ended" };
            self.record_violation(
                Rule::Unanswered,
                Some(connection),
                format!("{how} without a final answer, {part} bytes into it"),
            );
        } else if up && !moved {
            let attempt = self.submission(connection).and_then(|s| s.attempt);
            let attempt = attempt.and_then(|attempt| self.attempt(attempt));
            let over = attempt.is_none_or(|attempt| {
                attempt.gone.is_some() || attempt.said_end || !self.backends[attempt.backend].truth.answers
            });
            if !over {
                self.record_violation(Rule::Cut, Some(connection), "cut off without MOVE".into());
            }
        }
    }

    /// What a proxy sends to an execute node.
    fn proxy_attempts(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Some(attempt) = self.attempt_mut(connection) else { return };
        let (proxy, backend) = (attempt.proxy, attempt.backend);
        let Segment::Bytes(bytes) = segment else {
            attempt.ended = true;
            let id = attempt.id.clone();
            if let Some(id) = id
                && self.proxies[proxy].attempts.get(&id) == Some(&connection)
            {
                let submission = self.attempt(connection).and_then(|attempt| attempt.submission);
                if submission.is_none() {
                    self.proxies[proxy].attempts.remove(&id);
                }
            }
            return;
        };
        if attempt.first_whole {
            self.passes_up(connection, bytes);
            return;
        }
        let begins = attempt.first.is_empty();
        attempt.first.extend_from_slice(bytes);
        let Some(at) = attempt.first.iter().position(|&byte| byte == b'\n') else {
            if begins {
                self.attempt_begins(proxy, backend, connection, now);
            }
            return;
        };
        attempt.first_whole = true;
        let rest = attempt.first.split_off(at + 1);
        let first = attempt.first.clone();
        if begins {
            self.attempt_begins(proxy, backend, connection, now);
        }
        let Some(text) = std::str::from_utf8(&first).ok().filter(|text| text.starts_with("OPEN ")) else {
            return;
        };
        let id = text.split(' ').nth(1).unwrap_or_default().to_string();
        self.counts.attempts += 1;
        let before = self.proxies[proxy].attempts.insert(id.clone(), connection);
        let out =
            before.and_then(|before| self.attempt(before)).is_some_and(|b| !b.ended && b.gone.is_none());
        if out {
            self.record_violation(
                Rule::TwoClaims,
                Some(connection),
                format!("a second claim of job {id} is out"),
            );
        }
        let request = self.proxies[proxy].requests.get(&id).copied();
        let asked = request.and_then(|request| self.submission(request)).map(|s| s.first_line.clone());
        if asked.is_none_or(|asked| without_wait(&asked) != without_wait(&first)) {
            self.record_violation(
                Rule::MadeUp,
                Some(connection),
                "a first line that no submitter sent".into(),
            );
        }
        if let Some(attempt) = self.attempt_mut(connection) {
            attempt.id = Some(id);
        }
        if let Some(s) = request.and_then(|request| self.submission(request)) {
            s.attempt = Some(connection);
        }
        if !rest.is_empty() {
            self.passes_up(connection, &rest);
        }
    }

    fn attempt_begins(&mut self, proxy: usize, backend: usize, connection: usize, now: Micros) {
        let opening = self.attempt(connection).is_some_and(|attempt| attempt.first.starts_with(b"O"));
        let told = self.proxies[proxy].told.get(&backend).copied();
        if let Some(told) = told.filter(|told| opening && now > told + DRAIN + GRACE) {
            let late = now - told;
            self.record_violation(
                Rule::DrainWindow,
                Some(connection),
                format!("a claim {late} us after it was told"),
            );
        }
    }

    fn passes_up(&mut self, connection: usize, bytes: &[u8]) {
        let now = self.now;
        let Some(submission) = self.attempt(connection).and_then(|attempt| attempt.submission) else {
            return;
        };
        let Some(s) = self.submission(submission) else { return };
        let mut late = false;
        for &byte in bytes {
            let since = s.up_passing.chunks.front().map(|(at, _)| *at);
            if !s.up_passing.take(byte) {
                self.record_violation(
                    Rule::Changed,
                    Some(connection),
                    "bytes that did not come go up".into(),
                );
                return;
            }
            if byte == b'\n' {
                s.waiting.push_back(now);
                late |= since.is_some_and(|at| now > at + HELD + GRACE);
            }
        }
        if late {
            self.record_violation(Rule::HeldBack, Some(connection), "a line went up late".into());
        }
    }

    /// What an execute node sends reaches the proxy.
    fn backend_says(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Some(attempt) = self.attempt_mut(connection) else { return };
        let Segment::Bytes(bytes) = segment else {
            attempt.gone.get_or_insert(now);
            return;
        };
        let tail = attempt.came.len().saturating_sub(8);
        match attempt.submission {
            Some(submission) => {
                let said = [&attempt.came[tail..], bytes.as_slice()].concat();
                attempt.said_end |= [&b"BYE\r\n"[..], b"MOVE\r\n"].iter().any(|end| said.ends_with(end));
                // Only as much as shows an ending on the next bytes.
                attempt.came = said[said.len().saturating_sub(8)..].to_vec();
                if let Some(s) = self.submission(submission) {
                    s.down_passing.came(now, bytes);
                }
            }
            None => attempt.came.extend_from_slice(bytes),
        }
    }

    /// What a proxy sent reaches an execute node: the cold budget counts whole openings.
    fn backend_hears(&mut self, connection: usize, segment: &Segment) {
        let Segment::Bytes(bytes) = segment else { return };
        let now = self.now;
        let Some(attempt) = self.attempt(connection) else { return };
        // The line's end in these bytes; what stands after it on a connection that is up are no openings.
        if attempt.submission.is_some() || attempt.id.is_none() || !bytes.contains(&b'\n') {
            return;
        }
        let (proxy, backend) = (attempt.proxy, attempt.backend);
        let Some(since) = self.backends[backend].truth.cold_since else { return };
        let rule = self.cold;
        let age = now.saturating_sub(since);
        if age >= rule.warm {
            return;
        }
        let told = self.proxies[proxy].starts.get(&backend).is_some_and(|&start| start >= since);
        let reached = &mut self.backends[backend].reached;
        reached.push_back((now, told));
        while reached.front().is_some_and(|(at, _)| at + rule.fall < now) {
            reached.pop_front();
        }
        let part = rule.from + (1.0 - rule.from) * age as f64 / rule.warm as f64;
        let budget = rule.multiple * self.backends[backend].truth.rate * part * rule.fall as f64 / 1e6;
        let count = self.backends[backend].reached.len();
        let knowing = self.backends[backend].reached.iter().filter(|(_, told)| *told).count();
        // Some slack for chance: what a draw of that mean exceeds about once in a thousand.
        let most = budget + 3.0 * budget.sqrt() + 2.0;
        if count as f64 > most && knowing * 3 >= count * 2 {
            let what = format!("{count} openings in the window where {budget:.1} are its multiple");
            self.record_violation(Rule::ColdOverrun, Some(connection), what);
        }
    }

    /// A call of discovery's.
    fn proxy_calls(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Segment::Bytes(bytes) = segment else { return };
        let Kind::Call(call) = &mut self.lines[connection].kind else { return };
        let begins = call.request.is_empty();
        call.request.extend_from_slice(bytes);
        if call.request.ends_with(b"\r\n\r\n") {
            let request = String::from_utf8_lossy(&std::mem::take(&mut call.request)).into_owned();
            call.whole = !request.contains("from=");
        }
        // A call counts from its first byte: the rest may wait for room.
        if !begins {
            return;
        }
        let index = call.proxy;
        let proxy = &mut self.proxies[index];
        proxy.called += 1;
        call.number = proxy.called;
        let since = proxy.answered_at.take();
        for times in [&mut proxy.calls, &mut proxy.changes] {
            while times.front().is_some_and(|at| at + 1_000_000 < now) {
                times.pop_front();
            }
        }
        proxy.calls.push_back(now);
        proxy.asked_at = now;
        let (calls, changes) = (proxy.calls.len(), proxy.changes.len());
        if since.is_some_and(|at| now > at + WATCH + GRACE) {
            let late = now - since.unwrap_or(now);
            self.record_violation(
                Rule::WatchGap,
                Some(connection),
                format!("the next call came after {late} us"),
            );
        }
        if calls > CALLS + changes {
            self.record_violation(Rule::Hammering, Some(connection), format!("{calls} calls in a second"));
        }
    }

    /// An answer of discovery's reaches a proxy: what it tells, it has told.
    fn discovery_says(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Segment::Bytes(bytes) = segment else { return };
        let Kind::Call(call) = &mut self.lines[connection].kind else { return };
        call.answer.extend_from_slice(bytes);
        let Some(head) = call.answer.windows(4).position(|part| part == b"\r\n\r\n") else { return };
        let text = String::from_utf8_lossy(&call.answer[..head]).to_lowercase();
        let length =
            text.split("content-length:").nth(1).and_then(|rest| rest.trim_start().split("\r\n").next());
        let length: usize = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
        if call.answer.len() < head + 4 + length {
            return;
        }
        let (good, index, whole) = (text.starts_with("http/1.1 200"), call.proxy, call.whole);
        let number = call.number;
        let body = call.answer.split_off(head + 4);
        call.answer.clear();
        if !good {
            return;
        }
        let Ok(list) = serde_json::from_slice::<Told>(&body[..length]) else { return };
        let proxy = &mut self.proxies[index];
        // Where a later call is out, that one carries the watch on; once it is answered, the next is due.
        if number == proxy.called {
            proxy.answered_at = Some(now);
        }
        if !list.endpoints.is_empty() {
            proxy.changes.push_back(now);
        }
        if whole || list.snapshot {
            for (name, &backend) in &self.names {
                if !list.endpoints.iter().any(|endpoint| endpoint.name == *name) {
                    proxy.told.entry(backend).or_insert(now);
                }
            }
        }
        for endpoint in &list.endpoints {
            let Some(&backend) = self.names.get(&endpoint.name) else { continue };
            if endpoint.status == "ready" {
                proxy.told.remove(&backend);
                proxy.starts.insert(backend, endpoint.since_ms * 1_000);
            } else {
                proxy.told.entry(backend).or_insert(now);
            }
        }
    }

    /// Looks for what should have happened and did not.
    fn sweep(&mut self) {
        let now = self.now;
        let mut found: Vec<(Rule, usize, &str)> = Vec::new();
        let (lines, backends) = (&mut self.lines, &self.backends);
        self.live.retain(|&connection| {
            let line = &lines[connection];
            match &line.kind {
                Kind::Submission(s) => s.ended.is_none(),
                Kind::Attempt(attempt) => !attempt.ended,
                _ => false,
            }
        });
        for &connection in &self.live {
            match &lines[connection].kind {
                Kind::Submission(s) => {
                    let attempt = s.attempt.and_then(|attempt| match &lines[attempt].kind {
                        Kind::Attempt(attempt) => Some(attempt),
                        _ => None,
                    });
                    if s.left.is_some_and(|at| now > at + END + GRACE) {
                        // The other side is ended too; the submitter's own end may come a moment later.
                        if attempt.is_some_and(|attempt| s.up && !attempt.ended && attempt.gone.is_none()) {
                            found.push((Rule::EndKept, connection, "the submitter's end is not passed on"));
                        }
                    } else if s.left.is_none() {
                        let due = s.request.as_ref().map(|request| request.2);
                        if s.answers == 0 && due.is_some_and(|due| now > due + GRACE) {
                            found.push((Rule::Unanswered, connection, "no answer though its time is up"));
                        }
                        if s.bad && s.answers == 0 && now > s.opened_at + BAD + GRACE {
                            found.push((Rule::BadUnanswered, connection, "neither an error nor a close"));
                        }
                        let gone = attempt.and_then(|attempt| attempt.gone);
                        if s.up && gone.is_some_and(|at| now > at + END + GRACE) && !s.slow {
                            found.push((
                                Rule::EndKept,
                                connection,
                                "the execute node's end is not passed on",
                            ));
                        }
                        let held = s.down_passing.oldest_line().is_some_and(|at| now > at + HELD + GRACE);
                        if s.up && held && !s.slow && !s.moved {
                            found.push((
                                Rule::HeldBack,
                                connection,
                                "a line from the execute node is held back",
                            ));
                        }
                        let held = s.up_passing.oldest_line().is_some_and(|at| now > at + HELD + GRACE);
                        let answers = attempt.is_some_and(|attempt| backends[attempt.backend].truth.answers);
                        if s.up && held && answers && gone.is_none() {
                            found.push((
                                Rule::HeldBack,
                                connection,
                                "a line from the submitter is held back",
                            ));
                        }
                        let silent = s.waiting.front().is_some_and(|&at| now > at + SILENT + GRACE);
                        if s.up && silent && !s.moved && !s.slow && gone.is_none() {
                            found.push((Rule::SilentKept, connection, "nothing came back for seven seconds"));
                        }
                    }
                }
                Kind::Attempt(_) | Kind::Call(_) | Kind::Other => {}
            }
        }
        for (rule, connection, what) in found {
            self.record_violation(rule, Some(connection), what.to_string());
            // Once is enough.
            self.live.retain(|&c| c != connection);
        }
        for index in 0..self.proxies.len() {
            let proxy = &mut self.proxies[index];
            let late = proxy.answered_at.is_some_and(|at| now > at + WATCH + GRACE);
            if late && proxy.running && proxy.stopping.is_none() {
                proxy.answered_at = None;
                self.record_violation(
                    Rule::WatchGap,
                    None,
                    format!("proxy {index} does not carry its watch on"),
                );
            }
            let proxy = &mut self.proxies[index];
            if now > proxy.asked_at + ASKED + GRACE && proxy.running && proxy.stopping.is_none() {
                proxy.asked_at = now;
                self.record_violation(
                    Rule::WatchGap,
                    None,
                    format!("proxy {index} has not asked for so long"),
                );
            }
        }
    }

    /// Connections of submitters that a proxy still holds though their submitters have left.
    pub fn still_held(&self, proxy: usize) -> usize {
        let held = |connection: &&usize| match &self.lines[**connection].kind {
            Kind::Submission(s) => s.proxy == proxy && s.ended.is_none() && s.left.is_some(),
            _ => false,
        };
        self.live.iter().filter(held).count()
    }

    /// The process that plays that proxy now.
    pub fn process_of(&self, proxy: usize) -> ProcessId {
        self.proxies[proxy].process
    }
}

/// A first line without what the proxy may change of it.
fn without_wait(line: &[u8]) -> Vec<&[u8]> {
    let parts = line.split(|&byte| byte == b',' || byte == b' ');
    parts.filter(|part| !part.starts_with(b"d=")).collect()
}

#[derive(Deserialize)]
struct Told {
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<ToldEndpoint>,
}

#[derive(Deserialize)]
struct ToldEndpoint {
    name: String,
    status: String,
    #[serde(default)]
    since_ms: u64,
}
