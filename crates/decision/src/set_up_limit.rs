//! A limit on set-ups while they fail at backends of all kinds alike: then it is nothing about any one backend but
//! something that all of them need, such as a session store, that is overloaded or slow. Attempts at another backend and
//! clients that come again only keep it so, long after its cause is over. Bounds for `logic`, which decides.

use crate::api::Micros;
use std::collections::BTreeSet;

/// Backends at which set-ups failed in a row, none succeeding between, from which the failure is a shared one. Two may
/// be chance; where they lie in two zones, two are enough, as what is lost with a zone is in one.
const SHARED: usize = 3;
const SHARED_ZONES: usize = 2;
/// The first pause between set-ups is this part of the aim: long enough that one which is well would have answered.
const FIRST_PAUSE_PART: Micros = 2;
/// Tells this stream of chance from the proxy's others; any number does.
const CHANCE: u64 = 0x5e70_0b17;
/// From so many set-ups at once that succeed without a failure, nothing is limited any more.
const UNLIMITED: u32 = 8;

/// Set-ups of this proxy, whatever backend they are at.
#[derive(Debug)]
pub(crate) struct SetUpLimit {
    /// A stream of its own: what is drawn here changes no other draw.
    chance: fastrand::Rng,
    /// Where set-ups failed since the last one that succeeded: backend and zone.
    failed: BTreeSet<(usize, u16)>,
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

impl SetUpLimit {
    /// Nothing is limited; another seed at each proxy.
    pub fn new(seed: u64) -> Self {
        SetUpLimit {
            chance: fastrand::Rng::with_seed(seed ^ CHANCE),
            failed: BTreeSet::new(),
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
        self.pause = 0;
        self.next_at = 0;
        self.most = self.most.map(|most| most * 2).filter(|&most| most < UNLIMITED);
    }

    /// One that was sent then failed at that backend in that zone, or had no answer in time. `aim` is the time in which
    /// one is wanted, `longest` the longest pause.
    pub fn failed(&mut self, now: Micros, sent: Micros, at: (usize, u16), aim: Micros, longest: Micros) {
        self.end();
        self.failed.insert(at);
        if !self.shared() || sent < self.lowered_at {
            return;
        }
        self.lowered_at = now;
        self.most = Some(1);
        self.pause = (self.pause * 2).max(aim / FIRST_PAUSE_PART).min(longest);
        // From half of it to one and a half: proxies that share nothing do not try again in step.
        self.next_at = now + self.pause / 2 + self.chance.u64(0..=self.pause);
    }

    /// Whether set-ups fail at backends of all kinds alike.
    pub fn shared(&self) -> bool {
        let zones: BTreeSet<u16> = self.failed.iter().map(|&(_, zone)| zone).collect();
        self.failed.len() >= SHARED || zones.len() >= SHARED_ZONES
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
