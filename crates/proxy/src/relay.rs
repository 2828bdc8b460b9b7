//! Relays bytes between a client and a backend once an attempt's connection is established, and moves
//! clients: the client is asked to reconnect elsewhere before its connection is closed.

use crate::attempt::{AttemptEnd, AttemptStage, BackendConnection, EndReason};
use crate::core::{Core, RequestCommand, RequestHandle};
use crate::pipe::{LineSplitter, Pipe};
use crate::protocol::{Protocol, Reply};
use crate::stream::{HALF_CLOSE_TIMEOUT_US, send_and_close};
use pierloom_decision::{BackendId, ClockOffset, Event, Measurement, Micros, Status, with_clock_offset};
use pierloom_host::{Interest, TcpStream};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::rc::Rc;

/// Interval between the reports of an unanswered message.
const UNANSWERED_REPORT_INTERVAL_US: Micros = 1_000_000;
/// Before a move, a backend that has sent a part of a line and then nothing more for this long is taken for one
/// that does not answer: the client is not moved but cut off.
const LINE_COMPLETION_TIMEOUT_US: Micros = 2_000_000;
/// Largest number of unanswered messages whose times are kept. A client sends its messages two seconds apart.
const MAX_UNANSWERED_MESSAGES: usize = 64;

/// The state of a relay: all that another process needs to continue it.
#[derive(Default, Deserialize, Serialize)]
pub struct RelayState {
    /// From the client to the backend.
    #[serde(rename = "up")]
    to_backend: Pipe,
    /// From the backend to the client.
    #[serde(rename = "down")]
    to_client: Pipe,
    /// The client's lines.
    #[serde(rename = "up_lines")]
    client_lines: LineSplitter,
    /// The backend's lines.
    #[serde(rename = "down_lines")]
    backend_lines: LineSplitter,
    /// When the proxy read each message of the client that has no answer yet.
    #[serde(rename = "waiting")]
    unanswered_since: VecDeque<Micros>,
    /// Whether a move was requested, which waits for the end of a line.
    #[serde(rename = "move", default)]
    move_requested: bool,
}

impl RelayState {
    /// Converts all times to another clock, which is ahead of the clock of these times by that offset.
    pub fn with_clock_offset(mut self, offset: ClockOffset) -> Self {
        self.unanswered_since.iter_mut().for_each(|since| *since = with_clock_offset(*since, offset));
        self
    }
}

/// An established connection between a client and a backend.
pub struct EstablishedConnection {
    /// The client's side.
    pub client: TcpStream,
    /// The backend's side.
    pub backend: TcpStream,
    /// The state of the relay between them.
    pub state: RelayState,
}

/// The outcome of a relay.
pub enum RelayOutcome {
    /// The connection ended.
    Ended(AttemptEnd),
    /// The connection is to be handed over to the successor process.
    Detached(EstablishedConnection),
}

/// A running relay between a client and a backend.
struct Relay<'a> {
    core: &'a Core,
    protocol: &'a dyn Protocol,
    request_handle: &'a mut RequestHandle,
    backend_id: &'a BackendId,
    state: RelayState,
    next_unanswered_report: Micros,
    /// The client does not read what the proxy sends, so that the proxy reads nothing more from the backend.
    stalled: bool,
    /// The backend's last reply that announces the end of the connection.
    final_reply: Option<Reply>,
    /// When a move was first requested, or the client last read again after that.
    move_requested_at: Option<Micros>,
    /// When the backend last sent bytes; 0 before that.
    backend_sent_at: Micros,
    /// The move message to the client is in the buffer, or sent.
    move_message_queued: bool,
    /// The connection is to be handed over to the successor process, unless it ends.
    detach_requested: bool,
    /// When either side ended its sending.
    ended_at: Option<Micros>,
}

