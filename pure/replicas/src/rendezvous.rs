//! Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998).
//!
//! Each process finds the same order of names for a key without communication, and a name that is added or
//! removed only affects the keys that it ranks first for. The hash is unseeded BLAKE3, which must never
//! change: processes of different versions and machines have to agree.

use crate::Peer;

/// What an order is used for. The orders are independent, so that the first successor of a key is no likelier to be
/// one of its replicas than any other process is.
#[derive(Clone, Copy)]
pub(crate) enum Purpose {
    Replicas = 0,
    Succession = 1,
}

pub(crate) fn score(purpose: Purpose, name: &Peer, key: &[u8]) -> u64 {
    let name = name.as_str().as_bytes();
    let mut hasher = blake3::Hasher::new();
    // The length separates the name from the key.
    hasher
        .update(&[purpose as u8])
        .update(&(name.len() as u32).to_le_bytes())
        .update(name)
        .update(key);
    hash_prefix(&hasher)
}

/// The first eight bytes of the hash, little endian.
pub(crate) fn hash_prefix(hasher: &blake3::Hasher) -> u64 {
    let hash = hasher.finalize();
    let prefix = hash.as_bytes().first_chunk().expect("a hash has 32 bytes");
    u64::from_le_bytes(*prefix)
}

/// The peers in the key's order of succession, the next in line first. Equal names are adjacent.
///
/// ```
/// use foldmux_replicas::{rendezvous, Peer};
/// let peers = ["n1", "n2", "n3"].map(Peer::new);
/// let ranked = rendezvous::ranked(b"key", &peers);
/// let without_first = peers.iter().filter(|peer| *peer != ranked[0]);
/// assert_eq!(rendezvous::ranked(b"key", without_first), ranked[1..]);
/// ```
pub fn ranked<'a>(key: &[u8], peers: impl IntoIterator<Item = &'a Peer>) -> Vec<&'a Peer> {
    let mut scored: Vec<_> = peers
        .into_iter()
        .map(|peer| (score(Purpose::Succession, peer, key), peer))
        .collect();
    scored.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
    scored.into_iter().map(|(_, peer)| peer).collect()
}

/// The next in line for the key: the first of [`ranked`], without sorting.
pub fn first<'a>(key: &[u8], peers: impl IntoIterator<Item = &'a Peer>) -> Option<&'a Peer> {
    peers
        .into_iter()
        .map(|peer| (score(Purpose::Succession, peer, key), peer))
        .max_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(a.1)))
        .map(|(_, peer)| peer)
}
