//! `foldmux-soak --seeds A..B --seconds S [--program FILE] [--folder FOLDER]`: a line for each seed, each broken rule, and a
//! verdict by exit code. The files of a seed that failed stay in the folder.

use foldmux_soak::plan::Plan;
use foldmux_soak::run::{run, Verdict};
use lexopt::{Arg, ValueExt};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

const USAGE: &str = "foldmux-soak [--seeds A..B] [--seconds S] [--program FILE] [--folder FOLDER]";
/// Broken rules of one seed that are shown.
const SHOWN: usize = 5;

struct Line {
    seeds: std::ops::Range<u64>,
    time: Duration,
    program: PathBuf,
    folder: PathBuf,
}

fn read() -> Result<Line, lexopt::Error> {
    let mut line = Line {
        seeds: 1..5,
        time: Duration::from_secs(5),
        program: PathBuf::from("target/release/foldmux"),
        folder: std::env::temp_dir().join(format!("foldmux-soak-{}", std::process::id())),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seeds") => {
                let text = parser.value()?.string()?;
                let (from, to) = text
                    .split_once("..")
                    .ok_or("--seeds: a range such as 1..11")?;
                line.seeds = from.parse().map_err(|_| "--seeds: no number")?
                    ..to.parse().map_err(|_| "--seeds: no number")?;
            }
            Arg::Long("seconds") => line.time = Duration::from_secs(parser.value()?.parse()?),
            Arg::Long("program") => line.program = parser.value()?.into(),
            Arg::Long("folder") => line.folder = parser.value()?.into(),
            other => return Err(other.unexpected()),
        }
    }
    Ok(line)
}

fn main() -> ExitCode {
    let line = match read() {
        Ok(line) => line,
        Err(e) => {
            eprintln!("foldmux-soak: {e}\n{USAGE}");
            return ExitCode::FAILURE;
        }
    };
    let (mut good, mut failed) = (0, 0);
    for seed in line.seeds.clone() {
        match one(&line, seed) {
            Ok(true) => good += 1,
            Ok(false) => failed += 1,
            Err(e) => {
                println!("seed {seed}: {e}");
                failed += 1;
            }
        }
    }
    println!("soak: {good} seeds kept every rule, {failed} did not");
    if failed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

/// Whether a seed kept every rule.
fn one(line: &Line, seed: u64) -> Result<bool, String> {
    let folder = line.folder.join(seed.to_string());
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let verdict = run(&line.program, &Plan::of(seed, line.time), &folder)?;
    tell(seed, &verdict, &folder);
    if verdict.is_good() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(verdict.is_good())
}

fn tell(seed: u64, verdict: &Verdict, folder: &Path) {
    let Verdict {
        requests,
        served,
        attempts,
        crossed,
        injected,
        killed,
        broken,
        crashed,
    } = verdict;
    println!(
        "seed {seed}: {requests} requests, {served} answered, {attempts} attempts, {crossed} crossed, {injected} faults, \
         killed {killed}, {} broken",
        broken.len()
    );
    crashed.iter().for_each(|how| println!("  crashed: {how}"));
    broken
        .iter()
        .take(SHOWN)
        .for_each(|broken| println!("  {broken}"));
    if !verdict.is_good() {
        println!("  its files: {}", folder.display());
    }
}
