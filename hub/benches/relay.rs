//! What one hub adds, on sockets: the same open-loop load goes straight to the stand-in archive, over a hub that
//! holds all (hit) and over one that holds nothing (miss), in one run. Latency counts from when a request was due,
//! not from when it could be sent. Then the memory of 10,000 open fetches in a ledger.
//!
//!     cargo bench -p foldmux-hub --bench relay

use foldmux_fakes::client::{path, Client};
use foldmux_fakes::source::{Act, Source};
use foldmux_hierarchy::in_flight::{FetchKey, FetchLimits, FetchRequest, FetchTable, FillContext};
use foldmux_hierarchy::tree::TreeVersion;
use foldmux_operator::script::evaluate;
use hdrhistogram::Histogram;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const THREADS: u64 = 16;
const LENGTH: usize = 20_000;
const TIME: Duration = Duration::from_secs(4);
const OBJECTS: u64 = 512;

/// Latency from when each request was due, at a rate; those answered a second.
fn load(at: SocketAddr, rate: f64, object: impl Fn(u64) -> u64 + Sync) -> (Histogram<u64>, f64) {
    let (all, next) = (
        Mutex::new(Histogram::new(3).expect("sound")),
        AtomicU64::new(0),
    );
    let began = Instant::now();
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                let client = Client::connect(at, Duration::from_secs(10)).expect("a connection");
                let mut own = Histogram::<u64>::new(3).expect("sound");
                loop {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    let due = began + Duration::from_secs_f64(n as f64 / rate);
                    if due > began + TIME {
                        break;
                    }
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let answer = client
                        .get(&path("sheet", object(n), 0), "")
                        .expect("an answer");
                    assert_eq!((answer.status, answer.body.len()), (200, LENGTH));
                    own.record(due.elapsed().as_micros() as u64)
                        .expect("in range");
                }
                all.lock().unwrap().add(own).expect("alike");
            });
        }
    });
    let all = all.into_inner().unwrap();
    let rate = all.len() as f64 / began.elapsed().as_secs_f64();
    (all, rate)
}

/// Resident memory of this process (bytes).
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ')
        .nth(1)
        .and_then(|n| n.parse::<u64>().ok())
        .unwrap_or(0)
        * 4_096
}

fn main() {
    let archive = Source::start(|_| Act::give(LENGTH, Duration::ZERO));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let text = format!(
        "hierarchy(epoch = 1, domain = \"bench.example\")\narchive(\"archive\", address = \"{}\")\n\
         hub(\"hub\", parents = [\"archive\"], address = \"{at}\")\nrelay(memory_mb = 64)\n",
        archive.address()
    );
    let _hub = foldmux_hub::start(
        "hub",
        evaluate("bench.star", text).expect("sound"),
        listener,
    )
    .expect("a hub");
    println!(
        "{} cores, {THREADS} connections, parts of {LENGTH} bytes, {TIME:?} each",
        thread::available_parallelism().map_or(0, |n| n.get())
    );
    println!(
        "{:<28} {:>8} {:>10} {:>9} {:>9} {:>9}",
        "", "rate", "answered", "p50 us", "p99 us", "max us"
    );
    for rate in [500.0, 2_000.0, 100_000.0] {
        let name = |what: &str| {
            if rate > 50_000.0 {
                format!("{what}, all it can")
            } else {
                what.to_string()
            }
        };
        let row = |what: &str, at, object: &(dyn Fn(u64) -> u64 + Sync)| {
            let (h, answered) = load(at, rate, object);
            let [p50, p99] = [0.5, 0.99].map(|q| h.value_at_quantile(q));
            println!(
                "{:<28} {rate:>8.0} {answered:>10.0} {p50:>9} {p99:>9} {:>9}",
                name(what),
                h.max()
            );
            (p50, p99)
        };
        let direct = row("straight to the stand-in", archive.address(), &|n| {
            n % OBJECTS
        });
        (0..OBJECTS).for_each(|o| {
            drop(
                Client::connect(at, TIME)
                    .expect("a hub")
                    .get(&path("sheet", o, 0), ""),
            )
        });
        let hit = row("over the hub, hit", at, &|n| n % OBJECTS);
        let first = 1_000_000 * rate as u64;
        let miss = row("over the hub, miss", at, &|n| first + n);
        println!(
            "  added: hit p50 {} us, p99 {} us; miss p50 {} us, p99 {} us",
            diff(hit.0, direct.0),
            diff(hit.1, direct.1),
            diff(miss.0, direct.0),
            diff(miss.1, direct.1)
        );
    }
    let before = resident();
    let mut ledger = FetchTable::new(FetchLimits {
        fetches: 10_000,
        waiters: 20_000,
        lease_us: 1,
        attempts: 3,
    });
    let present = TreeVersion {
        epoch: 1,
        digest: 1,
    };
    for object in 0..10_000 {
        for _ in 0..2 {
            let key = FetchKey {
                class: 0,
                object,
                part: 0,
            };
            ledger.request(
                0,
                FetchRequest {
                    key,
                    context: FillContext::LOCAL,
                    version: present,
                    min_birth: 0,
                    deadline: 1,
                },
            );
        }
    }
    let grown = resident().saturating_sub(before);
    println!(
        "10,000 fetches and 20,000 waits in a ledger: {:.2} MB resident ({:?})",
        grown as f64 / 1e6,
        ledger.sizes()
    );
}

fn diff(a: u64, b: u64) -> i64 {
    a as i64 - b as i64
}
