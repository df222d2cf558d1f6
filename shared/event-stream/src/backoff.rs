//! How long to wait before asking again. Pure: no clock, no I/O; the caller waits.
//!
//! Guards against a fleet in step: whatever breaks one proxy's connection breaks all of them at the same moment, and
//! proxies that wait the same time come back as one wave. Each draws its waits from its own seed.

use foldmux_stats::Draws;
use std::time::Duration;

/// The range of the first wait.
const FIRST: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(150));
/// The longest wait: three of them fit well into the time after which news counts as told.
pub const LONGEST: Duration = Duration::from_millis(500);
/// The least part of the longest wait that a poll asks for.
const HOLD: f64 = 0.8;

/// Waits that are drawn evenly from a range which doubles with each failure, up to a bound.
pub struct Backoff {
    draws: Draws,
    most: Duration,
}

impl Backoff {
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            draws: Draws::new(seed),
            most: FIRST.1,
        }
    }

    /// It went well: the next failure is the first again.
    pub fn well(&mut self) {
        self.most = FIRST.1;
    }

    /// The wait after one more failure.
    pub fn failed(&mut self) -> Duration {
        let most = self.most;
        self.most = (most * 2).min(LONGEST);
        FIRST.0 + (most - FIRST.0).mul_f64(self.part())
    }

    /// How long a poll asks to be held, of `most`: an event answers the polls of a whole fleet at one moment, and polls
    /// of one length would end in step from then on. Whole milliseconds.
    pub fn hold(&mut self, most: Duration) -> Duration {
        let part = HOLD + (1.0 - HOLD) * self.part();
        Duration::from_millis(most.mul_f64(part).as_millis() as u64)
    }

    fn part(&mut self) -> f64 {
        (self.draws.draw() >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests {
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
}
