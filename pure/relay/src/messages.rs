//! The messages between the processes of a fleet.

use crate::types::{Branch, Event, Position};
use foldmux_replicas::{Peer, Time};
use serde::{Deserialize, Serialize};

/// A message about a branch. The order of the variants and of their fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To a replica: requests or renews the sender's lease on the branch. The reply repeats `request`.
    Claim {
        branch: Branch,
        request: u64,
        lease: Time,
    },
    /// A replica's reply. `holder` is the other process that holds the lease; `None` means that the lease is
    /// granted.
    ClaimReply {
        branch: Branch,
        request: u64,
        holder: Option<Peer>,
    },
    /// Gives up the lease.
    Release { branch: Branch },
    /// Subscribes the sender to the branch, from `position` on. `replaces`: the relay that was silent or
    /// redirected the sender. `last_resort`: others have declined, so the receiver must not decline for being
    /// ineligible.
    Join {
        branch: Branch,
        nonce: u64,
        position: Option<Position>,
        replaces: Option<Peer>,
        last_resort: bool,
    },
    /// Ends the subscription that was opened with `nonce`.
    Leave { branch: Branch, nonce: u64 },
    /// Events for a follower. They are numbered from 1 for each join; the first is `first`.
    Events {
        branch: Branch,
        nonce: u64,
        first: u64,
        events: Vec<Event>,
    },
    /// The relay is alive, and has sent events up to the number `sent`.
    Heartbeat {
        branch: Branch,
        nonce: u64,
        sent: u64,
    },
    /// The follower has received all events up to this number. Also answers a heartbeat.
    Acknowledge {
        branch: Branch,
        nonce: u64,
        received: u64,
    },
    /// The sender does not relay the branch, or soon will not. Join `to`, or else the next candidate.
    Redirect {
        branch: Branch,
        nonce: u64,
        to: Option<Peer>,
    },
    /// The receiver was silent for longer than the silence timeout.
    Late { branch: Branch },
}

impl Message {
    pub fn branch(&self) -> &Branch {
        match self {
            Message::Claim { branch, .. }
            | Message::ClaimReply { branch, .. }
            | Message::Release { branch }
            | Message::Join { branch, .. }
            | Message::Leave { branch, .. }
            | Message::Events { branch, .. }
            | Message::Heartbeat { branch, .. }
            | Message::Acknowledge { branch, .. }
            | Message::Redirect { branch, .. }
            | Message::Late { branch } => branch,
        }
    }
}
