//! Two clocks within the drift: what the holder's says is over before what the granter's says, in real time.

use foldmux_replicas::{BadDrift, Drift, Granted, Held, Memory, Time};
use proptest::prelude::*;

/// A clock that shows whole microseconds of nanoseconds, run at a rate in millionths.
#[derive(Clone, Copy, Debug)]
struct Clock {
    rate: i64,
    ahead: Time,
}

impl Clock {
    fn at(self, ns: u64) -> Time {
        (u128::from(ns) * (1_000_000 + self.rate) as u128 / 1_000_000_000) as Time + self.ahead
    }

    /// The first nanosecond for which the clock is past something.
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

fn clocks() -> impl Strategy<Value = (Drift, Clock, Clock)> {
    (0..=100_000_i64).prop_flat_map(|ppm| {
        let rate = || prop_oneof![-ppm..=ppm, Just(-ppm), Just(ppm)];
        let clock = || (rate(), 0..(1_u64 << 40)).prop_map(|(rate, ahead)| Clock { rate, ahead });
        (
            Just(Drift::percent(ppm as f64 / 10_000.0).unwrap()),
            clock(),
            clock(),
        )
    })
}

#[test]
fn a_drift_out_of_bounds_is_none() {
    for percent in [-0.1, 10.1, f64::NAN, f64::INFINITY] {
        assert!(Drift::percent(percent).is_err());
    }
    assert_eq!(Drift::percent(50.0), Err(BadDrift(50.0)));
    assert_eq!(Drift::percent(1.0), Ok(Drift::default()));
    assert_eq!(Drift::default().stretched(Time::MAX), Time::MAX);
}

#[test]
fn a_lease_too_short_for_the_drift_never_holds() {
    assert!(!Held::new(5, 1, Drift::default()).holds(5));
    assert!(!Held::new(5, 1_000, Drift::default()).holds(4));
}

#[test]
fn a_seat_with_no_window_given_never_speaks() {
    assert!(!Memory::fresh(0, &[], Drift::default()).speaks(Time::MAX - 1));
}

#[test]
fn a_renewal_never_shortens() {
    let mut granted = Granted::new(100, 50);
    granted.renew(90, 20);
    assert!(granted.runs(149) && !granted.runs(150));
    granted.renew(120, 50);
    assert_eq!(granted.until(), 170);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn the_holders_end_is_never_after_the_granters(
        (drift, holder, granter) in clocks(),
        sent in 0..1_000_000_000_000_u64,
        travels in prop_oneof![Just(0), 0..10_000_000_u64],
        lease in prop_oneof![0..1_000_u64, 0..60_000_000_u64],
    ) {
        let held = Held::new(holder.at(sent), lease, drift);
        let granted = Granted::new(granter.at(sent + travels), lease);
        let ends = holder.first(sent, |now| !held.holds(now));
        let frees = granter.first(sent + travels, |now| !granted.runs(now));
        prop_assert!(ends <= frees, "held to {ends} ns, granted to {frees} ns");
        // And the bound is not bought with the whole lease.
        prop_assert!(held.until() - holder.at(sent) + lease / 5 + 2 >= lease);
    }

    #[test]
    fn a_fresh_seat_waits_out_whatever_was_counted_on_another_clock(
        (drift, seat, other) in clocks(),
        start in 0..1_000_000_000_000_u64,
        windows in prop::collection::vec(0..60_000_000_u64, 1..4),
    ) {
        let memory = Memory::fresh(seat.at(start), &windows, drift);
        let speaks = seat.first(start, |now| memory.speaks(now));
        for window in windows {
            let from = other.at(start);
            prop_assert!(other.first(start, |now| now >= from + window) <= speaks);
        }
    }
}
