//! A holder's part: which slots this process has claimed, which of them two of three replicas granted, and until when
//! on its own clock.

use crate::message::MessageBody;
use crate::planted::{planted, Fault};
use crate::stock::ReturnedSlot;
use crate::{Peer, Time};
use foldmux_replicas::{ClockDrift, HeldLease, ReplicaConfiguration, Votes};
use std::collections::{BTreeMap, BTreeSet};

/// Most claims to keep; beyond this the oldest is abandoned.
const MAX_CLAIMS: usize = 32;
/// How long replies to a claim count (us). After that, slots that only a minority granted are released.
const CLAIM_TIMEOUT: Time = 200_000;
/// How often more slots are asked for (us) while no replica offers any.
const REQUEST_INTERVAL: Time = 50_000;

/// A slot that this process holds.
#[derive(Clone, Copy, Debug)]
struct HeldSlot {
    tenure: u64,
    expires_at: Time,
}

/// A recent claim; replies to it count until it is abandoned.
#[derive(Debug)]
struct Claim {
    sent_at: Time,
    votes: BTreeMap<u16, Votes>,
    /// Slots that were not held when the claim was sent.
    acquiring: BTreeSet<u16>,
}

/// This process as a holder of one pool's slots.
#[derive(Debug)]
pub struct Holder {
    pub incarnation: u64,
    lease: Time,
    drift: ClockDrift,
    key: Vec<u8>,
    /// Number of the last message to the replicas.
    number: u64,
    held: BTreeMap<u16, HeldSlot>,
    claims: BTreeMap<u64, Claim>,
    /// Slots that replicas offered as vacant.
    offered: BTreeSet<u16>,
    /// When the held slots were last renewed (us).
    renewed_at: Time,
    /// When the last claim was sent (us).
    requested_at: Option<Time>,
    /// Whether the replicas know this process as one that wants more slots; they offer vacant slots to it until told
    /// otherwise.
    registered: bool,
}

/// A slot that was acquired or renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcquiredSlot {
    pub slot: u16,
    pub tenure: u64,
    pub expires_at: Time,
}

impl Holder {
    /// `key` is that of the pool; it selects the three replicas.
    pub fn new(incarnation: u64, key: u64, lease: Time, drift: ClockDrift) -> Holder {
        Holder {
            incarnation,
            lease,
            drift,
            key: key.to_le_bytes().to_vec(),
            number: 0,
            held: BTreeMap::new(),
            claims: BTreeMap::new(),
            offered: BTreeSet::new(),
            renewed_at: 0,
            requested_at: None,
            registered: false,
        }
    }

    /// Number of slots held, including those whose lease expired since the last step.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// The next message number.
    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Advances timers. Returns the messages to send to each replica. `wanted` is how many more slots are wanted.
    pub fn step(
        &mut self,
        now: Time,
        replicas: &ReplicaConfiguration,
        wanted: usize,
    ) -> Vec<MessageBody> {
        self.held.retain(|_, held| now < held.expires_at);
        let mut messages = Vec::new();
        let timed_out: Vec<u64> = self
            .claims
            .iter()
            .filter(|(_, c)| now >= c.sent_at + CLAIM_TIMEOUT)
            .map(|c| *c.0)
            .collect();
        for number in timed_out.iter().copied() {
            messages.extend(self.abandon_claim(number));
        }
        let renews = now >= self.renewed_at.saturating_add(self.lease / 3) && !self.held.is_empty();
        let pending: BTreeSet<u16> = self
            .claims
            .values()
            .flat_map(|c| c.acquiring.iter().copied())
            .collect();
        let wanted = wanted.saturating_sub(pending.len());
        let available = self
            .offered
            .iter()
            .filter(|s| !self.held.contains_key(s) && !pending.contains(s));
        let acquiring: BTreeSet<u16> = available.take(wanted).copied().collect();
        let requests = wanted > 0
            && self
                .requested_at
                .is_none_or(|requested_at| now >= requested_at.saturating_add(REQUEST_INTERVAL));
        // Slots that are offered to a process that wants none stay idle while others lack them.
        let deregisters = wanted == 0 && std::mem::take(&mut self.registered);
        if !renews && acquiring.is_empty() && !requests && !deregisters {
            return messages;
        }
        if self.claims.len() >= MAX_CLAIMS {
            let oldest = *self
                .claims
                .keys()
                .next()
                .expect("claims are at their limit");
            messages.extend(self.abandon_claim(oldest));
        }
        self.offered.clear();
        self.requested_at = Some(now);
        let mut slots: Vec<u16> = acquiring.iter().copied().collect();
        if renews {
            self.renewed_at = now;
            slots.extend(self.held.keys());
        }
        let (number, additional) = (
            self.next_number(),
            (wanted - acquiring.len()).min(u16::MAX as usize) as u16,
        );
        self.registered = additional > 0;
        if !slots.is_empty() {
            let votes = slots
                .iter()
                .map(|slot| (*slot, replicas.votes(now, &self.key)))
                .collect();
            self.claims.insert(
                number,
                Claim {
                    sent_at: now,
                    votes,
                    acquiring,
                },
            );
        }
        messages.push(MessageBody::Claim {
            incarnation: self.incarnation,
            number,
            slots,
            additional,
        });
        messages
    }

