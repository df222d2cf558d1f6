//! Who is in the fleet, and who seems alive: SWIM (joins, suspicion, refutation by incarnation, leaving on
//! purpose, restart under the same name), over the library `foca`, as a pure part of the form of
//! `foldmux-replicas`.
//!
//! Owns: the identity of a process and which life of it holds ([`NodeIdentity`]), what is taken in of packets, foca's
//! timers and chance, what is told of peers ([`Event`], [`MemberView`]). May not: do I/O, read a clock, start
//! threads, draw chance other than from the seed passed in; nor decide anything by who seems alive. What it
//! tells is a hint where to turn: two processes may be told unlike things, so that who may speak for the
//! fleet is decided by seats, never by members.

mod admission;
mod event;
mod identity;
mod members;
mod pace;
#[cfg(feature = "planted")]
pub mod planted;
mod timers;

pub use admission::Refused;
pub use event::{Event, MemberView, State};
pub use identity::{NodeIdentity, MAX_NAME_BYTES};
pub use members::{Counts, Members, Setup};
pub use pace::{Pace, MAX_PACKET_BYTES};

use foldmux_replicas::Peer;
use serde::{Deserialize, Serialize};
use std::fmt;

/// What members say to each other: foca's bytes, that only foca reads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet(pub Vec<u8>);

/// What a process asks. No answer is owed: news comes as [`Event`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// From now on be found, and find the others through these, of whom any one that runs is enough.
    Join(Vec<Peer>),
    /// Tell all, and be silent.
    Leave,
}

/// Why a process can't be a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadMembers {
    /// Its name or site is longer than [`MAX_NAME_BYTES`], or it has none.
    Name(Peer),
    /// A round trip of 0.
    Pace,
}

impl fmt::Display for BadMembers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadMembers::Name(name) => {
                write!(
                    f,
                    "member {name} needs a name and a site of at most {MAX_NAME_BYTES} bytes"
                )
            }
            BadMembers::Pace => f.write_str("the round trip of members is 0"),
        }
    }
}

impl std::error::Error for BadMembers {}
