//! `make demo-extproc`: two real instances behind a calling proxy that cancels, resets and is slow at random, while each
//! instance is killed and started again. A stand-in archive counts what ran twice; each client must get one answer.

mod faults;
mod files;
mod instance;
mod report;

pub(crate) use instance::Instance;
pub use report::Report;

use faults::{cache, draw, play};
use foldmux_fakes::body;
use foldmux_fakes::caller::{hold, Caller, Counts, Request, Setup};
use foldmux_fakes::guarded::Guarded;
use foldmux_fakes::source::{Act, Source};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 48;
const LENGTH: usize = 2_000;
/// For so long the archive drops a key's repeats, as the settings say.
const WINDOW: Duration = Duration::from_secs(3);

/// What a run is made of.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    pub requests: u64,
    pub seed: u64,
    /// The archive's work takes less (ms).
    pub slowest: u64,
    /// Plants a fault, by which the audit is seen to count: the caller shows no tokens, so that an instance can't know
    /// of an attempt that another handed out.
    pub forgets: bool,
}

/// One request of a run: a page that may be repeated, or a keyed record.
fn request(seed: u64, number: u64) -> (u64, Request) {
    let card = number.is_multiple_of(5);
    let object = draw(seed, &[number, 3]) % 500;
    let request = match card {
        true => Request::get(&foldmux_fakes::client::path("formula-card", object, 0)),
        false => {
            let key = format!("{seed:x}-{number}");
            Request::keyed(&format!("/records/{object:x}"), "idempotency-key", &key)
        }
    };
    (object, request)
}

/// Kills and restarts the instances in turn, one each 0.7 s, until the run is over.
fn kill_in_turn(
    instances: &Mutex<[Instance; 2]>,
    caller: &Caller,
    over: &AtomicBool,
    kills: &AtomicU64,
) -> Result<(), String> {
    let mut which = 0;
    while !over.load(Ordering::SeqCst) {
        let until = Instant::now() + Duration::from_millis(700);
        while Instant::now() < until && !over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
        let mut instances = instances.lock().unwrap_or_else(|e| e.into_inner());
        instances[which].kill()?;
        caller.moved(which, instances[which].address);
        kills.fetch_add(1, Ordering::SeqCst);
        which = 1 - which;
    }
    Ok(())
}

fn addresses(instances: &Mutex<[Instance; 2]>) -> Result<Vec<SocketAddr>, String> {
    let instances = instances.lock().map_err(|e| e.to_string())?;
    Ok(instances.iter().map(|instance| instance.address).collect())
}

/// Plays a run against the program. `folder`: an empty one, for its files.
pub fn run(program: &Path, folder: &Path, trial: Trial) -> Result<Report, String> {
    let Trial {
        requests,
        seed,
        slowest,
        forgets,
    } = trial;
    let (archive, late) = (Guarded::new(WINDOW), Arc::new(AtomicU64::new(0)));
    let caches: Vec<Source> = (0..2)
        .map(|cell| cache(cell, archive.clone(), late.clone(), seed, slowest))
        .collect();
    let places: Vec<SocketAddr> = caches.iter().map(Source::address).collect();
    let instances = [0, 1].map(|n| Instance::start(program, folder, n, &places));
    let [first, second] = instances;
    let instances = Mutex::new([first?, second?]);
    let addresses = addresses(&instances)?;
    let setup = Setup {
        message: Duration::from_secs(3),
        attempt: Duration::from_millis(1_500),
        play: Box::new(move |number, attempt| play(seed, number, attempt)),
        forgets,
        ..Setup::plain(addresses)
    };
    let caller = Caller::new(setup);
    let (next, over, kills) = (AtomicU64::new(0), AtomicBool::new(false), AtomicU64::new(0));
    let (answers, lost) = (Mutex::new(BTreeMap::<u16, u64>::new()), AtomicU64::new(0));
    let failed = Mutex::new(None);
    thread::scope(|scope| {
        let killer = scope.spawn(|| {
            if let Err(why) = kill_in_turn(&instances, &caller, &over, &kills) {
                *failed.lock().unwrap_or_else(|e| e.into_inner()) = Some(why);
            }
        });
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                scope.spawn(|| loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= requests {
                        return;
                    }
                    let (object, request) = request(seed, number);
                    if let Some(answer) = caller.ask(&request) {
                        let whole =
                            answer.status != 200 || answer.body == body(object, 0, 1, LENGTH);
                        lost.fetch_add(!whole as u64, Ordering::SeqCst);
                        *answers
                            .lock()
                            .unwrap_or_else(|e| e.into_inner())
                            .entry(answer.status)
                            .or_default() += 1;
                    }
                })
            })
            .collect();
        let broken = clients
            .into_iter()
            .map(|client| client.join())
            .filter(Result::is_err)
            .count();
        lost.fetch_add(broken as u64, Ordering::SeqCst);
        over.store(true, Ordering::SeqCst);
        let _ = killer.join();
    });
    if let Some(why) = failed.into_inner().unwrap_or_else(|e| e.into_inner()) {
        return Err(why);
    }
    let Counts {
        attempts,
        again,
        stale,
        left,
        forbidden,
        ..
    } = &caller.counts;
    let [attempts, again, stale, left, forbidden] =
        [attempts, again, stale, left, forbidden].map(|n| n.load(Ordering::SeqCst));
    let answers = answers.into_inner().unwrap_or_else(|e| e.into_inner());
    let told: u64 = answers.values().sum();
    let count = |n: &AtomicU64| n.load(Ordering::SeqCst);
    Ok(Report {
        requests,
        lost: count(&lost)
            + requests.saturating_sub(told + left)
            + (told + left).saturating_sub(requests),
        answers,
        left,
        kills: count(&kills),
        attempts,
        again,
        stale,
        ran: count(&archive.ran),
        dropped: count(&archive.dropped),
        doubles: count(&archive.doubles),
        together: count(&archive.together),
        late: count(&late),
        forbidden,
    })
}

/// What an open stream costs: the program's memory before and after so many were opened, each with a placement out.
pub fn streams(program: &Path, folder: &Path, streams: usize) -> Result<String, String> {
    let cache = Source::start(|_| Act::give(LENGTH, Duration::ZERO));
    let instance = Instance::start(program, folder, 0, &[cache.address(); 2])?;
    // Once without counting: what is made once, is made.
    drop(hold(instance.address, 50, "formula-card")?);
    thread::sleep(Duration::from_millis(300));
    let before = instance.memory_kb().ok_or("no /proc")?;
    let held = hold(instance.address, streams, "formula-card")?;
    let after = instance.memory_kb().ok_or("no /proc")?;
    drop(held);
    let each = after.saturating_sub(before) as f64 / streams as f64;
    Ok(format!("{streams} streams, each with a placement out: {before} KB before, {after} KB with them, {each:.1} KB each"))
}
