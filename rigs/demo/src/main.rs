//! `make demo`, and by a second word the scenarios of the external processor ([`foldmux_demo`]). The first: the real
//! proxies and hubs over stand-ins, on loopback. Traffic runs, hubs are turned toward each other and back while each
//! node is told at another moment, objects are purged; then a table, and a verdict by exit code.

use foldmux_demo::extproc::Trial;
use foldmux_standins::cache::Cache;
use foldmux_standins::client;
use foldmux_standins::journal::{hosts, purged, Host, Journal};
use foldmux_standins::rpc::{Said, Terminal};
use foldmux_standins::source::{Act, Source};
use foldmux_standins::{body, unix_ms};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HUBS: [&str; 3] = ["south", "east", "north"];
const OFFICES: [&str; 2] = ["porvoo", "kotka"];
const BOXES: usize = 4;
const OBJECTS: u64 = 400;
const LENGTH: usize = 20_000;
const TRAFFIC: Duration = Duration::from_secs(14);
const TERMINALS: usize = 10;
/// From so long after it was told of a purge, no proxy may give an older copy: 1 s, and 50 ms of the sockets.
const PURGE_SLACK_MS: u64 = 1_050;
/// The journal tells at once; a poll is open all the time.
const TOLD_MS: u64 = 300;

/// The versions of an object at the archive: when each began.
type Versions = Arc<Mutex<HashMap<u64, Vec<u64>>>>;

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    lost: AtomicU64,
    older: AtomicU64,
    spoilt: AtomicU64,
    writes: AtomicU64,
}

/// A process of ours, ended with its handle.
struct Process(Child);

impl Process {
    fn start(
        program: &Path,
        arguments: &[&str],
        variables: &[(&str, &str)],
        log: &Path,
    ) -> Result<Process, String> {
        let log = std::fs::File::create(log).map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        command.envs(variables.iter().copied());
        command.spawn().map(Process).map_err(|e| format!("{}: {e}", program.display()))
    }

    fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.0.id().to_string()]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal("-TERM");
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until {
            if matches!(self.0.try_wait(), Ok(Some(_))) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("demo: {message}");
            ExitCode::FAILURE
        }
    }
}

/// A port that is free now.
fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

fn operator(epoch: u64, wiring: &[(&str, &str)], at: &BTreeMap<&str, SocketAddr>) -> String {
    let mut text = format!("hierarchy(epoch = {epoch}, domain = \"fill.demo.example\", overlap_ms = 4000)\n");
    text += &format!("archive(\"archive\", address = \"{}\")\n", at["archive"]);
    for (name, parents) in wiring {
        text += &format!("hub(\"{name}\", parents = {parents}, address = \"{}\")\n", at[name]);
    }
    for (office, parents) in OFFICES.iter().zip([r#"["east", "north"]"#, r#"["south", "north"]"#]) {
        text += &format!("location(\"{office}\", parents = {parents})\n");
    }
    text
        + "relay(memory_mb = 64, connections = 256, fetches = 128, waits = 1024, writes = [\"mix-record\"])\n"
}

fn configuration(office: usize, listen: SocketAddr, journal: &Journal) -> String {
    let zones: Vec<String> = HUBS.iter().chain(&OFFICES).map(|z| format!("\"{z}\"")).collect();
    let class = |name: &str, slo: u64, worth: f64, idempotency: &str| {
        format!(
            r#"{{"name":"{name}","slo":{slo},"hardLimit":3000000,"aimStretch":2.0,"importance":{worth},"lateValue":0.1,"idempotency":"{idempotency}","group":"all","repeatWindow":2000000}}"#
        )
    };
    let classes = [
        class("mix-video", 500_000, 2.0, "free"),
        class("formula-card", 250_000, 1.0, "free"),
        class("mix-record", 600_000, 3.0, "guarded"),
    ];
    let own = HUBS.len() + office;
    format!(
        r#"{{"name":"n{office}","listen":"{listen}","seed":"{office}7","limits":{{"memory_mb":128,"sockets":512}},"journal":"{}","known":{},
        "settings":{{"index":{office},"balancers":2,"locality":{own},"dcs":[{}],"kinds":["box","parent","origin"],
        "classes":[{}],"limits":{{"maxAttempts":8,"cancel":true,"retryAfter":true,"maxRetryAfter":2000000}},
        "rules":{{"answerSlack":8000,"stopSendingWithin":250000,"coldFrom":0.17,"rampTime":18000000,"fall":3000000,"fallMultiple":4.0}},
        "domain":{{"originKind":2,"midKind":1,"siblings":"any","notesGiven":"none","clientKbPerS":5000.0,"direct":true,
        "hubOf":[0,1,2,1,0],"passOn":[false,false,true],"instancesByZone":[0,0,0,1,1],"parentFloor":0.067,"parentCold":21000000,
        "parentBreaksAt":2.0,"purgeSlack":1000000,"purgeDone":6000000}}}}}}"#,
        journal.address(),
        journal.known(),
        zones.join(","),
        classes.join(",")
    )
}

