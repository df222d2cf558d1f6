//! A simulator: processes, clients and an archive in virtual time, on links that lose, duplicate and delay messages and
//! that are cut. All randomness comes from one seed. [`Summary`] tells what happened.
#![allow(dead_code)]

pub mod actions;
pub mod archive;
pub mod client;
pub mod plans;
pub mod request_thread;
pub mod schedule;
pub mod simulation;

use foldmux_replicas::{ClockDrift, Peer, ReplicaSet};
use foldmux_takeover::{
    ClassPolicy, Fault, Repeatability, Setup, UnclaimedPolicy, UnreplicatedPolicy,
};
use std::sync::Arc;

pub const MS: u64 = 1_000;
/// How long the archive drops repeats.
pub const ARCHIVE_WINDOW: u64 = 2_000 * MS;
/// How long a proxy repeats requests: shorter than the archive's window by a round trip and the clock drift.
pub const REPEAT_WINDOW: u64 = 1_900 * MS;
/// The deadline of every client.
pub const MAX_DEADLINE: u64 = 4_000 * MS;

/// Something that a plan makes happen. Processes are numbered; a number is taken modulo their count.
#[derive(Clone, Debug)]
pub enum Action {
    /// A new client sends its request to a process.
    ClientRequest {
        key: u8,
        at: u8,
    },
    Kill {
        target: u8,
        /// The time until it restarts without its state; it stays dead if this is 0.
        restart: u64,
    },
    Pause {
        target: u8,
        span: u64,
    },
    /// Cuts a link in one direction or both.
    Cut {
        from: u8,
        to: u8,
        both: bool,
        span: u64,
    },
    /// Cuts a process off from all others, but not from the archive and its clients.
    Isolate {
        target: u8,
        span: u64,
    },
    ShutDown {
        target: u8,
    },
}

/// What a simulation does.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub processes: usize,
    /// Each with its time from the start (us).
    pub actions: Vec<(u64, Action)>,
    /// Messages that are lost, per thousand.
    pub lost: u64,
    /// Messages that are duplicated, per thousand.
    pub duplicated: u64,
    /// Of a message, but for those that come very late.
    pub max_delay: u64,
    /// The archive rejects old terms. Then a sender may also be delayed in the middle of a send.
    pub terms: bool,
    /// Replicas abstain also after their first start, as those that lost their state do.
    pub state_lost: bool,
    pub planted: Option<Fault>,
}

impl Plan {
    pub fn new(seed: u64) -> Plan {
        Plan {
            seed,
            processes: 5,
            actions: Vec::new(),
            lost: 0,
            duplicated: 0,
            max_delay: 2 * MS,
            terms: false,
            state_lost: false,
            planted: None,
        }
    }

    /// Adds an action, at this time from the start (ms).
    pub fn at(mut self, ms: u64, action: Action) -> Plan {
        self.actions.push((ms * MS, action));
        self
    }
}

/// What happened in a simulation: breaches of invariants, and counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Requests that ran at the archive.
    pub ran: usize,
    /// Requests that ran more than once.
    pub ran_twice: usize,
    /// Requests with two different answers.
    pub two_answers: usize,
    /// Sends of an attempt while another process might send one, too.
    pub concurrent_leases: usize,
    /// Terms that two owners had.
    pub shared_terms: usize,
    pub tickets_unanswered: usize,
    pub tickets_answered_twice: usize,
    /// Clients that got no answer by their deadline.
    pub unanswered: usize,
    pub answered: usize,
    pub failed: usize,
    pub took_over: usize,
    /// The longest time from the loss of a key's owner to the next attempt.
    pub longest_takeover: u64,
    pub messages: u64,
    /// Requests that are still owned or being acquired at the end.
    pub requests_left: usize,
}

impl Summary {
    /// Whether no invariant was breached.
    pub fn is_sound(&self) -> bool {
        let breaches = [
            self.ran_twice,
            self.two_answers,
            self.concurrent_leases,
            self.shared_terms,
        ];
        breaches == [0; 4] && self.tickets_unanswered == 0 && self.tickets_answered_twice == 0
    }
}

pub fn name(index: usize) -> Peer {
    Peer::new(&format!("n{index}"))
}

pub fn policy(repeatability: Repeatability) -> ClassPolicy {
    ClassPolicy {
        unreplicated: UnreplicatedPolicy::Reject,
        unclaimed: UnclaimedPolicy::Finish,
        retention: MAX_DEADLINE,
        repeatability,
    }
}

pub fn setup(plan: &Plan, index: usize, session: u64, state_recovered: bool) -> Setup {
    let mut once = policy(Repeatability::SingleShot);
    once.unclaimed = UnclaimedPolicy::Release;
    let policies = [
        (
            "keyed",
            policy(Repeatability::Keyed {
                window: REPEAT_WINDOW,
            }),
        ),
        ("once", once),
        ("safe", policy(Repeatability::Safe)),
    ];
    Setup {
        name: name(index),
        session,
        replicas: ReplicaSet::new((0..plan.processes.max(3)).map(name)).unwrap(),
        policies: policies
            .into_iter()
            .map(|(class, policy)| (Arc::from(class), policy))
            .collect(),
        lease: 500 * MS,
        drift: ClockDrift::from_percent(1.0).unwrap(),
        max_deadline: MAX_DEADLINE,
        state_recovered,
        max_records: 1_000,
        max_record_bytes: 1 << 20,
        max_requests: 1_000,
        max_waiters: 100,
        seed: plan.seed ^ session,
        #[cfg(feature = "planted")]
        planted: plan.planted,
    }
}

/// The SplitMix64 generator.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number from 0 to `max`.
    pub fn up_to(&mut self, max: u64) -> u64 {
        self.next() % (max + 1)
    }

    /// Whether an event of this probability, in thousandths, happens.
    pub fn chance_per_mille(&mut self, probability: u64) -> bool {
        self.next() % 1_000 < probability
    }
}
