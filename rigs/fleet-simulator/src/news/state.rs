//! The state of the stream: its source, a reader at each instance, and the steps that are scheduled.

use foldmux_relay::Item;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Source {
    pub(super) epoch: u64,
    pub(super) told: Vec<Item>,
    pub(super) count: u64,
    pub(super) waiting: BTreeMap<usize, (u64, u64)>,
    pub(super) next_reader: u64,
    pub(super) restarts: bool,
}

#[derive(Default)]
pub struct Reading {
    pub(super) open: bool,
    pub(super) first: bool,
    pub(super) tail: (u64, u64),
    pub(super) poll: u64,
    pub(super) reader: Option<u64>,
    /// How far its reader knows.
    pub(super) at: Option<(u64, u64)>,
}

pub enum Step {
    Answer {
        poll: u64,
        epoch: u64,
        items: Vec<Item>,
    },
    Quiet {
        poll: u64,
    },
    Unfed {
        poll: u64,
    },
    Taken {
        reader: u64,
        number: u64,
    },
}

pub enum Outside {
    Publish,
    Restart,
    Poll { at: usize, life: u64, poll: u64 },
}
