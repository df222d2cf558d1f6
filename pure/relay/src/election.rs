//! The election of a branch's relay. The relay is the process that holds a lease from the branch's replicas;
//! without one, the first candidate that seems alive requests it.
//!
//! The lease only breaks ties. Readers keep their own positions, so a second relay costs one more stream at
//! the source and breaks no guarantee.

use crate::types::Branch;
use foldmux_replicas::{
    rendezvous, ClockDrift, GrantedLease, HeldLease, Peer, RecoveryDelay, ReplicaSet, Time, Votes,
};
use std::collections::BTreeMap;

/// The processes that may relay a branch, in order of preference, and those that are excluded for now.
pub struct Candidates {
    ranked: Vec<Peer>,
    excluded: BTreeMap<Peer, Time>,
}

impl Candidates {
    pub fn new<'a>(branch: &Branch, peers: impl IntoIterator<Item = &'a Peer>) -> Candidates {
        let ranked = rendezvous::ranked(&branch.key(), peers)
            .into_iter()
            .cloned()
            .collect();
        Candidates {
            ranked,
            excluded: BTreeMap::new(),
        }
    }

    pub fn contains(&self, peer: &Peer) -> bool {
        self.ranked.contains(peer)
    }

    /// Excludes a peer until this time. Only candidates are recorded, so the map is bounded.
    pub fn exclude(&mut self, peer: &Peer, until: Time) {
        if self.contains(peer) {
            let current = self.excluded.entry(peer.clone()).or_insert(until);
            *current = until.max(*current);
        }
    }

    pub fn is_excluded(&self, now: Time, peer: &Peer) -> bool {
        self.excluded.get(peer).is_some_and(|until| now < *until)
    }

    pub fn rank(&self, peer: &Peer) -> usize {
        self.ranked
            .iter()
            .position(|own| own == peer)
            .unwrap_or(usize::MAX)
    }

    /// The first candidate that is not excluded, not among `except` and not reported dead.
    pub fn next(&self, now: Time, dead: &BTreeMap<Peer, ()>, except: &[&Peer]) -> Option<&Peer> {
        let fits = |peer: &&Peer| {
            !self.is_excluded(now, peer)
                && !dead.contains_key(*peer)
                && !except.iter().any(|other| other == peer)
        };
        self.ranked.iter().find(fits)
    }
}

/// A relay's request for the lease on a branch, and the lease once it is held.
pub struct LeaseClaim {
    replicas: [Peer; 3],
    votes: Votes,
    holders: Vec<Peer>,
    request: u64,
    sent_at: Time,
    lease: Option<HeldLease>,
    /// When to send the next request, as a renewal or a retry.
    pub next_request: Time,
}

/// The outcome of the current request after a reply.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimResult {
    Pending,
    Won,
    /// Two replicas granted the lease to other processes. Each names the holder that it knows of.
    Lost(Vec<Peer>),
}

impl LeaseClaim {
    pub fn new(now: Time, branch: &Branch, replicas: &ReplicaSet) -> LeaseClaim {
        let replicas = replicas.replicas_of(&branch.key());
        LeaseClaim {
            votes: Votes::new(replicas),
            replicas: replicas.map(Peer::clone),
            holders: Vec::new(),
            request: 0,
            sent_at: now,
            lease: None,
            next_request: now,
        }
    }

    pub fn replicas(&self) -> &[Peer; 3] {
        &self.replicas
    }

    /// Starts a request to all three replicas with this number. The next one is due after `interval`.
    pub fn start_round(&mut self, now: Time, request: u64, interval: Time) {
        self.votes = Votes::new([&self.replicas[0], &self.replicas[1], &self.replicas[2]]);
        self.holders.clear();
        (self.request, self.sent_at, self.next_request) = (request, now, now + interval);
    }

    pub fn on_reply(
        &mut self,
        from: &Peer,
        request: u64,
        holder: Option<Peer>,
        lease: Time,
        drift: ClockDrift,
    ) -> ClaimResult {
        if request != self.request {
            return ClaimResult::Pending;
        }
        match holder {
            None => {
                self.votes.grant(from);
                if self.votes.won() {
                    self.lease = Some(HeldLease::new(self.sent_at, lease, drift));
                    return ClaimResult::Won;
                }
            }
            Some(holder) => {
                if self.votes.reject(from) {
                    self.holders.push(holder);
                }
                if self.votes.lost() {
                    return ClaimResult::Lost(std::mem::take(&mut self.holders));
                }
            }
        }
        ClaimResult::Pending
    }

    pub fn holds_lease(&self, now: Time) -> bool {
        self.lease.is_some_and(|held| held.is_valid(now))
    }
}

/// A replica's side: the leases that it granted, by branch. Bounded by the branches of the configuration.
pub struct Grants {
    recovery: RecoveryDelay,
    leases: BTreeMap<Branch, (Peer, GrantedLease)>,
}

impl Grants {
    pub fn new(start: Time, lease: Time, drift: ClockDrift) -> Grants {
        Grants {
            recovery: RecoveryDelay::state_lost(start, &[lease], drift),
            leases: BTreeMap::new(),
        }
    }

    /// Handles a claim. Returns `None` while this replica may not vote after a restart; otherwise the other
    /// process that holds the lease, or `Some(None)` if the lease is granted.
    pub fn on_claim(
        &mut self,
        now: Time,
        from: &Peer,
        branch: &Branch,
        lease: Time,
    ) -> Option<Option<Peer>> {
        if !self.recovery.may_vote(now) {
            return None;
        }
        match self.leases.get_mut(branch) {
            Some((holder, granted)) if granted.is_active(now) => {
                if holder != from {
                    return Some(Some(holder.clone()));
                }
                granted.renew(now, lease);
            }
            _ => {
                self.leases.insert(
                    branch.clone(),
                    (from.clone(), GrantedLease::new(now, lease)),
                );
            }
        }
        Some(None)
    }

    pub fn release(&mut self, from: &Peer, branch: &Branch) {
        if self
            .leases
            .get(branch)
            .is_some_and(|(holder, _)| holder == from)
        {
            self.leases.remove(branch);
        }
    }

    pub fn remove_expired(&mut self, now: Time) {
        self.leases.retain(|_, (_, granted)| granted.is_active(now));
    }

    pub fn len(&self) -> usize {
        self.leases.len()
    }

    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}
