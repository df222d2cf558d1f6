//! The generated steps of the model test.

use crate::common::*;
use foldmux::interface::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
pub enum Step {
    Request {
        class: usize,
        object: u64,
        budget: Time,
    },
    /// An attempt in flight ends; `which` selects it.
    AttemptEnded {
        which: usize,
        outcome: Outcome,
        cache_status: CacheStatus,
    },
    /// A report for an attempt that ended before or was never sent.
    UnknownAttempt {
        id: u64,
        attempt: u8,
        outcome: Outcome,
    },
    ResponseStarted(usize),
    ClientDisconnected(usize),
    AdvanceTime(Time),
    MemberChanged {
        which: usize,
        state: MemberState,
    },
    Purged(u64),
    Restart,
}

fn outcome() -> impl Strategy<Value = Outcome> {
    use Outcome::*;
    prop::sample::select(vec![
        Served,
        Served,
        Served,
        Error,
        Overloaded,
        TimedOut,
        ConnectFailed,
        Reset,
        Cancelled,
        NeverSent,
        Miss,
    ])
}

fn cache_status() -> impl Strategy<Value = CacheStatus> {
    use CacheStatus::*;
    prop::sample::select(vec![
        Unknown,
        Hit,
        Filled,
        SourceRejected,
        SourceFailed,
        SourceMissed,
        OriginFailed,
    ])
}

pub fn step() -> impl Strategy<Value = Step> {
    let state = prop::sample::select(vec![
        MemberState::Ready,
        MemberState::Draining,
        MemberState::Gone,
    ]);
    prop_oneof![
        8 => (0..2usize, 0..6u64, 1..4_000 * MS)
            .prop_map(|(class, object, budget)| Step::Request { class, object, budget }),
        8 => (any::<usize>(), outcome(), cache_status())
            .prop_map(|(which, outcome, cache_status)| Step::AttemptEnded { which, outcome, cache_status }),
        1 => (0..40u64, 0..4u8, outcome())
            .prop_map(|(id, attempt, outcome)| Step::UnknownAttempt { id, attempt, outcome }),
        1 => any::<usize>().prop_map(Step::ResponseStarted),
        1 => any::<usize>().prop_map(Step::ClientDisconnected),
        4 => prop_oneof![1..50 * MS, 1..2_000 * MS].prop_map(Step::AdvanceTime),
        2 => (any::<usize>(), state).prop_map(|(which, state)| Step::MemberChanged { which, state }),
        1 => (0..6u64).prop_map(Step::Purged),
        1 => Just(Step::Restart),
    ]
}
