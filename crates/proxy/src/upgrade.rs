//! Upgrades without downtime: taking over from a running process of the same proxy, and handing over to the
//! next one. The module also persists which backends are in maintenance, since that outlives the process. It
//! makes no placement decisions.

use crate::core::Core;
use crate::handover::{HandoverMessage, PendingHandover, State, receive_message, send, send_message};
use crate::listener::Listener;
use crate::protocol::Protocol;
use crate::relay::{EstablishedConnection, RelayState};
use crate::request_handler::{self, HandoverRecord};
use crate::source::endpoints::Endpoints;
use pierloom_decision::{BackendId, ClockOffset, Event, LearnedState, Micros};
use pierloom_host::{HandoverChannel, PassedSocket, TcpListener};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Time limit for the predecessor to send its state. After that this process starts without it, beside the
/// predecessor.
const TAKEOVER_TIMEOUT_US: Micros = 2_000_000;
/// Time limit for the predecessor to stop accepting and to tell its identities. After that this process accepts
/// clients regardless.
const ACCEPT_STOP_TIMEOUT_US: Micros = 1_000_000;
/// Time limit for the successor to start serving. After that another process may ask for a handover.
const SUCCESSOR_START_TIMEOUT_US: Micros = 6_000_000;
/// Interval at which the predecessor sends its number of active requests, if that number has changed.
const REQUEST_COUNT_INTERVAL_US: Micros = 100_000;
/// Delay before the backends in maintenance are written to their file again after a failed write.
const WRITE_RETRY_DELAY_US: Micros = 1_000_000;
/// Delay before this process listens for a successor again after a failure.
const LISTEN_RETRY_DELAY_US: Micros = 1_000_000;

/// What this process took over from its predecessor.
pub struct Takeover {
    /// The listening socket, shared with the predecessor.
    pub listener: TcpListener,
    /// The endpoints that the predecessor knew.
    pub endpoints: Endpoints,
    /// What the predecessor's decision module learned, by this process's clock.
    pub learned_state: LearnedState,
    /// The predecessor, from which connections follow.
    pub predecessor: Predecessor,
}

/// The successor's view of a predecessor that hands over.
pub struct Predecessor {
    channel: HandoverChannel,
    /// The number of requests that it held when it sent its state.
    active_requests: usize,
    /// Whether it tells its identities and passes on clients.
    tells_identities: bool,
    /// The messages that this process has for it.
    outgoing: UnboundedReceiver<HandoverMessage>,
}

/// Paths in the folder that both processes share.
struct HandoverPaths {
    /// The Unix socket on which a process listens for its successor.
    socket: PathBuf,
    /// The JSON file that lists the backends in maintenance.
    maintenance: PathBuf,
}

/// Hands over between processes of one proxy, and keeps track of the backends in maintenance.
pub struct Upgrades {
    core: Rc<Core>,
    /// `None` if the proxy has no console address.
    paths: Option<HandoverPaths>,
    protocol: Rc<dyn Protocol>,
    /// Queues of messages to the peer processes: the predecessor and the successor.
    peers: RefCell<Vec<UnboundedSender<HandoverMessage>>>,
    serving: Cell<bool>,
    /// This process's clock minus the predecessor's.
    clock_offset: Cell<ClockOffset>,
    /// Whether the last write of the maintenance file failed, so that a task is retrying it.
    persist_retrying: Cell<bool>,
}

/// The result of an operators' call that puts a backend into maintenance or returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceResult {
    /// The change is in force and written to the file.
    Persisted,
    /// The change is in force but not yet written to the file. If the process is killed now, the change is
    /// lost.
    NotPersisted,
    /// The backend is unknown: no endpoint list ever named it, and it is not in maintenance.
    UnknownBackend,
}

/// Makes a file name, without extension, from the proxy's name.
fn file_name(name: &str) -> String {
    let to_safe_char = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    format!("pierloom-{}", name.chars().map(to_safe_char).collect::<String>())
}

impl Upgrades {
    /// Creates the upgrade state of a process. Only a proxy with a console address uses the shared folder,
    /// `TMPDIR`.
    pub fn new(core: Rc<Core>, protocol: Rc<dyn Protocol>, name: &str, console: bool) -> Rc<Self> {
        let folder = core.host.env_var("TMPDIR").filter(|_| console);
        let paths = folder.map(|folder| {
            let base = PathBuf::from(folder).join(file_name(name));
            HandoverPaths {
                socket: base.with_extension("sock"),
                maintenance: base.with_extension("withheld"),
            }
        });
        Rc::new(Upgrades {
            core,
            paths,
            protocol,
            peers: RefCell::default(),
            serving: Cell::new(false),
            clock_offset: Cell::new(0),
            persist_retrying: Cell::new(false),
        })
    }

