//! The second address, for staff: HTTP/1.1, one call per connection. It decides nothing.

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

/// Part of all descriptors, and the least and the greatest number, for callers.
const PLACES_PART: usize = 16;
const PLACES_LEAST: usize = 16;
const PLACES_MOST: usize = 64;
/// From connecting, a caller has this long to make its call and take the answer; microseconds.
const CALL: Micros = 5_000_000;
/// The least that hyper reads into; a longer head is answered 431; bytes.
const BUFFER: usize = 8_192;
/// Calls that the system lets wait to be taken in.
const BACKLOG: i32 = 256;
/// Pause after an accept that failed; microseconds.
const ACCEPT_PAUSE: Micros = 20_000;

/// The most callers at once, where the process may hold so many descriptors.
pub fn max_connections(sockets: usize) -> usize {
    (sockets / PLACES_PART).clamp(PLACES_LEAST, PLACES_MOST)
}

/// Takes staff's calls in.
pub struct Console {
    listener: TcpListener,
    pending: Rc<PendingConnections>,
}

impl Console {
    pub fn bind(host: &Host, address: SocketAddr, sockets: usize) -> Result<Self, ErrorMessage> {
        let listener =
            host.listen(address, BACKLOG, false).map_err(|e| format!("console: {address}: {e}"))?;
        Ok(Console { listener, pending: PendingConnections::new(max_connections(sockets)) })
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Accepts for ever; each call is a task of its own, where a panic stays.
    pub async fn serve(self: Rc<Self>, core: Rc<Core>, upgrades: Rc<Upgrades>) {
        loop {
            let place = self.pending.acquire_slot(&core).await;
            match self.listener.accept().await {
                Ok((stream, _)) => drop(core.host.spawn(call(core.clone(), upgrades.clone(), stream, place))),
                Err(e) => {
                    tracing::warn!(target: "console", "{e}");
                    core.deadlines.until(core.now() + ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

/// Hears one call and answers it. What is no whole call in time, or stands in another's way, is closed.
async fn call(core: Rc<Core>, upgrades: Rc<Upgrades>, stream: TcpStream, place: PendingSlot) {
    stream.set_nodelay();
    let served = {
        let core = core.clone();
        service_fn(move |request| {
            let answer = answer(&core, &upgrades, &request);
            async move { Ok::<_, Infallible>(answer) }
        })
    };
    let mut http = http1::Builder::new();
    // A caller may end its sending after the call and still wait for the answer.
    http.keep_alive(false).half_close(true).max_buf_size(BUFFER);
    tokio::select! {
        biased;
        // How it ended is the caller's to know.
        _ = http.serve_connection(TokioIo::new(stream), served) => {}
        () = core.deadlines.until(core.now() + CALL) => {}
        () = place.evicted() => {}
    }
}

type Answer = Response<Full<Bytes>>;

fn said(status: StatusCode, words: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(words.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    answer
}

fn wrong_method(allowed: &'static str) -> Answer {
    let mut answer = said(StatusCode::METHOD_NOT_ALLOWED, format!("only {allowed} is meant here\n"));
    answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    answer
}

/// What the call is owed.
fn answer(core: &Core, upgrades: &Rc<Upgrades>, request: &Request<Incoming>) -> Answer {
    let path: Vec<&str> = request.uri().path().split('/').skip(1).collect();
    let get = request.method() == Method::GET;
    match path[..] {
        ["healthcheck"] if get && upgrades.serving() => said(StatusCode::OK, "serving\n"),
        ["healthcheck"] if get => said(StatusCode::SERVICE_UNAVAILABLE, "not yet\n"),
        ["stats"] if get => said(StatusCode::OK, core.metrics_text()),
        ["healthcheck" | "stats"] => wrong_method("GET"),
        ["label-servers", backend, order @ ("maint" | "ready")] if request.method() == Method::POST => {
            let (backend, withheld) = (percent_decode_str(backend).decode_utf8_lossy(), order == "maint");
            match upgrades.set_maintenance(&backend, withheld) {
                MaintenanceResult::UnknownBackend => {
                    return said(StatusCode::NOT_FOUND, "no machine list ever named it\n");
                }
                MaintenanceResult::NotPersisted => {
                    return said(StatusCode::SERVICE_UNAVAILABLE, "in force, but not written down yet\n");
                }
                MaintenanceResult::Persisted => {}
            }
            tracing::info!(target: "console", "{backend}: {order}");
            said(StatusCode::OK, if withheld { "nothing new goes there\n" } else { "in use\n" })
        }
        ["label-servers", _, "maint" | "ready"] => wrong_method("POST"),
        _ => said(StatusCode::NOT_FOUND, "no such path\n"),
    }
}
