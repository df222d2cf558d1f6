//! What the processes of a fleet share, as the file sets it. Off unless `fleet(…)` is called.

use foldmux_limits::resolve::Located;
use garde::Validate;
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Fleet {
    /// Where this process listens for the others.
    pub listen: SocketAddr,
    /// A file of 64 hexadecimal digits, the same at all: read at the start.
    #[garde(length(min = 1))]
    pub key_file: String,
    #[garde(range(min = 1, max = 60_000))]
    pub lease_ms: u64,
    /// How far a process's clock may run from real time.
    pub drift_percent: f64,
    /// A round trip between any two of the fleet's processes, at the most.
    #[garde(range(min = 1, max = 10_000))]
    pub round_trip_ms: u64,
    /// Asks of this process that wait for the fleet's thread.
    #[garde(range(min = 16, max = 1_000_000))]
    pub queue: u64,
    pub peers: Vec<Peer>,
    /// Those of the peers that speak for keys, streams and pools: the order does not matter.
    pub seats: Vec<String>,
    pub covers: Vec<Located<Cover>>,
    pub streams: Vec<Stream>,
    pub pools: Vec<Pool>,
    /// Of tenants whose share the settings do not tell.
    pub weights: Vec<(String, f64)>,
}

#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Peer {
    #[garde(length(min = 1, max = 255))]
    pub name: String,
    pub address: SocketAddr,
    /// A site, or site, hub and office with strokes between.
    #[garde(length(min = 1, max = 255))]
    pub site: String,
}

/// What becomes of a request that its seats can't keep a record of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Uncovered {
    Run,
    Refuse,
}

/// What becomes of work whose client does not come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unclaimed {
    Finish,
    LetGo,
}

/// A class whose requests are taken over when their proxy is lost.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Cover {
    #[garde(length(min = 1, max = 64))]
    pub class: String,
    pub uncovered: Uncovered,
    pub unclaimed: Unclaimed,
    /// How long an answer is kept for a client that comes again.
    #[garde(range(min = 1, max = 600_000))]
    pub keep_ms: u64,
    /// The receiver understands terms: each attempt says its own.
    pub terms: bool,
}

/// What becomes of a reader that is slower than its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slow {
    All,
    Latest,
    Skip,
}

/// What a reader with no place in the stream is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFirst {
    Whole,
    Ring,
    Live,
}

/// A stream that is read once for each site.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Stream {
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    pub slow: Slow,
    pub first: StreamFirst,
    /// How long without a word until a relay counts as silent.
    #[garde(range(min = 3, max = 60_000))]
    pub patience_ms: u64,
    /// What matters so long to a reader that was away.
    #[garde(range(min = 0, max = 3_600_000))]
    pub window_ms: u64,
    /// The ring's bounds.
    #[garde(range(min = 1, max = 1_000_000))]
    pub items: u64,
    #[garde(range(min = 1, max = 1_048_576))]
    pub kb: u64,
    /// Readers of this process at one time, its own too.
    #[garde(range(min = 2, max = 65_535))]
    pub readers: u64,
    /// Where this process serves it to readers of its site that are no peers, such as hubs.
    pub serve: Option<SocketAddr>,
}

/// Whom a pool's slots are shared among.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolBy {
    Tenant,
    Class,
    Caller,
}

/// Slots that all processes of the fleet hold together.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Pool {
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    #[garde(range(min = 1, max = 65_535))]
    pub slots: u64,
    pub by: PoolBy,
}

impl Fleet {
    /// Classes that are covered and are none of these: where the file says so, and why not.
    pub fn unknown<'a>(&'a self, classes: &'a [String]) -> impl Iterator<Item = String> + 'a {
        let strange = |said: &&Located<Cover>| !classes.contains(&said.value.class);
        self.covers.iter().filter(strange).map(|said| {
            format!(
                "{}: cover names the class {}, which the settings do not have",
                said.at, said.value.class
            )
        })
    }

    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.name == name)
    }

    /// What no single call shows.
    pub(crate) fn fits(&self) -> Result<(), String> {
        let drift = foldmux_replicas::ClockDrift::from_percent(self.drift_percent);
        let drift = drift.map_err(|_| {
            let most = foldmux_replicas::ClockDrift::MAX_PERCENT;
            format!(
                "drift_percent: {} is not within 0 to {most}",
                self.drift_percent
            )
        })?;
        // The holder asks again after a third of what it may count on, and the answers take a round trip.
        let (held, trip) = (
            drift.shortened(self.lease_ms * 1_000) / 1_000,
            self.round_trip_ms,
        );
        if held < 3 * trip {
            let d = self.drift_percent;
            return Err(format!(
                "lease_ms: {} is too short: {held} ms are sure with clocks off by {d} percent, and 3 round trips take {}",
                self.lease_ms,
                3 * trip
            ));
        }
        if self.seats.len() < 3 {
            return Err(format!(
                "{} seats, and three at least speak for a key: call seat(…)",
                self.seats.len()
            ));
        }
        Ok(())
    }
}
