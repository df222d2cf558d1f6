//! The one place where all invariants are checked: it reads a record, of the rig or of the lab, and knows nothing else.

mod caches;
mod keys;
mod slots;
mod streams;

use crate::record::{Line, Time};
use std::fmt;

/// Breaks that are told in words; all are counted.
const TOLD: usize = 20;

/// What a record shows. All but the first group and the times are breaks of an invariant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Keyed requests and what came of them.
    pub keys: u64,
    pub covered: u64,
    pub served: u64,
    pub failed: u64,
    pub refused: u64,
    /// Keys that were refused each time.
    pub turned_away: u64,
    pub again: u64,
    pub cut_off: u64,
    /// Repeats that the archive dropped, and requests of an older term that it refused.
    pub repeats: u64,
    pub stale: u64,
    pub kills: u64,
    pub pauses: u64,
    pub leaves: u64,
    pub cuts: u64,
    pub heard: u64,
    pub gaps: u64,
    /// Most streams that were open at a source at one time, beyond one for each site with a reader.
    pub streams_beyond: u64,
    /// Requests at a cache that is drained, and for a purged object with no bound on its age, each by how long the source had
    /// told it before.
    pub after_drain: Vec<Time>,
    pub after_purge: Vec<Time>,

    /// Runs of a key beyond its first: of covered ones, and of the others.
    pub run_twice: u64,
    pub run_twice_uncovered: u64,
    /// Clients that got no final answer.
    pub lost: u64,
    pub lost_uncovered: u64,
    /// Keys with two different results.
    pub two_answers: u64,
    /// Served with a result that no run gave.
    pub invented: u64,
    /// Numbers that a reader heard twice or out of order.
    pub numbers_twice: u64,
    /// Numbers passed over that were not told as lost.
    pub gaps_untold: u64,
    /// Slots taken beyond a pool's cap.
    pub cap_overrun: u64,

    /// From a kill, or from being told to leave, to the next attempt under a covered key that the dead one had in hand.
    pub after_kill: Vec<Time>,
    pub after_leave: Vec<Time>,
    /// Those of the kills since which no other process was killed, stopped, down or cut: its key's two other seats were there.
    pub after_kill_alone: Vec<Time>,
    pub told: Vec<String>,
}

impl Verdict {
    pub(crate) fn tell(&mut self, at: Time, what: impl FnOnce() -> String) {
        if self.told.len() < TOLD {
            let said = format!("{:>10.3} s  {}", at as f64 / 1e6, what());
            self.told.push(said);
        }
    }

    /// No invariant was broken.
    pub fn sound(&self) -> bool {
        self.breaks().iter().all(|(_, count)| *count == 0)
    }

    pub fn breaks(&self) -> [(&'static str, u64); 7] {
        [
            ("run twice", self.run_twice),
            ("covered and lost", self.lost),
            ("two answers", self.two_answers),
            ("results that no run gave", self.invented),
            ("numbers twice or out of order", self.numbers_twice),
            ("gaps untold", self.gaps_untold),
            ("cap overrun", self.cap_overrun),
        ]
    }
}

/// The value that so much of all lie at or under.
pub fn percentile(times: &[Time], part: f64) -> Option<Time> {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied()
}

/// Reads a whole record.
pub fn read(lines: &[Line]) -> Verdict {
    let mut verdict = Verdict::default();
    let (mut keys, mut streams, mut slots) = (
        keys::Keys::default(),
        streams::Streams::default(),
        slots::Slots::default(),
    );
    let mut caches = caches::Caches::default();
    for line in lines {
        keys.take(line, &mut verdict);
        streams.take(line, &mut verdict);
        slots.take(line, &mut verdict);
        caches.take(line, &mut verdict);
    }
    keys.end(&mut verdict);
    slots.end(&mut verdict);
    verdict
}

impl Verdict {
    /// What happened, without a judgement.
    pub fn facts(&self, f: &mut impl fmt::Write) -> fmt::Result {
        for (name, count) in [
            ("keyed requests", self.keys),
            ("  covered", self.covered),
            ("  served", self.served),
            ("  failed", self.failed),
            ("  asked again", self.again),
            ("  cut off", self.cut_off),
            ("  refused", self.refused),
            ("  turned away for good", self.turned_away),
            ("repeats dropped by the archive", self.repeats),
            ("old terms refused by the archive", self.stale),
            ("kills", self.kills),
            ("pauses", self.pauses),
            ("leaves", self.leaves),
            ("cuts", self.cuts),
            ("run twice, not covered", self.run_twice_uncovered),
            ("lost, not covered", self.lost_uncovered),
            ("news heard", self.heard),
            ("streams beyond one a site, at most", self.streams_beyond),
        ] {
            writeln!(f, "{name:<36} {count:>9}")?;
        }
        for (name, times) in [
            ("kill", &self.after_kill),
            ("  no other down", &self.after_kill_alone),
            ("leave", &self.after_leave),
        ] {
            if let (Some(half), Some(most)) = (percentile(times, 0.5), percentile(times, 0.99)) {
                let (n, half, most) = (times.len(), half as f64 / 1e3, most as f64 / 1e3);
                let name = format!("{name} to the next attempt");
                writeln!(f, "{name:<36} {n:>9}   p50 {half:.0} ms, p99 {most:.0} ms")?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.facts(f)?;
        for (name, count) in self.breaks() {
            let word = if count == 0 { "kept  " } else { "BROKEN" };
            writeln!(f, "{word} {name:<29} {count:>9}")?;
        }
        self.told.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}
