//! The planned stop: new clients still come for a moment, and all are sent away in a spread.

use crate::core::{Core, RequestCommand};
use pierloom_decision::Micros;
use pierloom_host::Signals;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The kill comes no sooner than the longest deadline after the signal, counted as at most this...
const LONGEST_COUNTED: Micros = 3_000_000;
/// ...and this much more; microseconds.
const KILL_SLACK: Micros = 700_000;
/// Until then the front may still send new clients; microseconds. Where the kill comes soon, they are refused earlier,
/// so that a third of the time is left for moves and a third for the end.
const STILL_COMING: Micros = 450_000;
const STILL_COMING_PART: Micros = 3;
/// Before the kill, all moves are under way this early, and the process ends this early; microseconds.
const MOVED_EARLY: Micros = 1_100_000;
const ENDED_EARLY: Micros = 250_000;
/// Before its end, the process has this long for the answers to attempts given up; microseconds.
const LAST_WORDS: Micros = 200_000;
/// After the last moves, it looks this often for connections that came up since; microseconds.
const LAST_STEP: Micros = 50_000;
/// Who was let in at the last moment is seen within this; microseconds.
const QUIET: Micros = 20_000;
/// Moves go out no closer than this, several at once where they are many; microseconds.
const STEP: Micros = 20_000;

/// When SIGTERM came. It may come while the process is not ready yet, and its time counts from there.
pub fn watch_sigterm(core: &Rc<Core>, mut terminations: Signals) -> oneshot::Receiver<Micros> {
    let (sender, told) = oneshot::channel();
    let noting = core.clone();
    core.host.spawn(async move {
        if terminations.recv().await.is_some() {
            // Whoever waits for it does so until the process ends.
            let _ = sender.send(noting.now());
        }
    });
    told
}

/// Waits for SIGTERM and serves the rest of the process's life.
pub async fn on_sigterm(core: Rc<Core>, told: oneshot::Receiver<Micros>) {
    let Ok(told) = told.await else { return std::future::pending().await };
    let longest = core.settings().classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let kill = told + longest.min(LONGEST_COUNTED) + KILL_SLACK;
    let last_move = kill.saturating_sub(MOVED_EARLY).max(told);
    if hand_over_all(&core, last_move).await {
        return;
    }
    core.deadlines.until(told + STILL_COMING.min((kill - told) / STILL_COMING_PART)).await;
    while core.now() < last_move {
        let (left, standing) = (last_move - core.now(), core.established_requests());
        // One at a time where that spreads them over what is left, more where they are many.
        let gap = (left / (standing.len() as Micros + 1)).max(STEP);
        let share = (standing.len() as Micros * gap).div_ceil(left) as usize;
        standing.into_iter().take(share).for_each(|id| core.send_command(id, RequestCommand::Move));
        core.deadlines.until((core.now() + gap).min(last_move)).await;
    }
    // Whoever is not served by now is free to go elsewhere while there is time: the module says with which answer. An
    // attempt that is out may still bring its connection up: that one is moved too, and what is out at the very end is
    // given up.
    core.stop();
    let last_words = kill - ENDED_EARLY - LAST_WORDS;
    move_all(&core, last_words).await;
    if core.is_idle() {
        return;
    }
    core.terminating.set();
    move_all(&core, kill - ENDED_EARLY).await;
}

/// Moves whoever stands, and whoever comes up meanwhile, until nobody is owed anything or it is that time.
async fn move_all(core: &Core, until: Micros) {
    loop {
        core.established_requests().into_iter().for_each(|id| core.send_command(id, RequestCommand::Move));
        if quiet(core, (core.now() + LAST_STEP).min(until)).await || core.now() >= until {
            return;
        }
    }
}

/// Waits until nobody is owed anything, and a moment more shows none who was in the queue; false at that time.
async fn quiet(core: &Core, until: Micros) -> bool {
    tokio::select! {
        biased;
        () = core.wait_until_idle() => {}
        () = core.deadlines.until(until) => return false,
    }
    core.deadlines.until((core.now() + QUIET).min(until)).await;
    core.is_idle()
}

/// Where another process has taken over, it gets every connection as soon as it stands; true once all are with it, or
/// have ended. Who was taken in and not heard yet is heard first. False where there is none, or it ended meanwhile.
async fn hand_over_all(core: &Core, until: Micros) -> bool {
    while core.has_successor() && core.now() < until {
        core.established_requests()
            .into_iter()
            .for_each(|id| core.send_command(id, RequestCommand::HandOver));
        tokio::select! {
            biased;
            () = core.wait_until_idle() => return true,
            () = core.deadlines.until((core.now() + LAST_STEP).min(until)) => {}
        }
    }
    false
}
