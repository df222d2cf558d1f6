//! Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): each process finds the same
//! order of names for a key with nothing said between them, and a name that comes or goes moves only what lay
//! on it. The hash is blake3: kept, with no seed, the same in every version of the program and on every
//! machine.

use crate::Peer;

/// The orders are drawn apart, so that the first in line is no likelier to be a seat than another.
pub(crate) const SEAT: u8 = 0;
const LINE: u8 = 1;

pub(crate) fn score(which: u8, name: &Peer, key: &[u8]) -> u64 {
    let name = name.as_str().as_bytes();
    let mut hasher = blake3::Hasher::new();
    // The length keeps a name and a key apart.
    hasher
        .update(&[which])
        .update(&(name.len() as u32).to_le_bytes())
        .update(name)
        .update(key);
    u64::from_le_bytes(
        hasher.finalize().as_bytes()[..8]
            .try_into()
            .expect("8 of 32"),
    )
}

/// The peers in a key's order, next in line first; equal names stand side by side.
///
/// ```
/// use foldmux_replicas::{order, Peer};
/// let peers = ["n1", "n2", "n3"].map(Peer::new);
/// let line = order::of(b"key", &peers);
/// let left = order::of(b"key", peers.iter().filter(|peer| *peer != line[0]));
/// assert_eq!(left, line[1..]);
/// ```
pub fn of<'a>(key: &[u8], peers: impl IntoIterator<Item = &'a Peer>) -> Vec<&'a Peer> {
    let mut line: Vec<_> = peers
        .into_iter()
        .map(|peer| (score(LINE, peer, key), peer))
        .collect();
    line.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
    line.into_iter().map(|(_, peer)| peer).collect()
}

/// The next in line: the first of [`of`], without sorting.
pub fn first<'a>(key: &[u8], peers: impl IntoIterator<Item = &'a Peer>) -> Option<&'a Peer> {
    let scored = peers.into_iter().map(|peer| (score(LINE, peer, key), peer));
    scored
        .max_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(a.1)))
        .map(|(_, peer)| peer)
}
