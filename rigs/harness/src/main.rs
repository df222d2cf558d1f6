//! Real processes, faults from a seed, what cover costs, tenants beside a flood, the fan-out's figures: a table, and a
//! verdict by exit code.

use foldmux_harness::fanout;
use foldmux_harness::faults::{self, Run};
use foldmux_harness::neighbours;
use foldmux_harness::schedule::Counts;
use foldmux_harness::wired::{self, Wired};
use foldmux_harness::Plan;
use foldmux_harness::{cost, demo};
use lexopt::{Arg, ValueExt};
use std::fs::File;
use std::io::BufWriter;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const USAGE: &str = "\
foldmux-harness faults [--seconds N] [--seed N] [--processes N] [--requests N] [--alone] [--record FILE]
foldmux-harness demo [--seconds N] [--seed N] [--record FILE]
foldmux-harness neighbours [--seconds N] [--seed N] [--processes N]
foldmux-harness cost [--requests N] [--seed N]
foldmux-harness fanout [--processes N] [--sites N] [--subscribers N] [--faults N] [--seed N]

  --alone   no fleet: what is lost and run twice without it
The program is the foldmux beside this one, or what FOLDMUX names.";

struct Line {
    command: String,
    seconds: u64,
    seed: u64,
    processes: usize,
    sized: bool,
    requests: Option<u64>,
    sites: usize,
    subscribers: u64,
    faults: usize,
    alone: bool,
    record: Option<PathBuf>,
}

fn read() -> Result<Line, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut line = Line {
        command: String::new(),
        seconds: 0,
        seed: 1,
        processes: 8,
        sized: false,
        requests: None,
        sites: 4,
        subscribers: 10_000,
        faults: 8,
        alone: false,
        record: None,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(word) if line.command.is_empty() => line.command = word.string()?,
            Arg::Long("seconds") => line.seconds = parser.value()?.parse()?,
            Arg::Long("seed") => line.seed = parser.value()?.parse()?,
            Arg::Long("processes") => {
                line.processes = parser.value()?.parse()?;
                line.sized = true;
            }
            Arg::Long("requests") => line.requests = Some(parser.value()?.parse()?),
            Arg::Long("sites") => line.sites = parser.value()?.parse()?,
            Arg::Long("subscribers") => line.subscribers = parser.value()?.parse()?,
            Arg::Long("faults") => line.faults = parser.value()?.parse()?,
            Arg::Long("alone") => line.alone = true,
            Arg::Long("record") => line.record = Some(parser.value()?.into()),
            other => return Err(other.unexpected()),
        }
    }
    Ok(line)
}

fn main() -> ExitCode {
    let ran = read()
        .map_err(|e| e.to_string())
        .and_then(|line| match line.command.as_str() {
            "faults" => broken(&line),
            "cost" => cost::told(line.requests.unwrap_or(1_000), line.seed),
            "demo" => demo::play(
                line.seed,
                Duration::from_secs(if line.seconds == 0 { 30 } else { line.seconds }),
            ),
            "neighbours" => {
                let sizes = if line.sized {
                    vec![line.processes]
                } else {
                    vec![1, 4, 16]
                };
                neighbours::table(
                    line.seed,
                    Duration::from_secs(if line.seconds == 0 { 8 } else { line.seconds }),
                    &sizes,
                )
            }
            "fanout" => fanout::play(&fanout::Size {
                processes: line.processes,
                sites: line.sites.clamp(1, line.processes),
                subscribers: line.subscribers,
                faults: line.faults,
                seed: line.seed,
            }),
            _ => Err(USAGE.to_string()),
        });
    match ran {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("rig: {why}");
            ExitCode::FAILURE
        }
    }
}

/// A fault of each kind for each three seconds, and requests in proportion: 40 of each and 20,000 in 120 s.
fn broken(line: &Line) -> Result<bool, String> {
    let seconds = if line.seconds == 0 { 120 } else { line.seconds };
    let each = (seconds / 3).max(1) as usize;
    let counts = Counts {
        kills: each,
        pauses: each,
        leaves: (each / 8).max(1),
        upgrades: (each / 8).max(1),
        cuts: if line.alone { 0 } else { each * 3 / 4 },
        apart: each - each * 3 / 4,
    };
    let fleet = !line.alone;
    let plan = Plan {
        processes: line.processes,
        sites: 4.min(line.processes),
        seats: line.processes,
        seed: line.seed,
        fleet,
        operator: if fleet {
            wired::lines(faults::LONGEST)
        } else {
            String::new()
        },
        ..Plan::default()
    };
    let run = Run {
        plan,
        requests: line.requests.unwrap_or(20_000 * seconds / 120),
        customers: 48,
        span: Duration::from_secs(seconds),
        counts,
        together: (line.processes / 2).max(1),
        covered: fleet,
    };
    let began = Instant::now();
    let (fleet, verdict) = faults::run(&run)?;
    if let Some(file) = &line.record {
        let told = |e: std::io::Error| format!("{}: {e}", file.display());
        fleet
            .record()
            .write(BufWriter::new(File::create(file).map_err(told)?))
            .map_err(told)?;
    }
    let wired = if line.alone {
        Wired::none()
    } else {
        Wired::of(&fleet)
    };
    let mut facts = String::new();
    let _ = verdict.facts(&mut facts);
    println!(
        "{} processes, seed {}, {:.0} s\n\n{facts}",
        line.processes,
        line.seed,
        began.elapsed().as_secs_f64()
    );
    if line.alone {
        println!("{}", verdict.told.join("\n"));
        return Ok(verdict.sound());
    }
    println!("{wired}\n{}", wired.judge(&verdict));
    Ok(verdict.sound() && wired.cover)
}
