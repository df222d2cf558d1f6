//! The counter terminals: they ask one thing after another and check each answer.

use foldmux_fakes::rpc::{Said, Terminal};
use foldmux_fakes::{body, unix_ms};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const OBJECTS: u64 = 400;
/// Bytes of an object.
pub const LENGTH: usize = 20_000;
/// From so long after it was told of a purge, no proxy may give an older copy: 1 s, and 50 ms of the sockets.
const PURGE_SLACK_MS: u64 = 1_050;
/// The journal tells at once; a poll is open all the time.
const TOLD_MS: u64 = 300;

/// The versions of an object at the archive: when each began.
pub type Versions = Arc<Mutex<HashMap<u64, Vec<u64>>>>;

/// What the terminals saw.
#[derive(Default)]
pub struct Counts {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    pub lost: AtomicU64,
    pub older: AtomicU64,
    pub spoilt: AtomicU64,
    pub writes: AtomicU64,
}

/// A counter terminal: asks one thing after another, and checks each answer.
pub fn ask_on(
    number: u64,
    address: SocketAddr,
    counts: &Counts,
    versions: &Versions,
    over: &AtomicBool,
) {
    let mut random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) + 1;
    let mut draw = || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random
    };
    let add = |n: &AtomicU64| n.fetch_add(1, Ordering::SeqCst);
    let mut terminal = None;
    while !over.load(Ordering::SeqCst) {
        if terminal.is_none() {
            terminal = Terminal::connect(address, Duration::from_secs(6)).ok();
        }
        let Some(held) = &mut terminal else { continue };
        // A few objects are wanted much more than the others.
        let object = draw() % (1 + draw() % OBJECTS);
        let record = draw() % 33 == 0;
        let class = if record {
            "mix-record"
        } else {
            ["mix-video", "formula-card"][(object % 2) as usize]
        };
        let mut fields = BTreeMap::from([
            ("i", format!("{:016x}", draw())),
            ("d", "3000".to_string()),
            ("o", format!("{object:016x}")),
            ("nth", "0".to_string()),
            ("batch", "1".to_string()),
            ("m", "50".to_string()),
        ]);
        let sent = unix_ms();
        let said = if record {
            fields.insert("k", format!("{:016x}{:016x}", draw(), draw()));
            held.ask(class, &fields, b"ink")
        } else {
            held.ask(class, &fields, b"")
        };
        match said {
            Ok(Said::Served(bytes)) => {
                add(&counts.served);
                if record {
                    add(&counts.writes);
                } else {
                    check(object, sent, &bytes, counts, versions);
                }
            }
            Ok(Said::Shed(wait)) => {
                add(&counts.refused);
                thread::sleep(Duration::from_millis(wait.clamp(1, 100)));
            }
            Ok(Said::Failed(_)) => {
                add(&counts.failed);
            }
            Err(_) => {
                add(&counts.lost);
                terminal = None;
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// The bytes are those of one version, and of none that was purged more than a second before the request was sent.
fn check(object: u64, sent: u64, bytes: &[u8], counts: &Counts, versions: &Versions) {
    let purges = versions
        .lock()
        .unwrap()
        .get(&object)
        .cloned()
        .unwrap_or_default();
    let version = (0..=purges.len() as u64)
        .rev()
        .find(|v| body(object, 0, *v, LENGTH) == bytes);
    let Some(version) = version else {
        counts.spoilt.fetch_add(1, Ordering::SeqCst);
        return;
    };
    let due = purges
        .iter()
        .filter(|at| **at + TOLD_MS + PURGE_SLACK_MS < sent)
        .count() as u64;
    if version < due {
        counts.older.fetch_add(1, Ordering::SeqCst);
    }
}
