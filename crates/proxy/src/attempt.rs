//! An attempt: one try of a job at a backend.

use crate::core::Core;
use crate::protocol::{Protocol, Reply};
use crate::stream::{first_line, read_line, write_all};
use pierloom_decision::{Micros, Status};
use pierloom_host::TcpStream;
use pierloom_host::retry::is_local_error;
use std::net::SocketAddr;

/// How far an attempt came before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// No connection.
    NotConnected,
    /// Connected, and the last byte is not written.
    Connected,
    /// All is written, and no answer has come.
    RequestSent,
    /// Up, then over.
    Established,
}

/// Why an attempt ended.
#[derive(Debug)]
pub enum EndReason {
    /// Nothing came in the time there was.
    TimedOut,
    /// The connection ended or broke.
    ConnectionLost,
    /// The client left, or was sent away.
    ClientGone,
    /// This machine could not make the connection, which tells nothing of the backend.
    LocalError,
    /// When it could have been written, it was not to be any more.
    NotPermitted,
    /// The backend said so.
    Replied(Reply),
}

/// The end of an attempt: how far it came, and why it ended.
#[derive(Debug)]
pub struct AttemptEnd {
    pub stage: AttemptStage,
    pub reason: EndReason,
}

impl AttemptEnd {
    /// What the module is told of it. It never ran only if its last byte was not written, or if the execute
    /// node says so.
    pub fn status(&self) -> Status {
        match (self.stage, &self.reason) {
            (_, EndReason::Replied(Reply::Busy)) => Status::Overloaded,
            (_, EndReason::Replied(Reply::Bye)) => Status::Ok,
            (_, EndReason::Replied(Reply::Move)) => Status::Cancelled,
            (_, EndReason::Replied(_)) => Status::Error,
            (
                AttemptStage::NotConnected | AttemptStage::Connected,
                EndReason::ClientGone | EndReason::NotPermitted | EndReason::LocalError,
            ) => Status::NotSent,
            (_, EndReason::ClientGone | EndReason::NotPermitted | EndReason::LocalError) => Status::Cancelled,
            (AttemptStage::NotConnected | AttemptStage::Connected, _) => Status::ConnectFailed,
            (AttemptStage::RequestSent, EndReason::TimedOut) => Status::Timeout,
            (AttemptStage::RequestSent | AttemptStage::Established, _) => Status::Reset,
        }
    }
}

/// A connection that is up: all that the backend sent so far, its answer first.
pub struct BackendConnection {
    pub stream: TcpStream,
    pub received: Vec<u8>,
}

/// Connects, writes the whole of `opening` and reads the answer; nothing stays open where it fails. It is counted by
/// its job's class once it is written. `opening` is asked for once the connection is up, and nothing lies between it and
/// the first byte: it says none where the backend, the client or the time no longer allow one.
pub async fn run(
    core: &Core,
    protocol: &dyn Protocol,
    backend: Option<SocketAddr>,
    opening: impl FnOnce() -> Option<Vec<u8>>,
    until: Micros,
    class: usize,
) -> Result<BackendConnection, AttemptEnd> {
    let connect_until = until.min(core.now() + core.settings().connect_timeout);
    let ending = |stage, reason| AttemptEnd { stage, reason };
    // A machine without an address cannot be connected to.
    let backend = backend.ok_or_else(|| ending(AttemptStage::NotConnected, EndReason::ConnectionLost))?;
    let stream = tokio::select! {
        biased;
        stream = core.host.connect(backend) => {
            let reason =
                |e| if is_local_error(&e) { EndReason::LocalError } else { EndReason::ConnectionLost };
            stream.map_err(|e| ending(AttemptStage::NotConnected, reason(e)))?
        }
        () = core.deadlines.until(connect_until) =>
            return Err(ending(AttemptStage::NotConnected, EndReason::TimedOut)),
        () = core.terminating.wait() => return Err(ending(AttemptStage::NotConnected, EndReason::ClientGone)),
    };
    let mut stage = AttemptStage::Connected;
    let answer = async {
        stream.set_nodelay();
        let opening = opening().ok_or(EndReason::NotPermitted)?;
        write_all(&stream, &opening).await.map_err(|_| EndReason::ConnectionLost)?;
        stage = AttemptStage::RequestSent;
        core.metrics.count_attempt(class);
        read_line(&stream, Vec::new()).await.map_err(|_| EndReason::ConnectionLost)
    };
    let answer = tokio::select! {
        biased;
        answer = answer => answer,
        () = core.deadlines.until(until) => Err(EndReason::TimedOut),
        () = core.terminating.wait() => Err(EndReason::ClientGone),
    };
    let received = answer.map_err(|reason| ending(stage, reason))?;
    match protocol.parse_backend_line(first_line(&received)) {
        Reply::Up => Ok(BackendConnection { stream, received }),
        said => Err(ending(stage, EndReason::Replied(said))),
    }
}
