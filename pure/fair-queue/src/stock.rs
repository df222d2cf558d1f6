//! The slots that this process holds, each until an expiry on its own clock. A slot in use is not returned, and no
//! slot is used past the expiry of its lease.

use crate::planted::{planted, Fault};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A slot that this process holds.
#[derive(Clone, Copy, Debug)]
struct LeasedSlot {
    /// Number of the claim that acquired the slot. A later tenure of the same slot has a greater one.
    tenure: u64,
    expires_at: Time,
    in_use: bool,
}

/// A slot that is returned, with the tenure that ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnedSlot {
    pub slot: u16,
    pub tenure: u64,
}

/// A slot in use.
#[derive(Debug, PartialEq, Eq)]
pub struct TakenSlot {
    pub slot: u16,
    /// When whatever runs under the slot must have ended (us).
    pub expires_at: Time,
}

/// The slots of one pool that this process holds.
#[derive(Debug, Default)]
pub struct HeldSlots {
    slots: BTreeMap<u16, LeasedSlot>,
    /// Idle slots, in order of expiry.
    idle: BTreeSet<(Time, u16)>,
    /// The last tenure returned, by slot: an event of that tenure or an earlier one arrives late and is ignored.
    returned: BTreeMap<u16, u64>,
    /// The most slots to hold; slots beyond it are returned as they become idle.
    limit: Option<usize>,
}

impl HeldSlots {
    /// Slots without a lease, for a pool that only this process uses.
    pub fn unleased(slots: u16) -> HeldSlots {
        let mut held = HeldSlots::default();
        (0..slots).for_each(|slot| held.hold(slot, 0, Time::MAX));
        held
    }

    /// Adds a slot, or extends one that is held.
    pub fn hold(&mut self, slot: u16, tenure: u64, expires_at: Time) {
        if self
            .returned
            .get(&slot)
            .is_some_and(|returned| tenure <= *returned)
        {
            return;
        }
        let slot_state = self.slots.entry(slot).or_insert(LeasedSlot {
            tenure,
            expires_at,
            in_use: false,
        });
        let old_expiry = slot_state.expires_at;
        slot_state.tenure = slot_state.tenure.max(tenure);
        slot_state.expires_at = slot_state.expires_at.max(expires_at);
        if !slot_state.in_use {
            self.idle.remove(&(old_expiry, slot));
            self.idle.insert((slot_state.expires_at, slot));
        }
    }

    /// Number of slots in use, and of idle slots that may be used for `duration` (us) from now on.
    pub fn usable(&self, now: Time, duration: Time) -> usize {
        let end = now.saturating_add(duration);
        let too_short = match planted(Fault::UsedPastLease) {
            true => 0,
            false => self
                .idle
                .iter()
                .take_while(|(expires_at, _)| *expires_at < end)
                .count(),
        };
        self.slots.len() - too_short
    }

    /// Number of idle slots, expired ones included.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    pub fn slots_in_use(&self) -> usize {
        self.slots.len() - self.idle.len()
    }

    /// Takes the idle slot with the latest expiry; `None` if none can be used for `duration` (us).
    pub fn take(&mut self, now: Time, duration: Time) -> Option<TakenSlot> {
        let (expires_at, slot) = self.idle.last().copied()?;
        if now.saturating_add(duration) > expires_at && !planted(Fault::UsedPastLease) {
            return None;
        }
        self.idle.remove(&(expires_at, slot));
        self.slots.get_mut(&slot)?.in_use = true;
        let expires_at = if planted(Fault::UsedPastLease) {
            Time::MAX
        } else {
            expires_at
        };
        Some(TakenSlot { slot, expires_at })
    }

    /// Puts back a slot whose request ended. Returns the slot if it is to go back to the fleet, being above the
    /// limit.
    pub fn put_back(&mut self, taken: TakenSlot) -> Option<ReturnedSlot> {
        let slot_state = self.slots.get_mut(&taken.slot)?;
        slot_state.in_use = false;
        self.idle.insert((slot_state.expires_at, taken.slot));
        self.limit
            .is_some_and(|limit| self.slots.len() > limit)
            .then(|| self.return_slot(taken.slot))?
    }

    /// Removes a slot that goes back to the fleet.
    fn return_slot(&mut self, slot: u16) -> Option<ReturnedSlot> {
        if planted(Fault::SlotReturnedTwice) {
            return self.slots.get(&slot).map(|slot_state| ReturnedSlot {
                slot,
                tenure: slot_state.tenure,
            });
        }
        let slot_state = self.slots.remove(&slot)?;
        self.idle.remove(&(slot_state.expires_at, slot));
        self.returned.insert(slot, slot_state.tenure);
        Some(ReturnedSlot {
            slot,
            tenure: slot_state.tenure,
        })
    }

    /// Limits how many slots are held. Returns the idle slots beyond the limit, which go back to the fleet.
    pub fn set_limit(&mut self, limit: usize) -> Vec<ReturnedSlot> {
        self.limit = Some(limit);
        let excess = self.slots.len().saturating_sub(limit);
        let idle: Vec<u16> = self
            .idle
            .iter()
            .map(|(_, slot)| *slot)
            .take(excess)
            .collect();
        idle.into_iter()
            .filter_map(|slot| self.return_slot(slot))
            .collect()
    }

    /// Drops idle slots whose lease has expired. A slot in use is dropped after it was put back.
    pub fn expire(&mut self, now: Time) {
        while let Some((expires_at, slot)) = self
            .idle
            .first()
            .copied()
            .filter(|(expires_at, _)| *expires_at <= now)
        {
            self.idle.remove(&(expires_at, slot));
            self.slots.remove(&slot);
        }
    }

    /// Slots whose lease has not expired, so that no other process holds them, each with whether it is in use.
    pub fn unexpired(&self, now: Time) -> impl Iterator<Item = (u16, bool)> + '_ {
        self.slots
            .iter()
            .filter(move |(_, s)| now < s.expires_at)
            .map(|(at, s)| (*at, s.in_use))
    }
}

#[cfg(test)]
mod tests;
