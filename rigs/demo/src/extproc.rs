//! `make demo-extproc`: two real instances behind a calling proxy that cancels, resets and is slow at random, while each
//! instance is killed and started again. A stand-in archive counts what ran twice; each client must get one answer.

use foldmux_standins::caller::{hold, Caller, Counts, Play, Point, Request, Setup};
use foldmux_standins::guarded::Guarded;
use foldmux_standins::source::{Act, Source};
use foldmux_standins::{body, unix_ms};
use std::collections::BTreeMap;
use std::fmt;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 48;
const LENGTH: usize = 2_000;
/// For so long the archive drops a key's repeats, as the settings say.
const WINDOW: Duration = Duration::from_secs(3);
/// How long an instance may take until it serves.
const START: Duration = Duration::from_secs(20);

/// What a run came to.
#[derive(Debug, Default)]
pub struct Report {
    pub requests: u64,
    /// Clients' answers by status; those who left get none.
    pub answers: BTreeMap<u16, u64>,
    pub left: u64,
    /// Clients with neither, with several, or with the wrong bytes.
    pub lost: u64,
    pub kills: u64,
    pub attempts: u64,
    pub again: u64,
    pub stale: u64,
    /// At the archive: keys that ran, repeats that it dropped, second runs, and requests beside a running one.
    pub ran: u64,
    pub dropped: u64,
    pub doubles: u64,
    pub together: u64,
    /// Sent after their placement's time, by the caches' clock.
    pub late: u64,
    /// Fields that a processor must not set.
    pub forbidden: u64,
}

impl Report {
    /// Nothing ran twice, nobody's answer was lost; and it was put to the test.
    pub fn sound(&self) -> bool {
        let broken = self.doubles + self.together + self.lost + self.forbidden;
        broken == 0 && self.ran > 0 && self.dropped > 0 && self.kills > 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let answers: Vec<String> =
            self.answers.iter().map(|(status, n)| format!("{n} of {status}")).collect();
        writeln!(
            f,
            "requests        {:>7}   answered: {}; {} clients left",
            self.requests,
            answers.join(", "),
            self.left
        )?;
        writeln!(
            f,
            "attempts        {:>7}   {} asked for by the module, {} too late to be sent",
            self.attempts, self.again, self.stale
        )?;
        writeln!(f, "instances killed{:>7}", self.kills)?;
        writeln!(f, "keys that ran   {:>7}   {} repeats that the archive dropped", self.ran, self.dropped)?;
        writeln!(
            f,
            "double sends    {:>7}   ({} beside a running one)",
            self.doubles + self.together,
            self.together
        )?;
        write!(f, "lost answers    {:>7}", self.lost)
    }
}

/// A number that looks like chance, and is the same each time.
fn draw(seed: u64, words: &[u64]) -> u64 {
    words.iter().fold(seed ^ 0x9e37_79b9_7f4a_7c15, |x, word| {
        let x = (x ^ word).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^ x >> 29
    })
}

/// One instance of the program, with its files.
pub(crate) struct Instance {
    program: PathBuf,
    folder: PathBuf,
    number: usize,
    child: Child,
    /// Of the platform's front, and of the external processor.
    pub(crate) listen: SocketAddr,
    pub(crate) address: SocketAddr,
}

impl Instance {
    fn start(
        program: &Path,
        folder: &Path,
        number: usize,
        caches: &[SocketAddr],
    ) -> Result<Instance, String> {
        let ledger = folder.join(format!("{number}.ledger"));
        Instance::with(program, folder, number, &settings(caches), &script(&ledger))
    }

    pub(crate) fn with(
        program: &Path,
        folder: &Path,
        number: usize,
        config: &str,
        operator: &str,
    ) -> Result<Instance, String> {
        let told = |e: std::io::Error| e.to_string();
        std::fs::write(folder.join(format!("{number}.json")), config).map_err(told)?;
        std::fs::write(folder.join(format!("{number}.star")), operator).map_err(told)?;
        let (child, [listen, address]) = spawn(program, folder, number)?;
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        Ok(Instance { program, folder, number, child, listen, address })
    }

