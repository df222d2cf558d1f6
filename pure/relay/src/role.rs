//! A relay's side of a branch: those that it feeds, its lease, its beats, and its end. It opens when the first joins and
//! closes when the last has left.

use crate::context::{beat, Shared};
use crate::election::{Candidates, Claim};
use crate::messages::Message;
use crate::planted::{planted, Fault};
use crate::readers::{Reader, Readers};
use crate::ring::Ring;
use crate::types::{Branch, Place, Slow, Stream};
use foldmux_replicas::{Peer, Time};
use std::collections::BTreeMap;

/// Patiences without a word from one that it feeds, until it counts as gone: it acknowledges every beat.
const GONE: Time = 20;
/// Leases with none to feed, until it closes: those that left for its lateness alone are sent back sooner than that.
const LINGER: Time = 3;

pub struct Role {
    pub(crate) stream: Stream,
    pub(crate) branch: Branch,
    pub(crate) fed: Readers<Peer>,
    pub(crate) nonces: BTreeMap<Peer, (u64, Time)>,
    pub(crate) claim: Option<Claim>,
    /// Since when it feeds anyone; and whom it was taken up for, with the time until which that one may still hold the lease.
    pub(crate) since: Time,
    pub(crate) instead: Option<(Peer, Time)>,
    /// Not asked for lateness, so that it first hears what the seats say.
    pub(crate) speaks: Time,
    empty: Option<Time>,
    beat_at: Time,
    pub(crate) late: BTreeMap<Peer, Time>,
    /// It is handing over: those that it feeds were told so.
    pub(crate) over: Option<Time>,
    /// It was too slow, or cut off from the source.
    pub(crate) sits_out: Time,
    /// It is out for want of the source alone.
    pub(crate) unfed: bool,
    pub pumped: Option<Place>,
}

impl Role {
    pub fn new(stream: &Stream, branch: Branch, most: usize) -> Role {
        Role {
            stream: stream.clone(),
            branch,
            fed: Readers::new(most),
            nonces: BTreeMap::new(),
            claim: None,
            since: 0,
            instead: None,
            speaks: 0,
            empty: None,
            beat_at: 0,
            late: BTreeMap::new(),
            over: None,
            sits_out: 0,
            unfed: false,
            pumped: None,
        }
    }

    /// It takes what is upstream.
    pub fn open(&self) -> bool {
        self.claim.is_some() || self.over.is_some()
    }

    pub fn holds(&self, now: Time) -> bool {
        self.claim.as_ref().is_some_and(|claim| claim.holds(now))
    }

    pub fn feeds(&self) -> usize {
        self.fed.len()
    }

    #[allow(clippy::too_many_arguments)]
    pub fn join(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        place: Option<Place>,
        (late, last): (Option<Peer>, bool),
        candidates: &Candidates,
        shared: &mut Shared,
    ) {
        if !candidates.has(from) || self.nonces.get(from).is_some_and(|(own, _)| nonce <= *own) {
            return;
        }
        let me = shared.setup.me.clone();
        let but: Vec<&Peer> = [&me].into_iter().chain(&late).collect();
        let next = candidates.next(now, &shared.dead, &but).cloned();
        let out = shared.leaving || (!last && (self.over.is_some() || now < self.sits_out));
        // It carries on where there is no other.
        if (out && (next.is_some() || shared.leaving)) || !self.has_room(from) {
            let branch = self.branch.clone();
            return shared.send(
                from,
                Message::Elsewhere {
                    branch,
                    nonce,
                    to: next,
                },
            );
        }
        if self.claim.is_none() {
            self.over = None;
            self.since = now;
            let wait = if late.is_none() {
                beat(&self.stream)
            } else {
                0
            };
            self.speaks = now + wait;
            self.claim = Some(Claim::new(now, &self.branch, &shared.setup.replicas));
            self.instead = None;
            self.beat_at = now + beat(&self.stream);
            self.ask(now, shared);
        }
        if self.instead.is_none() {
            self.instead = late.map(|late| (late, now + 2 * shared.setup.lease));
        }
        if planted(Fault::JoinsMove) && from != &me && candidates.rank(from) < candidates.rank(&me)
        {
            return self.hand_over(now, Some(from.clone()), shared);
        }
        self.empty = None;
        self.fed
            .add(from.clone(), Reader::new(now, 0, place, self.stream.ahead));
        self.nonces.insert(from.clone(), (nonce, now));
        self.pumped = None;
    }

