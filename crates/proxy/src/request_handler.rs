//! The life of one job, from its opening to its final answer or the end of its connection.

use crate::attempt::{self, BackendConnection};
use crate::core::{Core, RequestCommand, RequestHandle};
use crate::metrics::FinalAnswer;
use crate::protocol::{ClientRequest, Protocol};
use crate::relay::{self, EstablishedConnection, RelayOutcome};
use crate::stream::{MAX_LINE_BYTES, read_more, send_and_close};
use pierloom_decision::{BackendId, Event, Micros, Request, Status};
use pierloom_host::TcpStream;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// The final answer leaves this long before the client stops waiting: it has a way to go; microseconds.
const MARGIN: Micros = 20_000;
/// Connections that stood before this proxy's start may take this long to be up again; microseconds.
const RESUME: Micros = 35_000_000;
/// Gap between tries to resume one; microseconds.
const RESUME_GAP: Micros = 250_000;

/// Serves one job. The module is asked what to do at each `commands.recv()`.
pub async fn run(
    core: Rc<Core>,
    protocol: Rc<dyn Protocol>,
    client: TcpStream,
    opening: Box<dyn ClientRequest>,
) {
    let class = opening.request().class;
    let Some(mut seat) = RequestHandle::register(&core, opening.identity(), class) else {
        // Whoever holds that job is not to suffer from another that says it is the same.
        core.metrics.count_answer(class, FinalAnswer::Failed);
        return send_and_close(&core, client, &protocol.failure()).await;
    };
    let (wait, resume_backend) = (opening.timeout(), opening.resume_backend());
    let deadline = core.now() + wait.saturating_sub(MARGIN.min(wait / 4));
    let request = Request { id: seat.id, deadline, ..opening.request() };
    if let Some(backend) = resume_backend {
        return resume(&core, &*protocol, seat, client, &*opening, request, backend).await;
    }
    core.dispatch_event(Event::Request(request.clone()));
    let link = loop {
        let order = tokio::select! {
            biased;
            // First: nothing is begun for one that has left, though an order is there in the same moment.
            left = breaks_off(&client) => return dismiss(&core, &*protocol, seat, client, left).await,
            order = seat.commands.recv() => order.unwrap_or(RequestCommand::Fail),
            // The module ends a job before this; should it not, the client still gets an answer.
            () = core.deadlines.until(deadline + MARGIN / 2) => break None,
        };
        match order {
            RequestCommand::Attempt { backend, until } => {
                seat.start_attempt();
                let (id, broke_off) = (seat.id, Cell::new(None));
                // Guards against whatever came while it connected: a drain, the client's end, the end of a window
                // for repeats or of the time that is left.
                let line = || {
                    broke_off.set(broken_off(&client));
                    let goes = broke_off.get().is_none() && core.may_send_attempt(id);
                    goes.then(|| opening.encode_for_backend(until.saturating_sub(core.now())))
                };
                let attempt = tokio::select! {
                    biased;
                    left = breaks_off(&client) => return dismiss(&core, &*protocol, seat, client, left).await,
                    attempt = attempt::run(&core, &*protocol, core.address(&backend), line, until, class) =>
                        attempt,
                };
                if let Some(left) = broke_off.get() {
                    return dismiss(&core, &*protocol, seat, client, left).await;
                }
                match attempt {
                    Ok(link) => break Some((link, backend)),
                    // Served to its end before it was up: that is the answer, and no try follows.
                    Err(ending) if ending.status() == Status::Ok => {
                        seat.record_answer(FinalAnswer::Served);
                        seat.end_attempt(Status::Ok);
                        return send_and_close(&core, client, protocol.served()).await;
                    }
                    Err(ending) => seat.end_attempt(ending.status()),
                }
            }
            RequestCommand::Refuse(wait) => {
                seat.record_answer(FinalAnswer::Refused);
                return send_and_close(&core, client, &protocol.refusal(wait)).await;
            }
            RequestCommand::Fail => {
                seat.record_answer(FinalAnswer::Failed);
                return send_and_close(&core, client, &protocol.failure()).await;
            }
            RequestCommand::Move | RequestCommand::HandOver => {}
        }
    };
    let Some((link, backend)) = link else {
        core.metrics.count_answer(class, FinalAnswer::Failed);
        return send_and_close(&core, client, &protocol.failure()).await;
    };
    seat.report_established();
    let (standing, behind) = EstablishedConnection::from_attempt(client, link);
    stand(&core, &*protocol, seat, backend, request, standing, behind).await;
}

/// The life of a connection that is up, here until its end or until another process holds it.
async fn stand(
    core: &Rc<Core>,
    protocol: &dyn Protocol,
    mut seat: RequestHandle,
    backend: BackendId,
    request: Request,
    mut standing: EstablishedConnection,
    mut behind: Vec<u8>,
) {
    loop {
        match relay::run(core, protocol, &mut seat, &backend, standing, std::mem::take(&mut behind)).await {
            RelayOutcome::Ended(ending) => return seat.end_attempt(ending.status()),
            RelayOutcome::Detached(parted) => {
                let kept =
                    core.hand_over_connection(HandoverRecord::new(&seat, &backend, &request), parted).await;
                // Where nobody took it, the client is moved, as it would be without another process.
                let Err(back) = kept else { return seat.end_attempt(Status::Cancelled) };
                standing = back;
                core.send_command(seat.id, RequestCommand::Move);
            }
        }
    }
}

