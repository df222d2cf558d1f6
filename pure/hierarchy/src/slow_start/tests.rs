//! Limiters of a recently started hub.

use super::*;
use proptest::prelude::*;

const RULE: SlowStart = SlowStart {
    initial_ratio: 0.067,
    ramp_us: 21_000_000,
    overload_multiple: 2.0,
    overload_window_us: 3_000_000,
    budget_ratio: 0.8,
};

/// The largest work in any window, as a multiple of what the hub bears without failing at that time.
fn max_load_ratio(rule: SlowStart, start: NodeStart, sent: &[(TimestampUs, f64)]) -> f64 {
    let overload_limit = |at: TimestampUs| {
        rule.overload_multiple
            * rule.capacity_ratio(at - start.at)
            * start.full_rate
            * rule.overload_window_us as f64
            / 1e6
    };
    let mut max_ratio: f64 = 0.0;
    let (mut window_start, mut sum) = (0, 0.0);
    for &(at, work) in sent {
        sum += work;
        while sent[window_start].0 + rule.overload_window_us <= at {
            sum -= sent[window_start].1;
            window_start += 1;
        }
        max_ratio = max_ratio.max(sum / overload_limit(at));
    }
    max_ratio
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn callers_without_shared_state_never_overload_a_hub_that_is_warming_up(
        callers in 1usize..16,
        full_rate in 8.0f64..400.0,
        seed in any::<u64>(),
        max_gap_us in 500u64..20_000,
    ) {
        let start = NodeStart { at: 1_000_000, full_rate };
        let mut limiters: Vec<SlowStartLimiter> = (0..callers).map(|i| SlowStartLimiter::new(RULE, start, i, callers)).collect();
        let (mut now, mut random, mut sent) = (start.at, seed, Vec::new());
        while now < start.at + RULE.ramp_us {
            random = crate::mix(random.wrapping_add(1));
            now += 1 + random % max_gap_us;
            if limiters[(random >> 32) as usize % callers].try_acquire(now, 1.0) {
                sent.push((now, 1.0));
            }
        }
        // Turns may exceed the budget by one fill at the edge of a window; the unused part of the capacity covers it.
        let one_fill = 1.0 / (RULE.overload_multiple * RULE.initial_ratio * full_rate * RULE.overload_window_us as f64 / 1e6);
        prop_assert!(max_load_ratio(RULE, start, &sent) <= RULE.budget_ratio + one_fill, "{}", max_load_ratio(RULE, start, &sent));
        prop_assert!(sent.len() as f64 > 0.02 * full_rate * 21.0 / callers as f64, "only {} at a full rate of {full_rate}", sent.len());
    }
}

#[test]
fn a_hub_past_its_ramp_and_one_that_started_long_ago_are_not_limited() {
    let start = NodeStart {
        at: 1_000_000,
        full_rate: 1.0,
    };
    let mut limiter = SlowStartLimiter::new(RULE, start, 0, 4);
    assert!((0..100).all(|_| limiter.try_acquire(start.at + RULE.ramp_us, 50.0)));
    let mut long_ago = SlowStartLimiter::new(RULE, NodeStart { at: 0, ..start }, 0, 4);
    assert!((0..100).all(|_| long_ago.try_acquire(5, 50.0)));
}

#[test]
fn a_reported_start_gives_no_second_share_in_the_same_window() {
    let start = NodeStart {
        at: 1_000_000,
        full_rate: 100.0,
    };
    let mut limiter = SlowStartLimiter::new(RULE, start, 0, 1);
    let admitted = |limiter: &mut SlowStartLimiter, now| {
        (0..1_000).filter(|_| limiter.try_acquire(now, 1.0)).count()
    };
    let first = admitted(&mut limiter, start.at);
    assert!(first > 10 && admitted(&mut limiter, start.at + 1) == 0);
    limiter.set_start(NodeStart {
        at: start.at + 10,
        ..start
    });
    assert_eq!(admitted(&mut limiter, start.at + 20), 0);
    assert!(
        admitted(&mut limiter, start.at + 20 + RULE.overload_window_us) > first,
        "the share grows with the hub's capacity"
    );
}
