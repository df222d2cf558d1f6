//! Faults planted on purpose, behind the feature `planted`; one at a time, for the whole process.

use std::sync::atomic::{AtomicU8, Ordering};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// Of two lives under one name the one heard last holds.
    AnyLifeHolds = 1,
    /// Whoever leaves is only silent.
    LeavesUntold,
    /// A suspicion that was refuted ends in death all the same, as foca has it.
    RefutedInVain,
}

static PLANTED: AtomicU8 = AtomicU8::new(0);

pub fn plant(fault: Option<Fault>) {
    PLANTED.store(fault.map_or(0, |fault| fault as u8), Ordering::SeqCst);
}

pub(crate) fn on(fault: Fault) -> bool {
    PLANTED.load(Ordering::SeqCst) == fault as u8
}
