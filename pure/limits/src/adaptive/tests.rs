//! The adaptive concurrency limit against simulated servers.

use super::*;
use proptest::prelude::*;

/// A server that does `fast` requests at once in `base`, and more of them as much slower.
fn serve(adaptive: &mut Adaptive, base: f64, fast: f64, turns: usize) {
    for _ in 0..turns {
        let open = adaptive.limit();
        let elapsed = base * (open as f64 / fast).max(1.0);
        adaptive.ended(elapsed as u64, true, open);
    }
}

#[test]
fn it_finds_what_a_server_bears_and_follows_it_up_again() {
    let mut adaptive = Adaptive::new(4, 1_000);
    serve(&mut adaptive, 20_000.0, 100.0, 20_000);
    let found = adaptive.limit();
    assert!((60..=400).contains(&found), "{found}");
    // It bears a fifth for a while: the limit comes down at once, and not to the floor.
    serve(&mut adaptive, 20_000.0, 20.0, 400);
    let shrunk = adaptive.limit();
    assert!(shrunk < found && shrunk > 4, "{found} {shrunk}");
    serve(&mut adaptive, 20_000.0, 100.0, 20_000);
    assert!(
        adaptive.limit() > shrunk,
        "{found} {shrunk} {}",
        adaptive.limit()
    );
}

#[test]
fn a_slow_day_does_not_take_it_to_its_floor() {
    let mut adaptive = Adaptive::new(4, 200);
    serve(&mut adaptive, 20_000.0, 1_000.0, 2_000);
    let before = adaptive.limit();
    // All is five times as slow, whatever is open: no fewer requests would make it quicker.
    serve(&mut adaptive, 100_000.0, 1_000.0, 3_000);
    assert!(
        adaptive.limit() > before / 4,
        "{before} -> {}",
        adaptive.limit()
    );
    serve(&mut adaptive, 100_000.0, 1_000.0, 20_000);
    assert!(adaptive.limit() > 100, "{}", adaptive.limit());
}

#[test]
fn a_cache_that_answers_errors_fast_does_not_run_away_with_it() {
    let mut adaptive = Adaptive::new(4, 1_000);
    serve(&mut adaptive, 20_000.0, 50.0, 10_000);
    let before = adaptive.limit();
    for _ in 0..10_000 {
        adaptive.ended(100, false, adaptive.limit());
    }
    assert!(
        adaptive.limit() <= before,
        "{before} -> {}",
        adaptive.limit()
    );
}

proptest! {
    #[test]
    fn it_stays_within_its_bounds(
        least in 1u64..50, more in 0u64..500,
        answers in proptest::collection::vec((0u64..10_000_000, any::<bool>(), 0u64..2_000), 0..500),
    ) {
        let mut adaptive = Adaptive::new(least, least + more);
        for (elapsed, served, open) in answers {
            adaptive.ended(elapsed, served, open);
            prop_assert!((least..=least + more).contains(&adaptive.limit()));
        }
    }
}
