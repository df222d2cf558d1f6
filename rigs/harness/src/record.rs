//! What happened, one JSON line an event, in the order in which the rig saw it. The lab writes the same lines in virtual time.

pub use crate::event::{Event, Outcome};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Microseconds on the rig's own clock, from the start of the record.
pub type Time = u64;

/// Lines kept; beyond that a run is not judged.
const MOST: usize = 4_000_000;

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
        Record {
            began: Instant::now(),
            kept: Arc::default(),
        }
    }
}

impl Record {
    /// Adds an event that happens now. The lock gives the order: what a thread adds after it saw another's effect comes after.
    pub fn add(&self, event: Event) {
        let mut kept = self.kept();
        match kept.lines.len() < MOST {
            true => kept.lines.push(Line {
                at: self.began.elapsed().as_micros() as Time,
                event,
            }),
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
    let lines = from
        .lines()
        .filter(|line| !matches!(line, Ok(text) if text.trim().is_empty()));
    lines
        .map(|line| Ok(serde_json::from_str(&line?)?))
        .collect()
}
