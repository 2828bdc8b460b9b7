//! A process beside this one: taking over from the one that runs, and handing over to the next. What staff withhold
//! is kept here too, as it outlives the process. Nothing is decided here.

use crate::core::{Core, PendingHandover};
use crate::listener::Listener;
use crate::protocol::Protocol;
use crate::relay::{EstablishedConnection, RelayState};
use crate::request_handler::{self, HandoverRecord};
use crate::source::discovery::Endpoints;
use pierloom_decision::{BackendId, ClockOffset, Event, LearnedState, Micros};
use pierloom_host::{HandoverChannel, PassedSocket, TcpListener};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

/// The process that runs has this long to hand over; then this one starts beside it; microseconds.
const ANSWER: Micros = 2_000_000;
/// It has this long to stop accepting; then this one says yes all the same; microseconds.
const RELEASE: Micros = 1_000_000;
/// The next process has this long to start; then another may ask; microseconds.
const START: Micros = 6_000_000;
/// The number of jobs is told this often where it changes; microseconds.
const STEP: Micros = 100_000;
/// Pause before what is withheld is written down again, where that failed; microseconds.
const WRITE_PAUSE: Micros = 1_000_000;
/// Pause after an offer that failed; microseconds.
const OFFER_PAUSE: Micros = 1_000_000;

/// Told when the other holds a connection, or given it back.
type Done = oneshot::Sender<Result<(), EstablishedConnection>>;

/// What two processes say to each other.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum HandoverMessage {
    /// What the new one starts with, beside the listening socket.
    State(State),
    /// The new one serves.
    #[serde(rename = "taken")]
    TakeoverStarted,
    /// The old one accepts no more.
    #[serde(rename = "released")]
    AcceptStopped,
    /// Staff withhold a backend, or (false) gave it back.
    #[serde(rename = "withheld")]
    Maintenance(String, bool),
    /// The old one holds so many jobs.
    #[serde(rename = "jobs")]
    ActiveRequests(usize),
    /// A connection that stands, with its sockets: the client's, then the backend's.
    Connection(HandoverRecord, RelayState),
    /// The new one holds the connection that came last, or (false) cannot.
    #[serde(rename = "holds")]
    ConnectionAccepted(bool),
}

/// What a process hands over.
#[derive(Serialize, Deserialize)]
struct State {
    /// The time by the clock of the process that hands over, by which all its times are. Each process has a clock of its
    /// own: that of the machine may have been set between their starts. None from a version that did not say.
    #[serde(default)]
    clock: Option<Micros>,
    #[serde(rename = "withheld")]
    backends_in_maintenance: Vec<String>,
    /// The machine list as it stands.
    #[serde(rename = "list")]
    endpoints: Endpoints,
    #[serde(rename = "learned")]
    learned_state: LearnedState,
    #[serde(rename = "jobs")]
    active_requests: usize,
}

/// What this process took over.
pub struct Takeover {
    pub listener: TcpListener,
    pub endpoints: Endpoints,
    pub learned_state: LearnedState,
    pub active_requests: usize,
    pub channel: HandoverChannel,
}

/// Where the process beside this one is met, and what staff withhold is kept.
struct HandoverPaths {
    socket: PathBuf,
    withheld: PathBuf,
}

pub struct Upgrades {
    core: Rc<Core>,
    /// None where there is no second address.
    place: Option<HandoverPaths>,
    protocol: Rc<dyn Protocol>,
    /// The processes beside this one: the one before, the one after.
    peers: RefCell<Vec<UnboundedSender<HandoverMessage>>>,
    serving: Cell<bool>,
    /// How far this process's clock is before that of the process before.
    clock_offset: Cell<ClockOffset>,
    /// What is withheld is not written down yet, and a task tries on.
    unwritten: Cell<bool>,
}

/// What came of a call of staff's for a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceResult {
    /// In force, and written down.
    Persisted,
    /// In force; not written down yet, so that a kill now would forget it.
    NotPersisted,
    /// Nobody has that backend.
    UnknownBackend,
}

/// A file name made of the proxy's name.
fn file_name(name: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    format!("pierloom-{}", name.chars().map(plain).collect::<String>())
}

