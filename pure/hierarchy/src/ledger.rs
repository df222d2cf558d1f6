//! Who fetches and who waits, at one hub. Misses for one part of an object are collapsed behind one fetch; the
//! ledger says who leads, who joins, when a fetch that shows no progress is given up, and when it is called off.
//!
//! Fills that wait for each other across hubs never form a circle, by this rule: *a fill waits only for fetches of
//! its own epoch; a fill that has passed nodes of two epochs is solo from there on: it waits for none further up,
//! but anyone may wait for it.* All fetches in a circle of waits would be of one epoch, and so in one tree, which
//! has no cycle; a solo fetch ends by itself, as its way never visits a node twice. Two epochs meet only while a
//! rewiring is under way, and each hub leads one solo fetch for an object at most.

use crate::tree::Stamp;
use crate::Time;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A part of an object, by the class that asks for it: what one fetch brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    pub class: u32,
    pub object: u64,
    pub part: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FetchId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitId(pub u64);

/// Which fills may wait for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Lane {
    /// All nodes so far went by this tree.
    Of(Stamp),
    Solo,
}

/// How a fill comes to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The tree that its sender went by; none where it begins here.
    pub stamp: Option<Stamp>,
    /// It is solo already: it must not wait.
    pub solo: bool,
}

impl Arrival {
    pub const BEGINS: Arrival = Arrival { stamp: None, solo: false };

