//! Reports by server: how old each is, what was sent since, and how crowded its server is beside the others.

use crate::fields::Load;
use foldmux_stats::mean;
use foldmux_stats::Time;
use std::collections::BTreeMap;

/// Most servers of which reports are kept; of more, the one longest not heard of goes.
pub const SERVERS: usize = 4_096;
/// A report fades over so many of the times that usually lie between two: then it says nothing.
pub const FADES: f64 = 4.0;
/// The weight of a new sample in the time between two reports.
const SMOOTH: f64 = 0.1;
/// No report makes a server count for more than so many times the average, or less than its inverse: one that lies, or is
/// noisy, moves a choice and does not make it alone.
const FAR: f64 = 4.0;

struct Told {
    load: Load,
    /// When these figures were first heard: answers repeat a report until the next one is made.
    at: Time,
    /// Attempts sent since, less those that ended.
    since: i64,
    /// Until when it is doubted, as its server turned work away.
    doubted: Time,
}

/// What each server last said.
pub struct Reports {
    told: BTreeMap<u32, Told>,
    /// Smoothed time between two reports of one server (us).
    gap: f64,
}

impl Reports {
    /// `gap`: what lies between two reports of one server, until that is heard (us); nothing tells it, and the least aim is
    /// a time over which it matters.
    pub fn new(gap: f64) -> Reports {
        Reports {
            told: BTreeMap::new(),
            gap: gap.max(1.0),
        }
    }

    pub fn len(&self) -> usize {
        self.told.len()
    }

    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// A server's report. The same figures again are the same report: they say nothing new.
    pub fn heard(&mut self, now: Time, server: u32, load: Load) {
        if load.is_empty() {
            return;
        }
        let mut doubted = 0;
        if let Some(before) = self.told.get(&server) {
            if before.load == load {
                return;
            }
            let between = now.saturating_sub(before.at) as f64;
            // A server that was not asked for long says nothing of how often it could report.
            self.gap += SMOOTH * (between.min(FADES * self.gap) - self.gap);
            doubted = before.doubted;
        } else if self.told.len() >= SERVERS {
            let oldest = self
                .told
                .iter()
                .min_by_key(|(_, told)| told.at)
                .map(|(server, _)| *server);
            self.told.retain(|server, _| Some(*server) != oldest);
        }
        self.told.insert(
            server,
            Told {
                load,
                at: now,
                since: 0,
                doubted,
            },
        );
    }

    pub fn sent(&mut self, server: u32) {
        self.told
            .get_mut(&server)
            .into_iter()
            .for_each(|told| told.since += 1);
    }

    /// An attempt ended. Work that a server turns away puts its report in doubt for as long as reports last: one that says
    /// it is idle and refuses draws nothing more.
    pub fn ended(&mut self, now: Time, server: u32, refused: bool) {
        self.told
            .get_mut(&server)
            .into_iter()
            .for_each(|told| told.since -= 1);
        if refused {
            self.doubt(now, server);
        }
    }

    /// For as long as reports last, this server's draws nothing.
    pub fn doubt(&mut self, now: Time, server: u32) {
        let until = now + self.lasts();
        self.told
            .get_mut(&server)
            .into_iter()
            .for_each(|told| told.doubted = until);
    }

    /// The server went, or started anew.
    pub fn forget(&mut self, server: u32) {
        self.told.remove(&server);
    }

    /// How long a report says anything (us).
    pub fn lasts(&self) -> Time {
        (FADES * self.gap) as Time
    }

    /// How far a server's report is believed: 1 when new, 0 once it says nothing or none came.
    pub fn trust(&self, now: Time, server: u32) -> f64 {
        self.told
            .get(&server)
            .map_or(0.0, |told| self.faded(now, told))
    }

    fn faded(&self, now: Time, told: &Told) -> f64 {
        (1.0 - now.saturating_sub(told.at) as f64 / (FADES * self.gap)).clamp(0.0, 1.0)
    }

    /// How crowded a server is beside all that are heard of: 1 is average, and what an unheard one counts as.
    pub fn crowding(&self, now: Time, server: u32) -> f64 {
        self.beside(now, server, self.average(now))
    }

    /// How busy servers are that are heard of, on average.
    pub fn average(&self, now: Time) -> f64 {
        let heard = self
            .told
            .values()
            .filter(|told| self.faded(now, told) > 0.0);
        mean(heard.filter_map(busy)).unwrap_or(0.0)
    }

    /// As [`Reports::crowding`], for many servers with one average.
    pub fn beside(&self, now: Time, server: u32, average: f64) -> f64 {
        let Some(told) = self.told.get(&server) else {
            return 1.0;
        };
        let trust = self.faded(now, told);
        let Some(own) = busy(told).filter(|_| trust > 0.0 && average > 0.0) else {
            return 1.0;
        };
        let crowding = 1.0 + trust * ((own / average).clamp(1.0 / FAR, FAR) - 1.0);
        if now < told.doubted {
            crowding.max(1.0)
        } else {
            crowding
        }
    }

    pub fn servers(&self) -> impl Iterator<Item = u32> + '_ {
        self.told.keys().copied()
    }
}

/// How busy a server is: what it said, and what was sent since beside what it held then.
fn busy(told: &Told) -> Option<f64> {
    let Load { util, inflight, .. } = told.load;
    match (util.map(f64::from), inflight.map(f64::from)) {
        (Some(util), Some(held)) => {
            Some(util * (held + told.since as f64).max(0.0) / held.max(1.0))
        }
        (Some(util), None) => Some(util),
        (None, held) => held.map(|held| (held + told.since as f64).max(0.0)),
    }
}
