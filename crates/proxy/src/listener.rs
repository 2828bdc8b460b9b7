//! Takes clients in: the listener, pending connections, and the bound on jobs.

use crate::config::ErrorMessage;
use crate::core::Core;
use crate::metrics::FinalAnswer;
use crate::pending::{PendingConnections, PendingSlot};
use crate::protocol::{ClientMessage, ClientRequest, Protocol};
use crate::request_handler;
use crate::stream::{MAX_LINE_BYTES, first_line, read_line, send_and_close, write_all};
use pierloom_decision::Micros;
use pierloom_host::{Host, TcpListener, TcpStream};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors kept for probes, the machine list, the listener and the runtime.
const RESERVED: usize = 40;
/// Descriptors of one job: both sides.
const PER_JOB: usize = 2;
/// Part of all descriptors, and the least number, for clients without a job: not heard yet, or sent away.
const PENDING_PART: usize = 8;
const PENDING_LEAST: usize = 16;
/// How long one that finds no room is told to stay away: some jobs end meanwhile; microseconds.
const NO_ROOM: Micros = 1_000_000;
/// From connecting, a client has this long to open its job: half of what it is owed a word in; microseconds.
const HEARING: Micros = 1_500_000;
/// Clients that the system lets wait to be taken in: beyond that they would try again after a second only.
const BACKLOG: i32 = 4096;
/// So many descriptors of the reserved ones, for so long, serve those who are told that their place is wanted;
/// microseconds.
const PARTING: usize = 8;
const PARTING_TIME: Micros = 50_000;
/// An accept that fails is made so often again...
const ACCEPT_TRIES: usize = 4;
/// ...after this pause, before somebody is refused for it; microseconds.
const ACCEPT_PAUSE: Micros = 5_000;
/// For so long a client that finds no descriptor is told so; microseconds.
const REFUSING: Micros = 20_000;

/// Takes clients in.
pub struct Listener {
    listener: TcpListener,
    /// Most jobs at once, of this process and the one before together.
    most: usize,
    /// Jobs that the process before still holds.
    elsewhere: Cell<usize>,
    /// Another process takes clients in; rung when that changes.
    closed: Cell<bool>,
    changed: Notify,
    /// Those being told the last who have no place any more.
    parting: Cell<usize>,
    pending: Rc<PendingConnections>,
    /// A descriptor to give up when there is none left to accept with.
    spare: RefCell<Option<Box<dyn Any>>>,
}

impl Listener {
    /// Listens there; beside another process of the same address, where that is wanted.
    pub fn bind(host: &Host, address: SocketAddr, reuse_port: bool) -> Result<TcpListener, ErrorMessage> {
        host.listen(address, BACKLOG, reuse_port).map_err(|e| format!("listen: {address}: {e}"))
    }

    /// For as many jobs as `sockets` descriptors allow once `reserved` are taken for other ends.
    pub fn new(host: &Host, listener: TcpListener, sockets: usize, reserved: usize) -> Self {
        let places = (sockets / PENDING_PART).max(PENDING_LEAST);
        let most = (sockets.saturating_sub(RESERVED + places + reserved) / PER_JOB).max(1);
        let spare = RefCell::new(host.reserve_descriptor());
        Listener {
            listener,
            most,
            elsewhere: Cell::new(0),
            closed: Cell::new(false),
            changed: Notify::new(),
            parting: Cell::new(0),
            pending: PendingConnections::new(places),
            spare,
        }
    }

    /// The process before still holds so many jobs, which count as this one's.
    pub fn set_predecessor_requests(&self, requests: usize) {
        self.elsewhere.set(requests);
    }

    /// One of those that the process before held may be this one's now.
    pub fn release_predecessor_request(&self, one_less: bool) {
        self.elsewhere.set(self.elsewhere.get().saturating_sub(usize::from(one_less)));
    }

    /// Leaves the next clients to the process that shares the listening socket.
    pub fn pause_accepting(&self) {
        self.closed.set(true);
        self.changed.notify_one();
    }

    /// Takes clients in again.
    pub fn resume_accepting(&self) {
        self.closed.set(false);
        self.changed.notify_one();
    }

    /// The listening socket, to be given to another process.
    pub fn socket(&self) -> &TcpListener {
        &self.listener
    }

    /// The next client, once and while it is for this process to take it in.
    async fn accept(&self) -> io::Result<TcpStream> {
        loop {
            tokio::select! {
                biased;
                () = self.changed.notified() => {}
                accepted = self.listener.accept(), if !self.closed.get() => return accepted.map(|(stream, _)| stream),
            }
        }
    }

