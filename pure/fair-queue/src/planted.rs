//! Planted faults that the tests must find, set by name for one thread; only with the feature `planted`, which no
//! program enables.

/// Each is a single mistake that could pass a code review.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Each request is charged the same, whatever slot time it takes.
    ChargeByCount,
    /// The charge is not corrected when a request outruns its prediction or ends.
    NoCostCorrection,
    /// A retry waits at the front of its lane.
    RetryJumpsQueue,
    /// A tenant that was held back may catch up without limit.
    UnboundedCredit,
    /// A bucket's slot time is not charged to the group of unnamed tenants.
    WeightPerUnnamedTenant,
    /// Slow requests may use all slots while quick ones wait.
    UnboundedSlowRuns,
    /// A returned slot is also kept.
    SlotReturnedTwice,
    /// The holder counts its lease from the replica's answer, not from its own claim.
    LeaseCountedFromReply,
    /// One replica's grant is enough to hold a slot.
    OneGrantIsEnough,
    /// A replica that lost its state grants leases at once.
    GrantAfterStateLoss,
    /// A replica accepts a release that is older than the lease's last claim.
    StaleReleaseAccepted,
    /// A digest is charged in full, even if its sender cannot have given that much slot time.
    UnboundedDigestCharge,
    /// A slot is used past the expiry of its lease.
    UsedPastLease,
}

#[cfg(feature = "planted")]
thread_local! {
    static SET: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Plants a fault in the current thread, or with `None` removes it.
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
