//! The same stand-in day twice: once with foldmux standing alone, its clients at its own front; once with a calling proxy
//! that asks it, and sends by itself. What the module's result is worth, and which share of it is kept.

use crate::extproc::Instance;
use foldmux_fakes::cache::Cache;
use foldmux_fakes::caller::{Caller, Setup};
use foldmux_fakes::client::Client;
use foldmux_fakes::journal::{hosts, Host, Journal};
use foldmux_fakes::rpc::{Said, Terminal};
use foldmux_fakes::source::{Act, Source};
use foldmux_fakes::unix_ms;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const DAY: Duration = Duration::from_secs(16);
const WORKERS: usize = 32;
const RATE: f64 = 250.0;
const OBJECTS: u64 = 1_500;
const LENGTH: usize = 12_000;
/// An answer by then has its whole worth, one after it a tenth.
const AIM: Duration = Duration::from_millis(120);
const BOXES: usize = 6;

/// One way to be asked; whether the answer came whole.
trait Ask {
    fn ask(&mut self, object: u64) -> bool;
}

struct Alone(SocketAddr, Option<Terminal>, u64);

impl Ask for Alone {
    fn ask(&mut self, object: u64) -> bool {
        if self.1.is_none() {
            self.1 = Terminal::connect(self.0, Duration::from_secs(4)).ok();
        }
        let Some(terminal) = &mut self.1 else {
            return false;
        };
        self.2 += 1;
        let fields = BTreeMap::from([
            ("i", format!("{:016x}", self.2)),
            ("d", "2000".to_string()),
            ("o", format!("{object:016x}")),
            ("nth", "0".to_string()),
            ("batch", "1".to_string()),
            ("m", "12".to_string()),
        ]);
        match terminal.ask("formula-card", &fields, b"") {
            Ok(Said::Served(bytes)) => bytes.len() == LENGTH,
            Ok(_) => false,
            Err(_) => {
                self.1 = None;
                false
            }
        }
    }
}

struct Called(SocketAddr, Option<Client>);

impl Ask for Called {
    fn ask(&mut self, object: u64) -> bool {
        if self.1.is_none() {
            self.1 = Client::connect(self.0, Duration::from_secs(4)).ok();
        }
        let Some(client) = &self.1 else { return false };
        let fields = "via-wait: 2000\r\nx-foldmux-size-kb: 12\r\nx-foldmux-group: 1\r\n";
        match client.get(
            &foldmux_fakes::client::path("formula-card", object, 0),
            fields,
        ) {
            Ok(answer) => answer.status == 200 && answer.body.len() == LENGTH,
            Err(_) => {
                self.1 = None;
                false
            }
        }
    }
}

/// What a day came to.
#[derive(Debug, Default)]
pub struct Outcome {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

impl Outcome {
    pub fn worth(&self) -> f64 {
        (self.in_time as f64 + 0.1 * self.late as f64) / self.asked.max(1) as f64
    }
}

fn draw(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn settings(journal: &Journal) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"7","limits":{{"memory_mb":128,"sockets":1024}},"journal":"{}","known":{},
"settings":{{"index":0,"balancers":1,"locality":1,"dcs":["hub","edge","far"],"kinds":["box","parent","origin"],
"classes":[{{"name":"formula-card","slo":{},"hardLimit":2000000,"importance":1.0,"lateValue":0.1,"idempotency":"free"}}],
"limits":{{"maxAttempts":6,"cancel":true,"retryAfter":true,"maxRetryAfter":2000000,"dialTimeout":400000,"keepalive":15000000}},
"rules":{{"answerSlack":8000,"stopSendingWithin":250000,"coldFrom":0.17,"rampTime":6000000,"fall":3000000,"fallMultiple":4.0}},
"domain":{{"originKind":2,"midKind":1,"siblings":"any","notesGiven":"none","clientKbPerS":5000.0,"direct":true,
"hubOf":[0,0,0],"passOn":[false],"instancesByZone":[0,1,0],"parentFloor":0.1,"parentCold":6000000,
"parentBreaksAt":2.0,"purgeSlack":1000000,"purgeDone":6000000}}}}}}"#,
        journal.address(),
        journal.known(),
        AIM.as_micros()
    )
}

const OPERATOR: &str = r#"
ext_proc(listen = "127.0.0.1:0")
ask("formula-card", path = "/v2/q/formula-card/{object}/{part}")
"#;

/// Parents that have most of what is asked of them, and now and then no room.
fn parents() -> Vec<Source> {
    let turn = AtomicU64::new(0);
    (0..2u64)
        .map(|parent| {
            let turn = AtomicU64::new(turn.fetch_add(1, Ordering::SeqCst));
            Source::start(move |ask| {
                match draw(turn.fetch_add(1, Ordering::SeqCst) ^ parent << 40) % 20 {
                    0 => Act::Say {
                        status: 503,
                        fields: "Srv-Untouched: 1\r\n".into(),
                    },
                    _ if ask.field("x-flags").contains("shallow")
                        && draw(ask.object).is_multiple_of(4) =>
                    {
                        Act::Say {
                            status: 404,
                            fields: String::new(),
                        }
                    }
                    _ => Act::give(LENGTH, Duration::from_millis(12)),
                }
            })
        })
        .collect()
}

/// A line of the endpoint list.
fn line(
    n: u64,
    address: SocketAddr,
    zone: &str,
    kind: &str,
    status: &'static str,
    since_ms: u64,
) -> Host {
    Host {
        name: format!("s-{n:08x}"),
        address,
        zone: zone.to_string(),
        kind: kind.to_string(),
        status,
        since_ms,
    }
}

