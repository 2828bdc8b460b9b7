//! A limit on set-ups while they fail at backends of all kinds alike: then it is nothing about any one backend but
//! something that all of them need, such as a session store, that is overloaded or slow. Attempts at another backend and
//! clients that come again only keep it so, long after its cause is over. Bounds for `logic`, which decides.

use crate::api::Micros;
use std::collections::BTreeSet;

/// Backends at which set-ups failed in a row, none succeeding between, from which the failure is a shared one. Two may
/// be chance; where they lie in two zones, two are enough, as what is lost with a zone is in one.
const SHARED: usize = 3;
const SHARED_ZONES: usize = 2;
/// Among many proxies, one at which none succeeded yet takes its first failure for a shared one: it has no reason to
/// take another backend for better, and all those restarted in a storm would try a few times each.
const SHARED_UNPROVEN: usize = 1;
/// The first pause between set-ups is this part of the aim: long enough that one which is well would have answered.
const FIRST_PAUSE_PART: Micros = 2;
/// Tells this stream of chance from the proxy's others; any number does.
const CHANCE: u64 = 0x5e70_0b17;
/// A pause doubles with each that fails, up to so many of the longest deadlines: hundreds of proxies at one store are as
/// slow together as it may be then, and try it within a quarter of a minute once it is well again.
const GROWTH: u64 = 2;
const LONGEST_PAUSES: u64 = 4;
/// From so many set-ups at once that succeed without a failure, nothing is limited any more.
const UNLIMITED: u32 = 8;

/// Set-ups of this proxy, whatever backend they are at.
#[derive(Debug)]
pub(crate) struct SetupLimit {
    /// A stream of its own: what is drawn here changes no other draw.
    chance: fastrand::Rng,
    /// Where set-ups failed since the last one that succeeded: backend and zone.
    failed: BTreeSet<(usize, u16)>,
    /// From how many backends in a row the failure is a shared one.
    shared: usize,
    /// Those under way.
    under_way: u32,
    /// The most that may be under way; none where nothing is limited.
    most: Option<u32>,
    /// Pause between two of them; 0 while they succeed.
    pause: Micros,
    /// None begins before this.
    next_at: Micros,
    /// When the limit was last lowered: what had begun before tells nothing new.
    lowered_at: Micros,
}

impl SetupLimit {
    /// Nothing is limited; another seed at each of the proxies, which may be many.
    pub fn new(seed: u64, many: bool) -> Self {
        SetupLimit {
            chance: fastrand::Rng::with_seed(seed ^ CHANCE),
            failed: BTreeSet::new(),
            shared: if many { SHARED_UNPROVEN } else { SHARED },
            under_way: 0,
            most: None,
            pause: 0,
            next_at: 0,
            lowered_at: 0,
        }
    }

    /// A set-up begins.
    pub fn begin(&mut self) {
        self.under_way += 1;
    }

    /// One ended that tells nothing of what all backends need.
    pub fn end(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// One succeeded: twice as many may be under way.
    pub fn succeeded(&mut self) {
        self.end();
        self.failed.clear();
        self.shared = SHARED;
        self.pause = 0;
        self.next_at = 0;
        self.most = self.most.map(|most| most * 2).filter(|&most| most < UNLIMITED);
    }

    /// One that was sent then failed at that backend in that zone, or had no answer in time. `aim` is the time in which
    /// one is wanted, `deadline` that after which its client gives up.
    pub fn failed(&mut self, now: Micros, sent: Micros, at: (usize, u16), aim: Micros, deadline: Micros) {
        self.end();
        self.failed.insert(at);
        if !self.shared() || sent < self.lowered_at {
            return;
        }
        self.lowered_at = now;
        self.most = Some(1);
        self.pause = (self.pause * GROWTH).max(aim / FIRST_PAUSE_PART).min(deadline * LONGEST_PAUSES);
        // From half of it to one and a half: proxies that share nothing do not try again in step.
        self.next_at = now + self.pause / 2 + self.chance.u64(0..=self.pause);
    }

    /// Whether set-ups fail at backends of all kinds alike.
    pub fn shared(&self) -> bool {
        let zones: BTreeSet<u16> = self.failed.iter().map(|&(_, zone)| zone).collect();
        self.failed.len() >= self.shared || zones.len() >= SHARED_ZONES
    }

    /// Whether set-ups are limited now.
    pub fn limits(&self) -> bool {
        self.most.is_some()
    }

    /// When the next set-up may begin, as far as is known: `now` where nothing is in its way.
    pub fn next_at(&self, now: Micros, aim: Micros) -> Micros {
        match self.most {
            Some(most) if self.under_way >= most => self.next_at.max(now + aim / FIRST_PAUSE_PART),
            Some(_) => self.next_at.max(now),
            None => now,
        }
    }
}
