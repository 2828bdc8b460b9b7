//! Calls to the discovery service over HTTP/1.1, and the calls that may still be answered late.

use super::endpoints::EndpointsResponse;
use super::service::DiscoveryService;
use crate::core::Core;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use pierloom_decision::Micros;
use pierloom_host::retry::is_local_error;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;

/// How long discovery may hold a call of an open watch before it answers, in milliseconds as in the query. A
/// broken connection cannot be told from a held call, so this time, [`HOLD_SLACK_US`] and
/// [`WATCH_OPEN_TIMEOUT_US`] together add up to [`MAX_ENDPOINTS_AGE_US`].
pub const WATCH_HOLD_MS: u64 = 1_500;
/// Time limit for connecting to discovery.
const CONNECT_TIMEOUT_US: Micros = 1_000_000;
/// The largest response body that is read. It holds thousands of endpoints.
const MAX_BODY_BYTES: usize = 4 << 20;

pub type RequestSender = SendRequest<Empty<Bytes>>;

/// Why a call to discovery failed.
pub struct CallError {
    /// Whether discovery counts as reachable: the call got beyond connecting, or failed for a local error.
    pub reachable: bool,
    pub reason: String,
}

impl CallError {
    /// A failure that shows discovery to be unreachable.
    fn unreachable(reason: impl ToString) -> Self {
        CallError { reachable: false, reason: reason.to_string() }
    }

    /// A failure to connect. A local error says nothing about discovery, so it does not count as unreachable.
    fn from_connect_error(error: io::Error) -> Self {
        if is_local_error(&error) {
            CallError::at_stage("request not sent", error)
        } else {
            CallError::unreachable(error)
        }
    }

    /// A failure at a stage of the call that does not show discovery to be unreachable.
    pub fn at_stage(stage: &str, reason: impl ToString) -> Self {
        CallError { reachable: true, reason: format!("{stage}: {}", reason.to_string()) }
    }
}

/// The response to a call, with the discovery service that sent it and the connection that it arrived on.
pub struct CallResponse {
    pub update: EndpointsResponse,
    pub is_snapshot: bool,
    pub service: DiscoveryService,
    /// When the call was sent; the response was made after that.
    pub asked_at: Micros,
    pub sender: RequestSender,
}

/// A call in progress, without a time limit.
pub type PendingCall<'a> = Pin<Box<dyn Future<Output = Result<CallResponse, CallError>> + 'a>>;

/// Connects to discovery.
async fn connect(core: &Core, discovery: SocketAddr) -> Result<RequestSender, CallError> {
    let stream = tokio::select! {
        biased;
        stream = core.host.connect(discovery) => stream.map_err(CallError::from_connect_error)?,
        () = core.deadlines.until(core.now() + CONNECT_TIMEOUT_US) => {
            return Err(CallError::unreachable("connect timed out"))
        }
    };
    stream.set_nodelay();
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|e| CallError::at_stage("request not sent", e))?;
    core.host.spawn(async move {
        // The call that uses the connection reports its error.
        let _ = connection.await;
    });
    Ok(sender)
}

/// What a call asks for.
#[derive(Clone, Copy)]
pub struct Query {
    /// The service that is asked.
    pub service: DiscoveryService,
    /// The changes since that index; `None` for a snapshot.
    pub from_index: Option<u64>,
    /// How long a call that continues a watch may wait for changes, in milliseconds.
    pub hold_ms: u64,
}

/// Makes one call on the kept connection, or on a new one. Discovery holds a call that continues a watch on a
/// kept connection. The call that opens a watch is not held: it is answered as soon as it reaches the head of
/// discovery's queue, so that only the calls of other proxies delay it.
pub async fn call_discovery(
    core: &Core,
    kept_sender: Option<RequestSender>,
    Query { service, from_index, hold_ms }: Query,
) -> Result<CallResponse, CallError> {
    let hold_ms = if kept_sender.is_some() { hold_ms } else { 0 };
    let mut sender = match kept_sender {
        Some(sender) => sender,
        None => connect(core, service.address()).await?,
    };
    sender.ready().await.map_err(|e| CallError::at_stage("request not sent", e))?;
    let query = from_index.map_or(String::new(), |index| format!("?from={index}&hold_ms={hold_ms}"));
    let request = hyper::Request::get(format!("/api/targets{query}"))
        .header(HOST, service.address().to_string())
        .body(Empty::new())
        .map_err(|e| CallError::at_stage("request not sent", e))?;
    let asked_at = core.now();
    let response = sender.send_request(request).await.map_err(|e| CallError::at_stage("no response", e))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|e| CallError::at_stage("incomplete response", e))?;
    if !status.is_success() {
        return Err(CallError::at_stage("response", format!("status {status}")));
    }
    let mut bytes = body.to_bytes().to_vec();
    let update: EndpointsResponse = simd_json::serde::from_slice(&mut bytes)
        .map_err(|e| CallError::at_stage("response is not an endpoint list", e))?;
    let is_snapshot = update.is_snapshot() || from_index.is_none();
    if update.is_empty() && is_snapshot {
        // If all backends left at once, discovery would report each of them as gone.
        return Err(CallError::at_stage("response", "snapshot without endpoints"));
    }
    Ok(CallResponse { update, is_snapshot, service, asked_at, sender })
}

/// Calls that timed out or went to an earlier discovery service, and may still be answered, each with its start
/// time.
#[derive(Default)]
pub struct LateCalls<'a>(pub Vec<(Micros, PendingCall<'a>)>);

impl LateCalls<'_> {
    /// Waits for the first response, and drops the calls that fail. Waits forever if there are no calls. Of
    /// several responses that have arrived, each call of this method returns one.
    pub async fn next_response(&mut self) -> CallResponse {
        poll_fn(|context| {
            let mut response = None;
            self.0.retain_mut(|(_, pending_call)| {
                if response.is_some() {
                    return true;
                }
                match pending_call.as_mut().poll(context) {
                    Poll::Pending => true,
                    Poll::Ready(result) => {
                        response = result.ok();
                        false
                    }
                }
            });
            response.take().map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }
}