impl Relay<'_> {
    /// Records the times of the client's messages in the bytes just read.
    fn record_client_lines(&mut self) {
        let (now, unanswered_since) = (self.core.now(), &mut self.state.unanswered_since);
        self.state.client_lines.feed(&self.state.to_backend.buffer, |_| {
            if unanswered_since.is_empty() {
                self.next_unanswered_report = now + UNANSWERED_REPORT_INTERVAL_US;
            }
            if unanswered_since.len() < MAX_UNANSWERED_MESSAGES {
                unanswered_since.push_back(now);
            }
        });
    }

    /// Processes the backend's lines in the bytes just read: load reports, answers and the announced end.
    fn record_backend_lines(&mut self) {
        let (now, protocol, unanswered_since, final_reply) =
            (self.core.now(), self.protocol, &mut self.state.unanswered_since, &mut self.final_reply);
        let (mut load, mut delay) = (None, None);
        self.state.backend_lines.feed(&self.state.to_client.buffer, |line| {
            match protocol.parse_backend_line(line) {
                Reply::Load(value) => load = Some(value),
                reply @ (Reply::Bye | Reply::Move) => *final_reply = Some(reply),
                _ => {
                    if let Some(since) = unanswered_since.pop_front() {
                        delay = Some(now.saturating_sub(since));
                        self.next_unanswered_report = unanswered_since
                            .front()
                            .map_or(Micros::MAX, |at| (at + UNANSWERED_REPORT_INTERVAL_US).max(now));
                    }
                }
            }
        });
        if let Some(load) = load {
            self.core.dispatch_event(Event::Measured(self.request_handle.id, Measurement::Load(load)));
        }
        if let Some(delay) = delay {
            self.core.report_delay(self.request_handle.id, self.backend_id, delay);
        }
    }

    /// Reports the oldest unanswered message to the decision module.
    fn report_unanswered(&mut self) {
        let Some(&since) = self.state.unanswered_since.front() else { return };
        let now = self.core.now();
        self.next_unanswered_report = now + UNANSWERED_REPORT_INTERVAL_US;
        let unanswered_for = now.saturating_sub(since);
        self.core.report_delay(self.request_handle.id, self.backend_id, unanswered_for);
        self.core
            .dispatch_event(Event::Measured(self.request_handle.id, Measurement::Unanswered(unanswered_for)));
    }

    /// The time of the relay's next check if neither socket becomes ready and no command arrives.
    fn next_check(&self) -> Micros {
        let unanswered_report = if self.state.unanswered_since.is_empty() || self.stalled {
            Micros::MAX
        } else {
            self.next_unanswered_report
        };
        let half_close = self.ended_at.map_or(Micros::MAX, |at| at + HALF_CLOSE_TIMEOUT_US);
        unanswered_report.min(half_close).min(self.line_completion_deadline())
    }

    /// When the wait for the end of a line ends, after which the client could be moved; `Micros::MAX` without such
    /// a wait.
    fn line_completion_deadline(&self) -> Micros {
        // A connection that is ending needs no move. The passed deadline of a move would make the relay check
        // again without a pause.
        let requested_at =
            self.move_requested_at.filter(|_| self.ended_at.is_none() && !self.move_message_queued);
        requested_at
            .filter(|_| !self.stalled)
            .map_or(Micros::MAX, |at| at.max(self.backend_sent_at) + LINE_COMPLETION_TIMEOUT_US)
    }

    /// Puts the move message behind the last whole line, if a move was requested. The lines' beginnings must have
    /// been recorded. A client that has received a part of a line gets the rest of it first.
    fn queue_move_message(&mut self) {
        let is_ending = self.state.to_client.ended || self.state.to_backend.ended;
        if self.move_requested_at.is_none() || self.move_message_queued || is_ending {
            return;
        }
        self.move_message_queued = self.state.to_client.append_last_line(self.protocol.move_message());
    }

    /// Relays the available bytes in both directions. An error names the side that reset its connection.
    fn transfer(&mut self, client: &TcpStream, backend: &TcpStream) -> Result<(), BrokenSide> {
        // The backend is read first: the bytes that a backend sent before it closed can still be read,
        // whereas a write to that backend fails. Nothing may follow the move message.
        if !self.move_message_queued
            && self.state.to_client.read(backend).map_err(|_| BrokenSide::Backend)? > 0
        {
            self.backend_sent_at = self.core.now();
            self.record_backend_lines();
        }
        self.queue_move_message();
        self.state.to_client.write(client).map_err(|_| BrokenSide::Client)?;
        self.update_stalled();
        if self.state.to_backend.read(client).map_err(|_| BrokenSide::Client)? > 0 {
            self.record_client_lines();
        }
        self.state.to_backend.write(backend).map_err(|_| BrokenSide::Backend)
    }

    /// Updates `stalled`. Guards against blaming a backend for a client that does not read: the backend's
    /// answers stay unread meanwhile, so that the backend's time to answer starts anew once the client reads
    /// again.
    fn update_stalled(&mut self) {
        let stalled = !self.state.to_client.buffer.is_empty();
        if std::mem::replace(&mut self.stalled, stalled) && !stalled {
            let now = self.core.now();
            self.state.unanswered_since.iter_mut().for_each(|since| *since = now);
            self.next_unanswered_report = now + UNANSWERED_REPORT_INTERVAL_US;
            self.move_requested_at = self.move_requested_at.map(|_| now);
        }
    }

    /// The reason for the end of the attempt, once one side has ended.
    fn end_reason(&mut self) -> EndReason {
        match self.final_reply.take() {
            Some(reply) => EndReason::Replied(reply),
            None if self.state.to_backend.ended => EndReason::ClientGone,
            None => EndReason::ConnectionLost,
        }
    }
}

/// The side whose connection broke.
enum BrokenSide {
    Client,
    Backend,
}

