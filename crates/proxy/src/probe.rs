//! Probes of backends. A probe's connection is kept for the next probe of that backend.

use crate::core::Core;
use crate::protocol::{Protocol, Reply};
use crate::stream::{first_line, read_line, write_all};
use pierloom_decision::{BackendId, Event, Micros, Status};
use pierloom_host::TcpStream;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// A probe without an answer after this time has failed.
const PROBE_TIMEOUT_US: Micros = 250_000;

/// Maximum number of idle connections. They use the descriptors that are reserved beside those of requests.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Connections to backends that no probe uses now, the most recently used at the end.
#[derive(Default)]
struct IdleConnections(RefCell<VecDeque<(BackendId, SocketAddr, TcpStream)>>);

impl IdleConnections {
    /// Takes out the connection to that backend at that address, if nothing happened on it since its last
    /// use. This guards against a connection that ended meanwhile, and against one on which an answer arrived
    /// twice or late: each probe on it would read the answer to the probe before.
    fn take(&self, backend: &BackendId, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.0.borrow_mut();
        let index = idle.iter().position(|(name, ..)| name == backend)?;
        let (_, idle_address, stream) = idle.remove(index)?;
        let unused =
            stream.try_read_unpolled(&mut [0; 1]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        (idle_address == address && unused).then_some(stream)
    }

    fn put(&self, backend: &BackendId, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.0.borrow_mut();
        // Two probes of one backend may have been in progress at once.
        idle.retain(|(name, ..)| name != backend);
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            idle.pop_front();
        }
        idle.push_back((backend.clone(), address, stream));
    }
}

/// Sends the probes that the decision module requests, each without delay.
pub async fn serve(core: Rc<Core>, protocol: Rc<dyn Protocol>, mut requested: UnboundedReceiver<BackendId>) {
    let idle = Rc::new(IdleConnections::default());
    while let Some(backend) = requested.recv().await {
        let (host, core, protocol, idle) = (core.host.clone(), core.clone(), protocol.clone(), idle.clone());
        host.spawn(async move {
            let (status, report) = tokio::select! {
                biased;
                answer = probe(&core, &*protocol, &idle, &backend) => answer,
                () = core.deadlines.until(core.now() + PROBE_TIMEOUT_US) => (Status::Timeout, Vec::new()),
            };
            core.dispatch_event(Event::Probed { backend, status, report });
        });
    }
}

/// Probes one backend; returns the status of the probe and the reported load values.
async fn probe(
    core: &Core,
    protocol: &dyn Protocol,
    idle: &IdleConnections,
    backend: &BackendId,
) -> (Status, Vec<f64>) {
    let failed = |status| (status, Vec::new());
    let Some(address) = core.address(backend) else { return failed(Status::ConnectFailed) };
    if let Some(stream) = idle.take(backend, address) {
        // The backend may close this connection during the query; then a new connection is opened.
        if let Some((answer, reusable)) = query_load(protocol, &stream).await {
            if reusable {
                idle.put(backend, address, stream);
            }
            return answer;
        }
    }
    let Ok(stream) = core.host.connect(address).await else { return failed(Status::ConnectFailed) };
    stream.set_nodelay();
    match query_load(protocol, &stream).await {
        Some((answer, reusable)) => {
            if reusable {
                idle.put(backend, address, stream);
            }
            answer
        }
        None => failed(Status::Reset),
    }
}

/// Sends a load query. Returns the answer, and whether nothing follows it, so that the connection can be used
/// again. None if the connection ended or broke.
async fn query_load(protocol: &dyn Protocol, stream: &TcpStream) -> Option<((Status, Vec<f64>), bool)> {
    write_all(stream, protocol.load_query()).await.ok()?;
    let mut received = read_line(stream, Vec::new()).await.ok()?;
    let line_end =
        |received: &[u8]| received.iter().position(|&byte| byte == b'\n').map_or(0, |newline| newline + 1);
    let reply = protocol.parse_backend_line(first_line(&received));
    let Reply::Pong(report) = reply else { return Some(((Status::Error, Vec::new()), false)) };
    if !report.is_empty() {
        return Some(((Status::Ok, report), line_end(&received) == received.len()));
    }
    // The report may arrive on a separate line.
    received.drain(..line_end(&received));
    let received = read_line(stream, received).await.ok()?;
    let report = protocol.parse_load_report(first_line(&received));
    Some(((Status::Ok, report), line_end(&received) == received.len()))
}