    /// Resident memory (KB), as the kernel tells it.
    pub(crate) fn memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Ends it as a power cut does, and starts it over the files that it left.
    fn kill(&mut self) -> Result<(), String> {
        self.child.kill().map_err(|e| e.to_string())?;
        self.child.wait().map_err(|e| e.to_string())?;
        (self.child, [self.listen, self.address]) = spawn(&self.program, &self.folder, self.number)?;
        Ok(())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &Path, folder: &Path, number: usize) -> Result<(Child, [SocketAddr; 2]), String> {
    let mut command = Command::new(program);
    command.arg("serve").arg("--operator").arg(folder.join(format!("{number}.star")));
    command
        .env("GW_CONFIG", folder.join(format!("{number}.json")))
        .env_remove("GW_LISTEN")
        .env_remove("GW_NAME");
    command.env_remove("FOLDMUX_LOG").env_remove("FOLDMUX_OPERATOR");
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    let mut child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
    let log = child.stderr.take().ok_or("no log")?;
    let (told, heard) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let (mut at, mut serves) = (None, None);
        for line in lines.by_ref() {
            at = at.or_else(|| {
                line.split_once("external processor on ").and_then(|(_, a)| a.trim().parse().ok())
            });
            serves = line.split_once(" serves on ").and_then(|(_, a)| a.trim().parse().ok());
            if serves.is_some() {
                break;
            }
        }
        let _ = told.send(serves.zip(at));
        // Read on: a full pipe would hold nobody up, but the lines would be lost to none.
        lines.for_each(drop);
    });
    match heard.recv_timeout(START) {
        Ok(Some((listen, address))) => Ok((child, [listen, address])),
        _ => {
            let _ = child.kill();
            let _ = child.wait();
            Err(format!("instance {number} did not serve"))
        }
    }
}

fn settings(caches: &[SocketAddr]) -> String {
    let line = |n: usize, kind: &str, zone: &str, cell: usize, at: SocketAddr| {
        format!(
            r#"{{"name":"s-{n:08x}","address":"{at}","zone":"{zone}","type":"{kind}","group":{cell},"status":"ready","weight":1,"since_ms":0}}"#
        )
    };
    let mut lines: Vec<String> =
        caches.iter().enumerate().map(|(n, at)| line(n + 1, "box", "edge", n, *at)).collect();
    lines.push(line(90, "parent", "hub", 0, caches[0]));
    lines.push(line(91, "origin", "hub", 0, caches[0]));
    let window = WINDOW.as_micros();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"memory_mb":192,"sockets":1024}},
"known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}},
"settings":{{"index":0,"balancers":1,"locality":1,"dcs":["hub","edge"],"kinds":["box","parent","origin"],
"classes":[{{"name":"formula-card","slo":1000000,"hardLimit":2000000,"idempotency":"free"}},
{{"name":"mix-record","slo":300000,"hardLimit":1500000,"idempotency":"guarded","group":"cell","repeatWindow":{window}}}],
"limits":{{"maxAttempts":4,"cancel":true,"retryAfter":true,"maxRetryAfter":100000}},
"rules":{{"answerSlack":8000,"stopSendingWithin":250000,"coldFrom":0.17,"rampTime":18000000,"fall":3000000,"fallMultiple":4.0}},
"domain":{{"originKind":2,"midKind":1,"siblings":"any","notesGiven":"none","clientKbPerS":5000.0,"direct":false,
"hubOf":[0,0],"passOn":[false,true],"instancesByZone":[0,1],"parentFloor":0.1,"parentCold":21000000,
"parentBreaksAt":2.0,"purgeSlack":1000000,"purgeDone":6000000}}}}}}"#,
        lines.join(",")
    )
}

fn script(ledger: &Path) -> String {
    format!(
        r#"
ext_proc(listen = "127.0.0.1:0", good_for_ms = 100)
ask("formula-card", path = "/v2/q/formula-card/{{object}}/{{part}}")
ask("mix-record", method = "POST", path = "/records/{{object}}", key = "idempotency-key", rewrite = True)
token_key(number = 1, secret = "a secret of the demonstration only, 32 bytes")
ledger("{}", entries = 50000, remember_ms = 30000)
"#,
        ledger.display()
    )
}

