//! Links between the processes of a fleet, over TCP.
//!
//! Owns: the frames ([`frame`]), how two ends come to one link ([`hello`]), its queue and its threads ([`link`]), which
//! links of a peer are live ([`live`]), who dials and who accepts ([`links`]). May not: know what a frame says, decide
//! anything for the fleet, or make whoever sends wait.
//!
//! What holds: a frame is heard at most once, in order within its link, whole, from a process that has the fleet's key,
//! or its link ends. A peer that is slow, silent, mad or of another version costs itself only: each has a queue, a
//! window of frames that are not dealt with yet, and threads of its own. Nothing is promised to arrive.
//!
//! Two processes of one name (an upgrade beside a running process) may both be linked. What is sent goes to the one
//! that began last, by its own wall clock; the one before it is still heard until it ends, so that it can hand over.
//! A third ends the first.

pub mod counts;
pub mod frame;
pub mod hello;
pub mod link;
pub mod links;
mod listen;
pub mod live;
pub mod wire;

pub use counts::Counts;
pub use links::Links;

use foldmux_replicas::Peer;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// One life of a process. Those that began later are greater; a clock set back over a restart makes the new life the
/// one that is heard and not sent to, until the links of the old one have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Session {
    /// When it began, in microseconds of its wall clock.
    pub began: u64,
    /// Drawn at its start.
    pub nonce: u64,
}

pub struct Config {
    pub name: Peer,
    pub listen: SocketAddr,
    /// The fleet's others, and where they listen; oneself among them is passed over. No other name is linked.
    pub peers: Vec<(Peer, SocketAddr)>,
    pub key: [u8; 32],
    /// For the spread of dials.
    pub seed: u64,
    pub bounds: Bounds,
}

#[derive(Clone, Debug)]
pub struct Bounds {
    /// Longest message of a frame, in bytes.
    pub frame: usize,
    /// What waits to be written to a peer; beyond it the newest is dropped and counted.
    pub queue_frames: usize,
    pub queue_bytes: usize,
    /// Frames of one link that were handed over and are not dealt with: beyond it the link is not read.
    pub window: usize,
    /// Connections accepted at once, those that have not said who they are among them.
    pub accepted: usize,
    pub dial: Duration,
    pub hello: Duration,
    /// A link on which no whole frame comes for so long is ended.
    pub idle: Duration,
    /// A link on which nothing was sent for so long is sent a beat: a third of `idle` or less.
    pub beat: Duration,
    /// Longest that what is handed to the socket at once may take to be taken.
    pub write: Duration,
    /// The range of the first wait between dials, and the longest.
    pub again: (Duration, Duration),
}

/// Fits any fleet of some dozens on one network: a frame is far over any message of the parts, which bound theirs by
/// answers kept; times are some round trips of a wide network, and idle is under what a lease's end would wait for.
impl Default for Bounds {
    fn default() -> Bounds {
        let ms = Duration::from_millis;
        Bounds {
            frame: 1 << 20,
            queue_frames: 4_096,
            queue_bytes: 8 << 20,
            window: 64,
            accepted: 256,
            dial: ms(500),
            hello: ms(1_000),
            idle: ms(1_500),
            beat: ms(300),
            write: ms(1_000),
            again: (ms(20), ms(500)),
        }
    }
}

/// What comes of the links. Sessions of a peer may overlap: it is linked while one of them is up.
#[derive(Debug)]
pub enum Incoming {
    Up {
        peer: Peer,
        session: Session,
    },
    Down {
        peer: Peer,
        session: Session,
    },
    Frame {
        from: Peer,
        session: Session,
        part: u8,
        bytes: Vec<u8>,
        held: link::Held,
    },
}
