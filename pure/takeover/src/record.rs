//! The replicated record of one request, and what it proves. Its spans (ages and times left) hold at the time
//! that whoever holds the record keeps beside it: clocks of two processes are never compared.
//!
//! The types that go into messages or to disk are encoded with postcard: the order of variants and fields is
//! the format.

use crate::policy::Repeatability;
use foldmux_replicas::{Micros, Peer};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The most attempts that a record holds. A further one is rejected.
pub const MAX_ATTEMPTS: usize = 16;

/// Identifies a request at whichever process its client retries: a hash of its class and its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(pub u128);

impl Key {
    /// The key as bytes, big endian.
    pub fn bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// The key of a request of this class with this idempotency key.
    pub fn of(class: &str, key: &str) -> Key {
        let mut hasher = blake3::Hasher::new();
        hasher
            .update(&(class.len() as u64).to_be_bytes())
            .update(class.as_bytes())
            .update(key.as_bytes());
        let hash = hasher.finalize();
        Key(u128::from_be_bytes(
            hash.as_bytes()[..16].try_into().expect("16 bytes"),
        ))
    }
}

/// The right to write a record. A higher ballot supersedes a lower one. A replica grants each term once, so no
/// two owners share a term.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Grows with every owner.
    pub term: u64,
    /// The owner.
    pub owner: Peer,
    /// The owner's incarnation.
    pub session: u64,
}

impl Ballot {
    /// Lower than every owner's: under it only the request itself is stored.
    pub fn none() -> Ballot {
        Ballot {
            term: 0,
            owner: Peer::new(""),
            session: 0,
        }
    }
}

/// The request. It never changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// The name of its class.
    pub class: Arc<str>,
    /// The object it is for.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// Its group.
    pub group: u32,
    /// Its size, in thousandths of a KB.
    pub size: u64,
    /// Its idempotency key.
    pub token: Option<Arc<str>>,
    /// The version of the copy that the client holds.
    pub got: Option<Arc<str>>,
    /// Its body.
    pub body: Option<Arc<[u8]>>,
}

impl Request {
    /// What it counts against memory bounds, in bytes.
    pub fn bytes(&self) -> usize {
        let length = |text: &Option<Arc<str>>| text.as_ref().map_or(0, |text| text.len());
        let body = self.body.as_ref().map_or(0, |body| body.len());
        self.class.len() + length(&self.token) + length(&self.got) + body
    }
}

/// How an attempt ended, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It certainly did not run.
    NeverRan,
    /// It ran, or may have run.
    MayHaveRun,
}

/// One attempt of the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The term under which it was begun.
    pub term: u64,
    /// Its number within the term.
    pub number: u8,
    /// The group of caches that it went to.
    pub group: u32,
    /// How it ended, if it has. Without an outcome it may have run.
    pub outcome: Option<AttemptOutcome>,
    /// An upper bound on the time since it was begun.
    pub age: Micros,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.outcome != Some(AttemptOutcome::NeverRan)
    }

    /// Whether it is the attempt with this number under this term.
    pub(crate) fn has_id(&self, term: u64, number: u8) -> bool {
        self.term == term && self.number == number
    }
}

/// The final answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// This content.
    Served(Arc<[u8]>),
    /// The copy that the client holds is current.
    NotModified,
    /// The request failed.
    Failed,
}

impl Answer {
    /// What it counts against memory bounds, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Answer::Served(bytes) => bytes.len(),
            Answer::NotModified | Answer::Failed => 0,
        }
    }
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The ballot under which it was last written.
    pub ballot: Ballot,
    /// Counts the writes under the ballot.
    pub version: u32,
    /// The request.
    pub request: Arc<Request>,
    /// Until the client gives up.
    pub time_left: Micros,
    /// All attempts.
    pub attempts: Vec<Attempt>,
    /// The final answer.
    pub answer: Option<Answer>,
}

/// What a record proves of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// No attempt has run.
    NeverRan,
    /// An attempt may have run, and the request may be repeated.
    Repeatable {
        /// Only within this group, if one is named.
        only_group: Option<u32>,
        /// For this long.
        time_left: Micros,
    },
    /// An attempt may have run, and the request must not be repeated.
    NotRepeatable,
}

impl Record {
    /// The record of a request that no owner has written yet.
    pub fn new(request: Arc<Request>, time_left: Micros) -> Record {
        Record {
            ballot: Ballot::none(),
            version: 0,
            request,
            time_left,
            attempts: Vec::new(),
            answer: None,
        }
    }

    /// The record as it is `by` later.
    pub fn aged(&self, by: Micros) -> Record {
        let mut record = self.clone();
        record.time_left = record.time_left.saturating_sub(by);
        for attempt in &mut record.attempts {
            attempt.age = attempt.age.saturating_add(by);
        }
        record
    }

    /// Orders the writes of a record: by ballot, then by version.
    pub fn write_order(&self) -> (&Ballot, u32) {
        (&self.ballot, self.version)
    }

    /// Raises each attempt's age to that in `others`. A record ages on its way between processes, and an
    /// attempt must never look younger than it is.
    pub fn raise_ages(&mut self, others: &[Attempt]) {
        for attempt in &mut self.attempts {
            for other in others {
                if other.has_id(attempt.term, attempt.number) {
                    attempt.age = attempt.age.max(other.age);
                }
            }
        }
    }

    /// What the record proves.
    pub fn proof(&self, repeatability: Repeatability) -> Proof {
        let mut may_have_run = self.attempts.iter().filter(|a| a.may_have_run());
        let Some(first) = may_have_run.next() else {
            return Proof::NeverRan;
        };
        let window = match repeatability {
            Repeatability::Safe => {
                return Proof::Repeatable {
                    only_group: None,
                    time_left: Micros::MAX,
                }
            }
            Repeatability::SingleShot => return Proof::NotRepeatable,
            Repeatability::Keyed { window } => window,
        };
        let (mut one_group, mut age) = (true, first.age);
        for attempt in may_have_run {
            one_group &= attempt.group == first.group;
            age = age.max(attempt.age);
        }
        // Each group drops repeats of its own attempts alone.
        if !one_group || age >= window {
            return Proof::NotRepeatable;
        }
        Proof::Repeatable {
            only_group: Some(first.group),
            time_left: window - age,
        }
    }

    /// What it counts against memory bounds, in bytes.
    pub fn bytes(&self) -> usize {
        self.request.bytes() + self.answer.as_ref().map_or(0, Answer::bytes)
    }
}
