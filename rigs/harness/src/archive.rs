//! A stand-in for all caches and sources at once: it gives parts, runs keyed requests, and writes down each of their runs with
//! who asked, and under which term. It can drop a key's repeats within a window, as a real archive does, or be let to run
//! them all; and it can be held at points of a request's life.

use crate::gate::{Gate, Gates, Point};
use crate::pools::{Places, Pools};
use crate::record::{Event, Record};
use crate::who::Who;
use foldmux_fakes::server::Server;
use foldmux_fakes::source::{read_ask, Ask};
use foldmux_fakes::{body, unix_ms};
use foldmux_http1::io::write_all;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Keys that it remembers; a run of the rig has fewer.
const KEYS: usize = 200_000;
/// Of a part that anyone may read.
pub const LENGTH: usize = 4_000;
/// The header that a covered request's term comes in, where the receiver understands terms.
pub const TERM: &str = "via-term";

#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// For so long a key's repeats are answered as its first run; none: each is run.
    pub window: Option<Duration>,
    /// Whether requests of an older term than one that it has seen are refused.
    pub terms: bool,
    /// What a keyed request takes, and any other.
    pub work: Duration,
    pub read: Duration,
    /// Reads of this class take so long.
    pub slow: Option<(&'static str, Duration)>,
    /// Reads that it serves at once, first come; none: all.
    pub cap: Option<u64>,
}

impl Default for Policy {
    fn default() -> Policy {
        let ms = Duration::from_millis;
        Policy {
            window: Some(ms(2_000)),
            terms: true,
            work: ms(25),
            read: ms(8),
            slow: None,
            cap: None,
        }
    }
}

#[derive(Default)]
struct Key {
    first: Option<Instant>,
    term: u64,
    runs: u64,
    running: bool,
}

struct Shared {
    policy: Mutex<Policy>,
    keys: Mutex<HashMap<String, Key>>,
    done: Condvar,
    gates: Gates,
    direct: bool,
    pools: Pools,
    places: Places,
    record: Record,
    who: Who,
}

pub struct Archive {
    /// By host of the list.
    servers: Vec<Server>,
    shared: Arc<Shared>,
}

impl Archive {
    /// `direct`: nobody asks who dialled.
    pub fn start(
        policy: Policy,
        record: &Record,
        who: &Who,
        pools: Pools,
        direct: bool,
    ) -> Archive {
        let shared = Arc::new(Shared {
            policy: Mutex::new(policy),
            keys: Mutex::default(),
            done: Condvar::new(),
            gates: Gates::default(),
            direct,
            pools,
            places: Places::default(),
            record: record.clone(),
            who: who.clone(),
        });
        let serve = |host: usize| {
            let kind = shared.pools.kind(host);
            let own = shared.clone();
            Server::start(move |stream| {
                let mut by = None;
                while one(stream, (host, kind), &own, &mut by) {}
            })
        };
        let servers = (0..shared.pools.hosts()).map(serve).collect();
        Archive { servers, shared }
    }

    pub fn address(&self, host: usize) -> SocketAddr {
        self.servers[host].address
    }

    /// Holds keyed requests at this point, or one key's alone.
    pub fn hold(&self, point: Point, key: Option<&str>) -> Gate {
        self.shared.gates.close(point, key)
    }

    /// How often a key has run.
    pub fn runs(&self, key: &str) -> u64 {
        self.shared.keys().get(key).map_or(0, |key| key.runs)
    }

    pub fn set(&self, policy: Policy) {
        *self
            .shared
            .policy
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = policy;
    }
}

/// What a run of a key gives: no two runs give the same.
pub fn result(key: &str, run: u64) -> String {
    format!("{key} run {run}")
}

enum Verdict {
    Run(u64),
    Repeat(u64),
    Stale,
    Full,
}