    fn has_room(&self, from: &Peer) -> bool {
        self.nonces.contains_key(from) || self.fed.has_room()
    }

    pub(crate) fn close(&mut self) {
        (self.claim, self.over, self.empty, self.pumped) = (None, None, None, None);
        self.fed.keep(|_| false);
        self.nonces.clear();
        self.late.clear();
    }

    /// The source speaks to this process again.
    pub fn healed(&mut self) {
        if std::mem::take(&mut self.unfed) {
            self.sits_out = 0;
        }
    }

    pub fn leave(&mut self, now: Time, from: &Peer, nonce: u64) {
        if self.nonces.get(from).is_some_and(|(own, _)| *own == nonce) {
            self.drop_one(now, &from.clone());
        }
    }

    fn drop_one(&mut self, now: Time, peer: &Peer) {
        self.nonces.remove(peer);
        self.fed.remove(peer);
        if self.fed.is_empty() {
            self.empty = Some(now);
        }
    }

    pub fn taken(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        told: u64,
        shared: &mut Shared,
    ) -> bool {
        match self.nonces.get_mut(from) {
            Some((own, heard)) if *own == nonce => {
                *heard = now;
                self.fed.get_mut(from).is_some_and(|reader| {
                    let blocked = reader.blocked();
                    reader.take(told);
                    blocked
                })
            }
            Some((own, _)) if *own > nonce => false,
            _ => {
                // It believes that it is fed from here: a former life of this process did.
                shared.send(
                    from,
                    Message::Elsewhere {
                        branch: self.branch.clone(),
                        nonce,
                        to: None,
                    },
                );
                false
            }
        }
    }

    /// Tells each what it may be told: called when the ring has more, and for one that has room again.
    pub fn pump(&mut self, now: Time, ring: &Ring, only: Option<&Peer>, shared: &mut Shared) {
        if now < self.speaks || !self.open() {
            return;
        }
        let Role {
            fed,
            nonces,
            branch,
            ..
        } = self;
        let mut tell = |peer: &Peer, run: crate::readers::Run| {
            let Some((nonce, _)) = nonces.get(peer) else {
                return;
            };
            let first = if planted(Fault::Renumbers) {
                1
            } else {
                run.first
            };
            let message = Message::News {
                branch: branch.clone(),
                nonce: *nonce,
                first,
                events: run.events,
            };
            shared.send(peer, message);
        };
        match only {
            // Between processes what the ring has no longer is told as lost, whatever becomes of the readers there.
            Some(peer) => drop(fed.pump_one(now, peer, ring, Slow::Skip, &mut tell)),
            None => {
                fed.pump(now, ring, Slow::Skip, tell);
                self.pumped = ring.place();
            }
        }
    }

    /// `ready`: what is upstream has spoken, so that a beat says the truth.
    pub fn tick(&mut self, now: Time, ready: bool, shared: &mut Shared) {
        if !self.open() {
            return;
        }
        let gone: Vec<Peer> = (self.nonces.iter())
            .filter(|(_, (_, heard))| now > heard + GONE * self.stream.patience)
            .map(|(peer, _)| peer.clone())
            .collect();
        gone.iter().for_each(|peer| self.drop_one(now, peer));
        let lingered = self
            .empty
            .is_some_and(|at| now >= at + LINGER * shared.setup.lease);
        if self
            .over
            .is_some_and(|until| now >= until || self.fed.is_empty())
        {
            return self.close();
        }
        if lingered && !planted(Fault::NeverCloses) {
            self.hand_over(now, None, shared);
            return self.close();
        }
        if self.claim.as_ref().is_some_and(|claim| now >= claim.next) {
            self.ask(now, shared);
        }
        if now >= self.beat_at {
            let beat = beat(&self.stream);
            self.beat_at = now + beat;
            if !ready || now < self.speaks {
                return;
            }
            for (peer, reader) in self
                .fed
                .iter_mut()
                .filter(|(_, reader)| now >= reader.told_at + beat / 2)
            {
                let Some((nonce, _)) = self.nonces.get(peer) else {
                    continue;
                };
                let (branch, told) = (self.branch.clone(), reader.told());
                shared.send(
                    peer,
                    Message::Beat {
                        branch,
                        nonce: *nonce,
                        told,
                    },
                );
            }
        }
    }

    pub fn due(&self) -> Option<Time> {
        let claim = self.claim.as_ref().map(|claim| claim.next);
        self.open()
            .then(|| claim.into_iter().chain([self.beat_at]).min())
            .flatten()
    }
}
