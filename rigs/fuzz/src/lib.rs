//! Fuzzing with an oracle, on the stable toolchain: every codec against another reading of the same bytes, by a library or
//! by encoding and decoding back, whole and in pieces.
//!
//! Owns: the targets, what is drawn for them, the corpus of findings (`corpus/TARGET/`), the time that a run may take.
//! May not: change what it tests, or reach into it other than by its public functions. Each input is bytes: those of
//! the wire, or those from which a message is drawn (`arbitrary`), so that a finding is one small file.

pub mod calls;
pub mod frames;
pub mod http;
pub mod json;
pub mod msgpack;
pub mod script;
pub mod table;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestError, TestRng, TestRunner};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Whether the bytes are read as they should be; else in words what differs.
pub type Check = fn(&[u8]) -> Result<(), String>;

pub struct Target {
    pub name: &'static str,
    pub draw: fn() -> BoxedStrategy<Vec<u8>>,
    pub check: Check,
    /// Inputs of one turn: fewer where one costs more.
    pub turn: u32,
}

pub fn targets() -> Vec<Target> {
    vec![
        Target {
            name: "msgpack-call",
            draw: calls::calls,
            check: msgpack::call,
            turn: 512,
        },
        Target {
            name: "msgpack-answer",
            draw: drawn,
            check: msgpack::answer,
            turn: 512,
        },
        Target {
            name: "http-request",
            draw: drawn,
            check: http::request,
            turn: 64,
        },
        Target {
            name: "http-answer",
            draw: drawn,
            check: http::answer,
            turn: 64,
        },
        Target {
            name: "http-spoilt",
            draw: http::heads,
            check: http::spoilt,
            turn: 64,
        },
        Target {
            name: "journal",
            draw: json::feeds,
            check: json::feed,
            turn: 512,
        },
        Target {
            name: "settings",
            draw: json::settings,
            check: json::setting,
            turn: 256,
        },
        Target {
            name: "operator",
            draw: script::files,
            check: script::file,
            turn: 64,
        },
        Target {
            name: "frames",
            draw: drawn,
            check: frames::sealed,
            turn: 512,
        },
        Target {
            name: "frames-spoilt",
            draw: drawn,
            check: frames::spoilt,
            turn: 512,
        },
        Target {
            name: "store",
            draw: drawn,
            check: table::kept,
            turn: 4,
        },
    ]
}

/// Bytes from which a check draws its message itself.
pub fn drawn() -> BoxedStrategy<Vec<u8>> {
    vec(any::<u8>(), 0..600).boxed()
}

/// What is done to good bytes: one overwritten, left out, put in, or the rest cut off, at a place in parts of the length.
#[derive(Clone, Debug)]
pub struct Spoil(u8, u16, u8);

pub fn spoils(most: usize) -> BoxedStrategy<Vec<Spoil>> {
    let one =
        (0..5u8, any::<u16>(), any::<u8>()).prop_map(|(kind, at, byte)| Spoil(kind, at, byte));
    prop_oneof![Just(Vec::new()), vec(one, 1..=most)].boxed()
}

pub fn spoil(mut bytes: Vec<u8>, spoils: &[Spoil]) -> Vec<u8> {
    for Spoil(kind, at, byte) in spoils {
        let at = *at as usize * bytes.len() / (u16::MAX as usize + 1);
        match kind {
            _ if bytes.is_empty() => bytes.push(*byte),
            0 => bytes[at] = *byte,
            1 => bytes[at] ^= 1 << (byte & 7),
            2 => drop(bytes.remove(at)),
            3 => bytes.insert(at, *byte),
            _ => bytes.truncate(at),
        }
    }
    bytes
}

pub fn corpus(target: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("corpus")
        .join(target)
}

/// Plays what earlier runs found; how many there were.
pub fn replay(target: &Target) -> Result<usize, String> {
    let Ok(files) = std::fs::read_dir(corpus(target.name)) else {
        return Ok(0);
    };
    let mut count = 0;
    for file in files.flatten() {
        let bytes = std::fs::read(file.path()).map_err(|e| e.to_string())?;
        (target.check)(&bytes).map_err(|why| format!("{}: {why}", file.path().display()))?;
        count += 1;
    }
    Ok(count)
}

/// One turn; what was found is the smallest input that still shows it, and why.
pub fn turn(target: &Target, seed: u64) -> Result<(), (Vec<u8>, String)> {
    let config = Config {
        cases: target.turn,
        failure_persistence: None,
        max_shrink_iters: 20_000,
        max_shrink_time: 4_000,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(Default::default(), &bytes));
    let check = target.check;
    let ran = runner.run(&(target.draw)(), |bytes| {
        check(&bytes).map_err(TestCaseError::fail)
    });
    match ran {
        Ok(()) => Ok(()),
        Err(TestError::Fail(why, bytes)) => Err((bytes, why.to_string())),
        Err(TestError::Abort(why)) => Err((Vec::new(), why.to_string())),
    }
}

#[derive(Debug, Default)]
pub struct Report {
    /// By target: inputs, longest turn, inputs of the corpus.
    pub rows: Vec<(&'static str, u64, Duration, usize)>,
    pub findings: Vec<(&'static str, Vec<u8>, String)>,
}

/// All targets in turn until the time is over. One that fails is left alone from then on.
pub fn run(time: Duration, seed: u64) -> Report {
    let (began, mut report) = (Instant::now(), Report::default());
    let mut open = Vec::new();
    for target in targets() {
        let kept = match replay(&target) {
            Ok(kept) => kept,
            Err(why) => {
                report.findings.push((target.name, Vec::new(), why));
                continue;
            }
        };
        report.rows.push((target.name, 0, Duration::ZERO, kept));
        open.push((target, report.rows.len() - 1));
    }
    let mut round = 0u64;
    while began.elapsed() < time && !open.is_empty() {
        open.retain(|(target, row)| {
            if began.elapsed() >= time {
                return true;
            }
            let from = Instant::now();
            let ran = turn(target, seed ^ (round << 20));
            let row = &mut report.rows[*row];
            row.1 += target.turn as u64;
            row.2 = row.2.max(from.elapsed());
            match ran {
                Ok(()) => true,
                Err((bytes, why)) => {
                    report.findings.push((target.name, bytes, why));
                    false
                }
            }
        });
        round += 1;
    }
    report
}

/// Keeps a finding; its file.
pub fn keep(target: &str, bytes: &[u8]) -> std::io::Result<PathBuf> {
    let folder = corpus(target);
    std::fs::create_dir_all(&folder)?;
    let sum = bytes.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ *b as u64).wrapping_mul(0x100_0000_01b3)
    });
    let file = folder.join(format!("{sum:016x}"));
    std::fs::write(&file, bytes).map(|()| file)
}
