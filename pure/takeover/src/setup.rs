//! The configuration of the state machine.

use crate::policy::ClassPolicies;
use foldmux_replicas::{ClockDrift, Micros, Peer, ReplicaSet};

/// Messages that may be lost are resent this many times per lease.
const RESENDS_PER_LEASE: Micros = 10;

/// The configuration of a process.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This process.
    pub name: Peer,
    /// Its incarnation; no two are equal.
    pub session: u64,
    /// The processes that the replicas of keys are chosen from.
    pub replicas: ReplicaSet,
    /// The replicated classes.
    pub policies: ClassPolicies,
    /// How long an owner's lease lasts.
    pub lease: Micros,
    /// How far clocks may drift.
    pub drift: ClockDrift,
    /// The longest deadline of a replicated class.
    pub max_deadline: Micros,
    /// The replica recovered everything that it had promised, or never promised anything.
    pub state_recovered: bool,
    /// The most records that the replica holds.
    pub max_records: usize,
    /// The most bytes of all records that the replica holds.
    pub max_record_bytes: usize,
    /// The most requests that this process owns or acquires.
    pub max_requests: usize,
    /// The most clients that wait at this process for one key.
    pub max_waiters: usize,
    /// Seeds the random backoff.
    pub seed: u64,
    /// The planted fault.
    #[cfg(feature = "planted")]
    pub planted: Option<Fault>,
}

/// Planted faults: each breaks one rule, and a test must find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The owner sends without a valid lease.
    NoLeaseCheck,
    /// An attempt is sent once one replica has stored it.
    BeginAtOneReplica,
    /// A successor forgets earlier attempts.
    SuccessorForgets,
    /// The client is answered before the answer is stored.
    AnswerBeforeCommit,
    /// A replica that lost its state votes at once.
    VoteAfterStateLoss,
    /// A write under a superseded ballot is accepted.
    StaleWriteAccepted,
    /// One grant makes an owner.
    OneGrantIsEnough,
    /// The lease counts from the reply.
    LeaseFromReply,
    /// A repeat goes to any group.
    AnyGroup,
    /// A replica grants one term twice.
    TermGrantedTwice,
    /// The age of an attempt counts from the record's arrival.
    AgeFromArrival,
    /// A record that was never written outranks written ones.
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

    /// The longest time for which a promise stays in force. A replica that lost its state abstains for this
    /// long.
    pub fn recovery_window(&self) -> Micros {
        let retentions = self.policies.values().map(|policy| policy.retention);
        self.max_deadline + retentions.max().unwrap_or(0) + self.lease
    }

    /// The time between a message that may be lost and its repetition.
    pub(crate) fn resend_interval(&self) -> Micros {
        (self.lease / RESENDS_PER_LEASE).max(1)
    }
}
