//! Probes of backends, each on a connection kept for the next one.

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

/// A probe that has no answer by then has failed; microseconds.
const PROBE_TIMEOUT: Micros = 250_000;

/// Connections kept at most: they come out of the descriptors that are reserved beside jobs.
const MOST_KEPT: usize = 16;

/// Connections to backends that no probe uses now, the one used last at the end.
#[derive(Default)]
struct Kept(RefCell<VecDeque<(BackendId, SocketAddr, TcpStream)>>);

impl Kept {
    /// Takes out the one to that node at that address, if it is as it was left. Guards against one that ended
    /// meanwhile, and against one on which an answer came twice or late: every answer after it would be the one before.
    fn take(&self, backend: &BackendId, at: SocketAddr) -> Option<TcpStream> {
        let mut kept = self.0.borrow_mut();
        let place = kept.iter().position(|(name, ..)| name == backend)?;
        let (_, address, stream) = kept.remove(place)?;
        let untouched = stream.try_read(&mut [0; 1]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        (address == at && untouched).then_some(stream)
    }

    fn put(&self, backend: &BackendId, at: SocketAddr, stream: TcpStream) {
        let mut kept = self.0.borrow_mut();
        // Two probes of one node may have been under way at once.
        kept.retain(|(name, ..)| name != backend);
        if kept.len() >= MOST_KEPT {
            kept.pop_front();
        }
        kept.push_back((backend.clone(), at, stream));
    }
}

/// Sends the probes that the module asks for, each at once.
pub async fn serve(core: Rc<Core>, protocol: Rc<dyn Protocol>, mut asked: UnboundedReceiver<BackendId>) {
    let kept = Rc::new(Kept::default());
    while let Some(backend) = asked.recv().await {
        let (host, core, protocol, kept) = (core.host.clone(), core.clone(), protocol.clone(), kept.clone());
        host.spawn(async move {
            let (status, report) = tokio::select! {
                biased;
                answer = probe(&core, &*protocol, &kept, &backend) => answer,
                () = core.deadlines.until(core.now() + PROBE_TIMEOUT) => (Status::Timeout, Vec::new()),
            };
            core.dispatch_event(Event::Probed { backend, status, report });
        });
    }
}

async fn probe(core: &Core, protocol: &dyn Protocol, kept: &Kept, backend: &BackendId) -> (Status, Vec<f64>) {
    let failed = |status| (status, Vec::new());
    let Some(address) = core.address(backend) else { return failed(Status::ConnectFailed) };
    if let Some(stream) = kept.take(backend, address) {
        // It may end under the question; then a new one is asked.
        if let Some((answer, whole)) = ask(protocol, &stream).await {
            if whole {
                kept.put(backend, address, stream);
            }
            return answer;
        }
    }
    let Ok(stream) = core.host.connect(address).await else { return failed(Status::ConnectFailed) };
    stream.set_nodelay();
    match ask(protocol, &stream).await {
        Some((answer, whole)) => {
            if whole {
                kept.put(backend, address, stream);
            }
            answer
        }
        None => failed(Status::Reset),
    }
}

/// The answer, and whether nothing came behind it, so that the connection can be asked again.
async fn ask(protocol: &dyn Protocol, stream: &TcpStream) -> Option<((Status, Vec<f64>), bool)> {
    write_all(stream, protocol.load_query()).await.ok()?;
    let mut received = read_line(stream, Vec::new()).await.ok()?;
    let after = |received: &[u8]| received.iter().position(|&byte| byte == b'\n').map_or(0, |at| at + 1);
    let reply = protocol.parse_backend_line(first_line(&received));
    let Reply::Pong(report) = reply else { return Some(((Status::Error, Vec::new()), false)) };
    if !report.is_empty() {
        return Some(((Status::Ok, report), after(&received) == received.len()));
    }
    // The report may come on a line of its own.
    received.drain(..after(&received));
    let received = read_line(stream, received).await.ok()?;
    let report = protocol.parse_load_report(first_line(&received));
    Some(((Status::Ok, report), after(&received) == received.len()))
}
