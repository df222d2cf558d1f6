//! What the day came to.

use super::play::World;
use super::*;

/// Seconds over which the load is looked at: one alone is mostly chance.
const LOOK: usize = 5;

impl World<'_> {
    pub(super) fn figures(mut self) -> Day {
        let (from, to) = (
            self.s.fail_at_s as usize,
            (self.s.fail_at_s + self.s.fail_for_s) as usize,
        );
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        // The first seconds fill the boxes and teach the module.
        let settled = (from / 3).max(1).min(from);
        let load: Vec<f64> = self.load.iter().map(|n| *n as f64).collect();
        let before = mean(&load[settled..from]);
        let worst = load[from..to]
            .windows(LOOK.min(to - from))
            .map(mean)
            .fold(0.0, f64::max);
        self.day.load_factor = worst / before.max(1.0);
        let part = |second: usize| self.worth[second] / self.wanted[second].max(1e-9);
        let usual = mean(&(settled..from).map(part).collect::<Vec<_>>());
        self.day.worth_before = usual;
        let in_storm = mean(&(from..to).map(part).collect::<Vec<_>>());
        self.day.worth_kept = in_storm / usual.max(1e-9);
        let end = self.s.seconds as usize;
        let three = |second: usize| {
            mean(
                &(second..(second + 3).min(end))
                    .map(part)
                    .collect::<Vec<_>>(),
            )
        };
        let back = (to..end).find(|second| three(*second) >= 0.98 * usual);
        self.day.recovery_s = back.map_or(f64::INFINITY, |second| (second - to) as f64);
        let after = (to + 3).min(end)..end.max((to + 3).min(end));
        self.day.worth_after = mean(&after.map(part).collect::<Vec<_>>()) / usual.max(1e-9);
        self.day.series = (0..end).map(part).collect();
        self.day.records_served = self.records.1 as f64 / (self.records.0.max(1)) as f64;
        self.day.attempts_per_request = self.attempts as f64 / self.day.requests.max(1) as f64;
        self.day
    }
}
