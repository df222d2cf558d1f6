//! `foldmux-simulator fleet`: one run, its table; one that breaks something is shrunk and written to a file.

use crate::plan::{Plan, SECOND};
use crate::{run, shrink::shrink, told};
use lexopt::{Arg, Parser, ValueExt};

/// Runs that shrinking may take.
const RUNS: usize = 200;

fn plan(mut args: Parser) -> Result<(Plan, Option<String>), lexopt::Error> {
    let (mut plan, mut out) = (Plan::new(1_000, 1), None);
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Value(word) if word == "fleet" => {}
            Arg::Long("seed") => plan.seed = args.value()?.parse()?,
            Arg::Long("instances") => {
                plan = Plan {
                    seed: plan.seed,
                    ..Plan::new(args.value()?.parse()?, 0)
                }
            }
            Arg::Long("seconds") => {
                plan.span = args.value()?.parse::<u64>()?.clamp(1, 3_600) * SECOND
            }
            Arg::Long("again") => {
                let text = std::fs::read_to_string(args.value()?).map_err(|e| e.to_string())?;
                plan = serde_json::from_str(&text).map_err(|e| e.to_string())?;
            }
            Arg::Long("out") => out = Some(args.value()?.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok((plan, out))
}

/// Ends well where nothing is broken.
pub fn command(args: Parser) -> Result<(), String> {
    let (plan, out) = plan(args).map_err(|e| e.to_string())?;
    let report = run(&plan);
    print!("{}", told(&report));
    let Some(broken) = report.broken() else {
        return Ok(());
    };
    let (short, runs) = shrink(&plan, &report.fired, broken, RUNS);
    let text = serde_json::to_string(&short).map_err(|e| e.to_string())?;
    match out {
        Some(file) => {
            std::fs::write(&file, text + "\n").map_err(|e| format!("{file}: {e}"))?;
            Err(format!("{broken}: shrunk in {runs} runs, {file}"))
        }
        None => Err(format!("{broken}: shrunk in {runs} runs to {text}")),
    }
}