    /// Whether this process reports itself as serving. It does so once its predecessor, if any, has stopped
    /// accepting clients or the time limit for that has passed.
    pub fn serving(&self) -> bool {
        self.serving.get()
    }

    /// Takes over from a running predecessor, if there is one, and restores the backends in maintenance.
    pub async fn take_over(&self) -> Option<Takeover> {
        let paths = self.paths.as_ref()?;
        let asked_at = self.core.now();
        let request_state = async {
            let channel = self.core.host.connect_handover(&paths.socket).await?;
            let HandoverMessage::State(state) = receive_message(&channel).await? else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let listener = channel.receive_listener()?;
            Ok((channel, listener, state))
        };
        let answer: io::Result<(HandoverChannel, TcpListener, State)> = tokio::select! {
            biased;
            answer = request_state => answer,
            () = self.core.deadlines.until(self.core.now() + TAKEOVER_TIMEOUT_US) => {
                Err(io::ErrorKind::TimedOut.into())
            }
        };
        match answer {
            Ok((channel, listener, state)) => Some(self.apply_state(asked_at, channel, listener, state)),
            Err(e) => {
                let no_predecessor =
                    [io::ErrorKind::NotFound, io::ErrorKind::ConnectionRefused].contains(&e.kind());
                if !no_predecessor {
                    tracing::warn!(target: "upgrade", "starting without the predecessor's state: {e}");
                }
                self.restore_maintenance(paths);
                None
            }
        }
    }

    /// Starts from the state of the predecessor, which was asked for it at `asked_at`.
    fn apply_state(
        &self,
        asked_at: Micros,
        channel: HandoverChannel,
        listener: TcpListener,
        state: State,
    ) -> Takeover {
        // From here on, operators' calls at this process reach the predecessor too.
        let outgoing = self.register_peer();
        // The predecessor reads its clock after this process asks, so the offset never makes a learned time
        // look more recent than it is.
        let offset = state.clock.map_or(0, |clock| asked_at as ClockOffset - clock as ClockOffset);
        self.clock_offset.set(offset);
        let active_requests = state.active_requests;
        tracing::info!(
            target: "upgrade",
            "taking over from the running process, which holds {active_requests} requests"
        );
        state.backends_in_maintenance.iter().for_each(|backend| self.report_maintenance(backend, true));
        let tells_identities = state.identities.is_some();
        self.core.identities.borrow_mut().set_predecessor(state.identities.unwrap_or_default());
        Takeover {
            listener,
            endpoints: state.endpoints,
            learned_state: state.learned_state.with_clock_offset(offset),
            predecessor: Predecessor { channel, active_requests, tells_identities, outgoing },
        }
    }

