//! One seed from its start to its verdict.

use crate::check::{check, Broken};
use crate::client::{self, World};
use crate::config::{config, hosts, DEADLINE_MS};
use crate::plan::{After, Dice, Plan};
use crate::process::{shim, Process};
use crate::record::Record;
use crate::traffic::cache;
use foldmux_fakes::journal::{self, Journal};
use nix::sys::signal::Signal;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Caches, a parent and an origin.
const SERVERS: u64 = 5;
/// SIGKILL comes so long after SIGTERM at its earliest: the longest deadline and a grace.
const KILL_AFTER: Duration = Duration::from_millis(DEADLINE_MS + 700);

/// What one run came to.
pub struct Verdict {
    pub requests: usize,
    pub served: usize,
    pub attempts: usize,
    pub crossed: u64,
    /// Faults that the shim injected, but for those of the clock.
    pub injected: usize,
    /// The process had to be killed.
    pub killed: bool,
    pub broken: Vec<Broken>,
    /// How the process failed by itself, if it did.
    pub crashed: Option<String>,
}

impl Verdict {
    /// Whether every rule was kept.
    pub fn is_good(&self) -> bool {
        self.broken.is_empty() && self.crashed.is_none()
    }
}

/// Plays one seed; what the program was told and what it said stay in `folder`.
pub fn run(program: &Path, plan: &Plan, folder: &Path) -> Result<Verdict, String> {
    let record = Arc::new(Record::default());
    let servers: Vec<_> = (0..SERVERS)
        .map(|n| cache(plan.seed.wrapping_add(n), plan.hangs, record.clone()))
        .collect();
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let journal = Journal::start();
    journal.tell(&journal::hosts(true, &hosts(&addresses)));
    let write = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).map_err(|e| format!("{}: {e}", folder.display()))
    };
    let at = if plan.journal_down {
        nobody()?
    } else {
        journal.address()
    };
    write("config.json", &config(plan, at, &journal.known()))?;
    write("faults", &plan.faults)?;
    let mut process = Process::start(program, &shim()?, folder)?;
    let world = Arc::new(World {
        serves: process.serves,
        record: record.clone(),
        over: AtomicBool::new(false),
        connections: AtomicU64::new(1),
        ids: AtomicU64::new(1),
        crossed: AtomicU64::new(0),
    });
    let clients: Vec<_> = (0..plan.connections)
        .map(|n| {
            let (world, dice) = (world.clone(), Dice::new(plan.seed, 100 + n));
            thread::spawn(move || client::run(&world, dice))
        })
        .collect();
    let (killed, crashed) = live(&mut process, plan);
    world.over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(servers);
    let (requests, attempts) = record.take();
    let served = requests
        .iter()
        .filter(|request| !request.answers.is_empty())
        .count();
    let injected =
        std::fs::read_to_string(folder.join("trace")).map_or(0, |trace| trace.lines().count());
    let crossed = world.crossed.load(Ordering::SeqCst);
    let broken = check(&requests, &attempts);
    let (requests, attempts) = (requests.len(), attempts.len());
    Ok(Verdict {
        requests,
        served,
        attempts,
        crossed,
        injected,
        killed,
        broken,
        crashed,
    })
}

/// An address at which nobody listens.
fn nobody() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

/// The signals of the plan, until the process has ended; whether it was killed, and how it failed by itself.
fn live(process: &mut Process, plan: &Plan) -> (bool, Option<String>) {
    let began = Instant::now();
    let mut reloads = plan.reloads.clone();
    reloads.sort();
    for reload in reloads {
        sleep_until(began + reload);
        process.signal(Signal::SIGHUP);
    }
    sleep_until(began + plan.end);
    if !process.runs() {
        return (false, Some("it ended before it was told to".to_string()));
    }
    process.signal(Signal::SIGTERM);
    let told = Instant::now();
    let mut after = plan.after_end.clone();
    after.sort_by_key(|(_, at)| *at);
    for (signal, at) in after {
        sleep_until(told + at);
        process.signal(match signal {
            After::EndAgain => Signal::SIGTERM,
            After::Reload => Signal::SIGHUP,
        });
    }
    match process.ended_by(told + KILL_AFTER) {
        Some(status) if status.success() => (false, None),
        Some(status) => (false, Some(format!("it ended with {status}"))),
        None => {
            process.signal(Signal::SIGKILL);
            process.ended_by(Instant::now() + KILL_AFTER);
            (true, None)
        }
    }
}

fn sleep_until(moment: Instant) {
    thread::sleep(moment.saturating_duration_since(Instant::now()));
}
