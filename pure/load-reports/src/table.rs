//! The last report of each server: its age, what was sent since, and the load relative to the average.

use crate::fields::Load;
use foldmux_stats::mean;
use foldmux_stats::Time;
use std::collections::BTreeMap;

/// Most servers whose reports are kept; beyond it the oldest report is evicted.
pub const MAX_SERVERS: usize = 4_096;
/// Lifetime of a report, in mean intervals between two reports: confidence falls to 0 over it.
pub const LIFETIME_INTERVALS: f64 = 4.0;
/// Weight of a new sample in the mean interval between two reports.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Relative load is bounded by this ratio and its inverse: a wrong or noisy report biases a selection and never makes it
/// alone.
const MAX_LOAD_RATIO: f64 = 4.0;

struct Entry {
    load: Load,
    /// When these values were first received: responses repeat a report until the next one is made.
    at: Time,
    /// Attempts sent since, less those that have completed.
    since: i64,
    /// Until when the report is not trusted, as its server rejected work.
    distrusted_until: Time,
}

/// The last report of each server.
pub struct LoadTable {
    entries: BTreeMap<u32, Entry>,
    /// Mean interval between two reports of one server (us).
    gap: f64,
}

impl LoadTable {
    /// `gap`: the interval between two reports of one server (us), until it is measured.
    pub fn new(gap: f64) -> LoadTable {
        LoadTable {
            entries: BTreeMap::new(),
            gap: gap.max(1.0),
        }
    }

    /// Number of reports.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no report.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a server's report. The same values again are the same report.
    pub fn record_report(&mut self, now: Time, server: u32, load: Load) {
        if load.is_empty() {
            return;
        }
        let mut distrusted_until = 0;
        if let Some(before) = self.entries.get(&server) {
            if before.load == load {
                return;
            }
            let between = now.saturating_sub(before.at) as f64;
            // A server without requests for long says nothing of how often it reports.
            self.gap += INTERVAL_WEIGHT * (between.min(LIFETIME_INTERVALS * self.gap) - self.gap);
            distrusted_until = before.distrusted_until;
        } else if self.entries.len() >= MAX_SERVERS {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.at)
                .map(|(server, _)| *server);
            self.entries.retain(|server, _| Some(*server) != oldest);
        }
        self.entries.insert(
            server,
            Entry {
                load,
                at: now,
                since: 0,
                distrusted_until,
            },
        );
    }

    /// An attempt was sent to a server.
    pub fn record_send(&mut self, server: u32) {
        self.entries
            .get_mut(&server)
            .into_iter()
            .for_each(|entry| entry.since += 1);
    }

    /// Records the end of an attempt. A rejection makes the report distrusted for its lifetime: a server that reports no
    /// load and rejects must not attract more.
    pub fn record_completion(&mut self, now: Time, server: u32, refused: bool) {
        self.entries
            .get_mut(&server)
            .into_iter()
            .for_each(|entry| entry.since -= 1);
        if refused {
            self.distrust(now, server);
        }
    }

    /// Distrusts this server's report for the lifetime of reports: it attracts no requests.
    pub fn distrust(&mut self, now: Time, server: u32) {
        let until = now + self.lifetime();
        self.entries
            .get_mut(&server)
            .into_iter()
            .for_each(|entry| entry.distrusted_until = until);
    }

    /// The server is gone, or has restarted.
    pub fn forget(&mut self, server: u32) {
        self.entries.remove(&server);
    }

    /// How long a report says anything (us).
    pub fn lifetime(&self) -> Time {
        (LIFETIME_INTERVALS * self.gap) as Time
    }

    /// How far a server's report is believed: 1 when new, 0 once it says nothing or none came.
    pub fn confidence(&self, now: Time, server: u32) -> f64 {
        self.entries
            .get(&server)
            .map_or(0.0, |entry| self.confidence_in(now, entry))
    }

    fn confidence_in(&self, now: Time, entry: &Entry) -> f64 {
        (1.0 - now.saturating_sub(entry.at) as f64 / (LIFETIME_INTERVALS * self.gap))
            .clamp(0.0, 1.0)
    }

    /// A server's load relative to the average of all that report: 1 is average, and also stands for one without a report.
    pub fn relative_load(&self, now: Time, server: u32) -> f64 {
        self.relative_to(now, server, self.average(now))
    }

    /// Average load of the servers whose reports are believed.
    pub fn average(&self, now: Time) -> f64 {
        let reporting = self
            .entries
            .values()
            .filter(|entry| self.confidence_in(now, entry) > 0.0);
        mean(reporting.filter_map(load_of)).unwrap_or(0.0)
    }

    /// As [`LoadTable::relative_load`], for many servers with one average.
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

    /// The servers with a report.
    pub fn servers(&self) -> impl Iterator<Item = u32> + '_ {
        self.entries.keys().copied()
    }
}

/// How busy a server is: what it said, and what was sent since beside what it held then.
fn load_of(entry: &Entry) -> Option<f64> {
    let Load { util, inflight, .. } = entry.load;
    match (util.map(f64::from), inflight.map(f64::from)) {
        (Some(util), Some(in_flight)) => {
            Some(util * (in_flight + entry.since as f64).max(0.0) / in_flight.max(1.0))
        }
        (Some(util), None) => Some(util),
        (None, in_flight) => in_flight.map(|in_flight| (in_flight + entry.since as f64).max(0.0)),
    }
}