impl Upgrades {
    /// With a second address, in the folder that both processes share.
    pub fn new(core: Rc<Core>, protocol: Rc<dyn Protocol>, name: &str, console: bool) -> Rc<Self> {
        let folder = core.host.env_var("TMPDIR").filter(|_| console);
        let place = folder.map(|folder| {
            let base = PathBuf::from(folder).join(file_name(name));
            HandoverPaths { socket: base.with_extension("sock"), withheld: base.with_extension("withheld") }
        });
        Rc::new(Upgrades {
            core,
            place,
            protocol,
            peers: RefCell::default(),
            serving: Cell::new(false),
            clock_offset: Cell::new(0),
            unwritten: Cell::new(false),
        })
    }

    /// Whether this process can serve.
    pub fn serving(&self) -> bool {
        self.serving.get()
    }

    /// Takes over from the process that runs, if there is one, and has withheld what staff withheld before.
    pub async fn take_over(&self) -> Option<Takeover> {
        let place = self.place.as_ref()?;
        let asked_at = self.core.now();
        let asked = async {
            let pass = self.core.host.connect_handover(&place.socket).await?;
            let HandoverMessage::State(state) = read(pass.receive().await?)? else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let listener = pass.receive_listener()?;
            Ok((pass, listener, state))
        };
        let answer: io::Result<(HandoverChannel, TcpListener, State)> = tokio::select! {
            biased;
            answer = asked => answer,
            () = self.core.deadlines.until(self.core.now() + ANSWER) => Err(io::ErrorKind::TimedOut.into()),
        };
        match answer {
            Ok((
                pass,
                listener,
                State { clock, backends_in_maintenance, endpoints, learned_state, active_requests },
            )) => {
                // It was read after it was asked for: nothing counts as younger than it is.
                let offset = clock.map_or(0, |clock| asked_at as ClockOffset - clock as ClockOffset);
                self.clock_offset.set(offset);
                let learned_state = learned_state.with_clock_offset(offset);
                tracing::info!(
                    target: "upgrade",
                    "takes over from the process that runs, which holds {active_requests} jobs"
                );
                backends_in_maintenance.iter().for_each(|backend| self.enter(backend, true));
                Some(Takeover { listener, endpoints, learned_state, active_requests, channel: pass })
            }
            Err(e) => {
                let nobody = [io::ErrorKind::NotFound, io::ErrorKind::ConnectionRefused].contains(&e.kind());
                if !nobody {
                    tracing::warn!(target: "upgrade", "starts without what the process that runs knows: {e}");
                }
                self.read_withheld(place);
                None
            }
        }
    }

