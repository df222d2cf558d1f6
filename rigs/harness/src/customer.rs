//! Who asks: a client that wants one final answer for each keyed request, and asks elsewhere with the same key until it has one.

use crate::record::{Event, Outcome, Record};
use foldmux_fakes::rpc::{Said, Terminal};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How a customer goes about a request.
#[derive(Clone, Debug)]
pub struct Manner {
    pub class: String,
    /// Whether the fleet has promised to carry this class on.
    pub covered: bool,
    /// After so long with no answer it asks elsewhere.
    pub patience: Duration,
    /// Each ask's own.
    pub deadline: Duration,
    /// After so long in all it gives up.
    pub longest: Duration,
}

/// No two requests of the rig have one id: under that of an open one a proxy takes none.
static IDS: AtomicU64 = AtomicU64::new(1);

pub struct Customer {
    addresses: Vec<SocketAddr>,
    record: Record,
    open: HashMap<usize, Terminal>,
    patience: Duration,
}

/// A key, as the platform's clients write it.
pub fn key(seed: u64, number: u64) -> String {
    format!("{seed:016x}{number:016x}")
}

impl Customer {
    pub fn new(addresses: Vec<SocketAddr>, record: &Record, patience: Duration) -> Customer {
        Customer {
            addresses,
            record: record.clone(),
            open: HashMap::new(),
            patience,
        }
    }

    /// Asks once at this process; none where the connection broke or nothing came.
    pub fn once(
        &mut self,
        process: usize,
        manner: &Manner,
        object: u64,
        key: Option<&str>,
    ) -> Option<Said> {
        let mut terminal = match self.open.remove(&process) {
            Some(open) => open,
            None => Terminal::connect(self.addresses[process], self.patience).ok()?,
        };
        let mut fields = BTreeMap::from([
            ("i", format!("{:016x}", IDS.fetch_add(1, Ordering::Relaxed))),
            ("d", manner.deadline.as_millis().to_string()),
            ("o", format!("{object:016x}")),
            ("nth", "0".to_string()),
            ("batch", "1".to_string()),
            ("m", "4".to_string()),
        ]);
        key.iter()
            .for_each(|key| drop(fields.insert("k", key.to_string())));
        let said = terminal
            .ask(&manner.class, &fields, key.map_or(b"", |_| b"ink"))
            .ok()?;
        self.open.insert(process, terminal);
        Some(said)
    }

    /// Asks until there is a final answer, first at `process`, then at the next ones. Everything is written down.
    pub fn ask(
        &mut self,
        process: usize,
        manner: &Manner,
        object: u64,
        key: &str,
    ) -> Option<Outcome> {
        let until = Instant::now() + manner.longest;
        let (name, covered) = (|| key.to_string(), manner.covered);
        for turn in 0.. {
            let process = (process + turn) % self.addresses.len();
            self.record.add(Event::Asked {
                key: name(),
                process,
                covered,
                again: turn > 0,
            });
            match self.once(process, manner, object, Some(key)) {
                Some(Said::Served(bytes)) => {
                    let result = String::from_utf8_lossy(&bytes).into_owned();
                    let outcome = Outcome::Served;
                    self.record.add(Event::Answered {
                        key: name(),
                        process,
                        outcome,
                        result,
                    });
                    return Some(Outcome::Served);
                }
                Some(Said::Failed(result)) => {
                    let outcome = Outcome::Failed;
                    self.record.add(Event::Answered {
                        key: name(),
                        process,
                        outcome,
                        result,
                    });
                    return Some(Outcome::Failed);
                }
                Some(Said::Shed(wait_ms)) => {
                    self.record.add(Event::Refused {
                        key: name(),
                        process,
                        wait_ms,
                    });
                    thread::sleep(Duration::from_millis(wait_ms.clamp(1, 300)));
                }
                None => {
                    self.record.add(Event::CutOff {
                        key: name(),
                        process,
                    });
                    // The next one may be down too, and refuse at once.
                    thread::sleep(Duration::from_millis(5));
                }
            }
            if Instant::now() >= until {
                break;
            }
        }
        self.record.add(Event::GaveUp { key: name() });
        None
    }
}