fn run() -> Result<bool, String> {
    let program = std::env::args().nth(1).unwrap_or_else(|| "target/release/foldmux".to_string());
    let program = PathBuf::from(program);
    let which = std::env::args().nth(2);
    let folder = std::env::temp_dir().join(format!("foldmux-demo-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let verdict = match which.as_deref() {
        None => play(&program, &folder),
        Some("extproc") => process(&program, &folder),
        Some("streams") => foldmux_demo::extproc::streams(&program, &folder, 2_000).map(|told| {
            println!("{told}");
            true
        }),
        Some("day") => foldmux_demo::day::compare(&program, &folder, 3).map(|_| true),
        Some(other) => Err(format!("no demo {other:?}; extproc, streams, day, or none for the hubs")),
    };
    match &verdict {
        Ok(true) => drop(std::fs::remove_dir_all(&folder)),
        _ => eprintln!("demo: the logs are in {}", folder.display()),
    }
    verdict
}

/// The external processor behind a proxy that cancels at random.
fn process(program: &Path, folder: &Path) -> Result<bool, String> {
    let began = Instant::now();
    let trial = Trial { requests: 20_000, seed: unix_ms(), slowest: 50, forgets: false };
    let report = foldmux_demo::extproc::run(program, folder, trial)?;
    println!("{report}\n{:.1} s", began.elapsed().as_secs_f64());
    Ok(report.sound())
}

fn play(program: &Path, folder: &Path) -> Result<bool, String> {
    // The archive: 25 ms for each fetch, and a new version with each purge.
    let versions: Versions = Arc::default();
    let held = versions.clone();
    let fetched: Arc<Mutex<HashMap<(u64, u64), u64>>> = Arc::default();
    let counted = fetched.clone();
    let ran: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let records = ran.clone();
    let archive = Source::start(move |ask| {
        if ask.class == "mix-record" {
            *records.lock().unwrap().entry(ask.field("via-token").to_string()).or_default() += 1;
            return Act::give(20, Duration::from_millis(25));
        }
        let version = held.lock().unwrap().get(&ask.object).map_or(0, Vec::len) as u64;
        *counted.lock().unwrap().entry((ask.object, version)).or_default() += 1;
        let after = Duration::from_millis(25);
        Act::Give {
            version,
            length: LENGTH,
            born_ms: Some(unix_ms()),
            after,
            pieces: 1,
            between: Duration::ZERO,
        }
    });
    let mut at: BTreeMap<&str, SocketAddr> = HUBS.iter().map(|hub| (*hub, free())).collect();
    at.insert("archive", archive.address());
    let caches: Vec<Cache> = (0..BOXES).map(|_| Cache::start()).collect();
    let journal = Journal::start();
    let mut list = Vec::new();
    let host = |name: String, address, zone: &str, kind: &str| Host {
        name,
        address,
        zone: zone.to_string(),
        kind: kind.to_string(),
        status: "ready",
        since_ms: 0,
    };
    for (n, cache) in caches.iter().enumerate() {
        list.push(host(format!("s-{n:08x}"), cache.address(), OFFICES[n % 2], "box"));
    }
    for (n, hub) in HUBS.iter().enumerate() {
        list.push(host(format!("s-{:08x}", 0x100 + n), at[hub], hub, "parent"));
    }
    list.push(host("s-00000200".to_string(), archive.address(), "south", "origin"));
    for cache in &caches {
        list.iter().for_each(|line| cache.knows(&line.name, line.address));
    }
    journal.tell(&hosts(true, &list));

    // Before: each hub asks the archive. Then east and south go by each other, one after the other.
    let flat = [("south", r#"["archive"]"#), ("east", r#"["archive"]"#), ("north", r#"["archive"]"#)];
    let east_low =
        [("south", r#"["archive"]"#), ("east", r#"["south", "archive"]"#), ("north", r#"["archive"]"#)];
    let south_low =
        [("south", r#"["east", "archive"]"#), ("east", r#"["archive"]"#), ("north", r#"["archive"]"#)];
    let file = folder.join("foldmux.star");
    let file_text = file.display().to_string();
    let write = |epoch, wiring: &[(&str, &str)]| {
        // In one piece, as a node may read it at any moment.
        let next = folder.join("next.star");
        std::fs::write(&next, operator(epoch, wiring, &at)).and_then(|()| std::fs::rename(&next, &file))
    };
    write(1, &flat).map_err(|e| e.to_string())?;
    let hubs = HUBS
        .iter()
        .map(|hub| {
            let arguments = ["hub", "--operator", &file_text, "--name", hub];
            Process::start(program, &arguments, &[], &folder.join(format!("{hub}.log")))
        })
        .collect::<Result<Vec<_>, _>>()?;
    let mut proxies = Vec::new();
    for office in 0..OFFICES.len() {
        let (listen, config) = (free(), folder.join(format!("n{office}.json")));
        std::fs::write(&config, configuration(office, listen, &journal)).map_err(|e| e.to_string())?;
        let config = config.display().to_string();
        let arguments = ["serve", "--config", &config, "--operator", &file_text];
        let log = folder.join(format!("n{office}.log"));
        proxies.push((
            Process::start(program, &arguments, &[("GW_LISTEN", &listen.to_string())], &log)?,
            listen,
        ));
    }
    let ready = Instant::now() + Duration::from_secs(15);
    for (_, listen) in &proxies {
        while !Terminal::connect(*listen, Duration::from_secs(2)).and_then(|mut t| t.well()).unwrap_or(false)
        {
            if Instant::now() > ready {
                return Err("a proxy never became well".to_string());
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    println!(
        "{} proxies, {BOXES} cache boxes (stand-ins), {} hubs, one archive (a stand-in)",
        proxies.len(),
        hubs.len()
    );

    let (counts, over) = (Counts::default(), AtomicBool::new(false));
    let began = Instant::now();
    thread::scope(|scope| {
        for terminal in 0..TERMINALS {
            let (counts, versions, over) = (&counts, &versions, &over);
            let address = proxies[terminal % proxies.len()].1;
            scope.spawn(move || ask_on(terminal as u64, address, counts, versions, over));
        }
        let told = |nodes: &[&Process], apart: u64| {
            for node in nodes {
                node.signal("-HUP");
                thread::sleep(Duration::from_millis(apart));
            }
        };
        let all: Vec<&Process> = hubs.iter().chain(proxies.iter().map(|p| &p.0)).collect();
        let mut purges = 0u64;
        let mut step = 0;
        while began.elapsed() < TRAFFIC {
            thread::sleep(Duration::from_millis(200));
            // A purge: the archive has a new version from here on, and the journal tells.
            purges += 1;
            let object = purges * 7 % 40;
            let stamp = unix_ms();
            versions.lock().unwrap().entry(object).or_default().push(stamp);
            journal.tell(&purged(object, stamp));
            let seconds = began.elapsed().as_secs();
            let due = [4u64, 7, 10].get(step).is_some_and(|at| seconds >= *at);
            if due {
                let (epoch, wiring) = [(2, &east_low), (3, &south_low), (4, &flat)][step];
                let _ = write(epoch, wiring);
                println!("{seconds:>4} s  tree {epoch}: each node is told at another moment");
                told(&all, 250);
                step += 1;
            }
        }
        over.store(true, Ordering::SeqCst);
    });

    // What the hubs counted.
    let mut state: HashMap<String, u64> = HashMap::new();
    for hub in HUBS {
        let told = client::get(at[hub], "/v2/state", "", Duration::from_secs(5))
            .map_err(|e| format!("{hub}: {e:?}"))?;
        for line in String::from_utf8_lossy(&told.body).lines() {
            if let Some((name, n)) =
                line.split_once(' ').and_then(|(name, n)| Some((name, n.parse::<u64>().ok()?)))
            {
                *state.entry(name.to_string()).or_default() += n;
            }
        }
    }
    let load = |n: &AtomicU64| n.load(Ordering::SeqCst);
    let (pairs, fetches) = {
        let fetched = fetched.lock().unwrap();
        (fetched.len() as u64, fetched.values().sum::<u64>())
    };
    let twice = ran.lock().unwrap().values().filter(|n| **n > 1).count() as u64;
    let of = |name: &str| state.get(name).copied().unwrap_or(0);
    let answered = load(&counts.served) + load(&counts.refused) + load(&counts.failed);
    println!();
    for (name, n) in [
        ("answered", answered),
        ("  served", load(&counts.served)),
        ("  refused", load(&counts.refused)),
        ("  failed", load(&counts.failed)),
        ("never answered", load(&counts.lost)),
        ("records written", load(&counts.writes)),
        ("fills and records taken by hubs", of("asked")),
        ("  records passed on", of("writes")),
        ("  fills from copies that they held", of("hits")),
        ("  fills from hub to hub", of("fetches").saturating_sub(of("archive_fetches"))),
        ("  looks at what is held, in vain", of("missing")),
        ("archive fetches", fetches),
        ("objects and purges fetched", pairs),
        ("loops broken", of("loops_found") + of("loops_avoided") + of("loops_told")),
        ("former trees still held", of("former_trees")),
    ] {
        println!("{name:<34} {n:>9}");
    }
    let ratio = fetches as f64 / pairs.max(1) as f64;
    println!("{:<34} {ratio:>9.3}", "archive fetches for each of them");
    println!();
    let mut kept = true;
    for (rule, holds) in [
        ("every request has one answer", load(&counts.lost) == 0),
        ("answers are whole and unchanged", load(&counts.spoilt) == 0),
        ("no copy older than a purge from 1 s after it", load(&counts.older) == 0),
        ("no record ran twice", twice == 0),
        (
            "traffic was served, and fills went through the hubs",
            load(&counts.served) > 500 && of("asked") > 100,
        ),
        ("fewer than 1.5 archive fetches for each object and purge", ratio < 1.5),
    ] {
        println!("{} {rule}", if holds { "kept  " } else { "BROKEN" });
        kept &= holds;
    }
    Ok(kept)
}

/// A counter terminal: asks one thing after another, and checks each answer.
fn ask_on(number: u64, address: SocketAddr, counts: &Counts, versions: &Versions, over: &AtomicBool) {
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
        let class = if record { "mix-record" } else { ["mix-video", "formula-card"][(object % 2) as usize] };
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
    let purges = versions.lock().unwrap().get(&object).cloned().unwrap_or_default();
    let version = (0..=purges.len() as u64).rev().find(|v| body(object, 0, *v, LENGTH) == bytes);
    let Some(version) = version else {
        counts.spoilt.fetch_add(1, Ordering::SeqCst);
        return;
    };
    let due = purges.iter().filter(|at| **at + TOLD_MS + PURGE_SLACK_MS < sent).count() as u64;
    if version < due {
        counts.older.fetch_add(1, Ordering::SeqCst);
    }
}
