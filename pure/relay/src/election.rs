//! Who relays a branch. The one that holds a lease at the branch's seats; without one, whoever is first in line of those that
//! seem alive tries for it. ReplicaSet only break ties: readers keep their own places, so that two relays cost a stream at
//! the source and no promise.

use crate::types::Branch;
use foldmux_replicas::{
    rendezvous, ClockDrift, GrantedLease, HeldLease, Peer, RecoveryDelay, ReplicaSet, Time, Votes,
};
use std::collections::BTreeMap;

/// Who may relay a branch, next first, and who is passed over for now.
pub struct Candidates {
    ranked: Vec<Peer>,
    shunned: BTreeMap<Peer, Time>,
}

impl Candidates {
    pub fn new<'a>(branch: &Branch, peers: impl IntoIterator<Item = &'a Peer>) -> Candidates {
        let ranked = rendezvous::ranked(&branch.key(), peers)
            .into_iter()
            .cloned()
            .collect();
        Candidates {
            ranked,
            shunned: BTreeMap::new(),
        }
    }

    pub fn has(&self, peer: &Peer) -> bool {
        self.ranked.contains(peer)
    }

    /// Passes over a peer until then. Only those in line are remembered, so that this is bounded.
    pub fn shun(&mut self, peer: &Peer, until: Time) {
        if self.has(peer) {
            let own = self.shunned.entry(peer.clone()).or_insert(until);
            *own = until.max(*own);
        }
    }

    pub fn shunned(&self, now: Time, peer: &Peer) -> bool {
        self.shunned.get(peer).is_some_and(|until| now < *until)
    }

    pub fn rank(&self, peer: &Peer) -> usize {
        self.ranked
            .iter()
            .position(|own| own == peer)
            .unwrap_or(usize::MAX)
    }

    /// The first that is not passed over, not among `but`, and seems alive.
    pub fn next(&self, now: Time, dead: &BTreeMap<Peer, ()>, but: &[&Peer]) -> Option<&Peer> {
        let fits = |peer: &&Peer| {
            !self.shunned(now, peer)
                && !dead.contains_key(*peer)
                && !but.iter().any(|other| other == peer)
        };
        self.ranked.iter().find(fits)
    }
}

/// A relay's side of the lease.
pub struct Claim {
    seats: [Peer; 3],
    votes: Votes,
    others: Vec<Peer>,
    asked: u64,
    sent: Time,
    held: Option<HeldLease>,
    /// When to ask again.
    pub next: Time,
}

/// What a seat's answer means.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    Open,
    Won,
    /// Two seats say it is another's; each its own view of whose.
    Lost(Vec<Peer>),
}

impl Claim {
    pub fn new(now: Time, branch: &Branch, seats: &ReplicaSet) -> Claim {
        let seats = seats.replicas_of(&branch.key());
        Claim {
            votes: Votes::new(seats),
            seats: seats.map(Peer::clone),
            others: Vec::new(),
            asked: 0,
            sent: now,
            held: None,
            next: now,
        }
    }

    pub fn seats(&self) -> &[Peer; 3] {
        &self.seats
    }

    /// A question to all three seats, with this number.
    pub fn ask(&mut self, now: Time, asked: u64, again: Time) {
        self.votes = Votes::new([&self.seats[0], &self.seats[1], &self.seats[2]]);
        self.others.clear();
        (self.asked, self.sent, self.next) = (asked, now, now + again);
    }

    pub fn answer(
        &mut self,
        from: &Peer,
        asked: u64,
        other: Option<Peer>,
        lease: Time,
        drift: ClockDrift,
    ) -> Verdict {
        if asked != self.asked {
            return Verdict::Open;
        }
        match other {
            None => {
                self.votes.grant(from);
                if self.votes.won() {
                    self.held = Some(HeldLease::new(self.sent, lease, drift));
                    return Verdict::Won;
                }
            }
            Some(other) => {
                if self.votes.reject(from) {
                    self.others.push(other);
                }
                if self.votes.lost() {
                    return Verdict::Lost(std::mem::take(&mut self.others));
                }
            }
        }
        Verdict::Open
    }

    pub fn holds(&self, now: Time) -> bool {
        self.held.is_some_and(|held| held.is_valid(now))
    }
}

/// A seat's side: what it granted, by branch. Bounded by the branches that the file names.
pub struct Grants {
    memory: RecoveryDelay,
    granted: BTreeMap<Branch, (Peer, GrantedLease)>,
}

impl Grants {
    pub fn new(start: Time, lease: Time, drift: ClockDrift) -> Grants {
        Grants {
            memory: RecoveryDelay::state_lost(start, &[lease], drift),
            granted: BTreeMap::new(),
        }
    }

    /// `None`: this seat may not speak yet. Else who holds it, if that is another.
    pub fn claim(
        &mut self,
        now: Time,
        from: &Peer,
        branch: &Branch,
        lease: Time,
    ) -> Option<Option<Peer>> {
        if !self.memory.may_vote(now) {
            return None;
        }
        match self.granted.get_mut(branch) {
            Some((holder, granted)) if granted.is_active(now) => {
                if holder != from {
                    return Some(Some(holder.clone()));
                }
                granted.renew(now, lease);
            }
            _ => {
                self.granted.insert(
                    branch.clone(),
                    (from.clone(), GrantedLease::new(now, lease)),
                );
            }
        }
        Some(None)
    }

    pub fn let_go(&mut self, from: &Peer, branch: &Branch) {
        if self
            .granted
            .get(branch)
            .is_some_and(|(holder, _)| holder == from)
        {
            self.granted.remove(branch);
        }
    }

    pub fn sweep(&mut self, now: Time) {
        self.granted
            .retain(|_, (_, granted)| granted.is_active(now));
    }

    pub fn len(&self) -> usize {
        self.granted.len()
    }

    pub fn is_empty(&self) -> bool {
        self.granted.is_empty()
    }
}
