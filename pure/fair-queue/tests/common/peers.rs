//! Names of processes by their indices.

use super::Peer;

pub fn peer(at: usize) -> Peer {
    Peer::new(&format!("n{at}"))
}

pub fn index(peer: &Peer) -> usize {
    peer.as_str()[1..].parse().expect("a name like n0")
}
