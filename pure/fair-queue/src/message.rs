//! Messages between the processes of a pool, and the commands and events of [`crate::FleetSlots`].

use crate::digest::{Digest, TenantUsage};
use crate::stock::ReturnedSlot;
use crate::Time;
use serde::{Deserialize, Serialize};

/// Identifies a pool: the hash of its name ([`crate::tenants::name_hash`]).
pub type PoolKey = u64;

/// Content of a [`Message`]. The order of variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// To a replica: lease these slots to this incarnation for one lease. `additional` is how many further slots are
    /// wanted.
    Claim {
        incarnation: u64,
        number: u64,
        slots: Vec<u16>,
        additional: u16,
    },
    /// From a replica, in reply to a claim: slots granted, slots refused, and vacant slots if more are wanted.
    ClaimReply {
        incarnation: u64,
        number: u64,
        granted: Vec<u16>,
        refused: Vec<u16>,
        vacant: Vec<u16>,
    },
    /// To a replica: the slots are not held any more, nor claimed by any message with a lower number.
    Release {
        incarnation: u64,
        number: u64,
        slots: Vec<u16>,
    },
    /// From a replica, to a process that wants more slots.
    Vacant { slots: Vec<u16> },
    /// To every other process of the pool.
    Digest(Digest),
}

/// A message between processes, about one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub pool: PoolKey,
    pub body: MessageBody,
}

/// What a process asks of its [`crate::FleetSlots`].
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Reports usage and demand of this process's tenants. `at` is the time (us) on the sender's clock; expiries in
    /// [`Event::SlotHeld`] are on the same clock.
    ReportUsage {
        pool: PoolKey,
        at: Time,
        usage: Vec<TenantUsage>,
    },
    /// Returns slots that this process no longer uses.
    ReturnSlots {
        pool: PoolKey,
        slots: Vec<ReturnedSlot>,
    },
    /// Replaces the weights (in thousandths): those of named tenants by the hash of the name, and that of all unnamed
    /// tenants together.
    SetWeights {
        pool: PoolKey,
        named: Vec<(u64, u64)>,
        unnamed_weight: u64,
    },
    /// This process shuts down: no more slots are claimed.
    Leave { pool: PoolKey },
}

/// What [`crate::FleetSlots`] tells its process.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A slot is held until `expires_at` (us), on the clock of [`Command::ReportUsage`].
    SlotHeld {
        pool: PoolKey,
        slot: u16,
        tenure: u64,
        expires_at: Time,
    },
    /// At most this many slots are to be held; the rest are returned.
    HoldLimit { pool: PoolKey, limit: u16 },
    /// Slot time (us) that tenants used at other processes.
    RemoteUsage {
        pool: PoolKey,
        usage: Vec<(u64, Time)>,
    },
}
