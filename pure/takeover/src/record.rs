//! What is kept of one covered request, and what it proves. Times in it are spans, right at the moment that goes with
//! it: two processes' clocks are never compared.

use foldmux_replicas::{Peer, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Attempts that a record holds; one more is refused.
pub const ATTEMPTS: usize = 16;

/// A request, wherever its client comes again: a hash of its class and its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(pub u128);

impl Key {
    pub fn bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

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

/// Who may write: a later term before an earlier one. A replica grants each term once, so no two owners share one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub term: u64,
    pub owner: Peer,
    /// Which life of the owner.
    pub session: u64,
}

impl Ballot {
    /// Below every owner's: nothing was written under it but the request itself.
    pub fn none() -> Ballot {
        Ballot {
            term: 0,
            owner: Peer::new(""),
            session: 0,
        }
    }
}

/// The request itself; it never changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Work {
    pub class: Arc<str>,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    /// Thousandths of a KB.
    pub size: u64,
    pub token: Option<Arc<str>>,
    pub got: Option<Arc<str>>,
    pub body: Option<Arc<[u8]>>,
}

impl Work {
    pub fn bytes(&self) -> usize {
        let text = |text: &Option<Arc<str>>| text.as_ref().map_or(0, |t| t.len());
        self.class.len()
            + text(&self.token)
            + text(&self.got)
            + self.body.as_ref().map_or(0, |b| b.len())
    }
}

/// How an attempt ended, as far as anyone can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum End {
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The term under which it was intended, and its number there.
    pub term: u64,
    pub number: u8,
    /// The group of caches that it went to.
    pub group: u32,
    /// None: intended, and no more is known.
    pub ended: Option<End>,
    /// Intended no longer ago than this: never too little.
    pub age: Time,
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    Served(Arc<[u8]>),
    /// The copy that the client holds is the one.
    Same,
    Failed,
}

impl Answer {
    pub fn bytes(&self) -> usize {
        match self {
            Answer::Served(bytes) => bytes.len(),
            Answer::Same | Answer::Failed => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Under which it was written, and how often under that.
    pub ballot: Ballot,
    pub version: u32,
    pub work: Arc<Work>,
    /// Until its client gives it up.
    pub left: Time,
    pub attempts: Vec<Attempt>,
    pub answer: Option<Answer>,
}

/// How far a class's attempts may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// Any number of times, anywhere.
    Safe,
    /// Within the group that drops its repeats, for so long after the first.
    Keyed { window: Time },
    /// Only when every earlier attempt is known not to have run.
    SingleShot,
}

/// What a record proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Nothing of it has run.
    NeverRan,
    /// Something may have, and may be repeated: in this group alone, if one is named, and for so long.
    Again { within: Option<u32>, left: Time },
    /// Something may have run, and must not be repeated.
    Over,
}

impl Record {
    /// As nobody has written it yet.
    pub fn new(work: Arc<Work>, left: Time) -> Record {
        Record {
            ballot: Ballot::none(),
            version: 0,
            work,
            left,
            attempts: Vec::new(),
            answer: None,
        }
    }

    /// So much later.
    pub fn aged(&self, by: Time) -> Record {
        let mut record = self.clone();
        record.left = record.left.saturating_sub(by);
        record
            .attempts
            .iter_mut()
            .for_each(|a| a.age = a.age.saturating_add(by));
        record
    }

    pub fn place(&self) -> (&Ballot, u32) {
        (&self.ballot, self.version)
    }

    /// Takes the greater age of each attempt that both know. Guards against the time that a record spent on its way
    /// making an attempt look younger than it is.
    pub fn elder(&mut self, other: &[Attempt]) {
        for one in &mut self.attempts {
            let same = |o: &&Attempt| o.term == one.term && o.number == one.number;
            other
                .iter()
                .filter(same)
                .for_each(|o| one.age = one.age.max(o.age));
        }
    }

    pub fn proof(&self, repeat: Repeat) -> Proof {
        let mut ran = self
            .attempts
            .iter()
            .filter(|a| a.ended != Some(End::NeverRan));
        let Some(first) = ran.next() else {
            return Proof::NeverRan;
        };
        match repeat {
            Repeat::Safe => Proof::Again {
                within: None,
                left: Time::MAX,
            },
            Repeat::SingleShot => Proof::Over,
            Repeat::Keyed { window } => {
                // In two groups no one remembers both.
                let (torn, age) = ran.fold((false, first.age), |(torn, age), a| {
                    (torn || a.group != first.group, age.max(a.age))
                });
                match torn || age >= window {
                    true => Proof::Over,
                    false => Proof::Again {
                        within: Some(first.group),
                        left: window - age,
                    },
                }
            }
        }
    }

    pub fn bytes(&self) -> usize {
        self.work.bytes() + self.answer.as_ref().map_or(0, Answer::bytes)
    }
}

/// What becomes of a request that can't be covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Uncovered {
    Run,
    Refuse,
}

/// What becomes of work whose client has not come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unclaimed {
    Finish,
    LetGo,
}

/// What the operator's file and the settings say of a covered class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rule {
    pub uncovered: Uncovered,
    pub unclaimed: Unclaimed,
    /// How long a final answer is kept.
    pub keep: Time,
    pub repeat: Repeat,
}

pub type Rules = BTreeMap<Arc<str>, Rule>;
