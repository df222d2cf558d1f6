//! What an edge proxy is told: one JSON document, decoded once into the values that the program uses.

use crate::journal::Feed;
use foldmux_settings::{Decoded, Facts};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Deserialize)]
struct Document {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Limits,
    journal: Option<SocketAddr>,
    /// The operator line's address.
    operator: Option<SocketAddr>,
    #[serde(default)]
    known: Feed,
    settings: Facts,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

/// Every bound of the program, from the limits on descriptors and memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Client connections of the platform's front: the third of the descriptors that clients may hold.
    pub clients: usize,
    /// Open requests: each has a thread, a buffer and at most one socket.
    pub open: usize,
    /// Connections to pop caches, those out and those idle together.
    pub upstream: usize,
    pub buffers: usize,
    /// TCP and TLS connections of the DNS front.
    pub dns: usize,
}

impl Bounds {
    fn new(limits: &Limits) -> Bounds {
        let sockets = limits.sockets;
        // Buffers may take 7/10 of the memory; each request needs one, and writes one more.
        let buffers = (limits.memory_mb * 1024 * 1024 * 7 / 10 / foldmux_core::buffers::SIZE).max(8);
        Bounds {
            clients: (sockets / 3).max(1),
            open: (sockets / 2).min(buffers * 15 / 16).max(1),
            upstream: (sockets * 37 / 64).max(1),
            buffers,
            dns: (sockets / 16).max(1),
        }
    }
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub journal: Option<SocketAddr>,
    /// The operator line's address, where there is one (`operator`, or `$GW_OPERATOR`).
    pub operator: Option<SocketAddr>,
    pub known: Feed,
    pub bounds: Bounds,
    /// The limits that the bounds follow from: descriptors, and memory (MB).
    pub limits: [u64; 2],
    pub decoded: Decoded,
}

/// The configuration in a file, with what the environment overrides.
pub fn read(file: &Path) -> Result<Config, String> {
    let bytes = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let mut config = parse(bytes)?;
    if let Ok(listen) = std::env::var("GW_LISTEN") {
        config.listen = listen.parse().map_err(|_| format!("GW_LISTEN {listen:?} is no address"))?;
    }
    if let Ok(operator) = std::env::var("GW_OPERATOR") {
        let address = operator.parse().map_err(|_| format!("GW_OPERATOR {operator:?} is no address"))?;
        config.operator = Some(address);
    }
    if let Ok(name) = std::env::var("GW_NAME") {
        config.name = name;
    }
    Ok(config)
}

/// A seed for a proxy that is told none: its own by name and address.
fn unlike(name: &str, listen: SocketAddr) -> u64 {
    format!("{name} {listen}").bytes().fold(0, |seed, byte| foldmux_figures::mix(seed ^ byte as u64))
}

/// The configuration, or one plain line on what is wrong with it.
pub fn parse(mut bytes: Vec<u8>) -> Result<Config, String> {
    let document: Document =
        simd_json::serde::from_slice(&mut bytes).map_err(|e| format!("configuration: {e}"))?;
    let decoded = document.settings.decode().map_err(|e| format!("configuration: {e}"))?;
    if document.limits.sockets < 64 || document.limits.memory_mb < 16 {
        return Err("configuration: limits are under 64 sockets or 16 MB: too few to serve".to_string());
    }
    let seed = match document.seed.as_str() {
        // Where none is told: proxies must not draw alike.
        "" => unlike(&document.name, document.listen),
        text => u64::from_str_radix(text, 16)
            .map_err(|_| format!("configuration: seed {text:?} is not hexadecimal"))?,
    };
    Ok(Config {
        name: document.name,
        listen: document.listen,
        seed,
        journal: document.journal,
        operator: document.operator,
        known: document.known,
        bounds: Bounds::new(&document.limits),
        limits: [document.limits.sockets as u64, document.limits.memory_mb as u64],
        decoded,
    })
}
