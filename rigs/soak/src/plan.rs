//! What a seed stands for: the faults of the shim, the limits, the signals.

use foldmux_stats::random::SeededRng;
use std::fmt::Write as _;
use std::time::Duration;

/// Numbers drawn from a seed.
pub struct Dice(SeededRng);

impl Dice {
    /// Those of one purpose of a seed.
    pub fn new(seed: u64, purpose: u64) -> Dice {
        Dice(SeededRng::new(
            seed.wrapping_mul(1_000_003).wrapping_add(purpose),
        ))
    }

    /// A number in `from..to`.
    pub fn number(&mut self, from: u64, to: u64) -> u64 {
        from + self.0.next_u64() % (to - from)
    }

    /// Whether something of this chance (percent) happens.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.number(0, 100) < percent
    }

    /// One of several.
    pub fn one_of<'a, T>(&mut self, of: &'a [T]) -> &'a T {
        &of[self.number(0, of.len() as u64) as usize]
    }
}

/// Errors of calls on a connection that is up.
const ON_STREAM: [&str; 8] = [
    "EINTR",
    "EAGAIN",
    "ENOMEM",
    "ENOBUFS",
    "ETIMEDOUT",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EPROTO",
];
const ON_DIAL: [&str; 8] = [
    "EINTR",
    "ENOMEM",
    "ENOBUFS",
    "EMFILE",
    "ENFILE",
    "EADDRNOTAVAIL",
    "ENETUNREACH",
    "ETIMEDOUT",
];
const ON_ACCEPT: [&str; 7] = [
    "ECONNABORTED",
    "EINTR",
    "EPROTO",
    "ENFILE",
    "EMFILE",
    "ENOBUFS",
    "ENOMEM",
];
const ON_OPTION: [&str; 3] = ["EINTR", "ENOBUFS", "ENOMEM"];
const ON_SHUTDOWN: [&str; 2] = ["EINTR", "ENOBUFS"];
/// An hour, by which the clock of the day may step (ms).
const HOUR_MS: u64 = 3_600_000;

/// One run.
pub struct Plan {
    pub seed: u64,
    /// The shim's schedule.
    pub faults: String,
    /// Descriptors and memory (MB) that the program is told to keep to.
    pub sockets: u64,
    pub memory_mb: u64,
    pub connections: u64,
    /// Of a hundred attempts so many find a cache that hangs.
    pub hangs: u64,
    /// Nobody answers at the journal service's address.
    pub journal_down: bool,
    /// When SIGHUP comes, from the first traffic.
    pub reloads: Vec<Duration>,
    /// When SIGTERM comes.
    pub end: Duration,
    /// What comes after SIGTERM, and how long after.
    pub after_end: Vec<(After, Duration)>,
}

/// A signal while the process leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    EndAgain,
    Reload,
}

impl Plan {
    /// The run of a seed, with traffic for `time` before SIGTERM.
    pub fn of(seed: u64, time: Duration) -> Plan {
        let mut dice = Dice::new(seed, 0);
        let last = time.as_millis() as u64;
        let reloads = (0..dice.number(0, 4))
            .map(|_| Duration::from_millis(dice.number(0, last)))
            .collect();
        let after = [After::EndAgain, After::Reload];
        let after_end = (0..dice.number(0, 3))
            .map(|_| {
                (
                    *dice.one_of(&after),
                    Duration::from_millis(dice.number(0, 1_000)),
                )
            })
            .collect();
        Plan {
            seed,
            faults: faults(&mut dice, last),
            sockets: *dice.one_of(&[128, 256, 1_024]),
            memory_mb: *dice.one_of(&[16, 32, 192]),
            connections: dice.number(2, 12),
            hangs: *dice.one_of(&[0, 0, 2, 10, 40]),
            journal_down: dice.chance(20),
            reloads,
            end: time,
            after_end,
        }
    }
}

fn faults(dice: &mut Dice, last_ms: u64) -> String {
    let mut text = String::new();
    for role in ["client", "server"] {
        for call in ["recv", "send", "setsockopt"] {
            if dice.chance(50) {
                let errors = if call == "setsockopt" {
                    &ON_OPTION[..]
                } else {
                    &ON_STREAM[..]
                };
                rule(
                    &mut text,
                    dice,
                    last_ms,
                    &format!("{call} role={role}"),
                    errors,
                );
            }
        }
    }
    for (call, errors) in [
        ("connect", &ON_DIAL[..]),
        ("socket", &ON_DIAL[..]),
        ("accept", &ON_ACCEPT[..]),
        ("shutdown", &ON_SHUTDOWN[..]),
        ("thread", &["EAGAIN"][..]),
        ("poll", &["EINTR"][..]),
    ] {
        if dice.chance(30) {
            rule(&mut text, dice, last_ms, call, errors);
        }
    }
    if dice.chance(20) {
        writeln!(
            text,
            "recv role=client effect=short every={}",
            dice.number(2, 30)
        )
        .unwrap_or_default();
    }
    if dice.chance(20) {
        writeln!(
            text,
            "send role=client effect=short every={}",
            dice.number(2, 30)
        )
        .unwrap_or_default();
    }
    if dice.chance(40) {
        let (sign, step) = (*dice.one_of(&["", "-"]), dice.number(1_000, HOUR_MS));
        writeln!(
            text,
            "clock step_ms={sign}{step} from_ms={}",
            dice.number(1_000, 1_000 + last_ms)
        )
        .unwrap_or_default();
    }
    text
}

/// A rule that strikes now and then all the time, or often for a while.
fn rule(text: &mut String, dice: &mut Dice, last_ms: u64, call: &str, errors: &[&str]) {
    let error = *dice.one_of(errors);
    let written = if dice.chance(50) {
        writeln!(
            text,
            "{call} error={error} every={} skip=20",
            dice.number(3, 40)
        )
    } else if call != "poll" && dice.chance(50) {
        // Each call, for less than a client waits beyond its time.
        let from = dice.number(1_000, 1_000 + last_ms);
        writeln!(
            text,
            "{call} error={error} from_ms={from} until_ms={}",
            from + dice.number(100, 400)
        )
    } else {
        let from = dice.number(1_000, 1_000 + last_ms);
        let until = from + dice.number(100, 800);
        writeln!(
            text,
            "{call} error={error} every=2 from_ms={from} until_ms={until}"
        )
    };
    written.unwrap_or_default();
}
