//! The last report of each server, with its age, the attempts sent since, and the load relative to the average.

use crate::fields::Load;
use foldmux_stats::mean;
use foldmux_stats::Time;
use std::collections::BTreeMap;

/// Maximum number of servers whose reports are kept; beyond it the oldest report is evicted.
pub const MAX_SERVERS: usize = 4_096;
/// Lifetime of a report, in mean intervals between two reports. Confidence falls linearly from 1 to 0 over it.
pub const LIFETIME_INTERVALS: f64 = 4.0;
/// Weight of a new sample in the mean interval between two reports.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Relative load is bounded by this ratio and its inverse, so that a wrong or noisy report biases a selection but never
/// decides it alone.
const MAX_LOAD_RATIO: f64 = 4.0;

struct Entry {
    load: Load,
    /// When these values were first received: responses repeat a report until the server makes the next one.
    received_at: Time,
    /// Attempts sent since the report, less those that have completed since.
    net_sent: i64,
    /// Until when the report is distrusted, because its server rejected an attempt or is unhealthy.
    distrusted_until: Time,
}

/// The last report of each server.
pub struct LoadTable {
    entries: BTreeMap<u32, Entry>,
    /// Mean interval between two reports of one server (us).
    mean_interval: f64,
}

impl LoadTable {
    /// Creates an empty table. `mean_interval` is the assumed interval between two reports of one server (us), until it
    /// is measured.
    pub fn new(mean_interval: f64) -> LoadTable {
        LoadTable {
            entries: BTreeMap::new(),
            mean_interval: mean_interval.max(1.0),
        }
    }

    /// Returns the number of servers with a report.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no report.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a server's report. The same values again are the same report and do not renew it.
    pub fn record_report(&mut self, now: Time, server: u32, load: Load) {
        if load.is_empty() {
            return;
        }
        let mut distrusted_until = 0;
        if let Some(before) = self.entries.get(&server) {
            if before.load == load {
                return;
            }
            let interval = now.saturating_sub(before.received_at) as f64;
            // Bounded, since a long time without requests says nothing about how often a server reports.
            self.mean_interval += INTERVAL_WEIGHT
                * (interval.min(LIFETIME_INTERVALS * self.mean_interval) - self.mean_interval);
            distrusted_until = before.distrusted_until;
        } else if self.entries.len() >= MAX_SERVERS {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.received_at)
                .map(|(server, _)| *server);
            self.entries.retain(|server, _| Some(*server) != oldest);
        }
        self.entries.insert(
            server,
            Entry {
                load,
                received_at: now,
                net_sent: 0,
                distrusted_until,
            },
        );
    }

    /// Records an attempt sent to a server.
    pub fn record_send(&mut self, server: u32) {
        self.entries
            .get_mut(&server)
            .into_iter()
            .for_each(|entry| entry.net_sent += 1);
    }

    /// Records the end of an attempt. After a rejection the report is distrusted for the lifetime of reports: a server that
    /// reports no load and rejects requests must not attract more of them.
    pub fn record_completion(&mut self, now: Time, server: u32, rejected: bool) {
        self.entries
            .get_mut(&server)
            .into_iter()
            .for_each(|entry| entry.net_sent -= 1);
        if rejected {
            self.distrust(now, server);
        }
    }

    /// Distrusts a server's report for the lifetime of reports: until then its relative load is at least 1, so that it
    /// attracts no requests.
    pub fn distrust(&mut self, now: Time, server: u32) {
        let until = now + self.lifetime();
        self.entries
            .get_mut(&server)
            .into_iter()
            .for_each(|entry| entry.distrusted_until = until);
    }

    /// Removes the report of a server that is gone or has restarted.
    pub fn forget(&mut self, server: u32) {
        self.entries.remove(&server);
    }

    /// Returns the lifetime of a report (us).
    pub fn lifetime(&self) -> Time {
        (LIFETIME_INTERVALS * self.mean_interval) as Time
    }

    /// Returns the confidence in a server's report: 1 when it is new, 0 after its lifetime or without one.
    pub fn confidence(&self, now: Time, server: u32) -> f64 {
        self.entries
            .get(&server)
            .map_or(0.0, |entry| self.confidence_in(now, entry))
    }

    fn confidence_in(&self, now: Time, entry: &Entry) -> f64 {
        (1.0 - now.saturating_sub(entry.received_at) as f64
            / (LIFETIME_INTERVALS * self.mean_interval))
            .clamp(0.0, 1.0)
    }

    /// Returns a server's load relative to the average of all that report: 1 is average, also for one without a report.
    pub fn relative_load(&self, now: Time, server: u32) -> f64 {
        self.relative_to(now, server, self.average(now))
    }

    /// Returns the average load of the servers with an unexpired report; 0 if there are none.
    pub fn average(&self, now: Time) -> f64 {
        let reporting = self
            .entries
            .values()
            .filter(|entry| self.confidence_in(now, entry) > 0.0);
        mean(reporting.filter_map(load_of)).unwrap_or(0.0)
    }

    /// Returns a server's load relative to an average that the caller computed once for many servers; otherwise as
    /// [`LoadTable::relative_load`].
    pub fn relative_to(&self, now: Time, server: u32, average: f64) -> f64 {
        let Some(entry) = self.entries.get(&server) else {
            return 1.0;
        };
        let confidence = self.confidence_in(now, entry);
        let Some(own) = load_of(entry).filter(|_| confidence > 0.0 && average > 0.0) else {
            return 1.0;
        };
        let relative_load =
            1.0 + confidence * ((own / average).clamp(1.0 / MAX_LOAD_RATIO, MAX_LOAD_RATIO) - 1.0);
        if now < entry.distrusted_until {
            relative_load.max(1.0)
        } else {
            relative_load
        }
    }

    /// Returns the ids of the servers with a report.
    pub fn servers(&self) -> impl Iterator<Item = u32> + '_ {
        self.entries.keys().copied()
    }
}

/// Returns the load of a server: what it reported, corrected by the attempts sent and completed since.
fn load_of(entry: &Entry) -> Option<f64> {
    let Load { util, inflight, .. } = entry.load;
    match (util.map(f64::from), inflight.map(f64::from)) {
        (Some(util), Some(in_flight)) => {
            Some(util * (in_flight + entry.net_sent as f64).max(0.0) / in_flight.max(1.0))
        }
        (Some(util), None) => Some(util),
        (None, in_flight) => {
            in_flight.map(|in_flight| (in_flight + entry.net_sent as f64).max(0.0))
        }
    }
}
