//! What processes say to each other of a stream.

use crate::types::{Branch, Event, Place};
use foldmux_replicas::{Peer, Time};
use serde::{Deserialize, Serialize};

/// Between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To a seat: I relay this branch, or want to; `asked` comes back.
    Claim {
        branch: Branch,
        asked: u64,
        lease: Time,
    },
    /// A seat's answer; who holds it else.
    Granted {
        branch: Branch,
        asked: u64,
        other: Option<Peer>,
    },
    LetGo {
        branch: Branch,
    },
    /// Feed me from here on. `late`: who was silent or sent me here. `last`: others have said no, sit out no longer.
    Join {
        branch: Branch,
        nonce: u64,
        place: Option<Place>,
        late: Option<Peer>,
        last: bool,
    },
    Leave {
        branch: Branch,
        nonce: u64,
    },
    /// Numbered on from the join's 0: the first event is `first`.
    News {
        branch: Branch,
        nonce: u64,
        first: u64,
        events: Vec<Event>,
    },
    /// I am there; you have been told so far.
    Beat {
        branch: Branch,
        nonce: u64,
        told: u64,
    },
    Taken {
        branch: Branch,
        nonce: u64,
        told: u64,
    },
    /// Not from me, or soon not: from that one, or whoever is next.
    Elsewhere {
        branch: Branch,
        nonce: u64,
        to: Option<Peer>,
    },
    /// You were silent beyond the patience.
    Late {
        branch: Branch,
    },
}

impl Message {
    pub fn branch(&self) -> &Branch {
        match self {
            Message::Claim { branch, .. }
            | Message::Granted { branch, .. }
            | Message::LetGo { branch }
            | Message::Join { branch, .. }
            | Message::Leave { branch, .. }
            | Message::News { branch, .. }
            | Message::Beat { branch, .. }
            | Message::Taken { branch, .. }
            | Message::Elsewhere { branch, .. }
            | Message::Late { branch } => branch,
        }
    }
}
