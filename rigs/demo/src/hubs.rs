//! The real proxies and hubs over stand-ins, on loopback. Traffic runs, hubs are turned toward each other and back while
//! each node is told at another moment, objects are purged; then a table, and a verdict.

mod files;
mod process;
mod table;
mod terminal;

use files::{configuration, operator, Wiring, HUBS, OFFICES};
use foldmux_fakes::cache::Cache;
use foldmux_fakes::journal::{hosts, purged, Host, Journal};
use foldmux_fakes::rpc::Terminal;
use foldmux_fakes::source::{Act, Source};
use foldmux_fakes::unix_ms;
use process::Process;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use terminal::{ask_on, Counts, Versions, LENGTH};

const BOXES: usize = 4;
const TRAFFIC: Duration = Duration::from_secs(14);
const TERMINALS: usize = 10;
/// What the archive takes for each fetch.
const ARCHIVE_WORK: Duration = Duration::from_millis(25);
/// How long the proxies may take until they serve.
const START: Duration = Duration::from_secs(15);
/// Seconds of traffic after which a rewiring is due.
const REWIRINGS: [u64; 3] = [4, 7, 10];
/// How long after one node the next is told of a rewiring (ms).
const TOLD_APART_MS: u64 = 250;

/// Each hub asks the archive.
const FLAT: Wiring = [
    ("south", r#"["archive"]"#),
    ("east", r#"["archive"]"#),
    ("north", r#"["archive"]"#),
];
const EAST_LOW: Wiring = [
    ("south", r#"["archive"]"#),
    ("east", r#"["south", "archive"]"#),
    ("north", r#"["archive"]"#),
];
const SOUTH_LOW: Wiring = [
    ("south", r#"["east", "archive"]"#),
    ("east", r#"["archive"]"#),
    ("north", r#"["archive"]"#),
];

/// What the archive saw.
#[derive(Clone, Default)]
struct ArchiveLog {
    /// Fetches by object and version.
    fetched: Arc<Mutex<HashMap<(u64, u64), u64>>>,
    /// Runs by idempotency key.
    ran: Arc<Mutex<HashMap<String, u64>>>,
}

/// The processes, and where the proxies listen. The proxies end first, as the fields are dropped in order.
struct Processes {
    proxies: Vec<(Process, SocketAddr)>,
    hubs: Vec<Process>,
}

/// The operator's file, written in one piece, as a node may read it at any moment.
struct OperatorFile {
    path: PathBuf,
    addresses: BTreeMap<&'static str, SocketAddr>,
}

impl OperatorFile {
    fn write(&self, epoch: u64, wiring: &Wiring) -> std::io::Result<()> {
        let next = self.path.with_file_name("next.star");
        std::fs::write(&next, operator(epoch, wiring, &self.addresses))?;
        std::fs::rename(&next, &self.path)
    }
}

/// Plays the demo; whether all that is promised was kept.
pub fn play(program: &Path, folder: &Path) -> Result<bool, String> {
    let (versions, log) = (Versions::default(), ArchiveLog::default());
    let archive = archive(versions.clone(), log.clone());
    let mut addresses: BTreeMap<&str, SocketAddr> = HUBS.iter().map(|hub| (*hub, free())).collect();
    addresses.insert("archive", archive.address());
    let caches: Vec<Cache> = (0..BOXES).map(|_| Cache::start()).collect();
    let journal = Journal::start();
    let list = host_list(&caches, &addresses);
    for cache in &caches {
        list.iter()
            .for_each(|line| cache.knows(&line.name, line.address));
    }
    journal.tell(&hosts(true, &list));

    let file = OperatorFile {
        path: folder.join("foldmux.star"),
        addresses,
    };
    file.write(1, &FLAT).map_err(|e| e.to_string())?;
    let processes = start(program, folder, &file, &journal)?;
    wait_until_well(&processes)?;
    println!(
        "{} proxies, {BOXES} cache boxes (stand-ins), {} hubs, one archive (a stand-in)",
        processes.proxies.len(),
        processes.hubs.len()
    );

    let counts = Counts::default();
    traffic(&processes, &file, &journal, &counts, &versions);
    let hubs = table::hub_counts(&file.addresses)?;
    Ok(table::verdict(&counts, &hubs, &log))
}

/// A port that is free now.
fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port")
}

/// The archive: a pause for each fetch, and a new version with each purge.
fn archive(versions: Versions, log: ArchiveLog) -> Source {
    Source::start(move |ask| {
        if ask.class == "mix-record" {
            *log.ran
                .lock()
                .unwrap()
                .entry(ask.field("via-token").to_string())
                .or_default() += 1;
            return Act::give(20, ARCHIVE_WORK);
        }
        let version = versions
            .lock()
            .unwrap()
            .get(&ask.object)
            .map_or(0, Vec::len) as u64;
        *log.fetched
            .lock()
            .unwrap()
            .entry((ask.object, version))
            .or_default() += 1;
        Act::Give {
            version,
            length: LENGTH,
            born_ms: Some(unix_ms()),
            after: ARCHIVE_WORK,
            pieces: 1,
            between: Duration::ZERO,
        }
    })
}

/// All hosts, as the journal lists them.
fn host_list(caches: &[Cache], addresses: &BTreeMap<&str, SocketAddr>) -> Vec<Host> {
    let host = |name: String, address, zone: &str, kind: &str| Host {
        name,
        address,
        zone: zone.to_string(),
        kind: kind.to_string(),
        status: "ready",
        since_ms: 0,
    };
    let mut list = Vec::new();
    for (n, cache) in caches.iter().enumerate() {
        list.push(host(
            format!("s-{n:08x}"),
            cache.address(),
            OFFICES[n % 2],
            "box",
        ));
    }
    for (n, hub) in HUBS.iter().enumerate() {
        list.push(host(
            format!("s-{:08x}", 0x100 + n),
            addresses[hub],
            hub,
            "parent",
        ));
    }
    list.push(host(
        "s-00000200".to_string(),
        addresses["archive"],
        "south",
        "origin",
    ));
    list
}

/// Starts the hubs and then the proxies.
fn start(
    program: &Path,
    folder: &Path,
    file: &OperatorFile,
    journal: &Journal,
) -> Result<Processes, String> {
    let operator = file.path.display().to_string();
    let hubs = HUBS
        .iter()
        .map(|hub| {
            let arguments = ["hub", "--operator", &operator, "--name", hub];
            Process::start(program, &arguments, &[], &folder.join(format!("{hub}.log")))
        })
        .collect::<Result<Vec<_>, _>>()?;
    let mut proxies = Vec::new();
    for office in 0..OFFICES.len() {
        let (listen, config) = (free(), folder.join(format!("n{office}.json")));
        std::fs::write(&config, configuration(office, listen, journal))
            .map_err(|e| e.to_string())?;
        let config = config.display().to_string();
        let arguments = ["serve", "--config", &config, "--operator", &operator];
        let variables = [("GW_LISTEN", &*listen.to_string())];
        let log = folder.join(format!("n{office}.log"));
        proxies.push((
            Process::start(program, &arguments, &variables, &log)?,
            listen,
        ));
    }
    Ok(Processes { proxies, hubs })
}

fn wait_until_well(processes: &Processes) -> Result<(), String> {
    let ready = Instant::now() + START;
    for (_, listen) in &processes.proxies {
        while !Terminal::connect(*listen, Duration::from_secs(2))
            .and_then(|mut t| t.well())
            .unwrap_or(false)
        {
            if Instant::now() > ready {
                return Err("a proxy never became well".to_string());
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    Ok(())
}

/// Terminals ask, objects are purged, and the hubs are rewired, each node told at another moment.
fn traffic(
    processes: &Processes,
    file: &OperatorFile,
    journal: &Journal,
    counts: &Counts,
    versions: &Versions,
) {
    let over = AtomicBool::new(false);
    let began = Instant::now();
    thread::scope(|scope| {
        for terminal in 0..TERMINALS {
            let over = &over;
            let address = processes.proxies[terminal % processes.proxies.len()].1;
            scope.spawn(move || ask_on(terminal as u64, address, counts, versions, over));
        }
        let all: Vec<&Process> = processes
            .hubs
            .iter()
            .chain(processes.proxies.iter().map(|p| &p.0))
            .collect();
        let mut purges = 0u64;
        let mut step = 0;
        while began.elapsed() < TRAFFIC {
            thread::sleep(Duration::from_millis(200));
            // A purge: the archive has a new version from here on, and the journal tells.
            purges += 1;
            let object = purges * 7 % 40;
            let stamp = unix_ms();
            versions
                .lock()
                .unwrap()
                .entry(object)
                .or_default()
                .push(stamp);
            journal.tell(&purged(object, stamp));
            let seconds = began.elapsed().as_secs();
            if REWIRINGS.get(step).is_some_and(|at| seconds >= *at) {
                let (epoch, wiring) = [(2, &EAST_LOW), (3, &SOUTH_LOW), (4, &FLAT)][step];
                let _ = file.write(epoch, wiring);
                println!("{seconds:>4} s  tree {epoch}: each node is told at another moment");
                for node in &all {
                    node.signal("-HUP");
                    thread::sleep(Duration::from_millis(TOLD_APART_MS));
                }
                step += 1;
            }
        }
        over.store(true, Ordering::SeqCst);
    });
}
