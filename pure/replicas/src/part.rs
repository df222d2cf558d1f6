//! The form of every part of the fleet that decides: messages, asks and time in, messages and answers out.
//!
//! A part is driven by one owner: the fleet's thread in a process (`edge/fleet`), or the lab in virtual time. It holds state,
//! never waits, and bounds all that it keeps. What it wants done it puts into `out`, in order.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Microseconds on the process's own monotonic clock. Two processes' times are never compared.
pub type Time = u64;

/// A process of the fleet, by the name that the operator's file gives it. A restart keeps the name; which life of it
/// speaks is told by the link's session, and by terms where it matters.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer(pub Arc<str>);

impl Peer {
    pub fn new(name: &str) -> Peer {
        Peer(name.into())
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a part wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Do<M, O> {
    /// Sent once, with no promise that it arrives, in order while the link holds. To oneself it comes back as heard.
    Send { to: Peer, message: M },
    /// For this process: an answer to an ask, or news.
    Tell(O),
}

/// A part of the fleet that decides.
pub trait Part {
    /// What its like in other processes hear. Encoded by the runtime.
    type Message: Serialize + DeserializeOwned;
    /// What this process asks of it.
    type Ask;
    /// What it tells this process.
    type Told;

    /// A message from a peer (or from oneself). It may come twice, late, out of order after a break, or never.
    fn heard(&mut self, now: Time, from: &Peer, message: Self::Message, out: &mut Acts<Self>);

    /// This process wants something.
    fn ask(&mut self, now: Time, ask: Self::Ask, out: &mut Acts<Self>);

    /// What members say of a peer: a hint where to turn, never a proof that it is dead.
    fn peer(&mut self, now: Time, peer: &Peer, alive: bool, out: &mut Acts<Self>);

    /// Called when [`Part::due`] has come, or later.
    fn tick(&mut self, now: Time, out: &mut Acts<Self>);

    /// When it wants the next tick.
    fn due(&self) -> Option<Time>;
}

/// What a part puts its wishes into.
pub type Acts<P> = Vec<Do<<P as Part>::Message, <P as Part>::Told>>;
