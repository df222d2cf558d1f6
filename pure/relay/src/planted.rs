//! Faults that the tests must find, each at the place where it would be made. Without the feature `planted` there are
//! none, and the question costs nothing.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A relay numbers a reader's events from 1 again.
    Renumbers,
    GapUntold,
    SlowBlocks,
    NeverCloses,
    /// What a relay sends that was left long ago is taken.
    StaleTaken,
    /// A relay yields to whoever comes and stands before it in line.
    JoinsMove,
    OldEpochTaken,
    /// A relay goes on feeding one whose place another has moved.
    FeedsMixed,
    ReturnsInStep,
    /// No reader turns to the source when its relay is silent.
    NeverDirect,
    LeavesUntold,
}

#[cfg(feature = "planted")]
thread_local! {
    static PLANTED: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Plants a fault for this thread's parts.
#[cfg(feature = "planted")]
pub fn plant(fault: Option<Fault>) {
    PLANTED.set(fault);
}

#[cfg(feature = "planted")]
pub(crate) fn planted(fault: Fault) -> bool {
    PLANTED.get() == Some(fault)
}

#[cfg(not(feature = "planted"))]
pub(crate) const fn planted(_: Fault) -> bool {
    false
}
