//! What processes tell each other of a pool, and what this process asks and is told.

use crate::digest::{Digest, Use};
use crate::stock::Gave;
use crate::Time;
use serde::{Deserialize, Serialize};

/// A pool, by its name's hash ([`crate::tenants::key`]).
pub type PoolKey = u64;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// To a replica: these slots for one lease, from a life of the sender's, numbered; and so many more are wanted.
    Claim {
        life: u64,
        number: u64,
        slots: Vec<u16>,
        more: u16,
    },
    /// From a replica, to that claim: granted, refused; and some that are vacant, for who wants more.
    Granted {
        life: u64,
        number: u64,
        slots: Vec<u16>,
        refused: Vec<u16>,
        vacant: Vec<u16>,
    },
    /// To a replica: not held any more, nor claimed by anything numbered lower.
    Free {
        life: u64,
        number: u64,
        slots: Vec<u16>,
    },
    /// From a replica, to one who wanted more.
    Vacant {
        slots: Vec<u16>,
    },
    Digest(Digest),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub pool: PoolKey,
    pub word: Word,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// What this process's tenants used and want, at a time on the clock of whoever asks: ends of leases are told on it.
    Uses {
        pool: PoolKey,
        at: Time,
        uses: Vec<Use>,
    },
    /// Slots that it holds no more.
    Gave { pool: PoolKey, gave: Vec<Gave> },
    /// What tenants weigh, by their keys, from now on, in thousandths; and all that are not named together.
    Weights {
        pool: PoolKey,
        named: Vec<(u64, u64)>,
        unnamed: u64,
    },
    /// It leaves: no more slots are claimed.
    Leaving { pool: PoolKey },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// A slot is held until then, on the clock of whoever asks.
    Held {
        pool: PoolKey,
        slot: u16,
        turn: u64,
        until: Time,
    },
    /// Called back: no more than so many are to be held.
    Most { pool: PoolKey, most: u16 },
    /// Slot time that tenants got by other processes.
    Used { pool: PoolKey, by: Vec<(u64, Time)> },
}
