//! What a process's takeover part is told at its start.

use crate::record::Rules;
use foldmux_replicas::{ClockDrift, Peer, ReplicaSet, Time};

#[derive(Clone, Debug)]
pub struct Setup {
    pub name: Peer,
    /// Which life of the process; no two are alike.
    pub session: u64,
    pub replicas: ReplicaSet,
    /// The covered classes.
    pub rules: Rules,
    pub lease: Time,
    pub drift: ClockDrift,
    /// The longest deadline of a covered class.
    pub longest: Time,
    /// The replica read back all that it had promised; or there was never anything to promise.
    pub memory: bool,
    /// Records that a replica holds, their bytes, and the works that this process owns or waits for.
    pub records: usize,
    pub bytes: usize,
    pub works: usize,
    /// Clients that wait at this process for one key.
    pub waiters: usize,
    pub seed: u64,
    #[cfg(feature = "planted")]
    pub planted: Option<Fault>,
}

/// Faults that tests plant, each of which must be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    NoLeaseCheck,
    IntendedAtOneSeat,
    SuccessorForgets,
    AnswerBeforeKept,
    FreshSeatVotes,
    OldNoteTaken,
    OneGrantIsEnough,
    LeaseFromReply,
    AnyGroup,
    TermGrantedTwice,
    AgeFromArrival,
    SeedOutranks,
}

impl Setup {
    pub(crate) fn planted(&self, fault: Fault) -> bool {
        #[cfg(feature = "planted")]
        return self.planted == Some(fault);
        #[cfg(not(feature = "planted"))]
        {
            let _ = fault;
            false
        }
    }

    /// No promise matters for longer than this: a replica that lost its memory stays silent for so long.
    pub fn window(&self) -> Time {
        let keep = self.rules.values().map(|rule| rule.keep).max().unwrap_or(0);
        self.longest + keep + self.lease
    }

    /// Between a message that may be lost and the same again.
    pub(crate) fn resend(&self) -> Time {
        (self.lease / 10).max(1)
    }
}
