//! An attempt: one try of a job at a backend.

use crate::core::Core;
use crate::front::{Front, Reply};
use crate::stream::{first_line, read_line, write_all};
use pierloom_decision::{Micros, Status};
use pierloom_host::TcpStream;
use pierloom_host::retry::is_local_error;
use std::net::SocketAddr;

/// How far an attempt came before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// No connection.
    NotConnected,
    /// Connected, and the last byte is not written.
    Unwritten,
    /// All is written, and no answer has come.
    Written,
    /// Up, then over.
    Up,
}

/// Why an attempt ended.
#[derive(Debug)]
pub enum Cause {
    /// Nothing came in the time there was.
    Late,
    /// The connection ended or broke.
    Broke,
    /// The client left, or was sent away.
    Left,
    /// This machine could not make the connection, which tells nothing of the backend.
    Unable,
    /// When it could have been written, it was not to be any more.
    Barred,
    /// The backend said so.
    Said(Reply),
}

/// The end of an attempt: how far it came, and why it ended.
#[derive(Debug)]
pub struct Ending {
    pub reach: Reach,
    pub cause: Cause,
}

impl Ending {
    /// What the module is told of it. It never ran only if its last byte was not written, or if the execute
    /// node says so.
    pub fn status(&self) -> Status {
        match (self.reach, &self.cause) {
            (_, Cause::Said(Reply::Busy)) => Status::Overloaded,
            (_, Cause::Said(Reply::Bye)) => Status::Ok,
            (_, Cause::Said(Reply::Move)) => Status::Cancelled,
            (_, Cause::Said(_)) => Status::Error,
            (Reach::NotConnected | Reach::Unwritten, Cause::Left | Cause::Barred | Cause::Unable) => {
                Status::NotSent
            }
            (_, Cause::Left | Cause::Barred | Cause::Unable) => Status::Cancelled,
            (Reach::NotConnected | Reach::Unwritten, _) => Status::ConnectFailed,
            (Reach::Written, Cause::Late) => Status::Timeout,
            (Reach::Written | Reach::Up, _) => Status::Reset,
        }
    }
}

/// A connection that is up: all that the backend sent so far, its answer first.
pub struct Link {
    pub stream: TcpStream,
    pub received: Vec<u8>,
}

/// Connects, writes the whole of `opening` and reads the answer; nothing stays open where it fails. It is counted by
/// its job's class once it is written. `opening` is asked for once the connection is up, and nothing lies between it and
/// the first byte: it says none where the backend, the client or the time no longer allow one.
pub async fn make(
    core: &Core,
    front: &dyn Front,
    node: Option<SocketAddr>,
    opening: impl FnOnce() -> Option<Vec<u8>>,
    until: Micros,
    class: usize,
) -> Result<Link, Ending> {
    let connect_until = until.min(core.now() + core.settings().connect_timeout);
    let ending = |reach, cause| Ending { reach, cause };
    // A machine without an address cannot be connected to.
    let node = node.ok_or_else(|| ending(Reach::NotConnected, Cause::Broke))?;
    let stream = tokio::select! {
        biased;
        stream = core.host.connect(node) => {
            let cause = |e| if is_local_error(&e) { Cause::Unable } else { Cause::Broke };
            stream.map_err(|e| ending(Reach::NotConnected, cause(e)))?
        }
        () = core.deadlines.until(connect_until) => return Err(ending(Reach::NotConnected, Cause::Late)),
        () = core.ends.wait() => return Err(ending(Reach::NotConnected, Cause::Left)),
    };
    let mut reach = Reach::Unwritten;
    let answer = async {
        stream.set_nodelay();
        let opening = opening().ok_or(Cause::Barred)?;
        write_all(&stream, &opening).await.map_err(|_| Cause::Broke)?;
        reach = Reach::Written;
        core.figures.attempted(class);
        read_line(&stream, Vec::new()).await.map_err(|_| Cause::Broke)
    };
    let answer = tokio::select! {
        biased;
        answer = answer => answer,
        () = core.deadlines.until(until) => Err(Cause::Late),
        () = core.ends.wait() => Err(Cause::Left),
    };
    let received = answer.map_err(|cause| ending(reach, cause))?;
    match front.reply(first_line(&received)) {
        Reply::Up => Ok(Link { stream, received }),
        said => Err(ending(reach, Cause::Said(said))),
    }
}
