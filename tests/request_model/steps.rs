//! The generated steps.

use crate::common::*;
use foldmux::interface::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
pub enum Step {
    Ask {
        class: usize,
        object: u64,
        budget: Time,
    },
    /// Of one that is out, by its place; it stays unknown where it is lost.
    Ended {
        which: usize,
        outcome: Outcome,
        note: CacheStatus,
    },
    /// Word of one that ended before, or never was.
    Stray {
        id: u64,
        attempt: u8,
        outcome: Outcome,
    },
    Started(usize),
    Gone(usize),
    Pass(Time),
    Member {
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

fn note() -> impl Strategy<Value = CacheStatus> {
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
            .prop_map(|(class, object, budget)| Step::Ask { class, object, budget }),
        8 => (any::<usize>(), outcome(), note())
            .prop_map(|(which, outcome, note)| Step::Ended { which, outcome, note }),
        1 => (0..40u64, 0..4u8, outcome()).prop_map(|(id, attempt, outcome)| Step::Stray { id, attempt, outcome }),
        1 => any::<usize>().prop_map(Step::Started),
        1 => any::<usize>().prop_map(Step::Gone),
        4 => prop_oneof![1..50 * MS, 1..2_000 * MS].prop_map(Step::Pass),
        2 => (any::<usize>(), state).prop_map(|(which, state)| Step::Member { which, state }),
        1 => (0..6u64).prop_map(Step::Purged),
        1 => Just(Step::Restart),
    ]
}
