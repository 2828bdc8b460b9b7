//! Serves one request, from the client's request line to the final answer or the end of the connection.

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

/// The final answer is sent this long before the client stops waiting, to allow for its transit time.
const ANSWER_MARGIN_US: Micros = 20_000;
/// Time limit for resuming a connection that was established before this proxy started.
const RESUME_TIMEOUT_US: Micros = 35_000_000;
/// Interval between attempts to resume a connection.
const RESUME_RETRY_INTERVAL_US: Micros = 250_000;

/// Serves one request. The commands for it arrive at each `commands.recv()`.
pub async fn run(
    core: Rc<Core>,
    protocol: Rc<dyn Protocol>,
    client: TcpStream,
    client_request: Box<dyn ClientRequest>,
) {
    let class = client_request.request().class;
    let Some(mut request_handle) = RequestHandle::register(&core, client_request.identity(), class) else {
        // The client with the active request must not suffer from another client that claims the same
        // identity.
        core.metrics.count_answer(class, FinalAnswer::Failed);
        return send_and_close(&core, client, &protocol.failure()).await;
    };
    let (timeout, resume_backend) = (client_request.timeout(), client_request.resume_backend());
    let deadline = core.now() + timeout.saturating_sub(ANSWER_MARGIN_US.min(timeout / 4));
    let request = Request { id: request_handle.id, deadline, ..client_request.request() };
    if let Some(backend) = resume_backend {
        return resume(&core, &*protocol, request_handle, client, &*client_request, request, backend).await;
    }
    core.dispatch_event(Event::Request(request.clone()));
    let connection = loop {
        let command = tokio::select! {
            biased;
            // Polled first: a client that has left is noticed even if a command is ready as well.
            interruption = wait_for_interruption(&client) =>
                return end_interrupted(&core, &*protocol, request_handle, client, interruption).await,
            command = request_handle.commands.recv() => command.unwrap_or(RequestCommand::Fail),
            // The decision module ends the request before this time. If it fails to, the client still gets an
            // answer.
            () = core.deadlines.until(deadline + ANSWER_MARGIN_US / 2) => break None,
        };
        match command {
            RequestCommand::Attempt { backend, until } => {
                // No connection is opened for a client that has left.
                if let Some(interruption) = interruption_now(&client) {
                    return end_interrupted(&core, &*protocol, request_handle, client, interruption).await;
                }
                request_handle.handle_attempt();
                let (id, late_interruption) = (request_handle.id, Cell::new(None));
                // Guards against changes while the proxy was connecting: a drain of the backend may
                // have begun, the client may have left, and the repeat window or the remaining time may have
                // ended.
                let encode_request = || {
                    late_interruption.set(interruption_now(&client));
                    let permitted = late_interruption.get().is_none() && core.may_send_attempt(id);
                    permitted.then(|| client_request.encode_for_backend(until.saturating_sub(core.now())))
                };
                let attempt = tokio::select! {
                    biased;
                    interruption = wait_for_interruption(&client) =>
                        return end_interrupted(&core, &*protocol, request_handle, client, interruption).await,
                    attempt = attempt::run(
                        &core, &*protocol, core.address(&backend), encode_request, until, class,
                    ) => attempt,
                };
                if let Some(interruption) = late_interruption.get() {
                    return end_interrupted(&core, &*protocol, request_handle, client, interruption).await;
                }
                match attempt {
                    Ok(connection) => break Some((connection, backend)),
                    // The backend served the request to its end before it reported the connection as
                    // established: that is the final answer, and no retry follows.
                    Err(attempt_end) if attempt_end.status() == Status::Ok => {
                        request_handle.record_answer(FinalAnswer::Served);
                        request_handle.end_attempt(Status::Ok);
                        return send_and_close(&core, client, protocol.served()).await;
                    }
                    Err(attempt_end) => request_handle.end_attempt(attempt_end.status()),
                }
            }
            RequestCommand::Refuse(retry_after) => {
                request_handle.record_answer(FinalAnswer::Refused);
                return send_and_close(&core, client, &protocol.refusal(retry_after)).await;
            }
            RequestCommand::Fail => {
                request_handle.record_answer(FinalAnswer::Failed);
                return send_and_close(&core, client, &protocol.failure()).await;
            }
            RequestCommand::Move | RequestCommand::HandOver => {}
        }
    };
    let Some((connection, backend)) = connection else {
        return end_with_failure(&core, &*protocol, request_handle, client).await;
    };
    request_handle.report_established();
    let (established, trailing) = EstablishedConnection::from_attempt(client, connection);
    serve_established(&core, &*protocol, request_handle, backend, request, established, trailing).await;
}

