//! Stand-ins for tests, the demo and later subsystems, all on loopback: sources that a script makes answer or fail
//! ([`source`]), caches that fill from sources ([`cache`]), an archive that audits keyed requests
//! ([`guarded`]), a proxy that asks an external processor ([`caller`]), an issuer of SVIDs ([`issuer`]), the journal
//! service ([`journal`]), clients ([`client`], [`rpc`]), and a listener that has no room ([`backlog`]).
//!
//! Owns: their sockets and threads, which end when they are dropped. May not: hold what the program under test must
//! hold, or decide anything for it. Each is written from the protocol's text.

pub mod backlog;
pub mod cache;
pub mod caller;
pub mod client;
pub mod guarded;
pub mod issuer;
pub mod journal;
pub mod rpc;
pub mod server;
pub mod source;

use std::time::{SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// The bytes of a part in one version: any reader can tell whether they are whole and the right ones.
pub fn body(object: u64, part: u32, version: u64, length: usize) -> Vec<u8> {
    let mut x = object ^ (part as u64) << 32 ^ version.rotate_left(17) ^ 0x9e37_79b9_7f4a_7c15;
    let mut bytes = Vec::with_capacity(length + 8);
    while bytes.len() < length {
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= x >> 27;
        bytes.extend_from_slice(&x.to_le_bytes());
    }
    bytes.truncate(length);
    bytes
}
