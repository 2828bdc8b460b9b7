//! The life of one job, from its opening to its final answer or the end of its connection.

use crate::claim::{self, Link};
use crate::core::{Core, Order, Seat};
use crate::figures::Final;
use crate::front::{Front, Opening};
use crate::relay::{self, Passage, Standing};
use crate::stream::{answer, read_more};
use pierloom_decision::{BackendId, Event, Micros, Request, Status};
use pierloom_host::TcpStream;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The final answer leaves this long before the submitter stops waiting: it has a way to go; microseconds.
const MARGIN: Micros = 20_000;
/// Connections that stood before this proxy's start may take this long to be up again; microseconds.
const RESUME: Micros = 35_000_000;
/// Gap between tries to resume one; microseconds.
const RESUME_GAP: Micros = 250_000;

/// Serves one job. The module is asked what to do at each `orders.recv()`.
pub async fn run(core: Rc<Core>, front: Rc<dyn Front>, submitter: TcpStream, opening: Box<dyn Opening>) {
    let class = opening.request().class;
    let Some(mut seat) = Seat::take(&core, opening.identity(), class) else {
        // Whoever holds that job is not to suffer from another that says it is the same.
        core.figures.ended(class, Final::Failed);
        return answer(&core, submitter, &front.failure()).await;
    };
    let (wait, standing_at) = (opening.wait(), opening.standing_at());
    let deadline = core.now() + wait.saturating_sub(MARGIN.min(wait / 4));
    let request = Request { id: seat.id, deadline, ..opening.request() };
    if let Some(node) = standing_at {
        return resume(&core, &*front, seat, submitter, &*opening, request, node).await;
    }
    core.tell(Event::Request(request.clone()));
    let link = loop {
        let order = tokio::select! {
            biased;
            order = seat.orders.recv() => order.unwrap_or(Order::Fail),
            left = breaks_off(&submitter) => return dismiss(&core, &*front, seat, submitter, left).await,
            // The module ends a job before this; should it not, the submitter still gets an answer.
            () = core.deadlines.until(deadline + MARGIN / 2) => break None,
        };
        match order {
            Order::Claim { node, until } => {
                seat.begin();
                let line = opening.for_node(until.saturating_sub(core.now()));
                let attempt = tokio::select! {
                    biased;
                    attempt = claim::attempt(&core, &*front, core.address(&node), &line, until, class) => attempt,
                    left = breaks_off(&submitter) => return dismiss(&core, &*front, seat, submitter, left).await,
                    // What the claim comes to nobody would hear; whether it ran is not known either.
                    () = core.ends() => break None,
                };
                match attempt {
                    Ok(link) => break Some((link, node)),
                    // Served to its end before it was up: that is the answer, and no try follows.
                    Err(ending) if ending.status() == Status::Ok => {
                        seat.answered(Final::Served);
                        seat.end(Status::Ok);
                        return answer(&core, submitter, front.served()).await;
                    }
                    Err(ending) => seat.end(ending.status()),
                }
            }
            Order::Refuse(wait) => {
                seat.answered(Final::Refused);
                return answer(&core, submitter, &front.refusal(wait)).await;
            }
            Order::Fail => {
                seat.answered(Final::Failed);
                return answer(&core, submitter, &front.failure()).await;
            }
            Order::Move | Order::HandOn => {}
        }
    };
    let Some((link, node)) = link else {
        core.figures.ended(class, Final::Failed);
        drop(seat);
        return answer(&core, submitter, &front.failure()).await;
    };
    seat.stand();
    let (standing, behind) = Standing::fresh(submitter, link);
    stand(&core, &*front, seat, node, request, standing, behind).await;
}

