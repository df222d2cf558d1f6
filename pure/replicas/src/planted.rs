//! Faults planted on purpose: each is a rule of this crate left out, that a test must find. Only behind the
//! feature `planted`; one at a time, for the whole process, as checkers have threads of their own.

use std::sync::atomic::{AtomicU8, Ordering};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// A majority is one of the seats that seem alive.
    MajorityOfTheLiving = 1,
    /// A seat that forgot speaks at once.
    FreshVotes,
    /// The holder's lease counts from the answer.
    CountsFromAnswer,
    /// The holder's lease is as long as the granter's.
    EqualLength,
}

static PLANTED: AtomicU8 = AtomicU8::new(0);

/// Until the guard is dropped.
pub fn plant(fault: Fault) -> Guard {
    PLANTED.store(fault as u8, Ordering::SeqCst);
    Guard
}

pub struct Guard;

impl Drop for Guard {
    fn drop(&mut self) {
        PLANTED.store(0, Ordering::SeqCst);
    }
}

/// Whether it is planted. A holder asks it itself when it counts a lease: that rule is in its own code.
pub fn on(fault: Fault) -> bool {
    PLANTED.load(Ordering::SeqCst) == fault as u8
}
