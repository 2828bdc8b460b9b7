//! The life of one job, from its opening to its final answer or the end of its connection.

use crate::attempt::{self, Link};
use crate::core::{Core, Order, Seat};
use crate::figures::Final;
use crate::front::{Front, Opening};
use crate::relay::{self, Passage, Standing};
use crate::stream::{LONGEST_LINE, answer, read_more};
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

/// Serves one job. The module is asked what to do at each `orders.recv()`.
pub async fn run(core: Rc<Core>, front: Rc<dyn Front>, client: TcpStream, opening: Box<dyn Opening>) {
    let class = opening.request().class;
    let Some(mut seat) = Seat::take(&core, opening.identity(), class) else {
        // Whoever holds that job is not to suffer from another that says it is the same.
        core.figures.ended(class, Final::Failed);
        return answer(&core, client, &front.failure()).await;
    };
    let (wait, standing_at) = (opening.wait(), opening.standing_at());
    let deadline = core.now() + wait.saturating_sub(MARGIN.min(wait / 4));
    let request = Request { id: seat.id, deadline, ..opening.request() };
    if let Some(node) = standing_at {
        return resume(&core, &*front, seat, client, &*opening, request, node).await;
    }
    core.tell(Event::Request(request.clone()));
    let link = loop {
        let order = tokio::select! {
            biased;
            // First: nothing is begun for one that has left, though an order is there in the same moment.
            left = breaks_off(&client) => return dismiss(&core, &*front, seat, client, left).await,
            order = seat.orders.recv() => order.unwrap_or(Order::Fail),
            // The module ends a job before this; should it not, the client still gets an answer.
            () = core.deadlines.until(deadline + MARGIN / 2) => break None,
        };
        match order {
            Order::Attempt { node, until } => {
                seat.begin();
                let (id, broke_off) = (seat.id, Cell::new(None));
                // Guards against whatever came while it connected: a drain, the client's end, the end of a window
                // for repeats or of the time that is left.
                let line = || {
                    broke_off.set(broken_off(&client));
                    let goes = broke_off.get().is_none() && core.may_send_attempt(id);
                    goes.then(|| opening.for_node(until.saturating_sub(core.now())))
                };
                let attempt = tokio::select! {
                    biased;
                    left = breaks_off(&client) => return dismiss(&core, &*front, seat, client, left).await,
                    attempt = attempt::make(&core, &*front, core.address(&node), line, until, class) => attempt,
                };
                if let Some(left) = broke_off.get() {
                    return dismiss(&core, &*front, seat, client, left).await;
                }
                match attempt {
                    Ok(link) => break Some((link, node)),
                    // Served to its end before it was up: that is the answer, and no try follows.
                    Err(ending) if ending.status() == Status::Ok => {
                        seat.answered(Final::Served);
                        seat.end(Status::Ok);
                        return answer(&core, client, front.served()).await;
                    }
                    Err(ending) => seat.end(ending.status()),
                }
            }
            Order::Refuse(wait) => {
                seat.answered(Final::Refused);
                return answer(&core, client, &front.refusal(wait)).await;
            }
            Order::Fail => {
                seat.answered(Final::Failed);
                return answer(&core, client, &front.failure()).await;
            }
            Order::Move | Order::HandOn => {}
        }
    };
    let Some((link, node)) = link else {
        core.figures.ended(class, Final::Failed);
        return answer(&core, client, &front.failure()).await;
    };
    seat.stand();
    let (standing, behind) = Standing::fresh(client, link);
    stand(&core, &*front, seat, node, request, standing, behind).await;
}

/// The life of a connection that is up, here until its end or until another process holds it.
async fn stand(
    core: &Rc<Core>,
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
                // Where nobody took it, the client is moved, as it would be without another process.
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
            load: seat.load().or(request.load_hint),
        }
    }
}

/// Takes a connection over from the process before; false where its job is here already.
pub fn adopt(core: &Rc<Core>, front: Rc<dyn Front>, connection: Connection, standing: Standing) -> bool {
    let Connection { identity, node, class, key, group, load } = connection;
    let Some(mut seat) = Seat::take(core, &identity, class) else { return false };
    let (node, request) = (
        BackendId::from(node),
        Request { id: seat.id, class, key, group, load_hint: load, ..Request::default() },
    );
    seat.begin();
    core.tell(Event::Resumed(request.clone(), node.clone()));
    seat.adopted();
    let held = core.clone();
    core.host.spawn(async move { stand(&held, &*front, seat, node, request, standing, Vec::new()).await });
    true
}

/// Takes up a connection again that stood before this proxy's start, at the backend that holds it.
async fn resume(
    core: &Rc<Core>,
    front: &dyn Front,
    mut seat: Seat,
    client: TcpStream,
    opening: &dyn Opening,
    request: Request,
    node: BackendId,
) {
    // Until it stands the module knows nothing of it and is owed nothing.
    seat.settle();
    let (until, class) = (core.now() + RESUME, request.class);
    let link: Link = loop {
        let line =
            || broken_off(&client).is_none().then(|| opening.for_node(until.saturating_sub(core.now())));
        let again_at = core.now() + RESUME_GAP;
        let attempt = async {
            match attempt::make(core, front, core.address(&node), line, until, class).await {
                Ok(link) => Some(link),
                Err(_) => {
                    core.deadlines.until(again_at).await;
                    None
                }
            }
        };
        let over = tokio::select! {
            biased;
            left = breaks_off(&client) => return dismiss(core, front, seat, client, left).await,
            attempt = attempt => match attempt {
                Some(link) => break link,
                None => core.now() > until,
            },
            () = core.ends.wait() => true,
        };
        if over {
            core.figures.ended(class, Final::Failed);
            return answer(core, client, &front.failure()).await;
        }
    };
    seat.begin();
    core.tell(Event::Resumed(request.clone(), node.clone()));
    seat.hold();
    let (standing, behind) = Standing::fresh(client, link);
    stand(core, front, seat, node, request, standing, behind).await;
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
    match client.try_read(&mut [0; LONGEST_LINE]) {
        Ok(0) => Some(BreaksOff::Ended),
        Ok(_) => Some(BreaksOff::Spoke),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
        Err(_) => Some(BreaksOff::Broke),
    }
}

/// Ends a job whose client did not wait; the attempt is closed by now. Unless its connection broke it is answered:
/// whether one that ended its sending has gone cannot be told, and an answer to one that has harms nobody.
async fn dismiss(core: &Rc<Core>, front: &dyn Front, seat: Seat, client: TcpStream, how: BreaksOff) {
    let _owed = core.owe();
    let class = seat.class();
    // The module is told that the client is gone, as for it this one is either way.
    drop(seat);
    match how {
        BreaksOff::Broke => {}
        BreaksOff::Ended | BreaksOff::Spoke => {
            core.figures.ended(class, Final::Failed);
            answer(core, client, &front.failure()).await;
        }
    }
}
