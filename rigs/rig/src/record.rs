//! What happened, one JSON line an event, in the order in which the rig saw it. The lab writes the same lines in virtual time.

use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Microseconds on the rig's own clock, from the start of the record.
pub type Time = u64;

/// Lines kept; beyond that a run is not judged.
const MOST: usize = 4_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Served,
    Failed,
}

/// Processes go by their number in the plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    Planned {
        seed: u64,
        processes: usize,
        sites: usize,
    },

    // Faults, and their ends.
    Started {
        process: usize,
    },
    Killed {
        process: usize,
    },
    Paused {
        process: usize,
    },
    Woken {
        process: usize,
    },
    /// Told to leave.
    Left {
        process: usize,
    },
    Ended {
        process: usize,
    },
    /// `line` is words; the way is `there`, `back` or `both`.
    Cut {
        line: String,
        way: String,
    },
    Healed {
        line: String,
    },

    // Keyed requests, as their clients see them.
    Asked {
        key: String,
        process: usize,
        covered: bool,
        again: bool,
    },
    /// The connection broke, or nothing came in the client's time: it may ask again.
    CutOff {
        key: String,
        process: usize,
    },
    Refused {
        key: String,
        process: usize,
        wait_ms: u64,
    },
    Answered {
        key: String,
        process: usize,
        outcome: Outcome,
        result: String,
    },
    /// The client asks no more.
    GaveUp {
        key: String,
    },

    // As the archive sees them.
    Reached {
        key: String,
        by: Option<usize>,
        term: Option<u64>,
    },
    Ran {
        key: String,
        by: Option<usize>,
        term: Option<u64>,
    },
    /// A repeat: answered as the first.
    Dropped {
        key: String,
        by: Option<usize>,
    },
    /// Of an older term: refused.
    Stale {
        key: String,
        by: Option<usize>,
        term: u64,
    },

    // Streams. Numbers and epochs are the source's.
    Sent {
        stream: String,
        epoch: u64,
        number: u64,
    },
    Opened {
        stream: String,
        site: String,
    },
    Closed {
        stream: String,
        site: String,
    },
    /// A reader begins, or begins anew: what it hears next is its first.
    Joined {
        stream: String,
        site: String,
        reader: u64,
    },
    Heard {
        stream: String,
        reader: u64,
        epoch: u64,
        number: u64,
    },
    /// Told as lost, both ends too.
    Gap {
        stream: String,
        reader: u64,
        epoch: u64,
        from: u64,
        to: u64,
    },
    /// All up to this number, in one piece.
    Snapshot {
        stream: String,
        reader: u64,
        epoch: u64,
        number: u64,
    },
    Parted {
        stream: String,
        site: String,
        reader: u64,
    },

    // Slots of pools, as their other side sees them.
    Cap {
        pool: String,
        slots: u64,
    },
    Taken {
        pool: String,
        by: Option<usize>,
    },
    Given {
        pool: String,
        by: Option<usize>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub at: Time,
    #[serde(flatten)]
    pub event: Event,
}

#[derive(Default)]
struct Kept {
    lines: Vec<Line>,
    beyond: u64,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    kept: Arc<Mutex<Kept>>,
}

impl Default for Record {
    fn default() -> Record {
        Record { began: Instant::now(), kept: Arc::default() }
    }
}

impl Record {
    /// Adds an event that happens now. The lock gives the order: what a thread adds after it saw another's effect comes after.
    pub fn add(&self, event: Event) {
        let mut kept = self.kept();
        match kept.lines.len() < MOST {
            true => kept.lines.push(Line { at: self.began.elapsed().as_micros() as Time, event }),
            false => kept.beyond += 1,
        }
    }

    pub fn now(&self) -> Time {
        self.began.elapsed().as_micros() as Time
    }

    /// All lines so far; none where some were lost, as nothing could be said of such a run.
    pub fn lines(&self) -> Option<Vec<Line>> {
        let kept = self.kept();
        (kept.beyond == 0).then(|| kept.lines.clone())
    }

    pub fn write(&self, mut to: impl Write) -> std::io::Result<()> {
        for line in &self.kept().lines {
            serde_json::to_writer(&mut to, line)?;
            to.write_all(b"\n")?;
        }
        to.flush()
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The lines of a file, as [`Record::write`] left them.
pub fn read(from: impl BufRead) -> std::io::Result<Vec<Line>> {
    let lines = from.lines().filter(|line| !matches!(line, Ok(text) if text.trim().is_empty()));
    lines.map(|line| Ok(serde_json::from_str(&line?)?)).collect()
}
