//! The owner's side: it writes the record at the replicas before anything may run and before anybody is answered, renews its
//! lease, and stops where that is lost. What it writes counts when two replicas have it.

use crate::claim::{answered, Claim};
use crate::holding::Holding;
use crate::join::expire;
use crate::message::{Event, Message, Verdict};
use crate::part::At;
use crate::record::{Answer, Ballot, Key, Record, Repeat};
use crate::setup::Fault;
use crate::timers::Timers;
use foldmux_replicas::{Peer, Time};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct Owner {
    pub claims: BTreeMap<Key, Claim>,
    pub held: BTreeMap<Key, Holding>,
    pub timers: Timers,
    pub leaving: bool,
    drawn: u64,
}

impl Owner {
    pub fn new(seed: u64) -> Owner {
        Owner {
            drawn: seed,
            ..Owner::default()
        }
    }

    pub fn len(&self) -> usize {
        self.claims.len() + self.held.len()
    }

    /// Up to `most`, so that two that collide don't do so again.
    pub fn draw(&mut self, most: Time) -> Time {
        self.drawn = mixed(self.drawn);
        self.drawn % (most + 1)
    }

    pub fn arm(&mut self, key: Key) {
        let claim = self.claims.get(&key).map(Claim::due);
        self.timers
            .set(key, claim.or_else(|| self.held.get(&key).map(Holding::due)));
    }

    pub fn repeat(at: &At, record: &Record) -> Repeat {
        at.setup
            .rules
            .get(&record.work.class)
            .map_or(Repeat::SingleShot, |rule| rule.repeat)
    }

    /// A replica said yes to a claim that two others had already granted, or was told of the key anew.
    pub fn late_grant(&mut self, at: &mut At, from: &Peer, key: Key, verdict: Verdict) {
        let Some(holding) = self.held.get_mut(&key) else {
            return;
        };
        let Some(place) = holding.replicas.iter().position(|replica| replica == from) else {
            return;
        };
        if verdict == Verdict::Yes {
            holding.has_work[place] = true;
            holding.renew(at, key, place);
        }
    }

    pub fn noted(
        &mut self,
        at: &mut At,
        from: &Peer,
        key: Key,
        ballot: &Ballot,
        stamp: Time,
        (verdict, version): (Verdict, u32),
    ) {
        let Some(holding) = self.held.get_mut(&key) else {
            return;
        };
        if *ballot != holding.ballot {
            return;
        }
        let Some(place) = holding.replicas.iter().position(|replica| replica == from) else {
            return;
        };
        match verdict {
            Verdict::Yes => {
                let stamp = if at.setup.planted(Fault::LeaseFromReply) {
                    at.now
                } else {
                    stamp.min(at.now)
                };
                holding.stamps[place] = holding.stamps[place].max(Some(stamp));
                holding.acked[place] = holding.acked[place].max(version);
                holding.has_work[place] = true;
                holding.relet(at);
                return self.settle(at, key);
            }
            Verdict::Higher => holding.refused[place] = true,
            Verdict::Unknown => {
                holding.has_work[place] = false;
                let work = Some(holding.record.work.clone());
                let (ballot, left) = (holding.ballot.clone(), holding.until.saturating_sub(at.now));
                at.send(
                    from,
                    Message::Claim {
                        key,
                        ballot,
                        work,
                        left,
                    },
                );
                return;
            }
            Verdict::Full => holding.refused[place] = true,
            Verdict::NoVote | Verdict::Busy { .. } => return,
        }
        if holding.refused.iter().filter(|refused| **refused).count() >= 2 {
            self.lose(at, key);
        }
    }

    /// What two replicas have by now is answered.
    fn settle(&mut self, at: &mut At, key: Key) {
        let Some(holding) = self.held.get_mut(&key) else {
            return;
        };
        let mut done = false;
        let mut pending = std::mem::take(&mut holding.pending);
        pending.retain(|one| {
            let one_is_enough = one.intends && at.setup.planted(Fault::IntendedAtOneSeat);
            if holding.quorum(one.version) < if one_is_enough { 1 } else { 2 } {
                return true;
            }
            done |= !one.intends;
            one.ticket
                .iter()
                .for_each(|ticket| at.tell(Event::Written { ticket: *ticket }));
            false
        });
        holding.pending = pending;
        if done {
            self.finish(at, key);
        } else {
            self.arm(key);
        }
    }

    /// The final answer is kept: all that wait here have it.
    pub fn finish(&mut self, at: &mut At, key: Key) {
        let Some(holding) = self.held.remove(&key) else {
            return;
        };
        holding.lease.set(0);
        let lost = holding.pending.iter().filter_map(|p| p.ticket);
        lost.for_each(|ticket| at.tell(Event::Lost { ticket }));
        let answer = holding.record.answer.unwrap_or(Answer::Failed);
        holding
            .waiters
            .iter()
            .for_each(|one| answered(at, one.ticket, &answer));
        self.arm(key);
    }

    /// Another owns it, or may.
    pub fn lose(&mut self, at: &mut At, key: Key) {
        let Some(holding) = self.held.remove(&key) else {
            return;
        };
        holding.lease.set(0);
        let lost = holding.pending.iter().filter_map(|p| p.ticket);
        lost.for_each(|ticket| at.tell(Event::Lost { ticket }));
        self.rejoin(at, key, holding.record.work, holding.waiters);
    }

    pub fn tick(&mut self, at: &mut At, key: Key) {
        self.tick_claim(at, key);
        let Some(holding) = self.held.get_mut(&key) else {
            return self.arm(key);
        };
        expire(at, &mut holding.waiters, true);
        if holding.until <= at.now {
            holding.release(at, key, true);
            return self.lose(at, key);
        }
        if holding.acked.iter().any(|v| *v < holding.record.version) && holding.resend <= at.now {
            holding.resend = at.now + at.setup.resend();
            let behind =
                |i: &usize| !holding.refused[*i] && holding.acked[*i] < holding.record.version;
            (0..3).filter(behind).for_each(|i| holding.send(at, key, i));
        }
        if holding.renews <= at.now {
            holding.renews = at.now + at.setup.lease / 3;
            for place in (0..3).filter(|i| !holding.refused[*i]) {
                holding.renew(at, key, place);
            }
        }
        self.arm(key);
    }
}

/// SplitMix64.
fn mixed(state: u64) -> u64 {
    let mut z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
