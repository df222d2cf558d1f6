//! A relay's lease: how it is asked for, when it yields to another, when it steps aside.

use crate::context::Shared;
use crate::election::{Candidates, Verdict};
use crate::messages::Message;
use crate::planted::{planted, Fault};
use crate::role::Role;
use foldmux_replicas::{Peer, Time};

impl Role {
    pub(crate) fn ask(&mut self, now: Time, shared: &mut Shared) {
        let asked = shared.nonce();
        let Some(claim) = &mut self.claim else { return };
        claim.ask(now, asked, shared.setup.lease / 3);
        for seat in claim.seats().clone() {
            let message = Message::Claim {
                branch: self.branch.clone(),
                asked,
                lease: shared.setup.lease,
            };
            shared.send(&seat, message);
        }
    }

    pub fn granted(
        &mut self,
        now: Time,
        from: &Peer,
        asked: u64,
        other: Option<Peer>,
        candidates: &Candidates,
        shared: &mut Shared,
    ) {
        let Some(claim) = &mut self.claim else {
            // Asked before it closed: the seat would keep it for one that is no relay.
            if other.is_none() {
                shared.send(
                    from,
                    Message::LetGo {
                        branch: self.branch.clone(),
                    },
                );
            }
            return;
        };
        let other = other.filter(|other| *other != shared.setup.me);
        match claim.answer(from, asked, other, shared.setup.lease, shared.setup.drift) {
            Verdict::Open => {}
            Verdict::Won => (self.instead, self.speaks) = (None, self.speaks.min(now)),
            Verdict::Lost(others) => {
                let waits = |other: &Peer| {
                    self.instead
                        .as_ref()
                        .is_some_and(|(who, until)| who == other && now < *until)
                };
                let same = others.windows(2).all(|pair| pair[0] == pair[1]);
                let before = candidates.rank(&shared.setup.me);
                let yields =
                    |other: &&Peer| !waits(other) && (same || candidates.rank(other) < before);
                if let Some(to) = others
                    .iter()
                    .filter(yields)
                    .min_by_key(|other| candidates.rank(other))
                {
                    self.hand_over(now, Some(to.clone()), shared);
                }
            }
        }
    }

    /// Tells those that it feeds to go elsewhere, feeds them until they have, and lets the lease go at once.
    pub fn hand_over(&mut self, now: Time, to: Option<Peer>, shared: &mut Shared) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        for seat in claim.seats() {
            shared.send(
                seat,
                Message::LetGo {
                    branch: self.branch.clone(),
                },
            );
        }
        for (peer, (nonce, _)) in &self.nonces {
            let (branch, nonce, to) = (self.branch.clone(), *nonce, to.clone());
            if !planted(Fault::LeavesUntold) {
                shared.send(peer, Message::Elsewhere { branch, nonce, to });
            }
        }
        self.over = Some(now + 2 * shared.setup.lease);
        if planted(Fault::LeavesUntold) {
            self.close();
        }
    }

    pub fn step_aside(
        &mut self,
        now: Time,
        wait: Time,
        candidates: &Candidates,
        shared: &mut Shared,
    ) {
        let me = shared.setup.me.clone();
        let Some(next) = candidates.next(now, &shared.dead, &[&me]).cloned() else {
            return;
        };
        self.sits_out = now + wait;
        self.hand_over(now, Some(next), shared);
    }

    /// One that it feeds says that it was late. At half of them it steps aside, at most once in `hold`.
    pub fn was_late(
        &mut self,
        now: Time,
        from: &Peer,
        candidates: &Candidates,
        shared: &mut Shared,
    ) {
        if !self.nonces.contains_key(from) || self.claim.is_none() {
            return;
        }
        let hold = shared.setup.hold;
        self.late.insert(from.clone(), now);
        self.late.retain(|_, at| now < *at + hold);
        // Those that left it for that are counted too.
        let all = self.late.len()
            + self
                .fed
                .iter()
                .filter(|(peer, _)| !self.late.contains_key(*peer))
                .count();
        if self.late.len() * 2 >= all && now >= self.since + hold {
            self.step_aside(now, 5 * hold, candidates, shared);
        }
    }
}
