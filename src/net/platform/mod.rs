//! The front: what a platform's protocol has to provide, and the handling of submitters.

pub mod lines;

use super::claim::{LONGEST_LINE, first_line, read_line, write_all};
use super::config::Fault;
use super::core::Core;
use super::{job, relay};
use pierloom::{BackendId, Micros, Request};
use std::cell::RefCell;
use std::fs::File;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// What an execute node says in one line.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Up,
    Bye,
    Move,
    Error,
    Busy,
    /// The connection's load now; microseconds of work a second.
    Load(f64),
    /// The answer to a probe, with the report where it is on the same line.
    Pong(Vec<f64>),
    Other,
}

/// A protocol between submitters, this proxy and execute nodes.
pub trait Front {
    /// Reads a submitter's first line.
    fn first(&self, line: &[u8]) -> First;
    /// Reads a line of an execute node's.
    fn reply(&self, line: &[u8]) -> Reply;
    /// Reads a load report on a line of its own.
    fn report(&self, line: &[u8]) -> Vec<f64>;
    /// Asks an execute node for its load.
    fn load_query(&self) -> &'static [u8];
    /// The answer 'refused; come again after that time'.
    fn refusal(&self, wait: Option<Micros>) -> Vec<u8>;
    /// The answer 'failed'.
    fn failure(&self) -> Vec<u8>;
    /// The answer 'served to its end already'.
    fn served(&self) -> &'static [u8];
    /// Sends a submitter away whose connection stands.
    fn farewell(&self) -> &'static [u8];
}

/// A submitter's first line.
pub enum First {
    /// A job.
    Job(Box<dyn Opening>),
    /// Something else with its answer; another line may follow.
    Answer(&'static [u8]),
    /// Not understood.
    Malformed,
}

/// What opens a job.
pub trait Opening {
    /// What the module needs to know; its identity and deadline are the host's to set.
    fn request(&self) -> Request;
    /// How long the submitter waits for its answer.
    fn wait(&self) -> Micros;
    /// The execute node that holds the connection already.
    fn standing_at(&self) -> Option<BackendId>;
    /// What an execute node is sent, where this proxy waits so long for its answer.
    fn for_node(&self, wait: Micros) -> Vec<u8>;
}

/// Descriptors kept for probes, the machine list, the listener and the runtime.
const RESERVED: usize = 96;
/// Descriptors of one job: both sides.
const PER_JOB: usize = 2;
/// Submitters beyond that are heard and refused, this many at once; more still are refused unheard.
const REFUSED: usize = 48;
/// How long one that finds no room is told to stay away: some jobs end meanwhile; microseconds.
const NO_ROOM: Micros = 1_000_000;
/// A first line has this long to come; microseconds.
const FIRST_LINE: Micros = 5_000_000;
/// Pause after an accept that failed; microseconds.
const ACCEPT_PAUSE: Micros = 20_000;

/// Takes submitters in.
pub struct Listener {
    listener: TcpListener,
    address: SocketAddr,
    most: usize,
    /// A descriptor to give up when there is none left to accept with.
    spare: RefCell<Option<File>>,
}

impl Listener {
    /// Listens there, for as many jobs as `sockets` descriptors allow.
    pub fn bind(address: SocketAddr, sockets: usize) -> Result<Self, Fault> {
        let bind = || {
            let listener = std::net::TcpListener::bind(address)?;
            listener.set_nonblocking(true)?;
            TcpListener::from_std(listener)
        };
        let listener = bind().map_err(|e| format!("listen: {address}: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
        let most = (sockets.saturating_sub(RESERVED) / PER_JOB).max(1);
        Ok(Listener { listener, address, most, spare: RefCell::new(spare()) })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts for ever; each submitter is a task of its own, where a panic stays.
    pub async fn serve(self: Rc<Self>, core: Rc<Core>, front: Rc<dyn Front>) {
        let open = Rc::new(());
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    // Each task holds a count of `open`, beside the one here.
                    let others = Rc::strong_count(&open) - 1;
                    if others >= self.most + REFUSED {
                        refuse(&stream, &*front);
                        continue;
                    }
                    let room = others < self.most;
                    let (core, front, place) = (core.clone(), front.clone(), open.clone());
                    spawn_local(async move {
                        submitter(core, front, stream, room).await;
                        drop(place);
                    });
                }
                Err(e) => {
                    eprintln!("listener: {e}");
                    // The spare descriptor lets one in, to be told so, in place of leaving all in the queue.
                    drop(self.spare.borrow_mut().take());
                    tokio::select! {
                        accepted = self.listener.accept() => {
                            accepted.into_iter().for_each(|(stream, _)| refuse(&stream, &*front));
                        }
                        () = core.deadlines.until(core.now() + ACCEPT_PAUSE) => {}
                    }
                    *self.spare.borrow_mut() = spare();
                    core.deadlines.until(core.now() + ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

fn spare() -> Option<File> {
    File::open("/dev/null").ok()
}

/// Says that there is no room, without waiting.
fn refuse(stream: &TcpStream, front: &dyn Front) {
    // A fresh connection has room for a line; one that is broken needs none.
    let _ = stream.try_write(&front.refusal(Some(NO_ROOM)));
}

/// Serves a submitter; where there is no room for a job, the answer says so.
async fn submitter(core: Rc<Core>, front: Rc<dyn Front>, stream: TcpStream, room: bool) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut received = Vec::new();
    loop {
        let read = tokio::select! {
            read = read_line(&stream, std::mem::take(&mut received)) => read,
            () = core.deadlines.until(core.now() + FIRST_LINE) => return,
        };
        received = match read {
            Ok(received) => received,
            // Too long; an end or a break needs no answer.
            Err(e) if e.kind() == std::io::ErrorKind::InvalidData => {
                return relay::answer(&core, stream, &front.failure()).await;
            }
            Err(_) => return,
        };
        let line = received.iter().position(|&byte| byte == b'\n').map_or(0, |at| at + 1);
        let whole = line <= LONGEST_LINE && received[..line].ends_with(b"\r\n");
        let first = if whole { front.first(first_line(&received)) } else { First::Malformed };
        match first {
            First::Job(_) if !room => {
                return relay::answer(&core, stream, &front.refusal(Some(NO_ROOM))).await;
            }
            First::Job(opening) => return job::run(core, front, stream, opening).await,
            First::Answer(answer) => {
                received.drain(..line);
                if write_all(&stream, answer).await.is_err() {
                    return;
                }
            }
            First::Malformed => return relay::answer(&core, stream, &front.failure()).await,
        }
    }
}
