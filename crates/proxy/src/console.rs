//! The console, a second address for operators: HTTP/1.1, one request per connection. It makes no decisions.

use crate::config::ErrorMessage;
use crate::core::Core;
use crate::pending::{PendingConnections, PendingSlot};
use crate::upgrade::{MaintenanceResult, Upgrades};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use pierloom_decision::Micros;
use pierloom_host::{Host, TcpListener, TcpStream};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

/// One console connection is allowed per this many descriptors of the process, within the two bounds below.
const DESCRIPTORS_PER_CONNECTION: usize = 16;
const MIN_CONNECTIONS: usize = 16;
const MAX_CONNECTIONS: usize = 64;
/// Time from the accept of a connection until its request is read and the answer is taken.
const REQUEST_TIMEOUT_US: Micros = 5_000_000;
/// The smallest buffer that hyper accepts; a longer request head is answered with status 431.
const READ_BUFFER_BYTES: usize = 8_192;
/// Connections that the system queues before they are accepted.
const LISTEN_BACKLOG: i32 = 256;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY_US: Micros = 20_000;

/// Maximum number of simultaneous console connections, if the process may hold `max_descriptors` file
/// descriptors.
pub fn max_connections(max_descriptors: usize) -> usize {
    (max_descriptors / DESCRIPTORS_PER_CONNECTION).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
}

/// Accepts the requests of operators.
pub struct Console {
    listener: TcpListener,
    pending: Rc<PendingConnections>,
}

impl Console {
    /// Listens on `address`.
    pub fn bind(host: &Host, address: SocketAddr, max_descriptors: usize) -> Result<Self, ErrorMessage> {
        let listener =
            host.listen(address, LISTEN_BACKLOG, false).map_err(|e| format!("console: {address}: {e}"))?;
        Ok(Console { listener, pending: PendingConnections::new(max_connections(max_descriptors)) })
    }

    /// The address that the console listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Accepts connections without end. Each one is served by its own task, so that a panic affects no other.
    pub async fn serve(self: Rc<Self>, core: Rc<Core>, upgrades: Rc<Upgrades>) {
        loop {
            let slot = self.pending.acquire_slot(&core).await;
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    drop(core.host.spawn(handle_connection(core.clone(), upgrades.clone(), stream, slot)))
                }
                Err(e) => {
                    tracing::warn!(target: "console", "accept failed: {e}");
                    core.deadlines.until(core.now() + ACCEPT_RETRY_DELAY_US).await;
                }
            }
        }
    }
}

/// Reads one request and answers it. The connection is closed if no complete request arrives in time, or if
/// its slot is needed for another connection.
async fn handle_connection(core: Rc<Core>, upgrades: Rc<Upgrades>, stream: TcpStream, slot: PendingSlot) {
    stream.set_nodelay();
    let service = {
        let core = core.clone();
        service_fn(move |request| {
            let answer = answer(&core, &upgrades, &request);
            async move { Ok::<_, Infallible>(answer) }
        })
    };
    let mut http = http1::Builder::new();
    // An operator's client may close its sending side after the request and still wait for the answer.
    http.keep_alive(false).half_close(true).max_buf_size(READ_BUFFER_BYTES);
    tokio::select! {
        biased;
        // An error on the connection concerns the operator's client alone.
        _ = http.serve_connection(TokioIo::new(stream), service) => {}
        () = core.deadlines.until(core.now() + REQUEST_TIMEOUT_US) => {}
        () = slot.evicted() => {}
    }
}

type TextResponse = Response<Full<Bytes>>;

/// A plain text answer.
fn text_response(status: StatusCode, text: impl Into<Bytes>) -> TextResponse {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    answer
}

fn method_not_allowed(allowed: &'static str) -> TextResponse {
    let mut answer = text_response(StatusCode::METHOD_NOT_ALLOWED, format!("only {allowed} is meant here\n"));
    answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    answer
}

/// Handles one request: health, metrics, or maintenance of a backend.
fn answer(core: &Core, upgrades: &Rc<Upgrades>, request: &Request<Incoming>) -> TextResponse {
    let path: Vec<&str> = request.uri().path().split('/').skip(1).collect();
    let get = request.method() == Method::GET;
    match path[..] {
        ["healthcheck"] if get && upgrades.serving() => text_response(StatusCode::OK, "serving\n"),
        ["healthcheck"] if get => text_response(StatusCode::SERVICE_UNAVAILABLE, "not yet\n"),
        ["stats"] if get => text_response(StatusCode::OK, core.metrics_text()),
        ["healthcheck" | "stats"] => method_not_allowed("GET"),
        ["label-servers", backend, state @ ("maint" | "ready")] if request.method() == Method::POST => {
            let (backend, in_maintenance) =
                (percent_decode_str(backend).decode_utf8_lossy(), state == "maint");
            match upgrades.set_maintenance(&backend, in_maintenance) {
                MaintenanceResult::UnknownBackend => {
                    return text_response(StatusCode::NOT_FOUND, "no machine list ever named it\n");
                }
                MaintenanceResult::NotPersisted => {
                    return text_response(
                        StatusCode::SERVICE_UNAVAILABLE,
                        "in force, but not written down yet\n",
                    );
                }
                MaintenanceResult::Persisted => {}
            }
            tracing::info!(target: "console", "backend {backend} was set to {state}");
            text_response(
                StatusCode::OK,
                if in_maintenance { "nothing new goes there\n" } else { "in use\n" },
            )
        }
        ["label-servers", _, "maint" | "ready"] => method_not_allowed("POST"),
        _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
    }
}
