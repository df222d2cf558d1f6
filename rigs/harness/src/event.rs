//! What can happen, in the words of the record.

use serde::{Deserialize, Serialize};

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
    /// The next of a reader's own numbers.
    Numbered {
        stream: String,
        reader: u64,
        number: u64,
    },
    /// A reader was told a list, or a line of it, of this index.
    Listed {
        stream: String,
        reader: u64,
        index: u64,
    },
    Parted {
        stream: String,
        site: String,
        reader: u64,
    },

    // Caches, and what they are asked. The source told it now.
    Drained {
        cache: usize,
    },
    Purged {
        object: u64,
    },
    /// A request at a cache; how old a copy may be.
    Came {
        cache: usize,
        by: Option<usize>,
        object: u64,
        max_age_ms: Option<u64>,
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
