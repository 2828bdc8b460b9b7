//! The shutdown after SIGTERM, which is the signal for a planned stop, or after a failure of the proxy: new
//! clients are still accepted for a moment, and the moves of all clients are spread over time.

use crate::core::{Core, RequestCommand};
use pierloom_decision::Micros;
use pierloom_host::Signals;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::SetOnce;

/// Limit of the class deadline that enters the grace period. The process is killed no earlier after SIGTERM
/// than the longest deadline of a class, at most this, plus [`KILL_MARGIN_US`].
const MAX_GRACE_DEADLINE_US: Micros = 3_000_000;
/// Time by which the grace period exceeds the longest deadline of a class, as limited above.
const KILL_MARGIN_US: Micros = 700_000;
/// Longest time from SIGTERM to the first spread move. New clients may still be sent to this proxy meanwhile.
const FIRST_MOVE_DELAY_US: Micros = 450_000;
/// The spread moves start after at most this fraction (one third) of the time before the kill. Where the kill
/// comes soon, the other two thirds are left for the moves and for the end.
const FIRST_MOVE_DELAY_DIVISOR: Micros = 3;
/// The last of the spread moves is requested this long before the kill.
const LAST_MOVE_BEFORE_KILL_US: Micros = 1_100_000;
/// The process ends this long before the kill.
const EXIT_BEFORE_KILL_US: Micros = 250_000;
/// Time before the end of the process for the final answers of clients whose attempts are given up.
const FINAL_ANSWERS_PERIOD_US: Micros = 200_000;
/// After the last moves, the proxy looks this often for connections that were established since.
const RECHECK_INTERVAL_US: Micros = 50_000;
/// A connection that was accepted at the last moment is registered within this time.
const IDLE_CONFIRMATION_US: Micros = 20_000;
/// Moves are no closer together than this; where there are many, several are requested at once.
const MIN_MOVE_INTERVAL_US: Micros = 20_000;

/// The request to shut the proxy down, with the time at which it arrived. Only the first request counts.
pub struct ShutdownRequest(SetOnce<Micros>);

impl ShutdownRequest {
    /// No request has arrived yet.
    pub fn new() -> Self {
        ShutdownRequest(SetOnce::new())
    }

    /// Requests the shutdown, unless it was requested before.
    pub fn request(&self, now: Micros) {
        let _ = self.0.set(now);
    }
}

/// Requests the shutdown when SIGTERM arrives. The signal may arrive before the process is ready, and the times
/// of the shutdown count from its arrival.
pub async fn request_on_sigterm(core: Rc<Core>, mut terminations: Signals, request: Rc<ShutdownRequest>) {
    if terminations.recv().await.is_some() {
        request.request(core.now());
    }
}

/// Waits until the shutdown is requested, then shuts the proxy down; returns when the process can end.
pub async fn on_request(core: Rc<Core>, request: Rc<ShutdownRequest>) {
    let requested_at = *request.0.wait().await;
    let longest_deadline = core.settings().classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let kill_at = requested_at + longest_deadline.min(MAX_GRACE_DEADLINE_US) + KILL_MARGIN_US;
    let last_move = kill_at.saturating_sub(LAST_MOVE_BEFORE_KILL_US).max(requested_at);
    if hand_over_all(&core, last_move).await {
        return;
    }
    core.deadlines
        .until(requested_at + FIRST_MOVE_DELAY_US.min((kill_at - requested_at) / FIRST_MOVE_DELAY_DIVISOR))
        .await;
    let mut asked = BTreeSet::new();
    while core.now() < last_move {
        // A client that waits for the end of a line stays established, and is asked only once.
        let mut remaining = core.established_requests();
        remaining.retain(|id| !asked.contains(id));
        let time_left = last_move - core.now();
        // One move at a time where that spreads them over the remaining time, several at once where they are
        // many.
        let interval = (time_left / (remaining.len() as Micros + 1)).max(MIN_MOVE_INTERVAL_US);
        let batch_size = (remaining.len() as Micros * interval).div_ceil(time_left) as usize;
        for id in remaining.into_iter().take(batch_size) {
            core.send_command(id, RequestCommand::Move);
            asked.insert(id);
        }
        core.deadlines.until((core.now() + interval).min(last_move)).await;
    }
    // Clients that are not served by now get an answer while there is time to go elsewhere; the decision
    // module chooses the answer. An attempt in progress may still establish its connection, which is then
    // moved too. Attempts that are in progress at the very end are given up.
    core.begin_shutdown();
    let final_answers_at = kill_at - EXIT_BEFORE_KILL_US - FINAL_ANSWERS_PERIOD_US;
    move_all(&core, final_answers_at).await;
    if core.is_idle() {
        return;
    }
    core.terminating.set();
    move_all(&core, kill_at - EXIT_BEFORE_KILL_US).await;
}

/// Moves the clients of all established connections, also of those established meanwhile, until no client
/// awaits an answer or `until` is reached.
async fn move_all(core: &Core, until: Micros) {
    loop {
        core.established_requests().into_iter().for_each(|id| core.send_command(id, RequestCommand::Move));
        if confirm_idle(core, (core.now() + RECHECK_INTERVAL_US).min(until)).await || core.now() >= until {
            return;
        }
    }
}

/// Waits until no client awaits an answer, and a moment longer for clients that were still in the accept
/// queue. True if there are none; false as well if `until` is reached first.
async fn confirm_idle(core: &Core, until: Micros) -> bool {
    tokio::select! {
        biased;
        () = core.wait_until_idle() => {}
        () = core.deadlines.until(until) => return false,
    }
    core.deadlines.until((core.now() + IDLE_CONFIRMATION_US).min(until)).await;
    core.is_idle()
}

/// Where a successor process has taken over, hands every connection over to it once established. A client
/// that was accepted, and whose request is not complete yet, is read first. True once all connections are
/// handed over or have ended; false if there is no successor, if it ended meanwhile, or if `until` is
/// reached.
async fn hand_over_all(core: &Core, until: Micros) -> bool {
    while core.has_successor() && core.now() < until {
        core.established_requests()
            .into_iter()
            .for_each(|id| core.send_command(id, RequestCommand::HandOver));
        tokio::select! {
            biased;
            () = core.wait_until_idle() => return true,
            () = core.deadlines.until((core.now() + RECHECK_INTERVAL_US).min(until)) => {}
        }
    }
    false
}
