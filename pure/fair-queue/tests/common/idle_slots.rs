//! Accounting of slots that are not in use while requests wait.

use super::*;

impl Simulation {
    /// Adds the time since the last call, if a request waits at a process that is up.
    pub(super) fn count(&mut self, to: Time) {
        let waits = self
            .processes
            .iter()
            .any(|p| p.up && p.local.sizes()[1] > 0);
        if waits && to > self.counted {
            let span = (to - self.counted) as f64;
            self.busy.0 += span * self.running as f64;
            self.busy.1 += span * self.config.slots as f64;
            let (mut held, own) = (0, |waits: bool| {
                move |p: &&Process| p.up && (p.local.sizes()[1] > 0) == waits
            });
            for (at, waits) in [false, true].into_iter().enumerate() {
                let idle: usize = self
                    .processes
                    .iter()
                    .filter(own(waits))
                    .map(|p| p.local.held_slots().idle())
                    .sum();
                self.unused[at] += span * idle as f64;
                held += idle;
            }
            self.unused[2] += span * (self.config.slots as f64 - self.running as f64 - held as f64);
        }
        self.counted = self.counted.max(to);
    }
}