impl Shared {
    fn keys(&self) -> MutexGuard<'_, HashMap<String, Key>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What becomes of a request under this key; a repeat that is dropped waits for the run that it repeats.
    fn judge(&self, name: &str, by: Option<usize>, term: Option<u64>, policy: Policy) -> Verdict {
        let key = || name.to_string();
        let mut keys = self.keys();
        if keys.len() >= KEYS && !keys.contains_key(name) {
            return Verdict::Full;
        }
        let entry = keys.entry(key()).or_default();
        if let Some(term) = term.filter(|_| policy.terms) {
            if term < entry.term {
                self.record.add(Event::Stale {
                    key: key(),
                    by,
                    term,
                });
                return Verdict::Stale;
            }
            entry.term = term;
        }
        let now = Instant::now();
        let within = policy
            .window
            .zip(entry.first)
            .is_some_and(|(window, first)| now < first + window);
        if !within {
            entry.first = Some(now);
            entry.runs += 1;
            entry.running = true;
            let run = entry.runs;
            self.record.add(Event::Ran {
                key: key(),
                by,
                term,
            });
            return Verdict::Run(run);
        }
        let run = entry.runs;
        self.record.add(Event::Dropped { key: key(), by });
        let runs = |keys: &mut HashMap<String, Key>| keys.get(name).is_some_and(|key| key.running);
        drop(
            self.done
                .wait_timeout_while(keys, crate::gate::PATIENCE, runs),
        );
        Verdict::Repeat(run)
    }

    fn ended(&self, name: &str) {
        if let Some(key) = self.keys().get_mut(name) {
            key.running = false;
        }
        self.done.notify_all();
    }
}

/// Serves one request; whether the connection may carry another.
fn one(
    stream: &TcpStream,
    (cache, kind): (usize, &str),
    shared: &Shared,
    by: &mut Option<usize>,
) -> bool {
    let Some(ask) = read_ask(stream) else {
        return false;
    };
    // Looked up once bytes are here: the line knows by then whose they are.
    *by = by.or_else(|| {
        (!shared.direct)
            .then(|| shared.who.dialled(stream))
            .flatten()
    });
    let by = *by;
    let max_age_ms = ask.field("x-max-age-ms").parse().ok();
    shared.record.add(Event::Came {
        cache,
        by,
        object: ask.object,
        max_age_ms,
    });
    let policy = *shared.policy.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(key) = ask.fields.get("via-token").cloned() else {
        let pool = shared
            .pools
            .of(kind, ask.field("x-fill-from"))
            .map(String::from);
        policy.cap.iter().for_each(|most| shared.places.take(*most));
        pool.iter().for_each(|pool| {
            shared.record.add(Event::Taken {
                pool: pool.clone(),
                by,
            })
        });
        let slow = policy.slow.filter(|(class, _)| *class == ask.class);
        works(stream, slow.map_or(policy.read, |(_, time)| time));
        // Written down before the answer leaves: whoever has it may use the slot again.
        pool.iter().for_each(|pool| {
            shared.record.add(Event::Given {
                pool: pool.clone(),
                by,
            })
        });
        policy.cap.iter().for_each(|_| shared.places.give());
        return say(stream, 200, &ask, &body(ask.object, ask.part, 1, LENGTH));
    };
    let term = ask.field(TERM).parse().ok();
    shared.record.add(Event::Reached {
        key: key.clone(),
        by,
        term,
    });
    shared.gates.pass(Point::Read, &key);
    let run = match shared.judge(&key, by, term, policy) {
        Verdict::Run(run) => {
            shared.gates.pass(Point::Ran, &key);
            thread::sleep(policy.work);
            shared.ended(&key);
            run
        }
        Verdict::Repeat(run) => run,
        // Refused untouched: it never ran for this one who asks.
        Verdict::Stale | Verdict::Full => return say(stream, 503, &ask, b""),
    };
    shared.gates.pass(Point::Answer, &key);
    say(stream, 200, &ask, result(&key, run).as_bytes())
}

/// For so long, or until the other side gives up.
fn works(stream: &TcpStream, time: Duration) {
    let until = Instant::now() + time;
    let _ = stream.set_read_timeout(Some(time.max(Duration::from_millis(1))));
    let gone = matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_read_timeout(None);
    if !gone {
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

fn say(stream: &TcpStream, status: u16, ask: &Ask, bytes: &[u8]) -> bool {
    let fields = match status {
        200 => format!("ETag: {:x}-1\r\nX-Born-Ms: {}\r\n", ask.object, unix_ms()),
        _ => "Srv-Untouched: 1\r\n".to_string(),
    };
    let head = format!(
        "HTTP/1.1 {status} Said\r\n{fields}Content-Length: {}\r\n\r\n",
        bytes.len()
    );
    write_all(
        stream,
        &[head.as_bytes(), bytes],
        Instant::now() + crate::gate::PATIENCE,
    )
    .is_ok()
}
