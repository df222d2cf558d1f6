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
        Adaptive {
            least,
            most,
            limit: (least * most).sqrt(),
            short: None,
            base: 0.0,
            from: None,
        }
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
mod tests;