/// A connection that stands, as one process tells another of it.
#[derive(Deserialize, Serialize)]
pub struct HandoverRecord {
    identity: String,
    #[serde(rename = "node")]
    backend: String,
    class: usize,
    key: Option<u64>,
    group: Option<u64>,
    /// Its load as last known; microseconds of work a second.
    load: Option<f64>,
}

impl HandoverRecord {
    fn new(seat: &RequestHandle, backend: &BackendId, request: &Request) -> Self {
        HandoverRecord {
            identity: seat.identity.clone(),
            backend: backend.to_string(),
            class: request.class,
            key: request.key,
            group: request.group,
            load: seat.load().or(request.load_hint),
        }
    }
}

/// Takes a connection over from the process before; false where its job is here already.
pub fn adopt(
    core: &Rc<Core>,
    protocol: Rc<dyn Protocol>,
    connection: HandoverRecord,
    standing: EstablishedConnection,
) -> bool {
    let HandoverRecord { identity, backend, class, key, group, load } = connection;
    let Some(mut seat) = RequestHandle::register(core, &identity, class) else { return false };
    let (backend, request) = (
        BackendId::from(backend),
        Request { id: seat.id, class, key, group, load_hint: load, ..Request::default() },
    );
    seat.start_attempt();
    core.dispatch_event(Event::Resumed(request.clone(), backend.clone()));
    seat.record_adopted();
    let held = core.clone();
    core.host
        .spawn(async move { stand(&held, &*protocol, seat, backend, request, standing, Vec::new()).await });
    true
}

/// Takes up a connection again that stood before this proxy's start, at the backend that holds it.
async fn resume(
    core: &Rc<Core>,
    protocol: &dyn Protocol,
    mut seat: RequestHandle,
    client: TcpStream,
    opening: &dyn ClientRequest,
    request: Request,
    backend: BackendId,
) {
    // Until it stands the module knows nothing of it and is owed nothing.
    seat.mark_answered();
    let (until, class) = (core.now() + RESUME, request.class);
    let link: BackendConnection = loop {
        let line = || {
            broken_off(&client)
                .is_none()
                .then(|| opening.encode_for_backend(until.saturating_sub(core.now())))
        };
        let again_at = core.now() + RESUME_GAP;
        let attempt = async {
            match attempt::run(core, protocol, core.address(&backend), line, until, class).await {
                Ok(link) => Some(link),
                Err(_) => {
                    core.deadlines.until(again_at).await;
                    None
                }
            }
        };
        let over = tokio::select! {
            biased;
            left = breaks_off(&client) => return dismiss(core, protocol, seat, client, left).await,
            attempt = attempt => match attempt {
                Some(link) => break link,
                None => core.now() > until,
            },
            () = core.terminating.wait() => true,
        };
        if over {
            core.metrics.count_answer(class, FinalAnswer::Failed);
            return send_and_close(core, client, &protocol.failure()).await;
        }
    };
    seat.start_attempt();
    core.dispatch_event(Event::Resumed(request.clone(), backend.clone()));
    seat.record_established();
    let (standing, behind) = EstablishedConnection::from_attempt(client, link);
    stand(core, protocol, seat, backend, request, standing, behind).await;
}

/// How a client ended its wait for an answer.
#[derive(Clone, Copy)]
enum BreaksOff {
    /// Its connection broke.
    Broke,
    /// It ended its sending, and may have closed; or it may wait for its answer all the same.
    Ended,
    /// It has to wait after its opening: one that goes on speaking is none that can be served.
    Spoke,
}

/// Waits until the client no longer does.
async fn breaks_off(client: &TcpStream) -> BreaksOff {
    match read_more(client, &mut Vec::new()).await {
        Ok(0) => BreaksOff::Ended,
        Ok(_) => BreaksOff::Spoke,
        Err(_) => BreaksOff::Broke,
    }
}

/// Whether the client waits no longer, as far as that is to be seen now.
fn broken_off(client: &TcpStream) -> Option<BreaksOff> {
    match client.try_read(&mut [0; MAX_LINE_BYTES]) {
        Ok(0) => Some(BreaksOff::Ended),
        Ok(_) => Some(BreaksOff::Spoke),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
        Err(_) => Some(BreaksOff::Broke),
    }
}

/// Ends a job whose client did not wait; the attempt is closed by now. Unless its connection broke it is answered:
/// whether one that ended its sending has gone cannot be told, and an answer to one that has harms nobody.
async fn dismiss(
    core: &Rc<Core>,
    protocol: &dyn Protocol,
    seat: RequestHandle,
    client: TcpStream,
    how: BreaksOff,
) {
    let _owed = core.shutdown_guard();
    let class = seat.class();
    // The module is told that the client is gone, as for it this one is either way.
    drop(seat);
    match how {
        BreaksOff::Broke => {}
        BreaksOff::Ended | BreaksOff::Spoke => {
            core.metrics.count_answer(class, FinalAnswer::Failed);
            send_and_close(core, client, &protocol.failure()).await;
        }
    }
}
