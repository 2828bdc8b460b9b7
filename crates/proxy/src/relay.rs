//! The relay of lines between a client and a backend, once an attempt is up, and polite endings.

use crate::attempt::{AttemptEnd, AttemptStage, BackendConnection, EndReason};
use crate::core::{Core, RequestCommand, RequestHandle};
use crate::protocol::{Protocol, Reply};
use crate::stream::{HALF_CLOSE_TIMEOUT_US, MAX_LINE_BYTES, send_and_close};
use pierloom_decision::{BackendId, ClockOffset, Event, Measurement, Micros, Status, with_clock_offset};
use pierloom_host::{Interest, TcpStream};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

/// A message without its answer is reported this often; microseconds.
const SILENT_STEP: Micros = 1_000_000;
/// A backend that stops within a line gets this long to finish it before a move; microseconds.
const HALF_LINE: Micros = 2_000_000;
/// As much of a line as tells what it says; bytes.
const HEAD: usize = 64;
/// Messages on the way whose times are kept: two seconds lie between them.
const WAITING: usize = 64;

/// One direction: a bounded buffer between two sockets.
#[derive(Default, Deserialize, Serialize)]
struct Pipe {
    buffer: Vec<u8>,
    ended: bool,
    passed_end: bool,
}

impl Pipe {
    /// Reads once if there is room; the part that came.
    fn read(&mut self, from: &TcpStream) -> io::Result<usize> {
        if self.ended || !self.buffer.is_empty() {
            return Ok(0);
        }
        let mut part = [0; MAX_LINE_BYTES];
        match from.try_read(&mut part) {
            Ok(0) => self.ended = true,
            Ok(read) => self.buffer.extend_from_slice(&part[..read]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Ok(self.buffer.len())
    }

    /// Writes what there is, and passes the end on after it.
    fn write(&mut self, to: &TcpStream) -> io::Result<()> {
        while !self.buffer.is_empty() {
            match to.try_write(&self.buffer) {
                Ok(written) => drop(self.buffer.drain(..written)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        if self.ended && !self.passed_end {
            self.passed_end = true;
            // The other side may be gone already, which its own direction tells.
            let _ = to.finish();
        }
        Ok(())
    }
}

/// Splits what passes into lines, and keeps the beginning of each.
#[derive(Default, Deserialize, Serialize)]
struct LineSplitter {
    head: Vec<u8>,
    within: bool,
}

impl LineSplitter {
    fn feed(&mut self, bytes: &[u8], mut line: impl FnMut(&[u8])) {
        for &byte in bytes {
            if byte == b'\n' {
                line(self.head.strip_suffix(b"\r").unwrap_or(&self.head));
                self.head.clear();
                self.within = false;
            } else {
                self.within = true;
                if self.head.len() < HEAD {
                    self.head.push(byte);
                }
            }
        }
    }
}

/// What is under way between a client and a backend: all that another process needs to go on.
#[derive(Default, Deserialize, Serialize)]
pub struct RelayState {
    /// From the client to the backend, and back.
    up: Pipe,
    down: Pipe,
    up_lines: LineSplitter,
    down_lines: LineSplitter,
    /// When each message went in that has no answer yet.
    waiting: VecDeque<Micros>,
}

impl RelayState {
    /// The same by a clock that is so far before the one by which its times were written.
    pub fn with_clock_offset(mut self, by: ClockOffset) -> Self {
        self.waiting.iter_mut().for_each(|since| *since = with_clock_offset(*since, by));
        self
    }
}

/// A connection that is up: both its sides, and what is under way between them.
pub struct EstablishedConnection {
    pub client: TcpStream,
    pub backend: TcpStream,
    pub state: RelayState,
}

/// How a relay came to its end.
pub enum RelayOutcome {
    Ended(AttemptEnd),
    /// It is to go on in another process.
    Detached(EstablishedConnection),
}

/// A connection that is up, between a client and a backend.
struct Relay<'a> {
    core: &'a Core,
    protocol: &'a dyn Protocol,
    seat: &'a mut RequestHandle,
    backend_id: &'a BackendId,
    state: RelayState,
    next_silent: Micros,
    /// The client does not take what it is sent, so that nothing more is read from the backend.
    stalled: bool,
    /// The last thing that the backend said of the end.
    said: Option<Reply>,
    /// When a move was first wanted.
    move_wanted: Option<Micros>,
    /// The last word to the client is in the buffer, or out.
    farewell: bool,
    /// It is to go on in another process, unless it ends.
    parting: bool,
    ended_at: Option<Micros>,
}

impl Relay<'_> {
    /// Books the lines that passed from the client.
    fn went_up(&mut self) {
        let (now, waiting) = (self.core.now(), &mut self.state.waiting);
        self.state.up_lines.feed(&self.state.up.buffer, |_| {
            if waiting.is_empty() {
                self.next_silent = now + SILENT_STEP;
            }
            if waiting.len() < WAITING {
                waiting.push_back(now);
            }
        });
    }

    /// Books the lines that passed from the backend.
    fn went_down(&mut self) {
        let (now, protocol, waiting, said) =
            (self.core.now(), self.protocol, &mut self.state.waiting, &mut self.said);
        let (mut load, mut delay) = (None, None);
        self.state.down_lines.feed(&self.state.down.buffer, |line| match protocol.parse_backend_line(line) {
            Reply::Load(value) => load = Some(value),
            reply @ (Reply::Bye | Reply::Move) => *said = Some(reply),
            _ => {
                if let Some(since) = waiting.pop_front() {
                    delay = Some(now.saturating_sub(since));
                    self.next_silent = waiting.front().map_or(Micros::MAX, |at| (at + SILENT_STEP).max(now));
                }
            }
        });
        if let Some(load) = load {
            self.core.dispatch_event(Event::Measured(self.seat.id, Measurement::Load(load)));
        }
        if let Some(delay) = delay {
            self.core.report_delay(self.seat.id, self.backend_id, delay);
        }
    }

    /// Reports a message that waits for its answer.
    fn silent(&mut self) {
        let Some(&since) = self.state.waiting.front() else { return };
        let now = self.core.now();
        self.next_silent = now + SILENT_STEP;
        let silent_for = now.saturating_sub(since);
        self.core.report_delay(self.seat.id, self.backend_id, silent_for);
        self.core.dispatch_event(Event::Measured(self.seat.id, Measurement::Unanswered(silent_for)));
    }

    /// When the relay has to look again though nothing comes.
    fn look_at(&self) -> Micros {
        let silent =
            if self.state.waiting.is_empty() || self.stalled { Micros::MAX } else { self.next_silent };
        let ending = self.ended_at.map_or(Micros::MAX, |at| at + HALF_CLOSE_TIMEOUT_US);
        // An ending needs no move: a deadline of one that has passed would be looked at again and again.
        let moving = self.move_wanted.filter(|_| self.ended_at.is_none());
        let half_line = moving.filter(|_| !self.stalled).map_or(Micros::MAX, |at| at + HALF_LINE);
        silent.min(ending).min(half_line)
    }

    /// Passes on what is there, both ways; an error is a reset of that side.
    fn pass(&mut self, client: &TcpStream, backend: &TcpStream) -> Result<(), Broke> {
        // Down first: what a backend said before it closed is still there to read, and a write to it fails.
        // After the last word nothing may follow.
        if !self.farewell && self.state.down.read(backend).map_err(|_| Broke::Backend)? > 0 {
            self.went_down();
        }
        self.state.down.write(client).map_err(|_| Broke::Client)?;
        self.note_stall();
        if self.state.up.read(client).map_err(|_| Broke::Client)? > 0 {
            self.went_up();
        }
        self.state.up.write(backend).map_err(|_| Broke::Backend)
    }

    /// Guards against blaming a backend for a client that does not read: what the node says lies unread
    /// meanwhile, and its time to answer begins anew after that.
    fn note_stall(&mut self) {
        let stalled = !self.state.down.buffer.is_empty();
        if std::mem::replace(&mut self.stalled, stalled) && !stalled {
            let now = self.core.now();
            self.state.waiting.iter_mut().for_each(|since| *since = now);
            self.next_silent = now + SILENT_STEP;
            self.move_wanted = self.move_wanted.map(|_| now);
        }
    }

    /// Why the attempt ended, once one side has.
    fn end_reason(&mut self) -> EndReason {
        match self.said.take() {
            Some(said) => EndReason::Replied(said),
            None if self.state.up.ended => EndReason::ClientGone,
            None => EndReason::ConnectionLost,
        }
    }
}

/// Which side broke its connection.
enum Broke {
    Client,
    Backend,
}

impl EstablishedConnection {
    /// One that has just come up. The answer that brought it up is no answer to a message; what came behind it may be.
    pub fn from_attempt(client: TcpStream, link: BackendConnection) -> (Self, Vec<u8>) {
        let BackendConnection { stream: backend, mut received } = link;
        let after = received.iter().position(|&byte| byte == b'\n').map_or(received.len(), |at| at + 1);
        let behind = received.split_off(after);
        let state =
            RelayState { down: Pipe { buffer: received, ..Pipe::default() }, ..RelayState::default() };
        (EstablishedConnection { client, backend, state }, behind)
    }
}

/// Passes bytes both ways at once and unchanged until the connection ends, or is to go on elsewhere. What came
/// `behind` the answer that brought it up is read along first.
pub async fn run(
    core: &Rc<Core>,
    protocol: &dyn Protocol,
    seat: &mut RequestHandle,
    backend_id: &BackendId,
    standing: EstablishedConnection,
    behind: Vec<u8>,
) -> RelayOutcome {
    let ending = |reason| RelayOutcome::Ended(AttemptEnd { stage: AttemptStage::Established, reason });
    let EstablishedConnection { client, backend, state } = standing;
    let next_silent = state.waiting.front().map_or(Micros::MAX, |at| (at + SILENT_STEP).max(core.now()));
    let mut relay = Relay {
        core,
        protocol,
        seat,
        backend_id,
        stalled: !state.down.buffer.is_empty(),
        state,
        next_silent,
        said: None,
        move_wanted: None,
        farewell: false,
        parting: false,
        ended_at: None,
    };
    let answer_up = std::mem::replace(&mut relay.state.down.buffer, behind);
    if !relay.state.down.buffer.is_empty() {
        relay.went_down();
    }
    relay.state.down.buffer.splice(..0, answer_up);
    loop {
        match relay.pass(&client, &backend) {
            Ok(()) => {}
            Err(Broke::Client) => {
                backend.reset_on_close();
                return ending(EndReason::ClientGone);
            }
            Err(Broke::Backend) => {
                // What it said before belongs to the client; then the reset is passed on.
                let _ = relay.state.down.write(&client);
                client.reset_on_close();
                return ending(relay.end_reason());
            }
        }
        let now = core.now();
        if relay.state.up.passed_end && relay.state.down.passed_end {
            return ending(relay.end_reason());
        }
        if relay.ended_at.is_none() && (relay.state.up.ended || relay.state.down.ended) {
            relay.ended_at = Some(now);
        }
        if relay.ended_at.is_some_and(|at| now >= at + HALF_CLOSE_TIMEOUT_US) {
            return ending(relay.end_reason());
        }
        if std::mem::take(&mut relay.parting)
            && relay.ended_at.is_none()
            && relay.move_wanted.is_none()
            && relay.said.is_none()
        {
            return RelayOutcome::Detached(EstablishedConnection { state: relay.state, client, backend });
        }
        if let Some(wanted) = relay.move_wanted.filter(|_| relay.ended_at.is_none()) {
            let between = relay.state.down.buffer.is_empty() && !relay.state.down_lines.within;
            if between && !relay.farewell {
                // The backend is let go only when the word is out: a client that reads late gets it late.
                relay.farewell = true;
                relay.state.down.buffer.extend_from_slice(protocol.farewell());
                continue;
            }
            if relay.farewell && relay.state.down.buffer.is_empty()
                || !relay.farewell && !relay.stalled && now >= wanted + HALF_LINE
            {
                drop(backend);
                relay.seat.end_attempt(Status::Cancelled);
                send_and_close(core, client, b"").await;
                return ending(EndReason::ClientGone);
            }
        }
        if now >= relay.look_at() {
            relay.silent();
        }
        let at_client = Interest {
            read: !relay.state.up.ended && relay.state.up.buffer.is_empty(),
            write: !relay.state.down.buffer.is_empty(),
        };
        let at_backend = Interest {
            read: !relay.state.down.ended && relay.state.down.buffer.is_empty(),
            write: !relay.state.up.buffer.is_empty(),
        };
        let look_at = relay.look_at();
        tokio::select! {
            biased;
            () = client.ready(at_client) => {}
            () = backend.ready(at_backend) => {}
            order = relay.seat.commands.recv() => match order {
                Some(RequestCommand::Move) => drop(relay.move_wanted.get_or_insert(core.now())),
                Some(RequestCommand::HandOver) => relay.parting = true,
                _ => {}
            },
            () = core.deadlines.until(look_at) => {}
        }
    }
}