    /// What was withheld when a process of this name last wrote it down. Guards against a mark that is lost with a
    /// process that was killed, or with a hand-over that was cut.
    fn read_withheld(&self, place: &HandoverPaths) {
        let backends = match self.core.host.read_file(&place.withheld) {
            Ok(mut bytes) => {
                simd_json::serde::from_slice::<Vec<String>>(&mut bytes).map_err(|e| e.to_string())
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => return,
            Err(e) => Err(e.to_string()),
        };
        match backends {
            Ok(backends) => backends.iter().for_each(|backend| self.enter(backend, true)),
            Err(e) => {
                tracing::warn!(target: "upgrade", "{}: nothing is withheld: {e}", place.withheld.display())
            }
        }
    }

    fn enter(&self, backend: &str, withheld: bool) {
        self.core.dispatch_event(Event::Maintenance(BackendId::from(backend), withheld));
    }

    /// Has a backend withheld, or gives it back. It is in force, told to the process beside this one and written down
    /// before the yes.
    pub fn set_maintenance(self: &Rc<Self>, backend: &str, withheld: bool) -> MaintenanceResult {
        if !self.core.knows_backend(backend) {
            return MaintenanceResult::UnknownBackend;
        }
        self.enter(backend, withheld);
        self.peers
            .borrow_mut()
            .retain(|one| one.send(HandoverMessage::Maintenance(backend.to_string(), withheld)).is_ok());
        if self.write_withheld() {
            return MaintenanceResult::Persisted;
        }
        if !self.unwritten.replace(true) {
            self.core.host.spawn(self.clone().write_until_written());
        }
        MaintenanceResult::NotPersisted
    }

    /// Writes down what is withheld, where a next process may look for it; false where that fails.
    fn write_withheld(&self) -> bool {
        let Some(place) = &self.place else { return true };
        let backends = serde_json::to_vec(&self.core.backends_in_maintenance()).unwrap_or_default();
        let written = self.core.host.write_file(&place.withheld, &backends);
        if let Err(e) = &written {
            tracing::warn!(target: "upgrade", "{}: {e}", place.withheld.display());
        }
        written.is_ok()
    }

    /// Goes on trying: what is in force is written down as soon as the folder takes it.
    async fn write_until_written(self: Rc<Self>) {
        loop {
            self.core.deadlines.until(self.core.now() + WRITE_PAUSE).await;
            if self.write_withheld() {
                return self.unwritten.set(false);
            }
        }
    }

    /// What this process has to tell another one from now on.
    fn tells(&self) -> UnboundedReceiver<HandoverMessage> {
        let (sender, words) = unbounded_channel();
        self.peers.borrow_mut().push(sender);
        words
    }

    /// Serves from here on: accepts alone once the one before does no more, and offers to hand over in its turn.
    pub async fn serve(
        self: Rc<Self>,
        listener: Rc<Listener>,
        list: Rc<RefCell<Endpoints>>,
        before: Option<(HandoverChannel, usize)>,
    ) {
        if let Some((pass, active_requests)) = before {
            listener.set_predecessor_requests(active_requests);
            let (upgrades, beside) = (self.clone(), listener.clone());
            let released = Rc::new(tokio::sync::Notify::new());
            let rung = released.clone();
            self.core.host.spawn(async move {
                let end = upgrades.follow_predecessor(&pass, &beside, &rung).await;
                tracing::info!(target: "upgrade", "the process before has ended ({})", end.kind());
                beside.set_predecessor_requests(0);
                // One that has ended accepts no more.
                rung.notify_one();
            });
            tokio::select! {
                biased;
                () = released.notified() => {}
                () = self.core.deadlines.until(self.core.now() + RELEASE) => {}
            }
        }
        self.serving.set(true);
        let Some(place) = &self.place else { return };
        loop {
            let met = match self.core.host.listen_handover(&place.socket) {
                Ok(offers) => offers.accept().await,
                Err(e) => Err(e),
            };
            match met {
                Ok(pass) => self.serve_successor(&pass, &listener, &list).await,
                Err(e) => {
                    tracing::warn!(target: "upgrade", "{}: {e}", place.socket.display());
                    self.core.deadlines.until(self.core.now() + OFFER_PAUSE).await;
                }
            }
        }
    }

    /// The new process's side, until the old one has ended; how it ended.
    async fn follow_predecessor(
        &self,
        pass: &HandoverChannel,
        listener: &Listener,
        released: &tokio::sync::Notify,
    ) -> io::Error {
        let mut tells = self.tells();
        if let Err(e) = send_message(pass, &HandoverMessage::TakeoverStarted).await {
            return e;
        }
        loop {
            let heard = tokio::select! {
                biased;
                heard = pass.receive() => heard.and_then(read),
                Some(word) = tells.recv() => match send_message(pass, &word).await {
                    Ok(()) => continue,
                    Err(e) => return e,
                },
            };
            match heard {
                Ok(HandoverMessage::AcceptStopped) => released.notify_one(),
                Ok(HandoverMessage::Maintenance(backend, withheld)) => self.enter(&backend, withheld),
                Ok(HandoverMessage::ActiveRequests(active_requests)) => {
                    listener.set_predecessor_requests(active_requests)
                }
                Ok(HandoverMessage::Connection(connection, relay_state)) => {
                    let holds = self.adopt(pass, connection, relay_state);
                    // It is none of the old one's any more, and counts here.
                    listener.release_predecessor_request(holds);
                    if let Err(e) = send_message(pass, &HandoverMessage::ConnectionAccepted(holds)).await {
                        return e;
                    }
                }
                Ok(
                    HandoverMessage::State(_)
                    | HandoverMessage::TakeoverStarted
                    | HandoverMessage::ConnectionAccepted(_),
                ) => {}
                Err(e) => return e,
            }
        }
    }

    fn adopt(&self, pass: &HandoverChannel, connection: HandoverRecord, relay_state: RelayState) -> bool {
        let (Ok(client), Ok(backend)) = (pass.receive_stream(), pass.receive_stream()) else { return false };
        let relay_state = relay_state.with_clock_offset(self.clock_offset.get());
        request_handler::adopt(
            &self.core,
            self.protocol.clone(),
            connection,
            EstablishedConnection { client, backend, state: relay_state },
        )
    }

    /// The old process's side, until the new one has ended, or did not start in time.
    async fn serve_successor(&self, pass: &HandoverChannel, listener: &Listener, list: &RefCell<Endpoints>) {
        let mut tells = self.tells();
        let state = State {
            clock: Some(self.core.now()),
            backends_in_maintenance: self.core.backends_in_maintenance(),
            endpoints: list.borrow().clone(),
            learned_state: self.core.learned_state(),
            active_requests: self.core.active_requests(),
        };
        let (sender, mut handed) = unbounded_channel::<PendingHandover>();
        let mut under_way: Option<(EstablishedConnection, Done)> = None;
        let end = async {
            send_message_with(
                pass,
                &HandoverMessage::State(state),
                &[PassedSocket::Listener(listener.socket())],
            )
            .await?;
            let (mut taken, mut told) = (false, None);
            let until = self.core.now() + START;
            loop {
                tokio::select! {
                    biased;
                    heard = pass.receive() => match read(heard?)? {
                        HandoverMessage::TakeoverStarted => {
                            tracing::info!(target: "upgrade", "the process after takes over");
                            listener.pause_accepting();
                            self.core.set_successor(Some(sender.clone()));
                            taken = true;
                            send_message(pass, &HandoverMessage::AcceptStopped).await?;
                        }
                        HandoverMessage::Maintenance(backend, withheld) => self.enter(&backend, withheld),
                        HandoverMessage::ConnectionAccepted(holds) => {
                            if let Some((standing, done)) = under_way.take() {
                                // Its copies are closed here only now.
                                let _ = done.send(if holds { Ok(()) } else { Err(standing) });
                            }
                        }
                        HandoverMessage::State(_)
                        | HandoverMessage::AcceptStopped
                        | HandoverMessage::ActiveRequests(_)
                        | HandoverMessage::Connection(..) => {}
                    },
                    Some(word) = tells.recv() => send_message(pass, &word).await?,
                    Some(one) = handed.recv(), if under_way.is_none() => {
                        let PendingHandover {
                            connection,
                            standing: EstablishedConnection { client, backend, state: relay_state },
                            done,
                        } = one;
                        let word = HandoverMessage::Connection(connection, relay_state);
                        let sent = send_message_with(
                            pass,
                            &word,
                            &[PassedSocket::Stream(&client), PassedSocket::Stream(&backend)],
                        )
                        .await;
                        let HandoverMessage::Connection(_, relay_state) = word else { continue };
                        under_way = Some((
                            EstablishedConnection { client, backend, state: relay_state },
                            done,
                        ));
                        sent?;
                    }
                    () = self.core.deadlines.until(self.core.now() + STEP) => {
                        if !taken && self.core.now() > until {
                            return Err::<(), io::Error>(io::ErrorKind::TimedOut.into());
                        }
                        let active_requests = self.core.active_requests();
                        if taken && told.replace(active_requests) != Some(active_requests) {
                            send_message(pass, &HandoverMessage::ActiveRequests(active_requests)).await?;
                        }
                    }
                }
            }
        };
        if let Err(e) = end.await {
            tracing::warn!(target: "upgrade", "the process after has ended ({}): this one goes on", e.kind());
        }
        self.core.set_successor(None);
        // What the other did not take goes on here.
        handed.close();
        let queued = std::iter::from_fn(|| handed.try_recv().ok()).map(|one| (one.standing, one.done));
        for (standing, done) in under_way.into_iter().chain(queued) {
            let _ = done.send(Err(standing));
        }
        listener.resume_accepting();
    }
}

fn read(mut word: Vec<u8>) -> io::Result<HandoverMessage> {
    simd_json::serde::from_slice(&mut word).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}

async fn send_message(pass: &HandoverChannel, word: &HandoverMessage) -> io::Result<()> {
    send_message_with(pass, word, &[]).await
}

async fn send_message_with(
    pass: &HandoverChannel,
    word: &HandoverMessage,
    sockets: &[PassedSocket<'_>],
) -> io::Result<()> {
    pass.send(&serde_json::to_vec(word)?, sockets).await
}
