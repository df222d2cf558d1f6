//! Processes by their numbers.

use super::Peer;

pub fn peer(at: usize) -> Peer {
    Peer::new(&format!("n{at}"))
}

pub fn index(peer: &Peer) -> usize {
    peer.as_str()[1..].parse().expect("n and a number")
}
