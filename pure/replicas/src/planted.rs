//! Planted faults: each switches off one rule of this crate, and a test must find it. Only built with the
//! feature `planted`. One fault at a time is planted, for the whole process, as model checkers start threads.

use std::sync::atomic::{AtomicU8, Ordering};

/// A rule that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// A quorum is a majority of the replicas that seem alive.
    QuorumOfAliveReplicas = 1,
    /// A replica that lost its state votes at once.
    VoteAfterStateLoss,
    /// The holder's lease counts from the reply.
    LeaseFromReply,
    /// The holder's lease is as long as the granter's.
    LeaseNotShortened,
}

static PLANTED: AtomicU8 = AtomicU8::new(0);

/// Plants a fault until the guard is dropped.
pub fn plant(fault: Fault) -> Guard {
    PLANTED.store(fault as u8, Ordering::SeqCst);
    Guard
}

/// Removes the planted fault when it is dropped.
pub struct Guard;

impl Drop for Guard {
    fn drop(&mut self) {
        PLANTED.store(0, Ordering::SeqCst);
    }
}

/// Whether this fault is planted. The holders of leases check [`Fault::LeaseFromReply`] themselves, as their code
/// decides from when a lease counts.
pub fn is_planted(fault: Fault) -> bool {
    PLANTED.load(Ordering::SeqCst) == fault as u8
}
