//! Accepts clients, reads their requests, and bounds the number of requests.

use crate::config::ErrorMessage;
use crate::core::{Core, ShutdownGuard};
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

/// Descriptors reserved for probes, discovery, the listener and the runtime.
const RESERVED_DESCRIPTORS: usize = 40;
/// Descriptors of one request: the client's connection and the backend's.
const DESCRIPTORS_PER_REQUEST: usize = 2;
/// One in this many descriptors is for pending connections: clients that have not sent a request yet, or are
/// being refused.
const DESCRIPTORS_PER_PENDING_SLOT: usize = 8;
/// The least number of pending connections.
const MIN_PENDING_SLOTS: usize = 16;
/// How long a client that is refused for lack of capacity is asked to wait. Some requests end meanwhile.
const RETRY_AFTER_US: Micros = 1_000_000;
/// Time limit for a client to send its request, from connecting on: half of the time in which it must get an
/// answer.
const REQUEST_READ_TIMEOUT_US: Micros = 1_500_000;
/// The number of clients that the system queues until they are accepted. A client beyond it would retry only
/// after a second.
const LISTEN_BACKLOG: i32 = 4096;
/// The number of evicted clients that may be sent a refusal at once. Each uses one of the reserved
/// descriptors.
const MAX_EVICTIONS: usize = 8;
/// Time limit for sending an evicted client its refusal.
const EVICTION_TIMEOUT_US: Micros = 50_000;
/// The number of accepts in a row that may fail before a client is refused for it.
const MAX_ACCEPT_FAILURES: usize = 4;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY_US: Micros = 5_000;
/// Time limit for refusing a client over the spare descriptor.
const REFUSE_TIMEOUT_US: Micros = 20_000;

/// Accepts clients and starts a task for each of them.
pub struct Listener {
    listener: TcpListener,
    /// The largest number of requests at once, of this process and its predecessor together.
    max_requests: usize,
    /// The number of requests that the predecessor still holds.
    predecessor_requests: Cell<usize>,
    /// Whether accepting is left to another process.
    accept_paused: Cell<bool>,
    /// Notified when `accept_paused` changes.
    pause_changed: Notify,
    /// The number of evicted clients that are being sent a refusal.
    evicting: Cell<usize>,
    pending: Rc<PendingConnections>,
    /// A descriptor to release when none is left for accepting.
    spare_descriptor: RefCell<Option<Box<dyn Any>>>,
}

impl Listener {
    /// Listens on an address. With `reuse_port` another process may listen on the same address.
    pub fn bind(host: &Host, address: SocketAddr, reuse_port: bool) -> Result<TcpListener, ErrorMessage> {
        host.listen(address, LISTEN_BACKLOG, reuse_port).map_err(|e| format!("listen: {address}: {e}"))
    }

    /// Creates a listener for as many requests as `max_descriptors` allow, less `reserved_descriptors` for
    /// other purposes.
    pub fn new(
        host: &Host,
        listener: TcpListener,
        max_descriptors: usize,
        reserved_descriptors: usize,
    ) -> Self {
        let pending_slots = (max_descriptors / DESCRIPTORS_PER_PENDING_SLOT).max(MIN_PENDING_SLOTS);
        let max_requests = (max_descriptors
            .saturating_sub(RESERVED_DESCRIPTORS + pending_slots + reserved_descriptors)
            / DESCRIPTORS_PER_REQUEST)
            .max(1);
        let spare_descriptor = RefCell::new(host.reserve_descriptor());
        Listener {
            listener,
            max_requests,
            predecessor_requests: Cell::new(0),
            accept_paused: Cell::new(false),
            pause_changed: Notify::new(),
            evicting: Cell::new(0),
            pending: PendingConnections::new(pending_slots),
            spare_descriptor,
        }
    }

    /// Sets the number of requests that the predecessor still holds. They count against this process's limit.
    pub fn set_predecessor_requests(&self, requests: usize) {
        self.predecessor_requests.set(requests);
    }

    /// Records that this process has adopted a request of the predecessor, if `adopted` is true.
    pub fn release_predecessor_request(&self, adopted: bool) {
        self.predecessor_requests.set(self.predecessor_requests.get().saturating_sub(usize::from(adopted)));
    }

    /// Stops accepting, so that the process that shares the listening socket accepts the next clients.
    pub fn pause_accepting(&self) {
        self.accept_paused.set(true);
        self.pause_changed.notify_one();
    }

    /// Accepts clients again.
    pub fn resume_accepting(&self) {
        self.accept_paused.set(false);
        self.pause_changed.notify_one();
    }

    /// The listening socket, to be passed to another process.
    pub fn socket(&self) -> &TcpListener {
        &self.listener
    }

    /// Accepts the next client, unless accepting is paused.
    async fn accept(&self) -> io::Result<TcpStream> {
        loop {
            tokio::select! {
                biased;
                () = self.pause_changed.notified() => {}
                accepted = self.listener.accept(), if !self.accept_paused.get() => {
                    return accepted.map(|(stream, _)| stream)
                }
            }
        }
    }