/// Serves an established connection until it ends or the successor process holds it.
async fn serve_established(
    core: &Rc<Core>,
    protocol: &dyn Protocol,
    mut request_handle: RequestHandle,
    backend: BackendId,
    request: Request,
    mut established: EstablishedConnection,
    mut trailing: Vec<u8>,
) {
    loop {
        match relay::run(
            core,
            protocol,
            &mut request_handle,
            &backend,
            established,
            std::mem::take(&mut trailing),
        )
        .await
        {
            RelayOutcome::Ended(attempt_end) => return request_handle.end_attempt(attempt_end.status()),
            RelayOutcome::Detached(detached) => {
                let outcome = core
                    .hand_over_connection(HandoverRecord::new(&request_handle, &backend, &request), detached)
                    .await;
                // If no successor took the connection, the proxy moves the client, as without a successor.
                let Err(returned) = outcome else { return request_handle.end_attempt(Status::Cancelled) };
                established = returned;
                core.send_command(request_handle.id, RequestCommand::Move);
            }
        }
    }
}

/// The description of an established connection in a handover message.
#[derive(Deserialize, Serialize)]
pub struct HandoverRecord {
    identity: String,
    #[serde(rename = "node")]
    backend: String,
    class: usize,
    key: Option<u64>,
    group: Option<u64>,
    /// The last known load of the connection, in microseconds of work a second.
    load: Option<f64>,
}

impl HandoverRecord {
    fn new(request_handle: &RequestHandle, backend: &BackendId, request: &Request) -> Self {
        HandoverRecord {
            identity: request_handle.identity.clone(),
            backend: backend.to_string(),
            class: request.class,
            key: request.key,
            group: request.group,
            load: request_handle.load().or(request.load_hint),
        }
    }
}

/// Takes over a connection from the predecessor process. Returns false if its request is active here already.
pub fn adopt(
    core: &Rc<Core>,
    protocol: Rc<dyn Protocol>,
    record: HandoverRecord,
    established: EstablishedConnection,
) -> bool {
    let HandoverRecord { identity, backend, class, key, group, load } = record;
    let Some(mut request_handle) = RequestHandle::adopt(core, &identity, class) else { return false };
    let (backend, request) = (
        BackendId::from(backend),
        Request { id: request_handle.id, class, key, group, load_hint: load, ..Request::default() },
    );
    request_handle.start_resumed_attempt();
    core.dispatch_event(Event::Resumed(request.clone(), backend.clone()));
    request_handle.record_adopted();
    let task_core = core.clone();
    core.host.spawn(async move {
        serve_established(&task_core, &*protocol, request_handle, backend, request, established, Vec::new())
            .await
    });
    true
}

