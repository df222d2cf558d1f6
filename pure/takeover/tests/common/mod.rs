//! Processes, clients and an archive in virtual time, on links that lose, repeat, delay and cut. All chance is from one
//! seed; what happened is in the verdict.
#![allow(dead_code)]

pub mod acts;
pub mod archive;
pub mod client;
pub mod host;
pub mod plans;
pub mod schedule;
pub mod world;

use foldmux_replicas::{ClockDrift, Peer, ReplicaSet};
use foldmux_takeover::{
    ClassPolicy, Fault, Repeatability, Setup, UnclaimedPolicy, UnreplicatedPolicy,
};
use std::sync::Arc;

pub const MS: u64 = 1_000;
/// How long the archive drops repeats, and what of it a proxy goes by: less the ways and the drift.
pub const WINDOW: u64 = 2_000 * MS;
pub const OWN_WINDOW: u64 = 1_900 * MS;
pub const LONGEST: u64 = 4_000 * MS;

#[derive(Clone, Debug)]
pub enum Act {
    Command {
        key: u8,
        at: u8,
    },
    Kill {
        who: u8,
        restart: u64,
    },
    Pause {
        who: u8,
        span: u64,
    },
    /// One direction alone, or both.
    Cut {
        from: u8,
        to: u8,
        both: bool,
        span: u64,
    },
    /// One process from all others, but not from the archive and its clients.
    Alone {
        who: u8,
        span: u64,
    },
    Leave {
        who: u8,
    },
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub processes: usize,
    pub acts: Vec<(u64, Act)>,
    /// In a thousand messages.
    pub lost: u64,
    pub twice: u64,
    pub delay: u64,
    /// The archive refuses an old term; then a sender may also be held up in the middle of a send.
    pub terms: bool,
    /// ReplicaSet start with no memory, also the first time.
    pub fresh: bool,
    pub planted: Option<Fault>,
}

impl Plan {
    pub fn new(seed: u64) -> Plan {
        Plan {
            seed,
            processes: 5,
            acts: Vec::new(),
            lost: 0,
            twice: 0,
            delay: 2 * MS,
            terms: false,
            fresh: false,
            planted: None,
        }
    }

    pub fn at(mut self, ms: u64, act: Act) -> Plan {
        self.acts.push((ms * MS, act));
        self
    }
}

/// What an invariant's breach was, or what was seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    pub ran: usize,
    pub ran_twice: usize,
    pub two_answers: usize,
    pub two_leases: usize,
    pub one_term_twice: usize,
    pub tickets_unanswered: usize,
    pub tickets_twice: usize,
    /// Clients whose time ended with no answer.
    pub unanswered: usize,
    pub answered: usize,
    pub failed: usize,
    pub took_over: usize,
    /// The longest from the loss of a key's owner to the successor's attempt.
    pub longest: u64,
    pub messages: u64,
    /// Works and claims left at the end.
    pub left: usize,
}

impl Verdict {
    pub fn sound(&self) -> bool {
        let breaches = [
            self.ran_twice,
            self.two_answers,
            self.two_leases,
            self.one_term_twice,
        ];
        breaches == [0; 4] && self.tickets_unanswered == 0 && self.tickets_twice == 0
    }
}

pub fn name(index: usize) -> Peer {
    Peer::new(&format!("n{index}"))
}

pub fn rule(repeat: Repeatability) -> ClassPolicy {
    ClassPolicy {
        unreplicated: UnreplicatedPolicy::Reject,
        unclaimed: UnclaimedPolicy::Finish,
        retention: LONGEST,
        repeatability: repeat,
    }
}

pub fn setup(plan: &Plan, index: usize, session: u64, memory: bool) -> Setup {
    let mut once = rule(Repeatability::SingleShot);
    once.unclaimed = UnclaimedPolicy::Release;
    let rules = [
        ("keyed", rule(Repeatability::Keyed { window: OWN_WINDOW })),
        ("once", once),
        ("safe", rule(Repeatability::Safe)),
    ];
    Setup {
        name: name(index),
        session,
        replicas: ReplicaSet::new((0..plan.processes.max(3)).map(name)).unwrap(),
        policies: rules
            .into_iter()
            .map(|(class, rule)| (Arc::from(class), rule))
            .collect(),
        lease: 500 * MS,
        drift: ClockDrift::from_percent(1.0).unwrap(),
        max_deadline: LONGEST,
        state_recovered: memory,
        max_records: 1_000,
        max_record_bytes: 1 << 20,
        max_requests: 1_000,
        max_waiters: 100,
        seed: plan.seed ^ session,
        #[cfg(feature = "planted")]
        planted: plan.planted,
    }
}

/// SplitMix64, as chance for a test.
pub struct Draw(pub u64);

impl Draw {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn to(&mut self, most: u64) -> u64 {
        self.next() % (most + 1)
    }

    pub fn in_thousand(&mut self, part: u64) -> bool {
        self.next() % 1_000 < part
    }
}
