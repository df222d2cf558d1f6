//! How many requests of a class may be open: by the gradient between the quickest that work was and how long it takes
//! now, within bounds. Answers that come fast because they are errors teach nothing. Where fewer requests make nothing
//! quicker, it was not their number: that is what is usual from then on.

/// How far work may take longer than at its quickest before the limit shrinks.
const TOLERANCE: f64 = 1.5;
/// Weight of one answer in how long work takes now.
const SHORT: f64 = 0.1;
/// Weight of one answer in the limit.
const STEP: f64 = 0.01;
/// Having shrunk to this part, work must take no more than that part of what it took, or the shrinking was in vain.
const SHRUNK: f64 = 0.6;
const HELPED: f64 = 0.8;

#[derive(Clone, Debug)]
pub struct Adaptive {
    least: f64,
    most: f64,
    limit: f64,
    /// How long work takes now, and took at its quickest (us); none before the first answer.
    short: Option<f64>,
    base: f64,
    /// The limit when it began to shrink, and the longest that work took since.
    from: Option<(f64, f64)>,
}

impl Adaptive {
    pub fn new(least: u64, most: u64) -> Adaptive {
        let (least, most) = (least.max(1) as f64, most.max(least.max(1)) as f64);
        // Between both by their ratio: from the middle, a wide range would begin far over what a server bears, and take
        // its crowded pace for the usual one.
        Adaptive { least, most, limit: (least * most).sqrt(), short: None, base: 0.0, from: None }
    }

    pub fn limit(&self) -> u64 {
        self.limit as u64
    }

    /// An attempt ended after `elapsed` (us) while `open` requests were open.
    pub fn ended(&mut self, elapsed: u64, served: bool, open: u64) {
        let sample = elapsed.max(1) as f64;
        let Some(short) = self.short else {
            if served {
                (self.short, self.base) = (Some(sample), sample);
            }
            return;
        };
        if !served && sample < TOLERANCE * self.base {
            // Guards against running away when a cache answers errors fast: they say nothing of how long work takes.
            return;
        }
        let short = short + SHORT * (sample - short);
        self.short = Some(short);
        self.base = self.base.min(short);
        let gradient = (TOLERANCE * self.base / short).clamp(0.5, 1.0);
        // Grows where it is used alone: a limit that nobody reaches says nothing.
        let used = open as f64 >= self.limit / 2.0;
        let next = self.limit * gradient + if used { self.limit.sqrt() } else { 0.0 };
        if next >= self.limit {
            self.from = None;
        } else {
            let from = self.from.get_or_insert((self.limit, short));
            from.1 = from.1.max(short);
            let (limit, took) = *from;
            if self.limit <= SHRUNK * limit {
                self.from = None;
                if short > HELPED * took {
                    // Guards against collapsing on a slow day: fewer made nothing quicker.
                    (self.base, self.limit) = (short, limit);
                    return;
                }
            }
        }
        self.limit = (self.limit + STEP * (next - self.limit)).clamp(self.least, self.most);
    }
}

#[cfg(test)]
mod tests {
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
        assert!(adaptive.limit() > shrunk, "{found} {shrunk} {}", adaptive.limit());
    }

    #[test]
    fn a_slow_day_does_not_take_it_to_its_floor() {
        let mut adaptive = Adaptive::new(4, 200);
        serve(&mut adaptive, 20_000.0, 1_000.0, 2_000);
        let before = adaptive.limit();
        // All is five times as slow, whatever is open: no fewer requests would make it quicker.
        serve(&mut adaptive, 100_000.0, 1_000.0, 3_000);
        assert!(adaptive.limit() > before / 4, "{before} -> {}", adaptive.limit());
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
        assert!(adaptive.limit() <= before, "{before} -> {}", adaptive.limit());
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
}