    /// How many jobs there may be now.
    fn room(&self) -> usize {
        self.most.saturating_sub(self.elsewhere.get())
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Accepts for ever; each client is a task of its own, where a panic stays.
    pub async fn serve(self: Rc<Self>, core: Rc<Core>, protocol: Rc<dyn Protocol>) {
        let mut failures = 0;
        loop {
            let place = self.pending.acquire_slot(&core).await;
            match self.accept().await {
                Ok(stream) => {
                    failures = 0;
                    let (host, core, protocol) = (core.host.clone(), core.clone(), protocol.clone());
                    let (listener, owed) = (self.clone(), core.shutdown_guard());
                    host.spawn(async move {
                        let heard = listener.receive(&core, &protocol, stream, place).await;
                        if let Some((stream, opening)) = heard {
                            let request = request_handler::run(core, protocol, stream, opening);
                            // The job has its seat before it waits for anything.
                            drop(owed);
                            request.await;
                        }
                    });
                }
                // A lack that lasts only for a moment refuses nobody.
                Err(_) if failures < ACCEPT_TRIES => {
                    failures += 1;
                    core.deadlines.until(core.now() + ACCEPT_PAUSE).await;
                }
                Err(e) => {
                    tracing::warn!(target: "listener", "{e}");
                    self.refuse_one(&core, &*protocol).await;
                }
            }
        }
    }
}

impl Listener {
    /// The spare descriptor lets one client in, to be told that there is no room, in place of leaving all in the queue.
    async fn refuse_one(&self, core: &Rc<Core>, protocol: &dyn Protocol) {
        drop(self.spare.borrow_mut().take());
        let until = core.now() + REFUSING;
        let told = async {
            if let Ok(stream) = self.accept().await {
                stream.set_nodelay();
                send_and_close(core, stream, &protocol.refusal(Some(NO_ROOM))).await;
            }
        };
        tokio::select! {
            biased;
            () = told => {}
            () = core.deadlines.until(until) => {}
        }
        *self.spare.borrow_mut() = core.host.reserve_descriptor();
        core.deadlines.until(core.now() + ACCEPT_PAUSE).await;
    }
}

/// Says that there is no room, without waiting.
fn refuse(stream: &TcpStream, protocol: &dyn Protocol) {
    stream.set_nodelay();
    // A fresh connection has room for a line; one that is broken needs none.
    let _ = stream.try_write(&protocol.refusal(Some(NO_ROOM)));
    let _ = stream.finish();
    // What lies unread at a close would make it a reset, which could take the words back.
    let _ = stream.try_read(&mut [0; MAX_LINE_BYTES]);
}

/// What a client's opening came to.
enum Heard {
    Job(Box<dyn ClientRequest>),
    /// Nothing that can be served.
    Wrong,
    /// Nothing yet, and it is not waited for any longer.
    Late,
    /// It ended or broke before.
    Gone,
}

impl Listener {
    /// Hears a client, which is pending meanwhile; its job, if it has one and there is room.
    async fn receive(
        self: &Rc<Self>,
        core: &Rc<Core>,
        protocol: &Rc<dyn Protocol>,
        stream: TcpStream,
        place: PendingSlot,
    ) -> Option<(TcpStream, Box<dyn ClientRequest>)> {
        stream.set_nodelay();
        let heard = tokio::select! {
            biased;
            heard = hear(&**protocol, &stream) => heard,
            () = core.deadlines.until(core.now() + HEARING) => Heard::Late,
            // One that says nothing is told to go elsewhere while it can.
            () = core.draining.wait() => Heard::Late,
            () = place.evicted() => {
                self.evict(core, protocol, stream);
                return None;
            }
        };
        let words = match heard {
            Heard::Job(opening) if core.active_requests() < self.room() => return Some((stream, opening)),
            Heard::Job(opening) => {
                core.metrics.count_answer(opening.request().class, FinalAnswer::Refused);
                protocol.refusal(Some(NO_ROOM))
            }
            // Nothing of it was sent on, so that coming again is harmless.
            Heard::Late => protocol.refusal(Some(NO_ROOM)),
            Heard::Wrong => protocol.failure(),
            Heard::Gone => return None,
        };
        tokio::select! {
            // First, so that the words are on their way whatever else is ready.
            biased;
            () = send_and_close(core, stream, &words) => {}
            () = place.evicted() => {}
        }
        None
    }
}

impl Listener {
    /// Tells one the last whose place is wanted. Its next words may be on the way, and a close over them would be a
    /// reset that takes the last ones away: it has a moment to read them, unless too many have.
    fn evict(self: &Rc<Self>, core: &Rc<Core>, protocol: &Rc<dyn Protocol>, stream: TcpStream) {
        if self.parting.get() >= PARTING {
            return refuse(&stream, &**protocol);
        }
        self.parting.set(self.parting.get() + 1);
        let (listener, core, words) = (self.clone(), core.clone(), protocol.refusal(Some(NO_ROOM)));
        core.host.clone().spawn(async move {
            let until = core.now() + PARTING_TIME;
            tokio::select! {
                biased;
                () = send_and_close(&core, stream, &words) => {}
                () = core.deadlines.until(until) => {}
            }
            listener.parting.set(listener.parting.get() - 1);
        });
    }
}

/// Reads lines until one opens a job. A client waits after that line: with anything behind it, it is none.
async fn hear(protocol: &dyn Protocol, stream: &TcpStream) -> Heard {
    let mut received = Vec::new();
    loop {
        received = match read_line(stream, received).await {
            Ok(received) => received,
            // Too long.
            Err(e) if e.kind() == std::io::ErrorKind::InvalidData => return Heard::Wrong,
            Err(_) => return Heard::Gone,
        };
        let line = received.iter().position(|&byte| byte == b'\n').map_or(0, |at| at + 1);
        if !received[..line].ends_with(b"\r\n") {
            return Heard::Wrong;
        }
        match protocol.parse_client_line(first_line(&received)) {
            ClientMessage::Request(opening) if received.len() == line => return Heard::Job(opening),
            ClientMessage::Immediate(answer) => {
                received.drain(..line);
                if write_all(stream, answer).await.is_err() {
                    return Heard::Gone;
                }
            }
            ClientMessage::Request(_) | ClientMessage::Malformed => return Heard::Wrong,
        }
    }
}
