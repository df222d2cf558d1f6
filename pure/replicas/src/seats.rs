//! The seats: the processes that speak for the fleet. Each key lies on three of the *listed* names, whoever
//! seems alive, so that any two majorities of a key's seats have a seat in common, whatever their owners
//! believe of the fleet.

use crate::order::{score, SEAT};
use crate::Peer;
use std::cmp::Reverse;
use std::fmt;

/// The seats of a key.
pub const SEATS: usize = 3;
/// So many of them decide.
pub const MAJORITY: usize = 2;
/// Names that a list may have; a key is hashed with each.
pub const MOST: usize = 256;

/// Why a list of seats is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadSeats {
    TooFew(usize),
    TooMany(usize),
    Twice(Peer),
    Unnamed,
}

impl fmt::Display for BadSeats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadSeats::TooFew(n) => write!(f, "{n} seats are listed, at least {SEATS} are needed"),
            BadSeats::TooMany(n) => write!(f, "{n} seats are listed, at most {MOST} may be"),
            BadSeats::Twice(peer) => write!(f, "seat {peer} is listed twice"),
            BadSeats::Unnamed => f.write_str("a seat has no name"),
        }
    }
}

impl std::error::Error for BadSeats {}

/// The names that the operator lists as seats; their order has no meaning.
///
/// ```
/// use foldmux_replicas::{Peer, Seats};
/// let seats = Seats::new(["n1", "n2", "n3", "n4"].map(Peer::new)).unwrap();
/// let again = Seats::new(["n4", "n2", "n1", "n3"].map(Peer::new)).unwrap();
/// assert_eq!(seats.of(b"key"), again.of(b"key"));
/// assert!(Seats::new(["n1", "n2", "n1"].map(Peer::new)).is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seats {
    /// Sorted.
    names: Vec<Peer>,
}

impl Seats {
    pub fn new(names: impl IntoIterator<Item = Peer>) -> Result<Seats, BadSeats> {
        let mut names: Vec<Peer> = names.into_iter().take(MOST + 1).collect();
        names.sort();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(BadSeats::Twice(pair[0].clone()));
        }
        match names.len() {
            n if n > MOST => Err(BadSeats::TooMany(n)),
            n if n < SEATS => Err(BadSeats::TooFew(n)),
            _ if names[0].as_str().is_empty() => Err(BadSeats::Unnamed),
            _ => Ok(Seats { names }),
        }
    }

    pub fn listed(&self) -> &[Peer] {
        &self.names
    }

    /// The three seats of a key, the highest score first.
    pub fn of(&self, key: &[u8]) -> [&Peer; SEATS] {
        let mut best = [None; SEATS];
        for name in &self.names {
            // Of two with one score the earlier name stands first.
            let mut next = Some((score(SEAT, name, key), Reverse(name)));
            for place in &mut best {
                if next > *place {
                    std::mem::swap(place, &mut next);
                }
            }
        }
        best.map(|place| place.expect("three names at least").1 .0)
    }

    /// Whether a process is one of the key's seats.
    pub fn sits(&self, key: &[u8], peer: &Peer) -> bool {
        self.of(key).contains(&peer)
    }

    /// Tells one list from another: two processes with unequal marks have been told unequal lists.
    pub fn mark(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for name in &self.names {
            hasher
                .update(&(name.as_str().len() as u32).to_le_bytes())
                .update(name.as_str().as_bytes());
        }
        u64::from_le_bytes(
            hasher.finalize().as_bytes()[..8]
                .try_into()
                .expect("8 of 32"),
        )
    }
}
