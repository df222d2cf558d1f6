//! Unit tests of `backoff`.

use super::*;

/// When 100 proxies ask for the `nth` time after one break of all their connections, in ms.
fn asks(nth: usize) -> Vec<u128> {
    (0..100u64)
        .map(|proxy| {
            let mut backoff = Backoff::new(proxy.wrapping_mul(0x1234_5678_9abc_def1));
            (0..nth)
                .map(|_| backoff.failed())
                .sum::<Duration>()
                .as_millis()
        })
        .collect()
}

#[test]
fn a_hundred_proxies_whose_connections_break_at_once_do_not_come_back_in_step() {
    for nth in 1..6 {
        let times = asks(nth);
        let busiest = (0..3_000)
            .map(|at| times.iter().filter(|&&t| t >= at && t < at + 10).count())
            .max();
        assert!(
            busiest <= Some(20),
            "{busiest:?} of 100 within 10 ms at ask {nth}"
        );
    }
}

#[test]
fn no_wait_is_under_the_first_bound_or_over_the_last_and_three_fit_in_two_seconds() {
    for seed in 0..1_000 {
        let mut backoff = Backoff::new(seed);
        let waits: Vec<Duration> = (0..20).map(|_| backoff.failed()).collect();
        assert!(
            waits.iter().all(|w| (FIRST.0..=LONGEST).contains(w)),
            "{waits:?}"
        );
        assert!(
            waits[0] <= FIRST.1 && waits[..3].iter().sum::<Duration>() < Duration::from_secs(2)
        );
        backoff.well();
        assert!(
            backoff.failed() <= FIRST.1,
            "after a success the first range again"
        );
    }
}

#[test]
fn polls_that_one_event_answered_do_not_end_in_step() {
    let most = Duration::from_millis(1_000);
    let mut fleet: Vec<Backoff> = (0..100u64)
        .map(|n| Backoff::new(n.wrapping_mul(0x1234_5678_9abc_def1)))
        .collect();
    let mut ends = vec![0; 100];
    for nth in 1..20 {
        for (end, proxy) in ends.iter_mut().zip(&mut fleet) {
            let hold = proxy.hold(most);
            assert!(hold <= most && hold >= most.mul_f64(0.79), "{hold:?}");
            *end += hold.as_millis();
        }
        let within = |at: &u128| {
            ends.iter()
                .filter(|end| (*at..at + 10).contains(*end))
                .count()
        };
        let busiest = ends.iter().map(within).max();
        assert!(
            busiest <= Some(20),
            "{busiest:?} of 100 within 10 ms at poll {nth}"
        );
    }
}

#[test]
fn the_same_seed_draws_the_same_waits() {
    let mut a = Backoff::new(7);
    let mut b = Backoff::new(7);
    assert!((0..10).all(|_| a.failed() == b.failed()));
}
