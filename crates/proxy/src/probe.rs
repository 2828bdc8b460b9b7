//! Probes of execute nodes, each on a connection kept for the next one.

use crate::core::Core;
use crate::front::{Front, Reply};
use crate::stream::{first_line, read_line, write_all};
use pierloom_decision::{BackendId, Event, Micros, Status};
use pierloom_host::TcpStream;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// A probe that has no answer by then has failed; microseconds.
const PROBE_TIMEOUT: Micros = 250_000;

/// Connections to execute nodes that no probe uses now.
type Kept = RefCell<BTreeMap<BackendId, (SocketAddr, TcpStream)>>;

/// Sends the probes that the module asks for, each at once.
pub async fn serve(core: Rc<Core>, front: Rc<dyn Front>, mut asked: UnboundedReceiver<BackendId>) {
    let kept = Rc::new(Kept::default());
    while let Some(node) = asked.recv().await {
        let (host, core, front, kept) = (core.host.clone(), core.clone(), front.clone(), kept.clone());
        host.spawn(async move {
            let (status, report) = tokio::select! {
                biased;
                answer = probe(&core, &*front, &kept, &node) => answer,
                () = core.deadlines.until(core.now() + PROBE_TIMEOUT) => (Status::Timeout, Vec::new()),
            };
            core.tell(Event::Probed { backend: node, status, report });
        });
    }
}

async fn probe(core: &Core, front: &dyn Front, kept: &Kept, node: &BackendId) -> (Status, Vec<f64>) {
    let failed = |status| (status, Vec::new());
    let Some(address) = core.address(node) else { return failed(Status::ConnectFailed) };
    let old = kept.borrow_mut().remove(node).filter(|(at, _)| *at == address);
    if let Some((_, stream)) = old {
        // A kept connection may have ended meanwhile; then a new one is asked.
        if let Some(answer) = ask(front, &stream).await {
            kept.borrow_mut().insert(node.clone(), (address, stream));
            return answer;
        }
    }
    let Ok(stream) = core.host.connect(address).await else { return failed(Status::ConnectFailed) };
    let _ = stream.set_nodelay();
    match ask(front, &stream).await {
        Some(answer) => {
            kept.borrow_mut().insert(node.clone(), (address, stream));
            answer
        }
        None => failed(Status::Reset),
    }
}

async fn ask(front: &dyn Front, stream: &TcpStream) -> Option<(Status, Vec<f64>)> {
    write_all(stream, front.load_query()).await.ok()?;
    let mut received = read_line(stream, Vec::new()).await.ok()?;
    let reply = front.reply(first_line(&received));
    if let Reply::Pong(report) = reply {
        if !report.is_empty() {
            return Some((Status::Ok, report));
        }
        // The report may come on a line of its own.
        let end = received.iter().position(|&byte| byte == b'\n').map_or(0, |at| at + 1);
        received.drain(..end);
        let received = read_line(stream, received).await.ok()?;
        return Some((Status::Ok, front.report(first_line(&received))));
    }
    Some((Status::Error, Vec::new()))
}