/// The life of a connection that is up, here until its end or until another process holds it.
async fn stand(
    core: &Core,
    front: &dyn Front,
    mut seat: Seat,
    node: BackendId,
    request: Request,
    mut standing: Standing,
    mut behind: Vec<u8>,
) {
    loop {
        match relay::run(core, front, &mut seat, &node, standing, std::mem::take(&mut behind)).await {
            Passage::Over(ending) => return seat.end(ending.status()),
            Passage::Parted(parted) => {
                let kept = core.hand_on(Connection::new(&seat, &node, &request), parted).await;
                // Where nobody took it, the submitter is moved, as it would be without another process.
                let Err(back) = kept else { return seat.end(Status::Cancelled) };
                standing = back;
                core.order(seat.id, Order::Move);
            }
        }
    }
}

/// A connection that stands, as one process tells another of it.
#[derive(Deserialize, Serialize)]
pub struct Connection {
    identity: String,
    node: String,
    class: usize,
    key: Option<u64>,
    group: Option<u64>,
    /// Its load as last known; microseconds of work a second.
    load: Option<f64>,
}

impl Connection {
    fn new(seat: &Seat, node: &BackendId, request: &Request) -> Self {
        Connection {
            identity: seat.identity.clone(),
            node: node.to_string(),
            class: request.class,
            key: request.key,
            group: request.group,
            load: seat.load().or(request.hint),
        }
    }
}

/// Takes a connection over from the process before; false where its job is here already.
pub fn adopt(core: &Rc<Core>, front: Rc<dyn Front>, connection: Connection, standing: Standing) -> bool {
    let Connection { identity, node, class, key, group, load } = connection;
    let Some(mut seat) = Seat::take(core, &identity, class) else { return false };
    let (node, request) =
        (BackendId::from(node), Request { id: seat.id, class, key, group, hint: load, ..Request::default() });
    seat.begin();
    core.tell(Event::Open(request.clone(), node.clone()));
    seat.adopted();
    let held = core.clone();
    core.host.spawn(async move { stand(&held, &*front, seat, node, request, standing, Vec::new()).await });
    true
}

/// Takes up a connection again that stood before this proxy's start, at the execute node that holds it.
async fn resume(
    core: &Rc<Core>,
    front: &dyn Front,
    mut seat: Seat,
    submitter: TcpStream,
    opening: &dyn Opening,
    request: Request,
    node: BackendId,
) {
    // Until it stands the module knows nothing of it and is owed nothing.
    seat.settle();
    let (until, class) = (core.now() + RESUME, request.class);
    let line = opening.for_node(RESUME);
    let link: Link = loop {
        let attempt = tokio::select! {
            biased;
            attempt = claim::attempt(core, front, core.address(&node), &line, until, class) => attempt,
            left = breaks_off(&submitter) => return dismiss(core, front, seat, submitter, left).await,
        };
        match attempt {
            Ok(link) => break link,
            Err(_) if core.now() + RESUME_GAP > until => {
                core.figures.ended(class, Final::Failed);
                return answer(core, submitter, &front.failure()).await;
            }
            Err(_) => core.deadlines.until(core.now() + RESUME_GAP).await,
        }
    };
    seat.begin();
    core.tell(Event::Open(request.clone(), node.clone()));
    seat.hold();
    let (standing, behind) = Standing::fresh(submitter, link);
    stand(core, front, seat, node, request, standing, behind).await;
}

/// How a submitter ended its wait for an answer.
enum BreaksOff {
    Left,
    /// It has to wait after its opening: one that goes on speaking is none that can be served.
    Spoke,
}

/// Waits until the submitter no longer does.
async fn breaks_off(submitter: &TcpStream) -> BreaksOff {
    match read_more(submitter, &mut Vec::new()).await {
        Ok(1..) => BreaksOff::Spoke,
        _ => BreaksOff::Left,
    }
}

/// Ends a job whose submitter did not wait; the claim is closed by now.
async fn dismiss(core: &Core, front: &dyn Front, seat: Seat, submitter: TcpStream, how: BreaksOff) {
    // The module is told that the submitter is gone, as for it this one is either way.
    drop(seat);
    if matches!(how, BreaksOff::Spoke) {
        answer(core, submitter, &front.failure()).await;
    }
}
