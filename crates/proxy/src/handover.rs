//! What two processes of one proxy tell each other during an upgrade: the predecessor, which hands over, and the
//! successor, which takes over.

use crate::relay::{EstablishedConnection, RelayState};
use crate::request_handler::HandoverRecord;
use crate::source::endpoints::Endpoints;
use pierloom_decision::{LearnedState, Micros};
use pierloom_host::{HandoverChannel, PassedSocket, TcpStream};
use serde::{Deserialize, Serialize};
use std::io;
use tokio::sync::oneshot;

/// A message between the two processes.
///
/// The peer may run another version of this program, so the JSON tags and keys never change. A version that does
/// not know a message ends the handover at it, so that a message that came later is sent only to a peer that is
/// known to understand it.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// Predecessor to successor, first of all: the state that the successor starts from. The listening socket
    /// goes with the message.
    State(State),
    /// Successor to predecessor: the successor has started. The predecessor stops accepting clients, answers
    /// with `AcceptStopped` and hands over its connections from then on.
    #[serde(rename = "taken")]
    TakeoverStarted,
    /// Predecessor to successor: the predecessor has stopped accepting clients.
    #[serde(rename = "released")]
    AcceptStopped,
    /// Successor to predecessor, right after `TakeoverStarted`, if the state told identities: the successor serves
    /// all new requests from now on. The predecessor answers with `Identities`.
    #[serde(rename = "ids_wanted")]
    IdentitiesRequested,
    /// Predecessor to successor: the identities of all requests that the predecessor holds. It registers no
    /// request after this message, passes clients on with `Client`, and reports the end of each request with
    /// `IdentityReleased`.
    #[serde(rename = "ids")]
    Identities(Vec<String>),
    /// Predecessor to successor, after `Identities`: no request with that identity is active any more.
    #[serde(rename = "id_free")]
    IdentityReleased(String),
    /// Predecessor to successor, after `Identities`: a client that the predecessor had accepted, with its request
    /// line without the line end. Its socket goes with the message. The answer is `Accepted`.
    Client(String),
    /// Either to the other: operators put the named backend into maintenance, or (false) returned it from
    /// maintenance. The receiver applies the same change.
    #[serde(rename = "withheld")]
    Maintenance(String, bool),
    /// Predecessor to successor: the number of requests that the predecessor still holds. The successor
    /// counts them against its own limit.
    #[serde(rename = "jobs")]
    ActiveRequests(usize),
    /// Predecessor to successor: an established connection. Its two sockets go with the message, the client's
    /// first, then the backend's. The successor adopts the connection and answers with `Accepted`.
    Connection(HandoverRecord, RelayState),
    /// Successor to predecessor: whether the successor holds what the last `Connection` or `Client` passed. On
    /// true the predecessor closes its copies of the sockets; on false it goes on with them.
    #[serde(rename = "holds")]
    Accepted(bool),
}

/// The state that a predecessor hands over to its successor.
#[derive(Serialize, Deserialize)]
pub struct State {
    /// The current time of the predecessor's clock, to which all times in this state refer. Each process has
    /// a clock of its own, since the clock of the machine may have been set between their starts. `None` if
    /// the predecessor is of a version that does not send it.
    #[serde(default)]
    pub clock: Option<Micros>,
    /// The backends in maintenance.
    #[serde(rename = "withheld")]
    pub backends_in_maintenance: Vec<String>,
    /// The endpoints as last reported by discovery.
    #[serde(rename = "list")]
    pub endpoints: Endpoints,
    /// What the decision module has learned.
    #[serde(rename = "learned")]
    pub learned_state: LearnedState,
    /// The number of requests that the predecessor holds.
    #[serde(rename = "jobs")]
    pub active_requests: usize,
    /// The identities of these requests. `None` if the predecessor is of a version that does not send them and
    /// does not know `IdentitiesRequested`.
    #[serde(rename = "ids", default)]
    pub identities: Option<Vec<String>>,
}

/// Something on its way to the successor process. Until that process holds it, this one keeps it.
pub enum PendingHandover {
    /// An established connection.
    Connection {
        /// The description of the connection that is sent along.
        record: HandoverRecord,
        /// The connection itself.
        connection: Box<EstablishedConnection>,
        /// Receives `Ok` once the successor holds the connection, or the connection back.
        done: oneshot::Sender<Result<(), EstablishedConnection>>,
    },
    /// A client whose request this process has read and not registered.
    Client {
        /// The request line, without its line end.
        request_line: String,
        /// The client's connection.
        client: TcpStream,
        /// Receives `Ok` once the successor holds the client, or the client back.
        done: oneshot::Sender<Result<(), TcpStream>>,
    },
}

impl PendingHandover {
    /// Sends it to the successor, with its sockets.
    pub async fn send(&self, channel: &HandoverChannel) -> io::Result<()> {
        /// The messages of the same names in [`HandoverMessage`], without copies of their contents.
        #[derive(Serialize)]
        #[serde(rename_all = "snake_case")]
        enum Message<'a> {
            Connection(&'a HandoverRecord, &'a RelayState),
            Client(&'a str),
        }
        match self {
            PendingHandover::Connection { record, connection, .. } => {
                let sockets =
                    [PassedSocket::Stream(&connection.client), PassedSocket::Stream(&connection.backend)];
                send(channel, &Message::Connection(record, &connection.state), &sockets).await
            }
            PendingHandover::Client { request_line, client, .. } => {
                send(channel, &Message::Client(request_line), &[PassedSocket::Stream(client)]).await
            }
        }
    }

    /// Reports that the successor holds it, which closes this process's copies of the sockets, or returns it.
    pub fn finish(self, accepted: bool) {
        // A task that has ended needs no report.
        match self {
            PendingHandover::Connection { connection, done, .. } => {
                let _ = done.send(if accepted { Ok(()) } else { Err(*connection) });
            }
            PendingHandover::Client { client, done, .. } => {
                let _ = done.send(if accepted { Ok(()) } else { Err(client) });
            }
        }
    }
}

/// Waits for the next message of the peer.
pub async fn receive_message(channel: &HandoverChannel) -> io::Result<HandoverMessage> {
    let mut message = channel.receive().await?;
    simd_json::serde::from_slice(&mut message).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}

/// Sends a message without sockets.
pub async fn send_message(channel: &HandoverChannel, message: &HandoverMessage) -> io::Result<()> {
    send(channel, message, &[]).await
}

/// Sends a message with these sockets.
pub async fn send(
    channel: &HandoverChannel,
    message: &impl Serialize,
    sockets: &[PassedSocket<'_>],
) -> io::Result<()> {
    channel.send(&serde_json::to_vec(message)?, sockets).await
}