    /// The lane in which it goes on from a node that goes by `present`.
    pub fn lane(&self, present: Stamp) -> Lane {
        match self.stamp {
            _ if self.solo => Lane::Solo,
            Some(stamp) if stamp != present => Lane::Solo,
            _ => Lane::Of(present),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Want {
    pub key: Key,
    pub arrival: Arrival,
    /// The tree in service at this node.
    pub present: Stamp,
    /// When a copy must have left the archive at the earliest; 0: any will do. Not on this node's clock.
    pub born_after: u64,
    /// When whoever asks gives up.
    pub until: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    Lead(FetchId, WaitId),
    Join(FetchId, WaitId),
    /// No room for a further fetch, or for one more who waits: refused at once.
    Full,
}

/// What becomes of a fetch whose source failed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Once more, from another source, for all who wait. The number tells this try from those before.
    Again(u32),
    /// Nobody waits, or there is no time or try left: all who wait are told so.
    Over,
    /// Word from a try that was given up before, or of a fetch that has ended.
    Stale,
}

#[derive(Debug)]
struct Fetch {
    key: Key,
    lane: Lane,
    born_after: u64,
    waits: u32,
    /// The latest time at which somebody still waits.
    until: Time,
    attempt: u32,
    lease_until: Time,
}

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub fetches: usize,
    pub waits: usize,
    /// A try that shows no progress for so long is given up.
    pub lease: Time,
    /// Tries of one fetch.
    pub attempts: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub led: u64,
    pub joined: u64,
    pub full: u64,
    pub again: u64,
    pub lapsed: u64,
    pub called_off: u64,
}

pub struct Ledger {
    limits: Limits,
    /// The fetch that may be joined, one at most for each key and lane.
    leads: HashMap<(Key, Lane), FetchId>,
    fetches: HashMap<FetchId, Fetch>,
    waits: HashMap<WaitId, FetchId>,
    /// Ends of leases as they were set; one that was renewed has a later one.
    ends: BinaryHeap<Reverse<(Time, FetchId)>>,
    next: u64,
    counts: Counts,
}

impl Ledger {
    pub fn new(limits: Limits) -> Ledger {
        Ledger {
            limits,
            leads: HashMap::new(),
            fetches: HashMap::new(),
            waits: HashMap::new(),
            ends: BinaryHeap::new(),
            next: 0,
            counts: Counts::default(),
        }
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Fetches under way, and those who wait for them.
    pub fn size(&self) -> (usize, usize) {
        (self.fetches.len(), self.waits.len())
    }

    /// Somebody wants a part that is not held here.
    pub fn want(&mut self, now: Time, want: Want) -> Turn {
        if self.waits.len() >= self.limits.waits {
            self.counts.full += 1;
            return Turn::Full;
        }
        let lane = want.arrival.lane(want.present);
        let joined = if want.arrival.solo { None } else { self.joinable(&want, lane) };
        if let Some(id) = joined {
            self.counts.joined += 1;
            let fetch = self.fetches.get_mut(&id).expect("a lead is under way");
            fetch.waits += 1;
            fetch.until = fetch.until.max(want.until);
            return Turn::Join(id, self.wait(id));
        }
        if self.fetches.len() >= self.limits.fetches {
            self.counts.full += 1;
            return Turn::Full;
        }
        self.counts.led += 1;
        let id = FetchId(self.next);
        self.next += 1;
        let lease_until = now.saturating_add(self.limits.lease);
        let (key, born_after) = (want.key, want.born_after);
        let fetch = Fetch { key, lane, born_after, waits: 1, until: want.until, attempt: 0, lease_until };
        self.fetches.insert(id, fetch);
        self.ends.push(Reverse((lease_until, id)));
        // In its lane's place also where one was there whose copy may be too old: later ones join the newer.
        // A fill that came solo must not be waited for less than others: anyone may.
        self.leads.insert((key, lane), id);
        Turn::Lead(id, self.wait(id))
    }

    fn joinable(&self, want: &Want, lane: Lane) -> Option<FetchId> {
        // Guards against a copy from before a purge reaching one who was told of it: what was sent for with a
        // looser bound is not waited for.
        let strict = |id: &&FetchId| self.fetches[*id].born_after >= want.born_after;
        let of = |lane| self.leads.get(&(want.key, lane)).filter(strict);
        of(lane).or_else(|| of(Lane::Solo)).copied()
    }

    fn wait(&mut self, id: FetchId) -> WaitId {
        let wait = WaitId(self.next);
        self.next += 1;
        self.waits.insert(wait, id);
        wait
    }

    /// Bytes came for a try: its lease goes on.
    pub fn beat(&mut self, now: Time, id: FetchId, attempt: u32) {
        let lease = self.limits.lease;
        if let Some(fetch) = self.fetches.get_mut(&id).filter(|f| f.attempt == attempt) {
            fetch.lease_until = now.saturating_add(lease);
        }
    }

    /// One who waits has its answer, left, or gave up. The fetch to call off, if nobody waits any more.
    pub fn leave(&mut self, wait: WaitId) -> Option<FetchId> {
        let id = self.waits.remove(&wait)?;
        let fetch = self.fetches.get_mut(&id)?;
        fetch.waits -= 1;
        if fetch.waits > 0 {
            return None;
        }
        self.counts.called_off += 1;
        self.forget(id);
        Some(id)
    }

    /// A fetch has its part whole, or word that is final for all (it does not exist).
    pub fn done(&mut self, id: FetchId, attempt: u32) -> bool {
        let current = self.fetches.get(&id).is_some_and(|f| f.attempt == attempt);
        if current {
            self.forget(id);
        }
        current
    }

    /// A try's source failed. Those who wait go on with one more try, not one each.
    pub fn failed(&mut self, now: Time, id: FetchId, attempt: u32) -> Next {
        let Limits { lease, attempts, .. } = self.limits;
        let Some(fetch) = self.fetches.get_mut(&id).filter(|f| f.attempt == attempt) else {
            return Next::Stale;
        };
        if fetch.until <= now || attempt + 1 >= attempts {
            self.forget(id);
            return Next::Over;
        }
        fetch.attempt += 1;
        fetch.lease_until = now.saturating_add(lease);
        self.counts.again += 1;
        let next = fetch.attempt;
        self.ends.push(Reverse((fetch.lease_until, id)));
        Next::Again(next)
    }

    /// Tries whose lease ran out: whoever made them died or hangs. Each is to be reported as failed.
    pub fn lapsed(&mut self, now: Time) -> Vec<(FetchId, u32)> {
        let mut lapsed = Vec::new();
        while let Some(&Reverse((due, id))) = self.ends.peek() {
            if due > now {
                break;
            }
            self.ends.pop();
            match self.fetches.get(&id) {
                Some(fetch) if fetch.lease_until <= now => {
                    self.counts.lapsed += 1;
                    lapsed.push((id, fetch.attempt));
                }
                Some(fetch) => self.ends.push(Reverse((fetch.lease_until, id))),
                None => {}
            }
        }
        lapsed
    }

    /// When to look for lapsed leases next.
    pub fn next_due(&self) -> Option<Time> {
        self.ends.peek().map(|Reverse((due, _))| *due)
    }

    /// Until when somebody waits for a fetch.
    pub fn until(&self, id: FetchId) -> Option<Time> {
        self.fetches.get(&id).map(|f| f.until)
    }

    /// The try that is under way for a fetch.
    pub fn attempt(&self, id: FetchId) -> Option<u32> {
        self.fetches.get(&id).map(|f| f.attempt)
    }

    fn forget(&mut self, id: FetchId) {
        if let Some(fetch) = self.fetches.remove(&id) {
            let place = (fetch.key, fetch.lane);
            if self.leads.get(&place) == Some(&id) {
                self.leads.remove(&place);
            }
        }
        // Guards against ends of leases piling up behind fetches that are long over.
        if self.ends.len() > 64 && self.ends.len() > 4 * self.fetches.len() {
            let fetches = &self.fetches;
            self.ends.retain(|Reverse((_, id))| fetches.contains_key(id));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000;
    const ONE: Stamp = Stamp { epoch: 1, digest: 1 };
    const TWO: Stamp = Stamp { epoch: 2, digest: 2 };

    fn ledger() -> Ledger {
        Ledger::new(Limits { fetches: 3, waits: 10, lease: S, attempts: 3 })
    }

    fn want(object: u64) -> Want {
        let key = Key { class: 0, object, part: 0 };
        Want { key, arrival: Arrival::BEGINS, present: ONE, born_after: 0, until: 10 * S }
    }

    fn from(stamp: Stamp, solo: bool) -> Arrival {
        Arrival { stamp: Some(stamp), solo }
    }

    #[test]
    fn misses_for_one_part_are_one_fetch_and_the_last_to_leave_calls_it_off() {
        let mut ledger = ledger();
        let Turn::Lead(fetch, first) = ledger.want(0, want(7)) else { panic!() };
        let Turn::Join(same, second) = ledger.want(1, want(7)) else { panic!() };
        assert_eq!(same, fetch);
        assert!(matches!(ledger.want(2, want(8)), Turn::Lead(..)));
        // Its first client leaves: the other goes on with the same fetch.
        assert_eq!(ledger.leave(first), None);
        assert_eq!(ledger.leave(second), Some(fetch));
        assert_eq!(ledger.leave(second), None);
        assert!(!ledger.done(fetch, 0));
        assert!(matches!(ledger.want(3, want(7)), Turn::Lead(..)));
    }

    #[test]
    fn a_try_that_fails_or_lapses_is_followed_by_one_for_all() {
        let mut ledger = ledger();
        let Turn::Lead(fetch, _) = ledger.want(0, want(7)) else { panic!() };
        ledger.want(0, want(7));
        ledger.beat(S / 2, fetch, 0);
        assert_eq!(ledger.lapsed(S), []);
        assert_eq!(ledger.lapsed(S + S / 2), [(fetch, 0)]);
        assert_eq!(ledger.failed(S + S / 2, fetch, 0), Next::Again(1));
        // What the first try says after that is nothing.
        assert_eq!(ledger.failed(S + S / 2, fetch, 0), Next::Stale);
        assert!(!ledger.done(fetch, 0) && matches!(ledger.want(2 * S, want(7)), Turn::Join(..)));
        assert_eq!(ledger.failed(2 * S, fetch, 1), Next::Again(2));
        assert_eq!(ledger.failed(2 * S, fetch, 2), Next::Over);
        assert_eq!(ledger.size().0, 0);
        // No time left: nobody waits past its own end.
        let Turn::Lead(late, _) = ledger.want(3 * S, want(9)) else { panic!() };
        assert_eq!(ledger.failed(10 * S, late, 0), Next::Over);
    }

    #[test]
    fn full_is_refused_and_nothing_else_is_lost() {
        let mut ledger = ledger();
        for object in 0..3 {
            assert!(matches!(ledger.want(0, want(object)), Turn::Lead(..)));
        }
        assert_eq!(ledger.want(0, want(3)), Turn::Full);
        for _ in 0..7 {
            assert!(matches!(ledger.want(0, want(0)), Turn::Join(..)));
        }
        assert_eq!(ledger.want(0, want(0)), Turn::Full);
        assert_eq!((ledger.size(), ledger.counts().full), ((3, 10), 2));
    }

    #[test]
    fn a_fetch_sent_before_a_purge_is_not_waited_for_after_it() {
        let mut ledger = ledger();
        let Turn::Lead(old, _) = ledger.want(0, want(7)) else { panic!() };
        let purged = Want { born_after: 500, ..want(7) };
        let Turn::Lead(new, _) = ledger.want(1, purged) else {
            panic!("joined a copy from before the purge")
        };
        // Later ones join the newer, whatever their bound; the end of the older takes nothing from it.
        assert!(matches!(ledger.want(2, want(7)), Turn::Join(id, _) if id == new));
        assert!(ledger.done(old, 0));
        assert!(matches!(ledger.want(3, purged), Turn::Join(id, _) if id == new));
    }

    #[test]
    fn fills_of_two_epochs_do_not_wait_for_each_other() {
        // Two hubs turned toward each other: each leads a fetch that goes to the other.
        let (mut a, mut b) = (ledger(), ledger());
        let at_b = |arrival| Want { arrival, present: TWO, ..want(7) };
        let Turn::Lead(from_a, _) = a.want(0, want(7)) else { panic!() };
        let Turn::Lead(from_b, _) = b.want(0, at_b(Arrival::BEGINS)) else { panic!() };
        // What a sent comes to b, and b's to a: neither joins, each leads one solo fetch.
        let Turn::Lead(solo, _) = b.want(1, at_b(from(ONE, false))) else { panic!("a waits for b") };
        assert!(matches!(a.want(1, Want { arrival: from(TWO, false), ..want(7) }), Turn::Lead(..)));
        assert_ne!(solo, from_b);
        // One more of the other epoch joins the solo fetch, which ends by itself; one that is solo joins nothing.
        assert!(matches!(b.want(2, at_b(from(ONE, false))), Turn::Join(id, _) if id == solo));
        assert!(matches!(b.want(2, at_b(from(ONE, true))), Turn::Lead(..)));
        assert!(matches!(a.want(2, want(7)), Turn::Join(id, _) if id == from_a));
    }
}
