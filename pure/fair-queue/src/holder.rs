//! A holder's side: which slots this process has claimed, which two of three replicas granted, and until when on its own
//! clock.

use crate::message::Word;
use crate::planted::{planted, Fault};
use crate::stock::Gave;
use crate::{Peer, Time};
use foldmux_replicas::{ClockDrift, HeldLease, ReplicaConfiguration, Votes};
use std::collections::{BTreeMap, BTreeSet};

/// Claims that are out; an older one is given up.
const CLAIMS: usize = 32;
/// A claim for more is undecided for so long at the most (us): then what single replicas granted of it is given back.
const PATIENCE: Time = 200_000;
/// Between two questions for more (us), where no replica speaks up.
const ASK_AGAIN: Time = 50_000;

#[derive(Clone, Copy, Debug)]
struct Own {
    turn: u64,
    until: Time,
}

#[derive(Debug)]
struct Claim {
    sent: Time,
    votes: BTreeMap<u16, Votes>,
    /// Those that were not held when it was sent.
    fresh: BTreeSet<u16>,
}

#[derive(Debug)]
pub struct Holder {
    pub life: u64,
    lease: Time,
    drift: ClockDrift,
    key: Vec<u8>,
    number: u64,
    own: BTreeMap<u16, Own>,
    claims: BTreeMap<u64, Claim>,
    /// Slots that replicas said are vacant.
    offered: BTreeSet<u16>,
    renewed: Time,
    asked: Option<Time>,
    /// The replicas deal vacant slots to this process, until it says that it wants none.
    dealt: bool,
}

/// A slot that is held, for the first time or for longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Won {
    pub slot: u16,
    pub turn: u64,
    pub until: Time,
}

impl Holder {
    pub fn new(life: u64, key: u64, lease: Time, drift: ClockDrift) -> Holder {
        Holder {
            life,
            lease,
            drift,
            key: key.to_le_bytes().to_vec(),
            number: 0,
            own: BTreeMap::new(),
            claims: BTreeMap::new(),
            offered: BTreeSet::new(),
            renewed: 0,
            asked: None,
            dealt: false,
        }
    }

    pub fn held(&self) -> usize {
        self.own.len()
    }

    fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// What goes to each replica. `short`: so many more are wanted.
    pub fn step(&mut self, now: Time, seats: &ReplicaConfiguration, short: usize) -> Vec<Word> {
        self.own.retain(|_, own| now < own.until);
        let mut words = Vec::new();
        let over: Vec<u64> = self
            .claims
            .iter()
            .filter(|(_, c)| now >= c.sent + PATIENCE)
            .map(|c| *c.0)
            .collect();
        for number in over.iter().copied() {
            words.extend(self.give_up(number));
        }
        let renews = now >= self.renewed.saturating_add(self.lease / 3) && !self.own.is_empty();
        let pending: BTreeSet<u16> = self
            .claims
            .values()
            .flat_map(|c| c.fresh.iter().copied())
            .collect();
        let short = short.saturating_sub(pending.len());
        let free = self
            .offered
            .iter()
            .filter(|s| !self.own.contains_key(s) && !pending.contains(s));
        let fresh: BTreeSet<u16> = free.take(short).copied().collect();
        let asks = short > 0
            && self
                .asked
                .is_none_or(|asked| now >= asked.saturating_add(ASK_AGAIN));
        // What is dealt to one that wants none is idle, while others wait for it.
        let enough = short == 0 && std::mem::take(&mut self.dealt);
        if !renews && fresh.is_empty() && !asks && !enough {
            return words;
        }
        if self.claims.len() >= CLAIMS {
            let oldest = *self.claims.keys().next().expect("as many as that");
            words.extend(self.give_up(oldest));
        }
        self.offered.clear();
        self.asked = Some(now);
        let mut slots: Vec<u16> = fresh.iter().copied().collect();
        if renews {
            self.renewed = now;
            slots.extend(self.own.keys());
        }
        let (number, more) = (
            self.number(),
            (short - fresh.len()).min(u16::MAX as usize) as u16,
        );
        self.dealt = more > 0;
        if !slots.is_empty() {
            let votes = slots
                .iter()
                .map(|slot| (*slot, seats.votes(now, &self.key)))
                .collect();
            self.claims.insert(
                number,
                Claim {
                    sent: now,
                    votes,
                    fresh,
                },
            );
        }
        words.push(Word::Claim {
            life: self.life,
            number,
            slots,
            more,
        });
        words
    }

    /// A claim counts no more; what single replicas granted of it, and was not won, is free.
    fn give_up(&mut self, number: u64) -> Option<Word> {
        let claim = self.claims.remove(&number)?;
        let slots: Vec<u16> = claim
            .fresh
            .into_iter()
            .filter(|slot| !self.own.contains_key(slot))
            .collect();
        self.free(slots)
    }

    fn free(&mut self, slots: Vec<u16>) -> Option<Word> {
        // No answer to an older claim may count any more.
        self.claims.values_mut().for_each(|claim| {
            claim.votes.retain(|slot, _| !slots.contains(slot));
            claim.fresh.retain(|slot| !slots.contains(slot));
        });
        let life = self.life;
        (!slots.is_empty()).then(|| Word::Free {
            life,
            number: self.number(),
            slots,
        })
    }

    /// A replica's answer: what is held by it, and what goes to each replica.
    pub fn granted(
        &mut self,
        now: Time,
        from: &Peer,
        (number, slots, refused): (u64, &[u16], &[u16]),
    ) -> (Vec<Won>, Option<Word>) {
        let Some(claim) = self.claims.get_mut(&number) else {
            return (Vec::new(), None);
        };
        let count = if planted(Fault::GrantersClock) {
            now
        } else {
            claim.sent
        };
        let held = HeldLease::new(count, self.lease, self.drift);
        let (mut won, mut lost) = (Vec::new(), Vec::new());
        for slot in slots {
            let Some(votes) = claim.votes.get_mut(slot) else {
                continue;
            };
            let one = votes.grant(from) && planted(Fault::OneSeatIsEnough);
            if (votes.won() || one) && held.is_valid(now) {
                claim.fresh.remove(slot);
                let own = self.own.entry(*slot).or_insert(Own {
                    turn: number,
                    until: 0,
                });
                if held.expires_at() > own.until {
                    own.until = held.expires_at();
                    won.push(Won {
                        slot: *slot,
                        turn: own.turn,
                        until: own.until,
                    });
                }
            }
        }
        for slot in refused {
            let Some(votes) = claim.votes.get_mut(slot) else {
                continue;
            };
            if votes.reject(from) && votes.lost() && claim.fresh.contains(slot) {
                lost.push(*slot);
            }
        }
        if claim.fresh.is_empty() && claim.votes.is_empty() {
            self.claims.remove(&number);
        }
        let word = self.free(lost);
        (won, word)
    }

    pub fn vacant(&mut self, slots: Vec<u16>) {
        self.offered.extend(slots);
    }

    /// This process uses them no more.
    pub fn gave(&mut self, gave: &[Gave]) -> Option<Word> {
        let own = |g: &&Gave| self.own.get(&g.slot).is_some_and(|own| own.turn == g.turn);
        let slots: Vec<u16> = gave.iter().filter(own).map(|g| g.slot).collect();
        slots.iter().for_each(|slot| {
            self.own.remove(slot);
        });
        self.free(slots)
    }
}

#[cfg(test)]
mod tests;