    /// The number of requests that this process may hold now.
    fn request_limit(&self) -> usize {
        self.max_requests.saturating_sub(self.predecessor_requests.get())
    }

    /// The address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Accepts clients forever. Each client is handled in a task of its own, which confines a panic.
    pub async fn serve(self: Rc<Self>, core: Rc<Core>, protocol: Rc<dyn Protocol>) {
        let mut failures = 0;
        loop {
            let slot = self.pending.acquire_slot(&core).await;
            match self.accept().await {
                Ok(stream) => {
                    failures = 0;
                    let (host, core, protocol) = (core.host.clone(), core.clone(), protocol.clone());
                    let (listener, guard) = (self.clone(), core.shutdown_guard());
                    host.spawn(async move {
                        let received = listener.receive_request(&core, &protocol, stream, slot).await;
                        if let Some((stream, request)) = received {
                            serve_request(core, protocol, stream, request, guard).await;
                        }
                    });
                }
                // A momentary lack of resources causes no refusal.
                Err(_) if failures < MAX_ACCEPT_FAILURES => {
                    failures += 1;
                    core.deadlines.until(core.now() + ACCEPT_RETRY_DELAY_US).await;
                }
                Err(e) => {
                    tracing::warn!(target: "listener", "accept failed: {e}");
                    self.refuse_with_spare_descriptor(&core, &*protocol).await;
                }
            }
        }
    }
}

impl Listener {
    /// Accepts one client with the spare descriptor and refuses it. Otherwise all clients would stay in the
    /// backlog.
    async fn refuse_with_spare_descriptor(&self, core: &Rc<Core>, protocol: &dyn Protocol) {
        drop(self.spare_descriptor.borrow_mut().take());
        let deadline = core.now() + REFUSE_TIMEOUT_US;
        let refusal = async {
            if let Ok(stream) = self.accept().await {
                stream.set_nodelay();
                send_and_close(core, stream, &protocol.refusal(Some(RETRY_AFTER_US))).await;
            }
        };
        tokio::select! {
            biased;
            () = refusal => {}
            () = core.deadlines.until(deadline) => {}
        }
        *self.spare_descriptor.borrow_mut() = core.host.reserve_descriptor();
        core.deadlines.until(core.now() + ACCEPT_RETRY_DELAY_US).await;
    }
}

/// A request that a client has sent.
struct ReceivedRequest {
    /// The request line, without its line end.
    line: String,
    request: Box<dyn ClientRequest>,
}

/// Serves a request in this process or in its successor.
async fn serve_request(
    core: Rc<Core>,
    protocol: Rc<dyn Protocol>,
    client: TcpStream,
    received: ReceivedRequest,
    guard: ShutdownGuard,
) {
    let Some((client, request)) = pass_to_successor(&core, &*protocol, client, received).await else {
        return;
    };
    let handler = request_handler::run(core, protocol, client, request);
    // `run` registers the request before it first waits, so the process cannot end in between.
    drop(guard);
    handler.await;
}

/// Hands a client over to the successor process if that process serves all new requests. Returns the client and
/// its request if this process serves them.
async fn pass_to_successor(
    core: &Rc<Core>,
    protocol: &dyn Protocol,
    client: TcpStream,
    received: ReceivedRequest,
) -> Option<(TcpStream, Box<dyn ClientRequest>)> {
    let ReceivedRequest { line, request } = received;
    if !core.successor_serves_requests() {
        return Some((client, request));
    }
    let returned = core.hand_over_client(line, client).await.err()?;
    if !core.successor_serves_requests() {
        return Some((returned, request));
    }
    // The successor could not take the client, and only the successor can tell whether the identity is free.
    core.metrics.count_answer(request.request().class, FinalAnswer::Refused);
    send_and_close(core, returned, &protocol.refusal(Some(RETRY_AFTER_US))).await;
    None
}

/// Refuses a client for lack of capacity, without waiting.
fn refuse(stream: &TcpStream, protocol: &dyn Protocol) {
    stream.set_nodelay();
    // The send buffer of a new connection holds a line; a broken connection needs no refusal.
    let _ = stream.try_write(&protocol.refusal(Some(RETRY_AFTER_US)));
    let _ = stream.finish();
    // Closing with unread bytes would reset the connection, which could discard the refusal.
    let _ = stream.try_read_unpolled(&mut [0; MAX_LINE_BYTES]);
}

/// The outcome of reading a client's request.
enum ReadOutcome {
    Request(ReceivedRequest),
    /// What the client sent is not a valid request.
    Invalid,
    /// The client has not sent a whole request, and the proxy waits no longer.
    Incomplete,
    /// The client closed or lost the connection before its request was complete.
    Disconnected,
}

