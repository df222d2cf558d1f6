//! On two clocks within the drift, the holder's lease ends before the granter's, in real time.

use foldmux_replicas::{
    ClockDrift, GrantedLease, HeldLease, InvalidClockDrift, RecoveryDelay, Time,
};
use proptest::prelude::*;

/// A clock that shows whole microseconds and deviates from real time by a rate in parts per million.
#[derive(Clone, Copy, Debug)]
struct Clock {
    rate_ppm: i64,
    ahead: Time,
}

impl Clock {
    fn at(self, ns: u64) -> Time {
        (u128::from(ns) * (1_000_000 + self.rate_ppm) as u128 / 1_000_000_000) as Time + self.ahead
    }

    /// The first nanosecond at which `past` holds for the clock.
    fn first(self, mut low: u64, past: impl Fn(Time) -> bool) -> u64 {
        let mut high = 1 << 52;
        while low < high {
            let middle = low + (high - low) / 2;
            if past(self.at(middle)) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        low
    }
}

fn clocks() -> impl Strategy<Value = (ClockDrift, Clock, Clock)> {
    (0..=100_000_i64).prop_flat_map(|ppm| {
        let rate = || prop_oneof![-ppm..=ppm, Just(-ppm), Just(ppm)];
        let clock =
            || (rate(), 0..(1_u64 << 40)).prop_map(|(rate_ppm, ahead)| Clock { rate_ppm, ahead });
        (
            Just(ClockDrift::from_percent(ppm as f64 / 10_000.0).unwrap()),
            clock(),
            clock(),
        )
    })
}

#[test]
fn a_drift_out_of_bounds_is_an_error() {
    for percent in [-0.1, 10.1, f64::NAN, f64::INFINITY] {
        assert!(ClockDrift::from_percent(percent).is_err());
    }
    assert_eq!(ClockDrift::from_percent(50.0), Err(InvalidClockDrift(50.0)));
    assert_eq!(ClockDrift::from_percent(1.0), Ok(ClockDrift::default()));
    assert_eq!(ClockDrift::default().stretched(Time::MAX), Time::MAX);
}

#[test]
fn a_lease_too_short_for_the_drift_is_never_valid() {
    assert!(!HeldLease::new(5, 1, ClockDrift::default()).is_valid(5));
    assert!(!HeldLease::new(5, 1_000, ClockDrift::default()).is_valid(4));
}

#[test]
fn a_replica_without_a_window_never_votes() {
    assert!(!RecoveryDelay::state_lost(0, &[], ClockDrift::default()).may_vote(Time::MAX - 1));
}

#[test]
fn a_renewal_never_shortens() {
    let mut granted = GrantedLease::new(100, 50);
    granted.renew(90, 20);
    assert!(granted.is_active(149) && !granted.is_active(150));
    granted.renew(120, 50);
    assert_eq!(granted.expires_at(), 170);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn a_held_lease_never_outlives_the_granted_one(
        (drift, holder, granter) in clocks(),
        sent in 0..1_000_000_000_000_u64,
        delay in prop_oneof![Just(0), 0..10_000_000_u64],
        lease in prop_oneof![0..1_000_u64, 0..60_000_000_u64],
    ) {
        let held = HeldLease::new(holder.at(sent), lease, drift);
        let granted = GrantedLease::new(granter.at(sent + delay), lease);
        let held_until = holder.first(sent, |now| !held.is_valid(now));
        let granted_until = granter.first(sent + delay, |now| !granted.is_active(now));
        prop_assert!(held_until <= granted_until, "held until {held_until} ns, granted until {granted_until} ns");
        // The margin must not take up the whole lease.
        prop_assert!(held.expires_at() - holder.at(sent) + lease / 5 + 2 >= lease);
    }

    #[test]
    fn a_replica_without_state_abstains_until_every_window_has_passed_on_any_clock(
        (drift, replica, other) in clocks(),
        start in 0..1_000_000_000_000_u64,
        windows in prop::collection::vec(0..60_000_000_u64, 1..4),
    ) {
        let recovery = RecoveryDelay::state_lost(replica.at(start), &windows, drift);
        let votes = replica.first(start, |now| recovery.may_vote(now));
        for window in windows {
            let from = other.at(start);
            prop_assert!(other.first(start, |now| now >= from + window) <= votes);
        }
    }
}
