//! The state of keyed requests: clients, owners, and the steps that are scheduled.

use super::Came;
use foldmux_harness::record::Time;
use foldmux_takeover::Lease;
use std::collections::HashMap;

/// A request's thread at the instance that owns the work.
pub struct Host {
    pub(super) client: Option<usize>,
    pub(super) lease: Lease,
    pub(super) term: u64,
    pub(super) group: u32,
    pub(super) number: u8,
    pub(super) out: bool,
    pub(super) may_have_run: bool,
}

#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    Claim {
        client: usize,
    },
    Intend {
        key: u32,
    },
    Done {
        key: u32,
        client: Option<usize>,
        run: Option<u32>,
    },
}

#[derive(Default)]
pub struct Desk {
    pub(super) hosts: HashMap<u32, Host>,
    pub(super) tickets: HashMap<u64, Purpose>,
}

impl Desk {
    pub fn open(&self) -> usize {
        self.tickets.len()
    }

    /// Whose connections end with the instance.
    pub fn clients(&self) -> Vec<usize> {
        let waiting = self.tickets.values().filter_map(|purpose| match purpose {
            Purpose::Claim { client } => Some(*client),
            Purpose::Done { client, .. } => *client,
            Purpose::Intend { .. } => None,
        });
        let mut all: Vec<usize> = waiting
            .chain(self.hosts.values().filter_map(|host| host.client))
            .collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

pub struct Client {
    pub(super) key: u32,
    pub(super) until: Time,
    pub(super) answered: bool,
    /// Which of its asks is open.
    pub(super) turn: u32,
}

/// At an instance.
pub enum Step {
    Send {
        key: u32,
    },
    Again {
        key: u32,
    },
    Came {
        key: u32,
        term: u64,
        number: u8,
        came: Came,
    },
    TimeOut {
        key: u32,
        term: u64,
        number: u8,
    },
}

/// Outside of all.
pub enum Outside {
    New {
        key: u32,
        at: usize,
    },
    Ask {
        client: usize,
        turn: u32,
        at: usize,
    },
    Arrive {
        at: usize,
        life: u64,
        key: u32,
        group: u32,
        term: u64,
        number: u8,
    },
}