    /// Abandons a claim: releases the slots that only a minority of replicas granted.
    fn abandon_claim(&mut self, number: u64) -> Option<MessageBody> {
        let claim = self.claims.remove(&number)?;
        let slots: Vec<u16> = claim
            .acquiring
            .into_iter()
            .filter(|slot| !self.held.contains_key(slot))
            .collect();
        self.release(slots)
    }

    /// A release of these slots, or `None` if there are none.
    fn release(&mut self, slots: Vec<u16>) -> Option<MessageBody> {
        // Replies to older claims of these slots must not count any more.
        self.claims.values_mut().for_each(|claim| {
            claim.votes.retain(|slot, _| !slots.contains(slot));
            claim.acquiring.retain(|slot| !slots.contains(slot));
        });
        let incarnation = self.incarnation;
        (!slots.is_empty()).then(|| MessageBody::Release {
            incarnation,
            number: self.next_number(),
            slots,
        })
    }

    /// Handles a replica's reply. Returns the slots that are held or renewed by it, and a release to send to each
    /// replica.
    pub fn on_reply(
        &mut self,
        now: Time,
        from: &Peer,
        (number, granted, refused): (u64, &[u16], &[u16]),
    ) -> (Vec<AcquiredSlot>, Option<MessageBody>) {
        let Some(claim) = self.claims.get_mut(&number) else {
            return (Vec::new(), None);
        };
        let counted_from = if planted(Fault::LeaseCountedFromReply) {
            now
        } else {
            claim.sent_at
        };
        let lease = HeldLease::new(counted_from, self.lease, self.drift);
        let (mut acquired, mut rejected) = (Vec::new(), Vec::new());
        for slot in granted {
            let Some(votes) = claim.votes.get_mut(slot) else {
                continue;
            };
            let one_is_enough = votes.grant(from) && planted(Fault::OneGrantIsEnough);
            if (votes.won() || one_is_enough) && lease.is_valid(now) {
                claim.acquiring.remove(slot);
                let held = self.held.entry(*slot).or_insert(HeldSlot {
                    tenure: number,
                    expires_at: 0,
                });
                if lease.expires_at() > held.expires_at {
                    held.expires_at = lease.expires_at();
                    acquired.push(AcquiredSlot {
                        slot: *slot,
                        tenure: held.tenure,
                        expires_at: held.expires_at,
                    });
                }
            }
        }
        for slot in refused {
            let Some(votes) = claim.votes.get_mut(slot) else {
                continue;
            };
            if votes.reject(from) && votes.lost() && claim.acquiring.contains(slot) {
                rejected.push(*slot);
            }
        }
        if claim.acquiring.is_empty() && claim.votes.is_empty() {
            self.claims.remove(&number);
        }
        let message = self.release(rejected);
        (acquired, message)
    }

    /// Notes slots that a replica offered.
    pub fn add_offered(&mut self, slots: Vec<u16>) {
        self.offered.extend(slots);
    }

    /// Releases slots that this process no longer uses.
    pub fn return_slots(&mut self, returned: &[ReturnedSlot]) -> Option<MessageBody> {
        let is_held = |r: &&ReturnedSlot| {
            self.held
                .get(&r.slot)
                .is_some_and(|held| held.tenure == r.tenure)
        };
        let slots: Vec<u16> = returned.iter().filter(is_held).map(|r| r.slot).collect();
        slots.iter().for_each(|slot| {
            self.held.remove(slot);
        });
        self.release(slots)
    }
}

#[cfg(test)]
mod tests;
