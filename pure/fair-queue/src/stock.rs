//! The slots that this process holds, as it uses them: each until an end on its own clock. One in use is not given back,
//! and none is used for longer than it is surely held.

use crate::planted::{planted, Fault};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
struct Slot {
    turn: u64,
    until: Time,
    used: bool,
}

/// A slot that is given back, by the turn in which it was held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gave {
    pub slot: u16,
    pub turn: u64,
}

/// One slot in use.
#[derive(Debug, PartialEq, Eq)]
pub struct Taken {
    pub slot: u16,
    /// What runs under it ends by then.
    pub until: Time,
}

#[derive(Debug, Default)]
pub struct Stock {
    slots: BTreeMap<u16, Slot>,
    /// By their ends.
    idle: BTreeSet<(Time, u16)>,
    /// By slot, the last turn that was given back: word of it that comes later is old.
    given: BTreeMap<u16, u64>,
    /// More than these are given back as they become idle.
    most: Option<usize>,
}

impl Stock {
    /// Slots that no lease bounds: of a pool that is this process's alone.
    pub fn own(slots: u16) -> Stock {
        let mut stock = Stock::default();
        (0..slots).for_each(|slot| stock.held(slot, 0, Time::MAX));
        stock
    }

    /// A slot is held, or held for longer.
    pub fn held(&mut self, slot: u16, turn: u64, until: Time) {
        if self.given.get(&slot).is_some_and(|given| turn <= *given) {
            return;
        }
        let own = self.slots.entry(slot).or_insert(Slot {
            turn,
            until,
            used: false,
        });
        let was = own.until;
        own.turn = own.turn.max(turn);
        own.until = own.until.max(until);
        if !own.used {
            self.idle.remove(&(was, slot));
            self.idle.insert((own.until, slot));
        }
    }

    /// In use, and idle ones that may be used for so long.
    pub fn size(&self, now: Time, need: Time) -> usize {
        let end = now.saturating_add(need);
        let short = match planted(Fault::UsedPastItsLease) {
            true => 0,
            false => self
                .idle
                .iter()
                .take_while(|(until, _)| *until < end)
                .count(),
        };
        self.slots.len() - short
    }

    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    pub fn in_use(&self) -> usize {
        self.slots.len() - self.idle.len()
    }

    /// The one that is held for longest.
    pub fn take(&mut self, now: Time, need: Time) -> Option<Taken> {
        let (until, slot) = self.idle.last().copied()?;
        if now.saturating_add(need) > until && !planted(Fault::UsedPastItsLease) {
            return None;
        }
        self.idle.remove(&(until, slot));
        self.slots.get_mut(&slot)?.used = true;
        let until = if planted(Fault::UsedPastItsLease) {
            Time::MAX
        } else {
            until
        };
        Some(Taken { slot, until })
    }

    /// What ran under it has ended.
    pub fn put(&mut self, taken: Taken) -> Option<Gave> {
        let own = self.slots.get_mut(&taken.slot)?;
        own.used = false;
        self.idle.insert((own.until, taken.slot));
        self.most
            .is_some_and(|most| self.slots.len() > most)
            .then(|| self.give(taken.slot))?
    }

    fn give(&mut self, slot: u16) -> Option<Gave> {
        if planted(Fault::SlotReturnedTwice) {
            return self.slots.get(&slot).map(|own| Gave {
                slot,
                turn: own.turn,
            });
        }
        let own = self.slots.remove(&slot)?;
        self.idle.remove(&(own.until, slot));
        self.given.insert(slot, own.turn);
        Some(Gave {
            slot,
            turn: own.turn,
        })
    }

    /// Holds no more than these from now on; the idle ones beyond them are given back at once.
    pub fn keep(&mut self, most: usize) -> Vec<Gave> {
        self.most = Some(most);
        let over = self.slots.len().saturating_sub(most);
        let idle: Vec<u16> = self.idle.iter().map(|(_, slot)| *slot).take(over).collect();
        idle.into_iter()
            .filter_map(|slot| self.give(slot))
            .collect()
    }

    /// Idle slots whose lease is over are gone; those in use go when they are put back.
    pub fn expire(&mut self, now: Time) {
        while let Some((until, slot)) = self
            .idle
            .first()
            .copied()
            .filter(|(until, _)| *until <= now)
        {
            self.idle.remove(&(until, slot));
            self.slots.remove(&slot);
        }
    }

    /// Slots that are surely held, none other may hold them; and whether in use.
    pub fn surely(&self, now: Time) -> impl Iterator<Item = (u16, bool)> + '_ {
        self.slots
            .iter()
            .filter(move |(_, s)| now < s.until)
            .map(|(at, s)| (*at, s.used))
    }
}

#[cfg(test)]
mod tests;
