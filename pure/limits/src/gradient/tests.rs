//! The adaptive concurrency limit against simulated servers.

use super::*;
use proptest::prelude::*;

/// Simulates a server that works on `capacity` requests at once in `base` microseconds each, and on more of them
/// proportionally slower.
fn serve(limit: &mut GradientLimit, base: f64, capacity: f64, attempts: usize) {
    for _ in 0..attempts {
        let in_flight = limit.limit();
        let elapsed = base * (in_flight as f64 / capacity).max(1.0);
        limit.record_attempt(elapsed as u64, true, in_flight);
    }
}

#[test]
fn it_finds_the_capacity_of_a_server_and_follows_it_up_again() {
    let mut limit = GradientLimit::new(4, 1_000);
    serve(&mut limit, 20_000.0, 100.0, 20_000);
    let found = limit.limit();
    assert!((60..=400).contains(&found), "{found}");
    // A fifth of the capacity for a while: the limit comes down at once, and not to its minimum.
    serve(&mut limit, 20_000.0, 20.0, 400);
    let shrunk = limit.limit();
    assert!(shrunk < found && shrunk > 4, "{found} {shrunk}");
    serve(&mut limit, 20_000.0, 100.0, 20_000);
    assert!(limit.limit() > shrunk, "{found} {shrunk} {}", limit.limit());
}

#[test]
fn a_server_that_becomes_slow_by_itself_does_not_take_it_to_its_minimum() {
    let mut limit = GradientLimit::new(4, 200);
    serve(&mut limit, 20_000.0, 1_000.0, 2_000);
    let before = limit.limit();
    // Five times as slow, however many are in flight: fewer requests would not be faster.
    serve(&mut limit, 100_000.0, 1_000.0, 3_000);
    assert!(limit.limit() > before / 4, "{before} -> {}", limit.limit());
    serve(&mut limit, 100_000.0, 1_000.0, 20_000);
    assert!(limit.limit() > 100, "{}", limit.limit());
}

#[test]
fn errors_that_come_fast_do_not_raise_it() {
    let mut limit = GradientLimit::new(4, 1_000);
    serve(&mut limit, 20_000.0, 50.0, 10_000);
    let before = limit.limit();
    for _ in 0..10_000 {
        limit.record_attempt(100, false, limit.limit());
    }
    assert!(limit.limit() <= before, "{before} -> {}", limit.limit());
}

proptest! {
    #[test]
    fn it_stays_within_its_bounds(
        min in 1u64..50, more in 0u64..500,
        outcomes in proptest::collection::vec((0u64..10_000_000, any::<bool>(), 0u64..2_000), 0..500),
    ) {
        let mut limit = GradientLimit::new(min, min + more);
        for (elapsed, served, in_flight) in outcomes {
            limit.record_attempt(elapsed, served, in_flight);
            prop_assert!((min..=min + more).contains(&limit.limit()));
        }
    }
}