    /// Restores the backends in maintenance from the file that a process of this proxy wrote last, beside those
    /// that are in maintenance already. A process that was killed, or a handover that was interrupted, does not
    /// lose them.
    fn restore_maintenance(&self, paths: &HandoverPaths) {
        let backends = match self.core.host.read_file(&paths.maintenance) {
            Ok(mut bytes) => {
                simd_json::serde::from_slice::<Vec<String>>(&mut bytes).map_err(|e| e.to_string())
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => return,
            Err(e) => Err(e.to_string()),
        };
        match backends {
            Ok(backends) => {
                let known = self.core.backends_in_maintenance();
                let new = backends.iter().filter(|backend| !known.contains(backend));
                new.for_each(|backend| self.report_maintenance(backend, true));
            }
            Err(e) => {
                tracing::warn!(
                    target: "upgrade",
                    "{}: cannot restore the backends in maintenance: {e}",
                    paths.maintenance.display()
                )
            }
        }
    }

    /// Applies a maintenance change that the peer process reports. This process writes the file too: the peer's
    /// write may be older than the last one of this process, which did not know of the change.
    fn apply_peer_maintenance(self: &Rc<Self>, backend: &str, in_maintenance: bool) {
        self.report_maintenance(backend, in_maintenance);
        self.persist_or_retry();
    }

    /// Restores the backends that a peer process put into maintenance and did not report before it ended. While
    /// this process has yet to write the file, the file is out of date.
    fn restore_maintenance_of_peer(&self) {
        if let Some(paths) = self.paths.as_ref().filter(|_| !self.persist_retrying.get()) {
            self.restore_maintenance(paths);
        }
    }

    /// Reports a maintenance change to the decision module.
    fn report_maintenance(&self, backend: &str, in_maintenance: bool) {
        self.core.dispatch_event(Event::Maintenance(BackendId::from(backend), in_maintenance));
    }

    /// Puts a backend into maintenance, or returns it from maintenance. Before the method returns
    /// `Persisted`, the change is in force, queued for the peer processes and written to the file.
    pub fn set_maintenance(self: &Rc<Self>, backend: &str, in_maintenance: bool) -> MaintenanceResult {
        if !self.core.knows_backend(backend) {
            return MaintenanceResult::UnknownBackend;
        }
        self.report_maintenance(backend, in_maintenance);
        self.peers.borrow_mut().retain(|peer| {
            peer.send(HandoverMessage::Maintenance(backend.to_string(), in_maintenance)).is_ok()
        });
        self.persist_or_retry()
    }

    /// Writes the backends in maintenance to the file, now or after some retries.
    fn persist_or_retry(self: &Rc<Self>) -> MaintenanceResult {
        if self.persist_maintenance() {
            return MaintenanceResult::Persisted;
        }
        if !self.persist_retrying.replace(true) {
            self.core.host.spawn(self.clone().retry_persist_maintenance());
        }
        MaintenanceResult::NotPersisted
    }

    /// Writes the backends in maintenance to the file that a later process reads. Returns false on failure.
    fn persist_maintenance(&self) -> bool {
        let Some(paths) = &self.paths else { return true };
        let backends = serde_json::to_vec(&self.core.backends_in_maintenance()).unwrap_or_default();
        let written = self.core.host.write_file(&paths.maintenance, &backends);
        if let Err(e) = &written {
            tracing::warn!(
                target: "upgrade",
                "cannot write the backends in maintenance to {}: {e}",
                paths.maintenance.display()
            );
        }
        written.is_ok()
    }

    /// Retries the write of the maintenance file until it succeeds.
    async fn retry_persist_maintenance(self: Rc<Self>) {
        loop {
            self.core.deadlines.until(self.core.now() + WRITE_RETRY_DELAY_US).await;
            if self.persist_maintenance() {
                return self.persist_retrying.set(false);
            }
        }
    }

    /// Registers a peer process. Returns the queue of messages that this process has for it from now on.
    fn register_peer(&self) -> UnboundedReceiver<HandoverMessage> {
        let (sender, messages) = unbounded_channel();
        self.peers.borrow_mut().push(sender);
        messages
    }

    /// Waits until the predecessor, if any, has stopped accepting, then accepts clients, reports this process as
    /// serving and listens for a successor.
    pub async fn serve(
        self: Rc<Self>,
        listener: Rc<Listener>,
        endpoints: Rc<RefCell<Endpoints>>,
        predecessor: Option<Predecessor>,
    ) {
        if let Some(predecessor) = predecessor {
            listener.set_predecessor_requests(predecessor.active_requests);
            let (upgrades, task_listener) = (self.clone(), listener.clone());
            let accept_stopped = Rc::new(Notify::new());
            let task_accept_stopped = accept_stopped.clone();
            self.core.host.spawn(async move {
                let error =
                    upgrades.follow_predecessor(predecessor, &task_listener, &task_accept_stopped).await;
                tracing::info!(
                    target: "upgrade",
                    "the handover from the predecessor is over ({})",
                    error.kind()
                );
                upgrades.restore_maintenance_of_peer();
                // The requests of a predecessor that has ended have ended too.
                task_listener.set_predecessor_requests(0);
                upgrades.core.identities.borrow_mut().set_predecessor(Vec::new());
                // A predecessor that has ended accepts no more clients. If it still runs, this process waits
                // no longer for it.
                task_accept_stopped.notify_one();
            });
            tokio::select! {
                biased;
                () = accept_stopped.notified() => {}
                () = self.core.deadlines.until(self.core.now() + ACCEPT_STOP_TIMEOUT_US) => {}
            }
            listener.resume_accepting();
        }
        self.serving.set(true);
        let Some(paths) = &self.paths else { return };
        loop {
            let accepted = match self.core.host.listen_handover(&paths.socket) {
                Ok(handover_listener) => handover_listener.accept().await,
                Err(e) => Err(e),
            };
            match accepted {
                Ok(channel) => self.serve_successor(&channel, &listener, &endpoints).await,
                Err(e) => {
                    tracing::warn!(
                        target: "upgrade",
                        "cannot listen for a successor at {}: {e}",
                        paths.socket.display()
                    );
                    self.core.deadlines.until(self.core.now() + LISTEN_RETRY_DELAY_US).await;
                }
            }
        }
    }

    /// Runs the successor's side of a handover until the connection to the predecessor fails, or the
    /// predecessor sends an invalid message. Returns the final error.
    async fn follow_predecessor(
        self: &Rc<Self>,
        predecessor: Predecessor,
        listener: &Rc<Listener>,
        accept_stopped: &Notify,
    ) -> io::Error {
        let Predecessor { channel, tells_identities, mut outgoing, .. } = predecessor;
        send_to_predecessor(&channel, &HandoverMessage::TakeoverStarted).await;
        if tells_identities {
            send_to_predecessor(&channel, &HandoverMessage::IdentitiesRequested).await;
        }
        loop {
            let message = tokio::select! {
                biased;
                received = receive_message(&channel) => match received {
                    Ok(message) => message,
                    Err(e) => return e,
                },
                Some(message) = outgoing.recv() => {
                    send_to_predecessor(&channel, &message).await;
                    continue;
                }
            };
            match message {
                HandoverMessage::AcceptStopped if !tells_identities => accept_stopped.notify_one(),
                HandoverMessage::Identities(identities) => {
                    self.core.identities.borrow_mut().set_predecessor(identities);
                    accept_stopped.notify_one();
                }
                message => {
                    if let Some(accepted) = self.handle_predecessor_message(&channel, listener, message) {
                        send_to_predecessor(&channel, &HandoverMessage::Accepted(accepted)).await;
                    }
                }
            }
        }
    }

    /// Handles a message of the predecessor. Returns whether this process holds what was passed with it, if
    /// something was.
    fn handle_predecessor_message(
        self: &Rc<Self>,
        channel: &HandoverChannel,
        listener: &Rc<Listener>,
        message: HandoverMessage,
    ) -> Option<bool> {
        match message {
            HandoverMessage::IdentityReleased(identity) => {
                self.core.identities.borrow_mut().release_predecessor(&identity)
            }
            HandoverMessage::Maintenance(backend, in_maintenance) => {
                self.apply_peer_maintenance(&backend, in_maintenance)
            }
            HandoverMessage::ActiveRequests(active_requests) => {
                listener.set_predecessor_requests(active_requests)
            }
            HandoverMessage::Connection(record, relay_state) => {
                let adopted = self.adopt(channel, record, relay_state);
                // An adopted connection counts among this process's requests, no longer among the
                // predecessor's.
                listener.release_predecessor_request(adopted);
                return Some(adopted);
            }
            HandoverMessage::Client(request_line) => {
                let Ok(client) = channel.receive_stream() else { return Some(false) };
                listener.serve_client_of_predecessor(&self.core, &self.protocol, client, request_line);
                return Some(true);
            }
            HandoverMessage::State(_)
            | HandoverMessage::TakeoverStarted
            | HandoverMessage::AcceptStopped
            | HandoverMessage::IdentitiesRequested
            | HandoverMessage::Identities(_)
            | HandoverMessage::Accepted(_) => {}
        }
        None
    }

    /// Adopts a connection of the predecessor. Returns false if that is not possible.
    fn adopt(&self, peer: &HandoverChannel, record: HandoverRecord, relay_state: RelayState) -> bool {
        let (Ok(client), Ok(backend)) = (peer.receive_stream(), peer.receive_stream()) else { return false };
        let relay_state = relay_state.with_clock_offset(self.clock_offset.get());
        request_handler::adopt(
            &self.core,
            self.protocol.clone(),
            record,
            EstablishedConnection { client, backend, state: relay_state },
        )
    }

    /// Runs the predecessor's side of a handover until the connection to the successor fails, the successor
    /// sends an invalid message, or it has not started in time.
    async fn serve_successor(
        self: &Rc<Self>,
        channel: &HandoverChannel,
        listener: &Listener,
        endpoints: &RefCell<Endpoints>,
    ) {
        let mut outgoing = self.register_peer();
        let state = State {
            clock: Some(self.core.now()),
            backends_in_maintenance: self.core.backends_in_maintenance(),
            endpoints: endpoints.borrow().clone(),
            learned_state: self.core.learned_state(),
            active_requests: self.core.active_requests(),
            identities: Some(self.core.identities.borrow().active()),
        };
        let (sender, mut pending_handovers) = unbounded_channel::<PendingHandover>();
        let mut in_progress: Option<PendingHandover> = None;
        let mut free_identities = None;
        let handover = async {
            let sockets = [PassedSocket::Listener(listener.socket())];
            send(channel, &HandoverMessage::State(state), &sockets).await?;
            let (mut taken_over, mut last_sent) = (false, None);
            let start_deadline = self.core.now() + SUCCESSOR_START_TIMEOUT_US;
            loop {
                tokio::select! {
                    biased;
                    received = receive_message(channel) => match received? {
                        HandoverMessage::TakeoverStarted => {
                            tracing::info!(target: "upgrade", "the successor is taking over");
                            listener.pause_accepting();
                            self.core.set_successor(Some(sender.clone()));
                            taken_over = true;
                            send_message(channel, &HandoverMessage::AcceptStopped).await?;
                        }
                        HandoverMessage::Maintenance(backend, in_maintenance) => {
                            self.apply_peer_maintenance(&backend, in_maintenance)
                        }
                        HandoverMessage::IdentitiesRequested if taken_over => {
                            let (active, free) = self.core.identities.borrow_mut().share();
                            free_identities = Some(free);
                            send_message(channel, &HandoverMessage::Identities(active)).await?;
                        }
                        HandoverMessage::Accepted(accepted) => {
                            if let Some(handed_over) = in_progress.take() {
                                handed_over.finish(accepted);
                            }
                        }
                        HandoverMessage::State(_)
                        | HandoverMessage::AcceptStopped
                        | HandoverMessage::IdentitiesRequested
                        | HandoverMessage::Identities(_)
                        | HandoverMessage::IdentityReleased(_)
                        | HandoverMessage::Client(_)
                        | HandoverMessage::ActiveRequests(_)
                        | HandoverMessage::Connection(..) => {}
                    },
                    Some(message) = outgoing.recv() => send_message(channel, &message).await?,
                    Some(identity) = next_free_identity(&mut free_identities) => {
                        send_message(channel, &HandoverMessage::IdentityReleased(identity)).await?
                    }
                    Some(handed_over) = pending_handovers.recv(), if in_progress.is_none() => {
                        in_progress.insert(handed_over).send(channel).await?
                    }
                    () = self.core.deadlines.until(self.core.now() + REQUEST_COUNT_INTERVAL_US) => {
                        if !taken_over && self.core.now() > start_deadline {
                            return Err::<(), io::Error>(io::ErrorKind::TimedOut.into());
                        }
                        let active_requests = self.core.active_requests();
                        if taken_over && last_sent.replace(active_requests) != Some(active_requests) {
                            send_message(channel, &HandoverMessage::ActiveRequests(active_requests)).await?;
                        }
                    }
                }
            }
        };
        if let Err(e) = handover.await {
            tracing::warn!(
                target: "upgrade",
                "the handover to the successor is over ({}): this process continues to serve",
                e.kind()
            );
        }
        self.restore_maintenance_of_peer();
        self.core.set_successor(None);
        self.core.identities.borrow_mut().unshare();
        // This process goes on with the connections and clients that the successor did not accept.
        pending_handovers.close();
        let queued = std::iter::from_fn(|| pending_handovers.try_recv().ok());
        in_progress.into_iter().chain(queued).for_each(|handed_over| handed_over.finish(false));
        listener.resume_accepting();
    }
}

/// Sends a message to the predecessor. One that cannot be sent to has ended, or the connection to it is broken,
/// which ends it for both. What the predecessor sent before is still received.
async fn send_to_predecessor(channel: &HandoverChannel, message: &HandoverMessage) {
    if send_message(channel, message).await.is_err() {
        channel.end_sending();
    }
}

/// Waits for the next identity that becomes free. Never returns before the identities are shared.
async fn next_free_identity(free_identities: &mut Option<UnboundedReceiver<String>>) -> Option<String> {
    match free_identities {
        Some(free_identities) => free_identities.recv().await,
        None => pending().await,
    }
}
