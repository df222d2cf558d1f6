//! The commands and events between the state machine and its process, and the owner's lease.

use crate::record::{Answer, AttemptOutcome, Key, Proof, Record, Request};
use foldmux_replicas::{Micros, Time};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A command of this process. Each ticket is answered by exactly one event.
///
/// `term` is that of the record that the process was given. A command under another term is stale.
#[derive(Clone, Debug)]
pub enum Command {
    /// A client's request has arrived.
    Acquire {
        /// Answered by the event that says how the request continues.
        ticket: u64,
        /// The request's key.
        key: Key,
        /// The request.
        request: Arc<Request>,
        /// Until the client gives up.
        time_left: Micros,
        /// This process owned the request and lost it: it waits for the answer of the other owner.
        ownership_lost: bool,
    },
    /// An attempt is about to be sent.
    BeginAttempt {
        /// Answered by [`Event::Committed`] when the attempt may be sent.
        ticket: u64,
        /// The request's key.
        key: Key,
        /// The record's term.
        term: u64,
        /// The attempt's number within the term, from 1.
        number: u8,
        /// The group of caches that it goes to.
        group: u32,
    },
    /// An attempt has ended.
    EndAttempt {
        /// The request's key.
        key: Key,
        /// The record's term.
        term: u64,
        /// The attempt's number.
        number: u8,
        /// Whether it may have run.
        outcome: AttemptOutcome,
    },
    /// The request has its final answer.
    Complete {
        /// Answered by [`Event::Committed`] when the client may be answered.
        ticket: u64,
        /// The request's key.
        key: Key,
        /// The record's term.
        term: u64,
        /// The answer.
        answer: Answer,
    },
    /// The owner stops working on the request.
    Release {
        /// The request's key.
        key: Key,
        /// The record's term.
        term: u64,
        /// The client was told to retry, and no successor is needed.
        abandoned: bool,
    },
    /// The process shuts down: every request that a successor can continue is released.
    ReleaseAll,
}

impl Command {
    /// The ticket that is answered by an event.
    pub fn ticket(&self) -> Option<u64> {
        match self {
            Command::Acquire { ticket, .. }
            | Command::BeginAttempt { ticket, .. }
            | Command::Complete { ticket, .. } => Some(*ticket),
            Command::EndAttempt { .. } | Command::Release { .. } | Command::ReleaseAll => None,
        }
    }
}

/// An event for this process. All but [`Event::Joined`] and [`Event::TakenOver`] answer a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This process owns the request, and continues it as the record proves.
    Acquired {
        /// Of [`Command::Acquire`].
        ticket: u64,
        /// The request's key.
        key: Key,
        /// What is known of the request.
        record: Record,
        /// What the record proves.
        proof: Proof,
        /// Until when attempts may be sent.
        lease: Lease,
    },
    /// The request has a final answer.
    Answered {
        /// Of [`Command::Acquire`].
        ticket: u64,
        /// The answer.
        answer: Answer,
    },
    /// The request can't be replicated, and its class says to run it all the same.
    Unreplicated {
        /// Of [`Command::Acquire`].
        ticket: u64,
    },
    /// The command is rejected, and nothing was sent because of it.
    Rejected {
        /// Of any command.
        ticket: u64,
    },
    /// The request may have run, and its answer did not become known in time.
    Failed {
        /// Of [`Command::Acquire`].
        ticket: u64,
    },
    /// A quorum has stored the write.
    Committed {
        /// Of [`Command::BeginAttempt`] or [`Command::Complete`].
        ticket: u64,
    },
    /// Another process owns the request, or may.
    OwnershipLost {
        /// Of [`Command::BeginAttempt`] or [`Command::Complete`].
        ticket: u64,
    },
    /// The ticket waits for the answer of another owner. Another event answers it.
    Joined {
        /// Of [`Command::Acquire`].
        ticket: u64,
    },
    /// This process owns the request as successor, and none of its clients waits for it.
    TakenOver {
        /// The request's key.
        key: Key,
        /// What is known of the request.
        record: Record,
        /// What the record proves.
        proof: Proof,
        /// Until when attempts may be sent.
        lease: Lease,
    },
}

/// Until when the owner may send attempts, on its own clock. The state machine sets it; the sender checks it
/// right before it sends.
#[derive(Clone, Debug, Default)]
pub struct Lease(Arc<AtomicU64>);

impl Lease {
    /// Whether an attempt may be sent now.
    pub fn may_send(&self, now: Time) -> bool {
        now < self.expires_at()
    }

    /// When it expires.
    pub fn expires_at(&self) -> Time {
        self.0.load(Ordering::SeqCst)
    }

    /// A lease of the same time that is not shared with this one.
    pub(crate) fn detached(&self) -> Lease {
        Lease(Arc::new(AtomicU64::new(self.expires_at())))
    }

    pub(crate) fn set(&self, expires_at: Time) {
        self.0.store(expires_at, Ordering::SeqCst);
    }

    pub(crate) fn revoke(&self) {
        self.set(0);
    }
}

impl PartialEq for Lease {
    fn eq(&self, other: &Lease) -> bool {
        self.expires_at() == other.expires_at()
    }
}