impl EstablishedConnection {
    /// The connection of an attempt that has just been established, and the bytes after the backend's first
    /// answer. That answer establishes the connection and answers no message; the bytes after it may do so.
    pub fn from_attempt(client: TcpStream, connection: BackendConnection) -> (Self, Vec<u8>) {
        let BackendConnection { stream: backend, mut received } = connection;
        let answer_end = received.iter().position(|&byte| byte == b'\n').map_or(received.len(), |at| at + 1);
        let trailing = received.split_off(answer_end);
        let state = RelayState { to_client: Pipe::starting_with(received), ..RelayState::default() };
        (EstablishedConnection { client, backend, state }, trailing)
    }
}

/// Relays bytes in both directions, immediately and unchanged, until the connection ends or is to be handed
/// over. First reads the lines in `trailing`, the bytes after the answer that established the connection.
pub async fn run(
    core: &Rc<Core>,
    protocol: &dyn Protocol,
    request_handle: &mut RequestHandle,
    backend_id: &BackendId,
    established: EstablishedConnection,
    trailing: Vec<u8>,
) -> RelayOutcome {
    let end_with = |reason| RelayOutcome::Ended(AttemptEnd { stage: AttemptStage::Established, reason });
    let EstablishedConnection { client, backend, mut state } = established;
    // The state may come from a process of an earlier version.
    let mid_line = !state.to_client.buffer.is_empty() || state.backend_lines.in_line();
    state.to_client.assume_destination_mid_line(mid_line);
    let next_unanswered_report = state
        .unanswered_since
        .front()
        .map_or(Micros::MAX, |at| (at + UNANSWERED_REPORT_INTERVAL_US).max(core.now()));
    let mut relay = Relay {
        core,
        protocol,
        request_handle,
        backend_id,
        stalled: !state.to_client.buffer.is_empty(),
        move_requested_at: state.move_requested.then(|| core.now()),
        state,
        next_unanswered_report,
        final_reply: None,
        backend_sent_at: 0,
        move_message_queued: false,
        detach_requested: false,
        ended_at: None,
    };
    let first_answer = std::mem::replace(&mut relay.state.to_client.buffer, trailing);
    if !relay.state.to_client.buffer.is_empty() {
        relay.record_backend_lines();
    }
    relay.state.to_client.buffer.splice(..0, first_answer);
    // The check for which the sockets were polled once more.
    let mut polled_for = None;
    loop {
        match relay.transfer(&client, &backend) {
            Ok(()) => {}
            Err(BrokenSide::Client) => {
                backend.reset_on_close();
                return end_with(EndReason::ClientGone);
            }
            Err(BrokenSide::Backend) => {
                // The client gets the bytes that the backend sent before, then the reset.
                let _ = relay.state.to_client.write(&client);
                client.reset_on_close();
                return end_with(relay.end_reason());
            }
        }
        let now = core.now();
        if relay.state.to_backend.passed_end && relay.state.to_client.passed_end {
            return end_with(relay.end_reason());
        }
        let next_check = relay.next_check();
        if now >= next_check && polled_for.replace(next_check) != Some(next_check) {
            // What arrived before a time limit counts, even if the process was paused after its last poll.
            core.host.sockets_polled().await;
            continue;
        }
        if relay.ended_at.is_none() && (relay.state.to_backend.ended || relay.state.to_client.ended) {
            relay.ended_at = Some(now);
        }
        if relay.ended_at.is_some_and(|at| now >= at + HALF_CLOSE_TIMEOUT_US) {
            return end_with(relay.end_reason());
        }
        if std::mem::take(&mut relay.detach_requested)
            && relay.ended_at.is_none()
            && !relay.move_message_queued
            && relay.final_reply.is_none()
        {
            relay.state.move_requested = relay.move_requested_at.is_some();
            return RelayOutcome::Detached(EstablishedConnection { state: relay.state, client, backend });
        }
        // The backend's connection is closed only once the move message is written: a client that reads late gets
        // the message late.
        let is_moved = relay.move_message_queued && relay.state.to_client.buffer.is_empty();
        if is_moved || now >= relay.line_completion_deadline() {
            drop(backend);
            relay.request_handle.end_attempt(Status::Cancelled);
            send_and_close(core, client, b"").await;
            return end_with(EndReason::ClientGone);
        }
        if now >= relay.next_check() {
            relay.report_unanswered();
        }
        let client_interest = Interest {
            read: !relay.state.to_backend.ended && relay.state.to_backend.buffer.is_empty(),
            write: !relay.state.to_client.buffer.is_empty(),
        };
        let backend_interest = Interest {
            read: !relay.state.to_client.ended && relay.state.to_client.buffer.is_empty(),
            write: !relay.state.to_backend.buffer.is_empty(),
        };
        let next_check = relay.next_check();
        tokio::select! {
            biased;
            () = client.ready(client_interest) => {}
            () = backend.ready(backend_interest) => {}
            command = relay.request_handle.commands.recv() => match command {
                Some(RequestCommand::Move) => drop(relay.move_requested_at.get_or_insert(core.now())),
                Some(RequestCommand::HandOver) => relay.detach_requested = true,
                _ => {}
            },
            () = core.deadlines.until(next_check) => {}
        }
    }
}