/// The endpoint list of the day: caches in two zones, parents and the origin.
fn list(
    boxes: &[Mutex<Option<Cache>>],
    parents: &[Source],
    origin: &Source,
) -> Result<Vec<Host>, String> {
    let mut list = Vec::new();
    for (n, held) in boxes.iter().enumerate() {
        let address = held
            .lock()
            .map_err(|e| e.to_string())?
            .as_ref()
            .map(Cache::address)
            .ok_or("no box")?;
        list.push(line(
            n as u64 + 1,
            address,
            if n < 4 { "edge" } else { "far" },
            "box",
            "ready",
            0,
        ));
    }
    for (n, parent) in parents.iter().enumerate() {
        list.push(line(
            0x100 + n as u64,
            parent.address(),
            "hub",
            "parent",
            "ready",
            0,
        ));
    }
    list.push(line(0x200, origin.address(), "hub", "origin", "ready", 0));
    Ok(list)
}

/// One day, from empty caches to its end.
fn day(program: &Path, folder: &Path, number: usize, called: bool) -> Result<Outcome, String> {
    // The origin has all, after 45 ms; parents most of it, after 12 ms, and now and then no room.
    let origin = Source::start(|_| Act::give(LENGTH, Duration::from_millis(45)));
    let parents = parents();
    let boxes: Vec<Mutex<Option<Cache>>> = (0..BOXES)
        .map(|_| Mutex::new(Some(Cache::start())))
        .collect();
    let list = list(&boxes, &parents, &origin)?;
    let teach = |cache: &Cache| {
        list.iter()
            .for_each(|line| cache.knows(&line.name, line.address))
    };
    for held in &boxes {
        held.lock()
            .map_err(|e| e.to_string())?
            .iter()
            .for_each(teach);
    }
    let journal = Journal::start();
    journal.tell(&hosts(true, &list));
    let instance = Instance::with(program, folder, number, &settings(&journal), OPERATOR)?;
    let caller = Caller::new(Setup {
        retries: 0,
        ..Setup::plain(vec![instance.address])
    });
    let server = caller.serve();
    let (asked, in_time, late) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let times = Mutex::new(Vec::new());
    let began = Instant::now() + Duration::from_millis(200);
    thread::scope(|scope| {
        for worker in 0..WORKERS {
            let (asked, in_time, late, times) = (&asked, &in_time, &late, &times);
            let mut way: Box<dyn Ask + Send> = match called {
                false => Box::new(Alone(instance.listen, None, (worker as u64 + 1) << 32)),
                true => Box::new(Called(server.address, None)),
            };
            scope.spawn(move || {
                let mut own = Vec::new();
                for turn in (worker..).step_by(WORKERS) {
                    let due = began + Duration::from_secs_f64(turn as f64 / RATE);
                    if due >= began + DAY {
                        break;
                    }
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    // A few objects are wanted much more than the others.
                    let (a, b) = (draw(turn as u64), draw(turn as u64 ^ 0x5555));
                    let whole = way.ask(1 + a % (1 + b % OBJECTS));
                    let took = due.elapsed();
                    asked.fetch_add(1, Ordering::Relaxed);
                    if whole {
                        let count = if took <= AIM { in_time } else { late };
                        count.fetch_add(1, Ordering::Relaxed);
                        own.push(took.as_secs_f64() * 1e3);
                    }
                }
                times.lock().unwrap_or_else(|e| e.into_inner()).extend(own);
            });
        }
        // A box dies, and is told gone a second later; it comes back empty at another place; another drains.
        let at = |seconds: f64| {
            thread::sleep(
                (began + Duration::from_secs_f64(seconds))
                    .saturating_duration_since(Instant::now()),
            )
        };
        at(5.0);
        boxes[0].lock().unwrap_or_else(|e| e.into_inner()).take();
        at(6.0);
        journal.tell(&hosts(
            false,
            &[line(1, list[0].address, "edge", "box", "gone", 0)],
        ));
        at(9.0);
        let back = Cache::start();
        teach(&back);
        journal.tell(&hosts(
            false,
            &[line(1, back.address(), "edge", "box", "ready", unix_ms())],
        ));
        *boxes[0].lock().unwrap_or_else(|e| e.into_inner()) = Some(back);
        at(12.0);
        journal.tell(&hosts(
            false,
            &[line(2, list[1].address, "edge", "box", "draining", 0)],
        ));
    });
    let mut times = times.into_inner().unwrap_or_else(|e| e.into_inner());
    times.sort_by(f64::total_cmp);
    let at = |q: f64| {
        times
            .get((times.len() as f64 * q) as usize)
            .copied()
            .unwrap_or_default()
    };
    let [asked, in_time, late] = [&asked, &in_time, &late].map(|n| n.load(Ordering::Relaxed));
    Ok(Outcome {
        asked,
        in_time,
        late,
        p50_ms: at(0.5),
        p99_ms: at(0.99),
    })
}

/// Both ways, so many times each, one after the other; the share of the worth that is kept.
pub fn compare(program: &Path, folder: &Path, times: usize) -> Result<f64, String> {
    let mut worth = [0.0, 0.0];
    println!("way               asked  in time    late   worth    p50 ms    p99 ms");
    for turn in 0..times {
        for (way, name) in ["alone", "ext_proc"].iter().enumerate() {
            let result = day(program, folder, turn * 2 + way, way == 1)?;
            worth[way] += result.worth();
            let Outcome {
                asked,
                in_time,
                late,
                p50_ms,
                p99_ms,
            } = &result;
            println!(
                "{name:<15} {asked:>7} {in_time:>8} {late:>7} {:>7.4} {p50_ms:>9.2} {p99_ms:>9.2}",
                result.worth()
            );
        }
    }
    let kept = worth[1] / worth[0].max(f64::MIN_POSITIVE);
    println!("kept of the worth: {kept:.3}");
    Ok(kept)
}
