//! Faults that the tests must detect, each injected where the mistake would be made. Without the feature
//! `planted` there are none, and the checks compile to nothing.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A relay restarts its event numbers at 1.
    RestartsNumbering,
    OmitsGaps,
    SlowReaderBlocks,
    NeverCloses,
    /// Messages of a relay that the follower left are accepted.
    AcceptsStaleRelay,
    /// A relay yields to any process that joins and ranks before it.
    YieldsOnJoin,
    AcceptsOldEpoch,
    /// A relay goes on sending from a position that another relay or the source has moved.
    ResumesMovedPosition,
    RetriesInStep,
    /// No follower reads the source when its relay is silent.
    NeverReadsSource,
    LeavesSilently,
}

#[cfg(feature = "planted")]
thread_local! {
    static PLANTED: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Sets the fault for the state machines of this thread.
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