impl Listener {
    /// Reads a client's request while the connection occupies a pending slot. Returns the request if it is
    /// valid and there is capacity; otherwise the client gets its final answer here.
    async fn receive_request(
        self: &Rc<Self>,
        core: &Rc<Core>,
        protocol: &Rc<dyn Protocol>,
        stream: TcpStream,
        slot: PendingSlot,
    ) -> Option<(TcpStream, ReceivedRequest)> {
        stream.set_nodelay();
        let received = tokio::select! {
            biased;
            received = read_request(&**protocol, &stream) => received,
            () = core.deadlines.until(core.now() + REQUEST_READ_TIMEOUT_US) => ReadOutcome::Incomplete,
            // During a shutdown a client without a request is told to go elsewhere while it still can.
            () = core.stopping.wait() => ReadOutcome::Incomplete,
            () = slot.evicted() => {
                self.evict(core, protocol, stream);
                return None;
            }
        };
        let answer = match received {
            ReadOutcome::Request(received) => match self.check_capacity(core, &**protocol, &received) {
                Ok(()) => return Some((stream, received)),
                Err(refusal) => refusal,
            },
            // Nothing was sent to a backend, so a retry is harmless.
            ReadOutcome::Incomplete => protocol.refusal(Some(RETRY_AFTER_US)),
            ReadOutcome::Invalid => protocol.failure(),
            ReadOutcome::Disconnected => return None,
        };
        tokio::select! {
            // Sending comes first, so that the answer is on its way whatever else is ready.
            biased;
            () = send_and_close(core, stream, &answer) => {}
            () = slot.evicted() => {}
        }
        None
    }
}

impl Listener {
    /// Checks that there is capacity for another request. The error is the final answer to this one.
    fn check_capacity(
        &self,
        core: &Core,
        protocol: &dyn Protocol,
        received: &ReceivedRequest,
    ) -> Result<(), Vec<u8>> {
        if core.active_requests() < self.request_limit() {
            return Ok(());
        }
        core.metrics.count_answer(received.request.request().class, FinalAnswer::Refused);
        Err(protocol.refusal(Some(RETRY_AFTER_US)))
    }

    /// Serves a client that the predecessor has accepted, from its request line on.
    pub fn serve_client_of_predecessor(
        self: &Rc<Self>,
        core: &Rc<Core>,
        protocol: &Rc<dyn Protocol>,
        client: TcpStream,
        line: String,
    ) {
        let (listener, core, protocol, guard) =
            (self.clone(), core.clone(), protocol.clone(), core.shutdown_guard());
        core.host.clone().spawn(async move {
            let answer = match protocol.parse_client_line(line.as_bytes()) {
                ClientMessage::Request(request) => {
                    let received = ReceivedRequest { line, request };
                    match listener.check_capacity(&core, &*protocol, &received) {
                        Ok(()) => return serve_request(core, protocol, client, received, guard).await,
                        Err(refusal) => refusal,
                    }
                }
                // The predecessor is of a version with other requests.
                ClientMessage::Immediate(_) | ClientMessage::Malformed => protocol.failure(),
            };
            send_and_close(&core, client, &answer).await;
        });
    }

    /// Refuses a client whose slot is needed for another. The client's next bytes may be on the way, and
    /// closing before they are read would be a reset that discards the refusal. The client therefore gets a
    /// moment to read the refusal, unless too many evictions are in progress.
    fn evict(self: &Rc<Self>, core: &Rc<Core>, protocol: &Rc<dyn Protocol>, stream: TcpStream) {
        if self.evicting.get() >= MAX_EVICTIONS {
            return refuse(&stream, &**protocol);
        }
        self.evicting.set(self.evicting.get() + 1);
        let (listener, core, answer) = (self.clone(), core.clone(), protocol.refusal(Some(RETRY_AFTER_US)));
        core.host.clone().spawn(async move {
            let deadline = core.now() + EVICTION_TIMEOUT_US;
            tokio::select! {
                biased;
                () = send_and_close(&core, stream, &answer) => {}
                () = core.deadlines.until(deadline) => {}
            }
            listener.evicting.set(listener.evicting.get() - 1);
        });
    }
}

/// Reads lines until one is a request. A client waits for an answer after that line, so a request with
/// further bytes behind it is invalid.
async fn read_request(protocol: &dyn Protocol, stream: &TcpStream) -> ReadOutcome {
    let mut received = Vec::new();
    loop {
        received = match read_line(stream, received).await {
            Ok(received) => received,
            // The line is too long.
            Err(e) if e.kind() == std::io::ErrorKind::InvalidData => return ReadOutcome::Invalid,
            Err(_) => return ReadOutcome::Disconnected,
        };
        let line_end = received.iter().position(|&byte| byte == b'\n').map_or(0, |at| at + 1);
        if !received[..line_end].ends_with(b"\r\n") {
            return ReadOutcome::Invalid;
        }
        let line = first_line(&received);
        match protocol.parse_client_line(line) {
            ClientMessage::Request(request) if received.len() == line_end => {
                let line = String::from_utf8_lossy(line).into_owned();
                return ReadOutcome::Request(ReceivedRequest { line, request });
            }
            ClientMessage::Immediate(answer) => {
                received.drain(..line_end);
                if write_all(stream, answer).await.is_err() {
                    return ReadOutcome::Disconnected;
                }
            }
            ClientMessage::Request(_) | ClientMessage::Malformed => return ReadOutcome::Invalid,
        }
    }
}
