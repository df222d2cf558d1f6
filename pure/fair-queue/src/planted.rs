//! Faults that the tests must find, set by name for one thread; behind the feature `planted`, and never in a program.

/// Each is one mistake that would pass a review.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    ChargeByCount,
    NeverPutRight,
    RepeatPassesOthers,
    NoBoundOnCredit,
    EachNameAWeight,
    NoBoundOnSlow,
    SlotReturnedTwice,
    GrantersClock,
    OneSeatIsEnough,
    FreshSeatGrants,
    LateFreeCounts,
    EveryDigestBelieved,
    UsedPastItsLease,
}

#[cfg(feature = "planted")]
thread_local! {
    static SET: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

#[cfg(feature = "planted")]
pub fn plant(fault: Option<Fault>) {
    SET.with(|set| set.set(fault));
}

#[cfg(feature = "planted")]
pub(crate) fn planted(fault: Fault) -> bool {
    SET.with(|set| set.get() == Some(fault))
}

#[cfg(not(feature = "planted"))]
#[inline(always)]
pub(crate) fn planted(_: Fault) -> bool {
    false
}
