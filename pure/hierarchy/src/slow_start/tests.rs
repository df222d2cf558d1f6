//! Limiters of a hub that started lately.

use super::*;
use proptest::prelude::*;

const RULE: SlowStart = SlowStart {
    initial_ratio: 0.067,
    ramp_us: 21_000_000,
    overload_multiple: 2.0,
    overload_window_us: 3_000_000,
    budget_ratio: 0.8,
};

/// The most that was asked of a hub in any window, over what it bears at that moment.
fn worst(rule: SlowStart, start: NodeStart, sent: &[(TimestampUs, f64)]) -> f64 {
    let bears = |at: TimestampUs| {
        rule.overload_multiple
            * rule.capacity_ratio(at - start.at)
            * start.full_rate
            * rule.overload_window_us as f64
            / 1e6
    };
    let mut worst: f64 = 0.0;
    let (mut from, mut sum) = (0, 0.0);
    for &(at, work) in sent {
        sum += work;
        while sent[from].0 + rule.overload_window_us <= at {
            sum -= sent[from].1;
            from += 1;
        }
        worst = worst.max(sum / bears(at));
    }
    worst
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn callers_without_shared_state_never_overload_a_hub_that_warms_up(
        callers in 1usize..16,
        full in 8.0f64..400.0,
        seed in any::<u64>(),
        every in 500u64..20_000,
    ) {
        let start = NodeStart { at: 1_000_000, full_rate: full };
        let mut limiters: Vec<SlowStartLimiter> = (0..callers).map(|i| SlowStartLimiter::new(RULE, start, i, callers)).collect();
        let (mut now, mut random, mut sent) = (start.at, seed, Vec::new());
        while now < start.at + RULE.ramp_us {
            random = crate::mix(random.wrapping_add(1));
            now += 1 + random % every;
            if limiters[(random >> 32) as usize % callers].try_acquire(now, 1.0) {
                sent.push((now, 1.0));
            }
        }
        // One fill at the edge of a window is the slack that turns have; the part that is not used covers it.
        let one = 1.0 / (RULE.overload_multiple * RULE.initial_ratio * full * RULE.overload_window_us as f64 / 1e6);
        prop_assert!(worst(RULE, start, &sent) <= RULE.budget_ratio + one, "{}", worst(RULE, start, &sent));
        prop_assert!(sent.len() as f64 > 0.02 * full * 21.0 / callers as f64, "only {} of {full}", sent.len());
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
fn a_start_that_becomes_known_gives_no_second_share_in_the_same_window() {
    let start = NodeStart {
        at: 1_000_000,
        full_rate: 100.0,
    };
    let mut limiter = SlowStartLimiter::new(RULE, start, 0, 1);
    let given = |limiter: &mut SlowStartLimiter, now| {
        (0..1_000).filter(|_| limiter.try_acquire(now, 1.0)).count()
    };
    let first = given(&mut limiter, start.at);
    assert!(first > 10 && given(&mut limiter, start.at + 1) == 0);
    limiter.set_start(NodeStart {
        at: start.at + 10,
        ..start
    });
    assert_eq!(given(&mut limiter, start.at + 20), 0);
    assert!(
        given(&mut limiter, start.at + 20 + RULE.overload_window_us) > first,
        "with what it has warmed since"
    );
}
