//! The replicas of a key: three of the *listed* processes, whether or not they seem alive. Any two quorums of
//! a key therefore share a replica, whatever their members believe of the fleet.

use crate::rendezvous::{hash_prefix, score, Purpose};
use crate::Peer;
use std::cmp::Reverse;
use std::fmt;

/// The number of replicas of a key.
pub(crate) const REPLICAS_PER_KEY: usize = 3;
/// The number of a key's replicas that decide.
pub(crate) const QUORUM: usize = 2;
/// The most members of a replica set. Every lookup hashes the key with each of them.
const MAX_MEMBERS: usize = 256;

/// Why a list of names is not a replica set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaSetError {
    /// This many names are fewer than a key's replicas.
    TooFew(usize),
    /// At least this many names were listed.
    TooMany(usize),
    /// This name is listed twice.
    Duplicate(Peer),
    /// A name is empty.
    EmptyName,
}

impl fmt::Display for ReplicaSetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplicaSetError::TooFew(n) => {
                write!(
                    f,
                    "{n} seats are listed, at least {REPLICAS_PER_KEY} are needed"
                )
            }
            ReplicaSetError::TooMany(n) => {
                write!(f, "{n} seats are listed, at most {MAX_MEMBERS} may be")
            }
            ReplicaSetError::Duplicate(peer) => write!(f, "seat {peer} is listed twice"),
            ReplicaSetError::EmptyName => f.write_str("a seat has no name"),
        }
    }
}

impl std::error::Error for ReplicaSetError {}

/// The processes that the operator lists as replicas (`seat(...)` in the operator's file), in any order.
///
/// ```
/// use foldmux_replicas::{Peer, ReplicaSet};
/// let set = ReplicaSet::new(["n1", "n2", "n3", "n4"].map(Peer::new)).unwrap();
/// let reordered = ReplicaSet::new(["n4", "n2", "n1", "n3"].map(Peer::new)).unwrap();
/// assert_eq!(set.replicas_of(b"key"), reordered.replicas_of(b"key"));
/// assert!(ReplicaSet::new(["n1", "n2", "n1"].map(Peer::new)).is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSet {
    /// Sorted.
    members: Vec<Peer>,
}

impl ReplicaSet {
    /// A set of these members.
    ///
    /// # Errors
    ///
    /// When there are fewer than three or more than 256 names, or one is empty or listed twice.
    pub fn new(names: impl IntoIterator<Item = Peer>) -> Result<ReplicaSet, ReplicaSetError> {
        let mut members: Vec<Peer> = names.into_iter().take(MAX_MEMBERS + 1).collect();
        members.sort();
        if let Some(pair) = members.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(ReplicaSetError::Duplicate(pair[0].clone()));
        }
        match members.len() {
            n if n > MAX_MEMBERS => Err(ReplicaSetError::TooMany(n)),
            n if n < REPLICAS_PER_KEY => Err(ReplicaSetError::TooFew(n)),
            _ if members[0].as_str().is_empty() => Err(ReplicaSetError::EmptyName),
            _ => Ok(ReplicaSet { members }),
        }
    }

    /// All members, sorted by name.
    pub fn members(&self) -> &[Peer] {
        &self.members
    }

    /// The replicas of a key, the highest score first.
    pub fn replicas_of(&self, key: &[u8]) -> [&Peer; REPLICAS_PER_KEY] {
        let mut best = [None; REPLICAS_PER_KEY];
        for member in &self.members {
            // Of two members with equal scores, the lesser name ranks first.
            let mut candidate = Some((score(Purpose::Replicas, member, key), Reverse(member)));
            for rank in &mut best {
                if candidate > *rank {
                    std::mem::swap(rank, &mut candidate);
                }
            }
        }
        best.map(|rank| {
            let (_, Reverse(member)) = rank.expect("a set has three members or more");
            member
        })
    }

    /// Whether a process is one of the key's replicas.
    pub fn is_replica(&self, key: &[u8], peer: &Peer) -> bool {
        self.replicas_of(key).contains(&peer)
    }

    /// A hash of the members: processes with different fingerprints have been given different lists.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for member in &self.members {
            let name = member.as_str().as_bytes();
            hasher
                .update(&(name.len() as u32).to_le_bytes())
                .update(name);
        }
        hash_prefix(&hasher)
    }
}
