//! Slots that nobody uses while anything waits.

use super::*;

impl World {
    /// Slot time in use while anything waits at a process that is up.
    pub(super) fn count(&mut self, to: Time) {
        let waits = self
            .processes
            .iter()
            .any(|p| p.up && p.local.sizes()[1] > 0);
        if waits && to > self.counted {
            let span = (to - self.counted) as f64;
            self.busy.0 += span * self.running as f64;
            self.busy.1 += span * self.plan.slots as f64;
            let (mut held, own) = (0, |waits: bool| {
                move |p: &&Process| p.up && (p.local.sizes()[1] > 0) == waits
            });
            for (at, waits) in [false, true].into_iter().enumerate() {
                let idle: usize = self
                    .processes
                    .iter()
                    .filter(own(waits))
                    .map(|p| p.local.stock().idle())
                    .sum();
                self.spare[at] += span * idle as f64;
                held += idle;
            }
            self.spare[2] += span * (self.plan.slots as f64 - self.running as f64 - held as f64);
        }
        self.counted = self.counted.max(to);
    }
}
