//! What the ledger is asked, and what it answers.

use crate::tree::Stamp;
use crate::Time;

/// A part of an object, by the class that asks for it: what one fetch brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Index of the class in the settings.
    pub class: u32,
    /// Id of the object.
    pub object: u64,
    /// Part of the object, from 0.
    pub part: u32,
}

/// One fetch at this hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FetchId(pub u64);

/// One who waits for a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitId(pub u64);

/// Which fills may wait for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Lane {
    /// All nodes so far went by this tree.
    Of(Stamp),
    /// It passed nodes of two trees: it waits for no other fill.
    Solo,
}

/// How a fill comes to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The tree that its sender went by; none where it begins here.
    pub stamp: Option<Stamp>,
    /// It is solo already: it must not wait.
    pub solo: bool,
}

impl Arrival {
    /// A fill that begins at this node.
    pub const BEGINS: Arrival = Arrival {
        stamp: None,
        solo: false,
    };

    /// The lane in which it goes on from a node that goes by `present`.
    pub fn lane(&self, present: Stamp) -> Lane {
        match self.stamp {
            _ if self.solo => Lane::Solo,
            Some(stamp) if stamp != present => Lane::Solo,
            _ => Lane::Of(present),
        }
    }
}

/// A part that somebody wants and that is not held here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Want {
    /// The part.
    pub key: Key,
    /// How the fill came here.
    pub arrival: Arrival,
    /// The tree in service at this node.
    pub present: Stamp,
    /// When a copy must have left the archive at the earliest; 0: any will do. Not on this node's clock.
    pub born_after: u64,
    /// When whoever asks gives up.
    pub until: Time,
}

/// What whoever wants a part is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Make this fetch, and wait for it.
    Lead(FetchId, WaitId),
    /// Wait for this fetch, which another makes.
    Join(FetchId, WaitId),
    /// No room for a further fetch, or for one more who waits: refused at once.
    Full,
}

/// What becomes of a fetch whose source failed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Once more, from another source, for all who wait. The number tells this try from those before.
    Again(u32),
    /// Nobody waits, or there is no time or try left: all who wait are told so.
    Over,
    /// Word from a try that was given up before, or of a fetch that has ended.
    Stale,
}

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Fetches under way at once.
    pub fetches: usize,
    /// Who wait for them, all together.
    pub waits: usize,
    /// A try that shows no progress for so long is given up.
    pub lease: Time,
    /// Tries of one fetch.
    pub attempts: u32,
}

/// What happened, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Fetches begun.
    pub led: u64,
    /// Misses that joined a fetch under way.
    pub joined: u64,
    /// Misses refused for want of room.
    pub full: u64,
    /// Further tries of a fetch.
    pub again: u64,
    /// Tries whose lease ran out.
    pub lapsed: u64,
    /// Fetches that nobody waited for any more.
    pub called_off: u64,
}
