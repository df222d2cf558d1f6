//! A replica's side: which slots it has granted to whom, and until when on its own clock.

use crate::division::floor;
use crate::planted::{planted, Fault};
use crate::{Peer, Time};
use foldmux_replicas::{ClockDrift, GrantedLease, RecoveryDelay};
use std::collections::BTreeMap;

/// Who wanted more is told of vacant slots for so long (us).
const WANTING: Time = 2_000_000;
/// Of them, so many are remembered.
const PEERS: usize = 256;

#[derive(Clone, Debug)]
struct Lease {
    holder: Peer,
    life: u64,
    /// Of the last claim that it was granted to.
    number: u64,
    granted: GrantedLease,
}

/// This process as a replica of one pool's slots.
#[derive(Debug)]
pub struct Replica {
    lease: Time,
    memory: RecoveryDelay,
    slots: Vec<Option<Lease>>,
    wanting: BTreeMap<Peer, Time>,
}

/// What a replica says to a claim.
#[derive(Debug, Default, PartialEq)]
pub struct Said {
    /// Slots leased to the claim.
    pub granted: Vec<u16>,
    /// Slots of the claim that it does not lease.
    pub refused: Vec<u16>,
    /// Slots that nobody holds, for a claim of more.
    pub vacant: Vec<u16>,
}

impl Replica {
    /// A replica that starts remembers nothing: it grants once all that it may have granted is over.
    pub fn new(now: Time, slots: u16, lease: Time, drift: ClockDrift) -> Replica {
        let memory = match planted(Fault::FreshSeatGrants) {
            true => RecoveryDelay::state_recovered(now),
            false => RecoveryDelay::state_lost(now, &[lease], drift),
        };
        Replica {
            lease,
            memory,
            slots: vec![None; slots as usize],
            wanting: BTreeMap::new(),
        }
    }

    fn running(&self, now: Time) -> impl Iterator<Item = &Lease> {
        self.slots
            .iter()
            .flatten()
            .filter(move |lease| lease.granted.is_active(now))
    }

    fn vacant_at(&self, now: Time, slot: usize) -> bool {
        self.slots.get(slot).is_some_and(|at| {
            at.as_ref()
                .is_none_or(|lease| !lease.granted.is_active(now))
        })
    }

    /// The most that one may hold while others want: each of them keeps its floor.
    fn most(&self, from: &Peer, now: Time) -> usize {
        let others = self
            .wanting
            .iter()
            .filter(|(peer, until)| *peer != from && now < **until)
            .count();
        self.slots.len() - others * floor(self.slots.len(), others + 1)
    }

    pub fn claim(
        &mut self,
        now: Time,
        from: &Peer,
        (life, number): (u64, u64),
        slots: &[u16],
        more: u16,
    ) -> Said {
        if !self.memory.may_vote(now) {
            return Said {
                refused: slots.to_vec(),
                ..Said::default()
            };
        }
        if more == 0 {
            self.wanting.remove(from);
        } else if self.wanting.len() < PEERS || self.wanting.contains_key(from) {
            self.wanting
                .insert(from.clone(), now.saturating_add(WANTING));
        }
        let most = self.most(from, now);
        let mut held = self
            .running(now)
            .filter(|lease| lease.holder == *from)
            .count();
        let mut said = Said::default();
        for slot in slots.iter().take(self.slots.len()) {
            let Some(at) = self.slots.get_mut(*slot as usize) else {
                said.refused.push(*slot);
                continue;
            };
            match at.as_mut().filter(|lease| lease.granted.is_active(now)) {
                // Over its bound, one after the other lapses.
                Some(lease) if lease.holder == *from && lease.life == life && held > most => {
                    held -= 1;
                    said.refused.push(*slot);
                }
                Some(lease) if lease.holder == *from && lease.life == life => {
                    lease.number = lease.number.max(number);
                    lease.granted.renew(now, self.lease);
                    said.granted.push(*slot);
                }
                None if held < most => {
                    let granted = GrantedLease::new(now, self.lease);
                    *at = Some(Lease {
                        holder: from.clone(),
                        life,
                        number,
                        granted,
                    });
                    held += 1;
                    said.granted.push(*slot);
                }
                _ => said.refused.push(*slot),
            }
        }
        said.vacant = self.offer(now, from, more as usize);
        said
    }

    /// Vacant slots for one of those who want: they are dealt out in turn, so that no two go for the same.
    fn offer(&self, now: Time, to: &Peer, most: usize) -> Vec<u16> {
        let wanting: Vec<&Peer> = self
            .wanting
            .iter()
            .filter(|w| now < *w.1)
            .map(|w| w.0)
            .collect();
        let Some(own) = wanting.iter().position(|peer| *peer == to) else {
            return Vec::new();
        };
        let vacant = (0..self.slots.len()).filter(|slot| self.vacant_at(now, *slot));
        vacant
            .filter(|slot| slot % wanting.len() == own)
            .take(most)
            .map(|slot| slot as u16)
            .collect()
    }

    pub fn free(&mut self, from: &Peer, (life, number): (u64, u64), slots: &[u16]) {
        for slot in slots {
            let Some(at) = self.slots.get_mut(*slot as usize) else {
                continue;
            };
            let own = |lease: &&mut Lease| lease.holder == *from && lease.life == life;
            let later =
                |lease: &&mut Lease| lease.number < number || planted(Fault::LateFreeCounts);
            if at.as_mut().filter(own).filter(later).is_some() {
                *at = None;
            }
        }
    }

    /// Those who want more, and what is vacant for each.
    pub fn offers(&mut self, now: Time) -> Vec<(Peer, Vec<u16>)> {
        self.wanting.retain(|_, until| now < *until);
        if !self.memory.may_vote(now) {
            return Vec::new();
        }
        let offers = self
            .wanting
            .keys()
            .map(|peer| (peer.clone(), self.offer(now, peer, self.slots.len())));
        offers.filter(|(_, slots)| !slots.is_empty()).collect()
    }

    pub fn wanted(&self) -> bool {
        !self.wanting.is_empty()
    }
}
