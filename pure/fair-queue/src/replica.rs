//! A replica's part: which slots it has leased to which process, and until when on its own clock.

use crate::division::guaranteed_slots;
use crate::planted::{planted, Fault};
use crate::{Peer, Time};
use foldmux_replicas::{ClockDrift, GrantedLease, RecoveryDelay};
use std::collections::BTreeMap;

/// How long a process that asked for more slots is offered vacant ones (us).
const REQUEST_EXPIRY: Time = 2_000_000;
/// Most such processes that are remembered.
const MAX_PEERS: usize = 256;

/// A slot's lease at this replica. It may have expired.
#[derive(Clone, Debug)]
struct Lease {
    holder: Peer,
    incarnation: u64,
    /// Number of the last claim that this lease was granted to.
    number: u64,
    granted: GrantedLease,
}

/// This process as a replica of one pool's slots.
#[derive(Debug)]
pub struct Replica {
    lease: Time,
    recovery: RecoveryDelay,
    slots: Vec<Option<Lease>>,
    requesters: BTreeMap<Peer, Time>,
}

/// A replica's reply to a claim.
#[derive(Debug, Default, PartialEq)]
pub struct ClaimReply {
    /// Slots leased to the claim.
    pub granted: Vec<u16>,
    /// Slots of the claim that are not leased to it.
    pub refused: Vec<u16>,
    /// Vacant slots, if the claim asked for more.
    pub vacant: Vec<u16>,
}

impl Replica {
    /// A replica that starts has no state: it grants nothing until every lease that it may have granted before has
    /// expired.
    pub fn new(now: Time, slots: u16, lease: Time, drift: ClockDrift) -> Replica {
        let recovery = match planted(Fault::GrantAfterStateLoss) {
            true => RecoveryDelay::state_recovered(now),
            false => RecoveryDelay::state_lost(now, &[lease], drift),
        };
        Replica {
            lease,
            recovery,
            slots: vec![None; slots as usize],
            requesters: BTreeMap::new(),
        }
    }

    fn active_leases(&self, now: Time) -> impl Iterator<Item = &Lease> {
        self.slots
            .iter()
            .flatten()
            .filter(move |lease| lease.granted.is_active(now))
    }

    fn is_vacant(&self, now: Time, slot: usize) -> bool {
        self.slots.get(slot).is_some_and(|entry| {
            entry
                .as_ref()
                .is_none_or(|lease| !lease.granted.is_active(now))
        })
    }

    /// The most slots that a process may hold while others ask for more: each of these keeps its guaranteed slots.
    fn max_held(&self, from: &Peer, now: Time) -> usize {
        let others = self
            .requesters
            .iter()
            .filter(|(peer, until)| *peer != from && now < **until)
            .count();
        self.slots.len() - others * guaranteed_slots(self.slots.len(), others + 1)
    }

    /// Renews or grants each slot of a claim, or refuses it. `additional` is how many further slots the process wants.
    pub fn claim(
        &mut self,
        now: Time,
        from: &Peer,
        (incarnation, number): (u64, u64),
        slots: &[u16],
        additional: u16,
    ) -> ClaimReply {
        if !self.recovery.may_vote(now) {
            return ClaimReply {
                refused: slots.to_vec(),
                ..ClaimReply::default()
            };
        }
        if additional == 0 {
            self.requesters.remove(from);
        } else if self.requesters.len() < MAX_PEERS || self.requesters.contains_key(from) {
            self.requesters
                .insert(from.clone(), now.saturating_add(REQUEST_EXPIRY));
        }
        let max_held = self.max_held(from, now);
        let mut held = self
            .active_leases(now)
            .filter(|lease| lease.holder == *from)
            .count();
        let mut reply = ClaimReply::default();
        for slot in slots.iter().take(self.slots.len()) {
            let Some(entry) = self.slots.get_mut(*slot as usize) else {
                reply.refused.push(*slot);
                continue;
            };
            match entry.as_mut().filter(|lease| lease.granted.is_active(now)) {
                // A holder above its limit loses the excess: these slots are not renewed.
                Some(lease)
                    if lease.holder == *from
                        && lease.incarnation == incarnation
                        && held > max_held =>
                {
                    held -= 1;
                    reply.refused.push(*slot);
                }
                Some(lease) if lease.holder == *from && lease.incarnation == incarnation => {
                    lease.number = lease.number.max(number);
                    lease.granted.renew(now, self.lease);
                    reply.granted.push(*slot);
                }
                None if held < max_held => {
                    let granted = GrantedLease::new(now, self.lease);
                    *entry = Some(Lease {
                        holder: from.clone(),
                        incarnation,
                        number,
                        granted,
                    });
                    held += 1;
                    reply.granted.push(*slot);
                }
                _ => reply.refused.push(*slot),
            }
        }
        reply.vacant = self.offer_to(now, from, additional as usize);
        reply
    }

    /// Vacant slots to offer to one of the processes that asked for more. Each slot is offered to one of them only,
    /// so that no two claim the same.
    fn offer_to(&self, now: Time, to: &Peer, max: usize) -> Vec<u16> {
        let requesters: Vec<&Peer> = self
            .requesters
            .iter()
            .filter(|w| now < *w.1)
            .map(|w| w.0)
            .collect();
        let Some(rank) = requesters.iter().position(|peer| *peer == to) else {
            return Vec::new();
        };
        let vacant = (0..self.slots.len()).filter(|slot| self.is_vacant(now, *slot));
        vacant
            .filter(|slot| slot % requesters.len() == rank)
            .take(max)
            .map(|slot| slot as u16)
            .collect()
    }

    /// Ends leases that a process released. A release that is older than the lease's last claim is ignored.
    pub fn release(&mut self, from: &Peer, (incarnation, number): (u64, u64), slots: &[u16]) {
        for slot in slots {
            let Some(entry) = self.slots.get_mut(*slot as usize) else {
                continue;
            };
            let is_holder =
                |lease: &&mut Lease| lease.holder == *from && lease.incarnation == incarnation;
            let is_newer =
                |lease: &&mut Lease| lease.number < number || planted(Fault::StaleReleaseAccepted);
            if entry.as_mut().filter(is_holder).filter(is_newer).is_some() {
                *entry = None;
            }
        }
    }

    /// The processes that asked for more slots, each with the vacant ones to offer to it.
    pub fn offers(&mut self, now: Time) -> Vec<(Peer, Vec<u16>)> {
        self.requesters.retain(|_, until| now < *until);
        if !self.recovery.may_vote(now) {
            return Vec::new();
        }
        let offers = self
            .requesters
            .keys()
            .map(|peer| (peer.clone(), self.offer_to(now, peer, self.slots.len())));
        offers.filter(|(_, slots)| !slots.is_empty()).collect()
    }

    /// Whether any process asked for more slots.
    pub fn has_requesters(&self) -> bool {
        !self.requesters.is_empty()
    }
}
