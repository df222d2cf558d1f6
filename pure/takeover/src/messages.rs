//! The messages between processes. They are encoded with postcard: the order of variants and fields is the
//! wire format, their names are not.

use crate::record::{Answer, Attempt, Ballot, Key, Record, Request};
use foldmux_replicas::{Micros, Time};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message between an owner and a replica of its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a replica: the sender wants to own this key. It carries the request, so that the record begins with
    /// the acquisition.
    Acquire {
        /// The request's key.
        key: Key,
        /// The ballot that is to be granted.
        ballot: Ballot,
        /// The request, unless the sender knows only the key.
        request: Option<Arc<Request>>,
        /// Until the client gives up.
        time_left: Micros,
    },
    /// The reply to [`Message::Acquire`].
    AcquireReply {
        /// The request's key.
        key: Key,
        /// The ballot of the acquisition.
        ballot: Ballot,
        /// Whether it is granted.
        verdict: Verdict,
        /// The ballot that the replica has promised.
        promised: Ballot,
        /// The replica's record, if the ballot is granted or the record has its answer.
        record: Option<Record>,
    },
    /// To a replica: the record as it is now.
    Write {
        /// The request's key.
        key: Key,
        /// The owner's ballot.
        ballot: Ballot,
        /// The owner's clock when it sent this. The reply returns it, and only the owner interprets it.
        sent_at: Time,
        /// What is written.
        write: RecordWrite,
    },
    /// To a replica: the owner renews its lease.
    Renew {
        /// The request's key.
        key: Key,
        /// The owner's ballot.
        ballot: Ballot,
        /// As in [`Message::Write`].
        sent_at: Time,
    },
    /// The reply to [`Message::Write`] and [`Message::Renew`].
    WriteReply {
        /// The request's key.
        key: Key,
        /// The owner's ballot.
        ballot: Ballot,
        /// As the message that is replied to has it.
        sent_at: Time,
        /// Whether it is accepted.
        verdict: Verdict,
        /// The version that the replica holds under this ballot.
        version: u32,
    },
    /// To a replica: the owner releases the key.
    Release {
        /// The request's key.
        key: Key,
        /// The owner's ballot.
        ballot: Ballot,
        /// No successor is needed.
        abandoned: bool,
    },
    /// From a replica to the next in line: this key has no owner any more.
    TakeOver {
        /// The request's key.
        key: Key,
    },
    /// From a replica to a process that waits for this key: try again.
    Changed {
        /// The request's key.
        key: Key,
    },
}

/// A record under its owner's ballot, as written to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordWrite {
    /// Counts the writes under one ballot.
    pub version: u32,
    /// The request, unless the replica has it.
    pub request: Option<Arc<Request>>,
    /// Until the client gives up.
    pub time_left: Micros,
    /// All attempts.
    pub attempts: Vec<Attempt>,
    /// The final answer.
    pub answer: Option<Answer>,
}

/// A replica's decision on an acquisition, a write or a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// Granted, or accepted.
    Granted,
    /// Another owner's lease is active.
    Leased {
        /// Until it expires.
        time_left: Micros,
    },
    /// A higher ballot has been promised.
    HigherTerm,
    /// The replica lost its state, and may not vote yet.
    Abstained,
    /// The replica has no capacity for the record.
    Full,
    /// The replica does not know the key, or not its request.
    Unknown,
}

/// The content of [`Message::AcquireReply`].
#[derive(Clone, Debug)]
pub(crate) struct AcquireReply {
    pub verdict: Verdict,
    pub promised: Ballot,
    pub record: Option<Record>,
}

impl AcquireReply {
    /// A reply that carries neither a promise nor a record.
    pub fn without_promise(verdict: Verdict) -> AcquireReply {
        AcquireReply {
            verdict,
            promised: Ballot::none(),
            record: None,
        }
    }
}
