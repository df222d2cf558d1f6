//! Unit tests of `backoff`.

use super::*;

/// When 100 proxies ask for the `nth` time after all their connections broke at once, in ms.
fn request_times(nth: usize) -> Vec<u128> {
    (0..100u64)
        .map(|proxy| {
            let mut backoff = Backoff::new(proxy.wrapping_mul(0x1234_5678_9abc_def1));
            (0..nth)
                .map(|_| backoff.next_delay())
                .sum::<Duration>()
                .as_millis()
        })
        .collect()
}

#[test]
fn a_hundred_proxies_whose_connections_break_at_once_do_not_retry_in_step() {
    for nth in 1..6 {
        let times = request_times(nth);
        let busiest = (0..3_000)
            .map(|at| times.iter().filter(|&&t| t >= at && t < at + 10).count())
            .max();
        assert!(
            busiest <= Some(20),
            "{busiest:?} of 100 within 10 ms at request {nth}"
        );
    }
}

#[test]
fn delays_stay_within_the_bounds_and_three_fit_in_two_seconds() {
    for seed in 0..1_000 {
        let mut backoff = Backoff::new(seed);
        let delays: Vec<Duration> = (0..20).map(|_| backoff.next_delay()).collect();
        assert!(
            delays
                .iter()
                .all(|delay| (INITIAL_DELAY.0..=MAX_DELAY).contains(delay)),
            "{delays:?}"
        );
        assert!(
            delays[0] <= INITIAL_DELAY.1
                && delays[..3].iter().sum::<Duration>() < Duration::from_secs(2)
        );
        backoff.reset();
        assert!(
            backoff.next_delay() <= INITIAL_DELAY.1,
            "after a success the first range again"
        );
    }
}

#[test]
fn polls_that_one_event_answered_do_not_end_in_step() {
    let max_wait = Duration::from_millis(1_000);
    let mut fleet: Vec<Backoff> = (0..100u64)
        .map(|n| Backoff::new(n.wrapping_mul(0x1234_5678_9abc_def1)))
        .collect();
    let mut ends = vec![0; 100];
    for nth in 1..20 {
        for (end, proxy) in ends.iter_mut().zip(&mut fleet) {
            let wait = proxy.poll_wait(max_wait);
            assert!(
                wait <= max_wait && wait >= max_wait.mul_f64(0.79),
                "{wait:?}"
            );
            *end += wait.as_millis();
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
fn the_same_seed_draws_the_same_delays() {
    let mut a = Backoff::new(7);
    let mut b = Backoff::new(7);
    assert!((0..10).all(|_| a.next_delay() == b.next_delay()));
}
