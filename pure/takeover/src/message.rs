//! What passes between processes, what a process asks, and what it is told.

use crate::record::{Answer, Attempt, Ballot, End, Key, Proof, Record, Work};
use foldmux_replicas::Time;
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// `stamp`: the asker's clock as it sent, given back as it came; nobody else reads it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a replica: whoever asks would own this key. With the work, so that its record begins with the claim.
    Claim {
        key: Key,
        ballot: Ballot,
        work: Option<Arc<Work>>,
        left: Time,
    },
    /// `seen`: the ballot that the replica has promised. The record is shown where the claim is granted, and where it is done.
    Claimed {
        key: Key,
        ballot: Ballot,
        verdict: Verdict,
        seen: Ballot,
        record: Option<Record>,
    },
    /// To a replica: the record as it is now.
    Note {
        key: Key,
        ballot: Ballot,
        stamp: Time,
        note: Note,
    },
    /// To a replica: the owner is there still.
    Renew {
        key: Key,
        ballot: Ballot,
        stamp: Time,
    },
    /// `version`: what the replica holds under this ballot.
    Noted {
        key: Key,
        ballot: Ballot,
        stamp: Time,
        verdict: Verdict,
        version: u32,
    },
    /// To a replica: the owner stops. `over`: nobody need go on.
    Release {
        key: Key,
        ballot: Ballot,
        over: bool,
    },
    /// From a replica, to the next in line: nobody owns this any more.
    Succeed { key: Key },
    /// From a replica, to whoever waits for this key: look again.
    Changed { key: Key },
}

/// A record under one ballot, as it goes to a replica; without the work where the replica has that.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Note {
    pub version: u32,
    pub work: Option<Arc<Work>>,
    pub left: Time,
    pub attempts: Vec<Attempt>,
    pub answer: Option<Answer>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    Yes,
    /// Another's lease runs for so long.
    Busy {
        left: Time,
    },
    /// A later owner was promised this key.
    Higher,
    /// The replica has no memory of the time before its start.
    NoVote,
    Full,
    /// The replica does not know this key, or not what it is about.
    Unknown,
}

/// What this process asks. Where a ticket is given, it is answered exactly once. `term`: of the record that the asker was
/// told as its own; whoever comes with another is too late.
#[derive(Clone, Debug)]
pub enum Command {
    /// A client has come. `again`: its work was lost to another owner; it waits for that one's answer.
    Claim {
        ticket: u64,
        key: Key,
        work: Arc<Work>,
        left: Time,
        again: bool,
    },
    /// An attempt is to be sent, to this group; `number` counts from the owner's own first.
    Intend {
        ticket: u64,
        key: Key,
        term: u64,
        number: u8,
        group: u32,
    },
    Ended {
        key: Key,
        term: u64,
        number: u8,
        end: End,
    },
    Done {
        ticket: u64,
        key: Key,
        term: u64,
        answer: Answer,
    },
    /// The owner's host stops. `over`: its client was told to come again, and no one need go on.
    LetGo { key: Key, term: u64, over: bool },
    /// The process leaves: all that another could go on with is handed over at once.
    LetGoAll,
}

/// Until when the owner may send, on its own clock; the part writes it, whoever sends reads it right before.
#[derive(Clone, Debug, Default)]
pub struct Lease(Arc<AtomicU64>);

impl Lease {
    pub fn may_send(&self, now: Time) -> bool {
        now < self.until()
    }

    pub fn until(&self) -> Time {
        self.0.load(Ordering::SeqCst)
    }

    /// The same, but no longer one with it.
    pub(crate) fn apart(&self) -> Lease {
        Lease(Arc::new(AtomicU64::new(self.until())))
    }

    pub(crate) fn set(&self, until: Time) {
        self.0.store(until, Ordering::SeqCst);
    }
}

impl PartialEq for Lease {
    fn eq(&self, other: &Lease) -> bool {
        self.until() == other.until()
    }
}

/// What this process is told. All but `Joined` and `TakeOver` answer a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This process owns it: it goes on by what the record proves.
    Mine {
        ticket: u64,
        key: Key,
        record: Record,
        proof: Proof,
        lease: Lease,
    },
    Kept {
        ticket: u64,
        answer: Answer,
    },
    /// It can't be covered, and its class says that it runs so.
    Uncovered {
        ticket: u64,
    },
    /// It can't be covered, or not now; nothing of it was sent by this.
    Refused {
        ticket: u64,
    },
    /// It may have run, and nothing more can be said of it in time.
    Failed {
        ticket: u64,
    },
    /// Two replicas have it.
    Written {
        ticket: u64,
    },
    /// Another owns it, or nobody can say.
    Lost {
        ticket: u64,
    },
    /// News: the ticket waits for another's work; its answer follows.
    Joined {
        ticket: u64,
    },
    /// News: this process owns it, and no client of its own waits.
    TakeOver {
        key: Key,
        record: Record,
        proof: Proof,
        lease: Lease,
    },
}
