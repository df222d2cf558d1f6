//! Gates in front of a hub that started recently.

use super::*;
use proptest::prelude::*;

const RULE: Rule = Rule {
    from: 0.067,
    over: 21_000_000,
    breaks_at: 2.0,
    window: 3_000_000,
    safety: 0.8,
};

/// The most that was asked of a hub in any window, over what it bears at that moment.
fn worst(rule: Rule, start: Start, sent: &[(Time, f64)]) -> f64 {
    let bears = |at: Time| {
        rule.breaks_at * rule.part(at - start.at) * start.full * rule.window as f64 / 1e6
    };
    let mut worst: f64 = 0.0;
    let (mut from, mut sum) = (0, 0.0);
    for &(at, work) in sent {
        sum += work;
        while sent[from].0 + rule.window <= at {
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
    fn callers_that_share_nothing_never_push_a_cold_hub_over(
        callers in 1usize..16,
        full in 8.0f64..400.0,
        seed in any::<u64>(),
        every in 500u64..20_000,
    ) {
        let start = Start { at: 1_000_000, full };
        let mut gates: Vec<Gate> = (0..callers).map(|i| Gate::new(RULE, start, i, callers)).collect();
        let (mut now, mut random, mut sent) = (start.at, seed, Vec::new());
        while now < start.at + RULE.over {
            random = crate::mix(random.wrapping_add(1));
            now += 1 + random % every;
            if gates[(random >> 32) as usize % callers].take(now, 1.0) {
                sent.push((now, 1.0));
            }
        }
        // One fill at the edge of a window is the slack that turns have; the part that is not used covers it.
        let one = 1.0 / (RULE.breaks_at * RULE.from * full * RULE.window as f64 / 1e6);
        prop_assert!(worst(RULE, start, &sent) <= RULE.safety + one, "{}", worst(RULE, start, &sent));
        prop_assert!(sent.len() as f64 > 0.02 * full * 21.0 / callers as f64, "only {} of {full}", sent.len());
    }
}

#[test]
fn a_warm_hub_and_one_that_started_long_ago_are_not_held_back() {
    let start = Start {
        at: 1_000_000,
        full: 1.0,
    };
    let mut gate = Gate::new(RULE, start, 0, 4);
    assert!((0..100).all(|_| gate.take(start.at + RULE.over, 50.0)));
    let mut long_ago = Gate::new(RULE, Start { at: 0, ..start }, 0, 4);
    assert!((0..100).all(|_| long_ago.take(5, 50.0)));
}

#[test]
fn a_start_that_becomes_known_gives_no_second_part_in_the_same_window() {
    let start = Start {
        at: 1_000_000,
        full: 100.0,
    };
    let mut gate = Gate::new(RULE, start, 0, 1);
    let given = |gate: &mut Gate, now| (0..1_000).filter(|_| gate.take(now, 1.0)).count();
    let first = given(&mut gate, start.at);
    assert!(first > 10 && given(&mut gate, start.at + 1) == 0);
    gate.learn(Start {
        at: start.at + 10,
        ..start
    });
    assert_eq!(given(&mut gate, start.at + 20), 0);
    assert!(
        given(&mut gate, start.at + 20 + RULE.window) > first,
        "with what it has warmed since"
    );
}