/// Resumes a connection that was established before this proxy started, at the backend that served it.
async fn resume(
    core: &Rc<Core>,
    protocol: &dyn Protocol,
    mut request_handle: RequestHandle,
    client: TcpStream,
    client_request: &dyn ClientRequest,
    request: Request,
    backend: BackendId,
) {
    // Until the connection is established, the decision module does not know the request and expects no
    // answer for it.
    request_handle.mark_answered();
    let (until, class) = (core.now() + RESUME_TIMEOUT_US, request.class);
    let connection: BackendConnection = loop {
        let encode_request = || {
            interruption_now(&client)
                .is_none()
                .then(|| client_request.encode_for_backend(until.saturating_sub(core.now())))
        };
        let retry_at = core.now() + RESUME_RETRY_INTERVAL_US;
        let attempt = async {
            match attempt::run(core, protocol, core.address(&backend), encode_request, until, class).await {
                Ok(connection) => Some(connection),
                Err(_) => {
                    core.deadlines.until(retry_at).await;
                    None
                }
            }
        };
        let give_up = tokio::select! {
            biased;
            interruption = wait_for_interruption(&client) =>
                return end_interrupted(core, protocol, request_handle, client, interruption).await,
            attempt = attempt => match attempt {
                Some(connection) => break connection,
                None => core.now() > until,
            },
            () = core.terminating.wait() => true,
        };
        if give_up {
            core.metrics.count_answer(class, FinalAnswer::Failed);
            return send_and_close(core, client, &protocol.failure()).await;
        }
    };
    request_handle.start_resumed_attempt();
    core.dispatch_event(Event::Resumed(request.clone(), backend.clone()));
    request_handle.record_established();
    let (established, trailing) = EstablishedConnection::from_attempt(client, connection);
    serve_established(core, protocol, request_handle, backend, request, established, trailing).await;
}

/// An event on the client's connection that ends the wait for an answer.
#[derive(Clone, Copy)]
enum Interruption {
    /// The connection broke.
    ConnectionLost,
    /// The client ended its sending. The client may have closed the connection, or may still wait for an
    /// answer.
    SendingEnded,
    /// The client sent more bytes. A client has to wait after its request; the proxy cannot serve one that
    /// does not.
    UnexpectedData,
}

/// Waits until an event on the client's connection ends the wait for an answer.
async fn wait_for_interruption(client: &TcpStream) -> Interruption {
    match read_more(client, &mut Vec::new()).await {
        Ok(0) => Interruption::SendingEnded,
        Ok(_) => Interruption::UnexpectedData,
        Err(_) => Interruption::ConnectionLost,
    }
}

/// Checks, without waiting, for an event on the client's connection that ends the wait for an answer. Finds
/// events that the runtime has not polled yet.
fn interruption_now(client: &TcpStream) -> Option<Interruption> {
    match client.try_read_unpolled(&mut [0; MAX_LINE_BYTES]) {
        Ok(0) => Some(Interruption::SendingEnded),
        Ok(_) => Some(Interruption::UnexpectedData),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
        Err(_) => Some(Interruption::ConnectionLost),
    }
}

/// Ends a request whose client did not wait for the answer. Its attempt, if any, is closed by now. Unless the
/// connection broke, the client is sent a failure: the proxy cannot tell whether a client that ended its
/// sending has gone, and an answer to a client that has gone does no harm.
async fn end_interrupted(
    core: &Rc<Core>,
    protocol: &dyn Protocol,
    request_handle: RequestHandle,
    client: TcpStream,
    interruption: Interruption,
) {
    match interruption {
        // The end of the handle reports to the decision module that the client is gone.
        Interruption::ConnectionLost => {}
        Interruption::SendingEnded | Interruption::UnexpectedData => {
            end_with_failure(core, protocol, request_handle, client).await
        }
    }
}

/// Sends a failure to a client whose request the decision module has not answered.
async fn end_with_failure(
    core: &Rc<Core>,
    protocol: &dyn Protocol,
    request_handle: RequestHandle,
    client: TcpStream,
) {
    let _guard = core.shutdown_guard();
    core.metrics.count_answer(request_handle.class(), FinalAnswer::Failed);
    // Reports to the decision module that the client is gone, before the wait for the client to read the answer:
    // no attempt may start meanwhile.
    drop(request_handle);
    send_and_close(core, client, &protocol.failure()).await;
}