/// A cache of a cell, in front of the archive: it runs what comes in time, and fails now and then.
fn cache(cell: u32, archive: Arc<Guarded>, late: Arc<AtomicU64>, seed: u64, slowest: u64) -> Source {
    let serial = AtomicU64::new(0);
    Source::start(move |ask| {
        let chance = draw(seed, &[cell as u64, serial.fetch_add(1, Ordering::SeqCst)]) % 100;
        let untouched = Act::Say { status: 503, fields: "Srv-Untouched: 1\r\n".into() };
        if ask.class != "mix-record" {
            return if chance < 3 { untouched } else { Act::give(LENGTH, Duration::from_millis(1)) };
        }
        let until = ask.field("x-foldmux-good-until-ms").parse::<u64>().unwrap_or(0);
        if unix_ms() > until {
            late.fetch_add(1, Ordering::SeqCst);
            return untouched;
        }
        if chance < 8 {
            return untouched;
        }
        let running = archive.arrive(ask.field("via-token"), cell);
        thread::sleep(Duration::from_millis(chance % slowest));
        drop(running);
        match chance {
            // It ran, and its answer is lost in one of several ways.
            8..=17 => Act::Reset,
            18..=22 => Act::Say { status: 500, fields: String::new() },
            23..=27 => Act::Cut { version: 1, length: LENGTH, bytes: LENGTH / 3 },
            _ => Act::give(LENGTH, Duration::ZERO),
        }
    })
}

/// What the calling proxy does to a request's attempt.
fn play(seed: u64, number: u64, attempt: u32) -> Play {
    const POINTS: [Point; 5] = [
        Point::BeforeAnswer,
        Point::BetweenAnswerAndSend,
        Point::DuringSend,
        Point::AfterSend,
        Point::AfterResponseHeaders,
    ];
    let chance = draw(seed, &[number, attempt as u64, 7]);
    let point = POINTS[(chance >> 20) as usize % POINTS.len()];
    match chance % 100 {
        0..=3 => Play { leave: Some(point), ..Play::default() },
        4..=15 => Play { reset: Some(point), ..Play::default() },
        16..=19 => Play { slow: Duration::from_millis(120), ..Play::default() },
        _ => Play::default(),
    }
}

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

/// Plays a run against the program. `folder`: an empty one, for its files.
pub fn run(program: &Path, folder: &Path, trial: Trial) -> Result<Report, String> {
    let Trial { requests, seed, slowest, forgets } = trial;
    let (archive, late) = (Guarded::new(WINDOW), Arc::new(AtomicU64::new(0)));
    let caches: Vec<Source> =
        (0..2).map(|cell| cache(cell, archive.clone(), late.clone(), seed, slowest)).collect();
    let places: Vec<SocketAddr> = caches.iter().map(Source::address).collect();
    let instances = [0, 1].map(|n| Instance::start(program, folder, n, &places));
    let [first, second] = instances;
    let instances = Mutex::new([first?, second?]);
    let addresses = instances.lock().map_err(|e| e.to_string())?.iter().map(|i| i.address).collect();
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
            let mut which = 0;
            while !over.load(Ordering::SeqCst) {
                let until = Instant::now() + Duration::from_millis(700);
                while Instant::now() < until && !over.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                }
                let mut instances = instances.lock().unwrap_or_else(|e| e.into_inner());
                if let Err(why) = instances[which].kill() {
                    *failed.lock().unwrap_or_else(|e| e.into_inner()) = Some(why);
                    return;
                }
                caller.moved(which, instances[which].address);
                kills.fetch_add(1, Ordering::SeqCst);
                which = 1 - which;
            }
        });
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                scope.spawn(|| loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= requests {
                        return;
                    }
                    let card = number % 5 == 0;
                    let object = draw(seed, &[number, 3]) % 500;
                    let request = match card {
                        true => Request::get(&foldmux_standins::client::path("formula-card", object, 0)),
                        false => {
                            let key = format!("{seed:x}-{number}");
                            Request::keyed(&format!("/records/{object:x}"), "idempotency-key", &key)
                        }
                    };
                    if let Some(answer) = caller.ask(&request) {
                        let whole = answer.status != 200 || answer.body == body(object, 0, 1, LENGTH);
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
        let broken = clients.into_iter().map(|client| client.join()).filter(Result::is_err).count();
        lost.fetch_add(broken as u64, Ordering::SeqCst);
        over.store(true, Ordering::SeqCst);
        let _ = killer.join();
    });
    if let Some(why) = failed.into_inner().unwrap_or_else(|e| e.into_inner()) {
        return Err(why);
    }
    let Counts { attempts, again, stale, left, forbidden, .. } = &caller.counts;
    let [attempts, again, stale, left, forbidden] =
        [attempts, again, stale, left, forbidden].map(|n| n.load(Ordering::SeqCst));
    let answers = answers.into_inner().unwrap_or_else(|e| e.into_inner());
    let told: u64 = answers.values().sum();
    let count = |n: &AtomicU64| n.load(Ordering::SeqCst);
    Ok(Report {
        requests,
        lost: count(&lost) + requests.saturating_sub(told + left) + (told + left).saturating_sub(requests),
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
