//! What a hub holds: its book of fetches, its copies, its fences against purged ones, and the places of connections.

use crate::book::{Book, Fill};
use crate::flight::Copy;
use crate::links::Links;
use crate::tally::{add, Tally};
use crossbeam_channel::Sender;
use foldmux_hierarchy::fill_path::PathSigner;
use foldmux_hierarchy::freshness_fence::FreshnessFences;
use foldmux_hierarchy::in_flight::FetchKey;
use foldmux_hierarchy::versions::Applied;
use foldmux_hierarchy::TimestampUs;
use foldmux_operator::{Hierarchy, Relay};
use quick_cache::sync::Cache;
use quick_cache::Weighter;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The hub's clock at its start: what began before has room behind it.
const ORIGIN: TimestampUs = 1 << 40;

/// Classes that are told apart.
const CLASSES_MOST: usize = 256;

/// A copy's weight: its bytes, and what keeping it costs.
#[derive(Clone)]
pub(crate) struct Bytes;

impl Weighter<FetchKey, Arc<Copy>> for Bytes {
    fn weight(&self, _: &FetchKey, copy: &Arc<Copy>) -> u64 {
        copy.meta.length as u64 + 256
    }
}

pub struct Hub {
    pub name: String,
    pub domain: String,
    /// When this start began, as all its answers say.
    pub since_ms: u64,
    pub relay: Relay,
    pub lease: Duration,
    pub signer: PathSigner,
    pub book: Book,
    pub links: Links,
    pub tally: Tally,
    pub leaving: AtomicBool,
    pub(crate) copies: Cache<FetchKey, Arc<Copy>, Bytes>,
    pub(crate) classes: Mutex<HashMap<String, u32>>,
    pub(crate) fences: Mutex<FreshnessFences>,
    pub(crate) started: Instant,
    pub(crate) open: AtomicUsize,
    /// Threads that wait for a fetch.
    pub(crate) idle: Mutex<Vec<Sender<(Fill, u32)>>>,
    /// Fetches under way, by what their threads need: a successor takes over where one dies.
    pub(crate) fills: Mutex<HashMap<foldmux_hierarchy::in_flight::FetchId, Fill>>,
    pub(crate) sockets: Mutex<HashMap<u64, Arc<TcpStream>>>,
}

impl Hub {
    pub fn now(&self) -> TimestampUs {
        ORIGIN + self.started.elapsed().as_micros() as TimestampUs
    }

    pub fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    /// A class's number; none where there are too many.
    pub fn class(&self, name: &str) -> Option<u32> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(class) = classes.get(name) {
            return Some(*class);
        }
        let next = classes.len();
        (next < CLASSES_MOST).then(|| {
            classes.insert(name.to_string(), next as u32);
            next as u32
        })
    }

    /// A purge that this hub was told of: no fill that comes from here on is answered from an older copy.
    pub fn purge(&self, object: Option<u64>, stamp_ms: u64) {
        self.fences
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .invalidate(object, stamp_ms);
        add(&self.tally.purges);
    }

    /// When a copy must have been born at the earliest for a fill that allows so much, by the purges told here.
    pub fn bound(&self, object: u64, born_after: u64) -> u64 {
        self.fences
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .min_birth(object)
            .max(born_after)
    }

    /// The copy that is held, if it is young enough.
    pub fn held(&self, key: FetchKey, born_after: u64) -> Option<Arc<Copy>> {
        self.copies
            .get(&key)
            .filter(|copy| copy.meta.born_ms >= born_after)
    }

    /// Keeps a copy; never an older one in a younger one's place.
    pub fn keep(&self, key: FetchKey, born_after: u64, copy: Copy) {
        if copy.meta.born_ms >= born_after && self.held(key, copy.meta.born_ms).is_none() {
            self.copies.insert(key, Arc::new(copy));
        }
    }

    pub fn rewire(&self, hierarchy: Hierarchy) -> Result<Applied, String> {
        self.book
            .rewire(self.now(), hierarchy)
            .map_err(|refused| refused.to_string())
    }

    /// What `GET /v2/state` tells.
    pub fn state(&self) -> String {
        let [former, fetches, waits, sources] = self.book.sizes();
        format!(
            "node {}\ntree {}\nformer_trees {former}\nfetches_open {fetches}\nwaits_open {waits}\nsources {sources}\n\
             connections_open {}\ncopies {}\ncopies_bytes {}\n{}",
            self.name,
            self.book.stamp(),
            self.open.load(Ordering::SeqCst),
            self.copies.len(),
            self.copies.weight(),
            self.tally.lines()
        )
    }
}
