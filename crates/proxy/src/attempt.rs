//! One attempt of a request at a backend.

use crate::core::Core;
use crate::protocol::{Protocol, Reply};
use crate::stream::{first_line, read_line, write_all};
use pierloom_decision::{Micros, Status};
use pierloom_host::TcpStream;
use pierloom_host::retry::is_local_error;
use std::net::SocketAddr;

/// The stage that an attempt had reached when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// The connection to the backend was not made.
    NotConnected,
    /// The connection was made, and the last byte of the request was not written.
    Connected,
    /// The whole request was written. The backend had not accepted it.
    RequestSent,
    /// The backend had accepted the request, and the connection was established.
    Established,
}

/// Why an attempt ended.
#[derive(Debug)]
pub enum EndReason {
    /// The time limit was reached before the connection was made or the backend answered.
    TimedOut,
    /// The connection ended or broke.
    ConnectionLost,
    /// The client left or was moved, or the process is about to exit.
    ClientGone,
    /// The proxy's own machine could not make the connection, which says nothing about the backend.
    LocalError,
    /// The attempt was no longer permitted when its request could have been written.
    NotPermitted,
    /// The backend sent this reply instead of accepting the request, or before the connection ended.
    Replied(Reply),
}

/// The end of an attempt: its stage, and the reason.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The stage that the attempt had reached.
    pub stage: AttemptStage,
    /// Why the attempt ended.
    pub reason: EndReason,
}

impl AttemptEnd {
    /// The status that the decision module receives. The request is known not to have run only if its last
    /// byte was not written, or if the backend says so.
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

/// The backend's side of an established connection.
pub struct BackendConnection {
    /// The connection to the backend.
    pub stream: TcpStream,
    /// All bytes that the backend has sent so far, starting with its answer.
    pub received: Vec<u8>,
}

/// Connects to the backend, writes the request and reads the answer. On failure the connection is closed. The
/// attempt is counted for the request's class once the request is written. `encode_request` is called once
/// the proxy is connected, with no wait between that call and the first write. It returns `None` where the
/// backend, the client or the time no longer allow the attempt.
pub async fn run(
    core: &Core,
    protocol: &dyn Protocol,
    backend: Option<SocketAddr>,
    encode_request: impl FnOnce() -> Option<Vec<u8>>,
    until: Micros,
    class: usize,
) -> Result<BackendConnection, AttemptEnd> {
    let connect_until = until.min(core.now() + core.settings().connect_timeout);
    let attempt_end = |stage, reason| AttemptEnd { stage, reason };
    // The proxy cannot connect to a backend without a known address.
    let backend =
        backend.ok_or_else(|| attempt_end(AttemptStage::NotConnected, EndReason::ConnectionLost))?;
    let stream = tokio::select! {
        biased;
        stream = core.host.connect(backend) => {
            let reason =
                |e| if is_local_error(&e) { EndReason::LocalError } else { EndReason::ConnectionLost };
            stream.map_err(|e| attempt_end(AttemptStage::NotConnected, reason(e)))?
        }
        () = core.deadlines.until(connect_until) =>
            return Err(attempt_end(AttemptStage::NotConnected, EndReason::TimedOut)),
        () = core.terminating.wait() =>
            return Err(attempt_end(AttemptStage::NotConnected, EndReason::ClientGone)),
    };
    let mut stage = AttemptStage::Connected;
    let answer = async {
        stream.set_nodelay();
        let request = encode_request().ok_or(EndReason::NotPermitted)?;
        write_all(&stream, &request).await.map_err(|_| EndReason::ConnectionLost)?;
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
    let received = answer.map_err(|reason| attempt_end(stage, reason))?;
    match protocol.parse_backend_line(first_line(&received)) {
        Reply::Up => Ok(BackendConnection { stream, received }),
        reply => Err(attempt_end(stage, EndReason::Replied(reply))),
    }
}
