//! `foldmux-simulator`: plays scenarios, sweeps one of their fields, and plots.

mod fanout;
mod model;
mod plot;
mod scenario;
mod storm;
mod tell;
mod usage;

use crate::usage::USAGE;
use lexopt::{Arg, Parser};
use model::{play, Result as Day};
use scenario::Scenario;
use serde::Serialize;
use std::process::ExitCode;

/// A day, and what to hold it against.
#[derive(Serialize)]
struct Run {
    archive_fetches_per_object: f64,
    /// Worth served, over that of the same day without a rewiring.
    worth_kept: f64,
    loops_broken: u64,
    node_visited_twice: u64,
    older_than_purge: u64,
    /// The same day with any two parents by the object and no shield.
    without_shields: f64,
    rewired: Day,
    calm: Day,
    plain: Day,
}

#[derive(Serialize)]
pub struct Point {
    pub value: f64,
    /// Mean of the repeats, and their least and most.
    pub shielded: [f64; 3],
    pub plain: [f64; 3],
    pub worth: f64,
    pub worth_plain: f64,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("foldmux-simulator: {}", message.trim_end());
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut parser = Parser::from_env();
    match std::env::args().nth(1).as_deref() {
        Some("fleet") => return foldmux_fleet_simulator::command::command(parser),
        Some("fanout") => {
            let _ = parser.next();
            return fanout::command(parser);
        }
        _ => {}
    }
    let (mut words, mut json) = (Vec::new(), false);
    let (mut field, mut values, mut repeats, mut out) = (None, None, 3u64, None);
    let said = |e: lexopt::Error| e.to_string();
    while let Some(arg) = parser.next().map_err(said)? {
        match arg {
            Arg::Long("json") => json = true,
            Arg::Long("field") => field = Some(text(&mut parser)?),
            Arg::Long("values") => values = Some(text(&mut parser)?),
            Arg::Long("repeats") => {
                repeats = text(&mut parser)?
                    .parse()
                    .map_err(|e| format!("--repeats: {e}"))?
            }
            Arg::Long("out") => out = Some(text(&mut parser)?),
            Arg::Long("help") | Arg::Short('h') => words = vec!["help".to_string()],
            Arg::Value(word) if words.len() < 2 => words.push(word.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    let scenario = |file: &str| {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
        Scenario::parse(file, &text)
    };
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        [what @ ("run" | "plot"), file] if is_storm(file)? => {
            run_storm(file, what == "plot", out, json)?;
        }
        ["run", file] => {
            let run = beside(&scenario(file)?)?;
            match json {
                true => println!(
                    "{}",
                    serde_json::to_string_pretty(&run).map_err(|e| e.to_string())?
                ),
                false => tell::tell(&run),
            }
        }
        [what @ ("sweep" | "plot"), file] => {
            let field = field.ok_or("--field is wanted")?;
            let values = values.ok_or("--values is wanted")?;
            let points = sweep(&scenario(file)?, &field, &values, repeats.clamp(1, 100))?;
            print_sweep(&field, &points, (what == "plot").then_some(out), json)?;
        }
        ["help"] => println!("{USAGE}"),
        _ => return Err("no such command; see foldmux-simulator help".to_string()),
    }
    Ok(())
}

/// Plays a storm of failures with limits and without, and prints or plots both.
fn run_storm(file: &str, plot: bool, out: Option<String>, json: bool) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let storm = storm::Storm::parse(file, &text)?;
    let report = storm::report(&storm, &storm::limits(&storm, std::path::Path::new(file))?);
    if plot {
        let out = out.ok_or("--out is wanted")?;
        let fails = [storm.fail_at_s, storm.fail_at_s + storm.fail_for_s];
        crate::plot::storm(&out, fails, &report.limited.series, &report.today.series)?;
        println!("{out}: {} seconds", report.limited.series.len());
    } else if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?
        );
    } else {
        println!(
            "             load  recovery s  worth kept     after  records  attempts  rules broken"
        );
        for (name, day) in [("limited", &report.limited), ("today", &report.today)] {
            println!(
                "{name:<10} {:>6.2} {:>11.1} {:>11.3} {:>9.3} {:>8.4} {:>9.3}  {:?}",
                day.load_factor,
                day.recovery_s,
                day.worth_kept,
                day.worth_after,
                day.records_served,
                day.attempts_per_request,
                day.broken
            );
        }
    }
    Ok(())
}

/// Prints the points of a sweep, or plots them to the file `plot`.
fn print_sweep(
    field: &str,
    points: &[Point],
    plot: Option<Option<String>>,
    json: bool,
) -> Result<(), String> {
    if let Some(out) = plot {
        let out = out.ok_or("--out is wanted")?;
        crate::plot::draw(&out, field, points)?;
        println!("{out}: {} points", points.len());
    } else if json {
        println!(
            "{}",
            serde_json::to_string_pretty(points).map_err(|e| e.to_string())?
        );
    } else {
        println!("{field:>14}  fetches a part: shielded (least..most)   plain (least..most)    worth   plain");
        for p in points {
            let [mean, least, most] = p.shielded;
            let [plain, plain_least, plain_most] = p.plain;
            println!(
                        "{:>14}  {mean:>23.3} ({least:.3}..{most:.3})  {plain:>6.3} ({plain_least:.3}..{plain_most:.3})  \
                         {:>6.3}  {:>6.3}",
                        p.value, p.worth, p.worth_plain
                    );
        }
    }
    Ok(())
}

/// Whether a scenario is a storm, and not a day of the hierarchy.
fn is_storm(file: &str) -> Result<bool, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let table: toml::Table = toml::from_str(&text).map_err(|e| format!("{file}: {e}"))?;
    Ok(table.contains_key("fail_part"))
}

fn text(parser: &mut Parser) -> Result<String, String> {
    let value = parser.value().map_err(|e| e.to_string())?;
    value.into_string().map_err(|v| format!("{v:?} is no text"))
}

/// Days side by side, each on a thread: they share nothing.
fn all(scenarios: &[Scenario]) -> Vec<Day> {
    std::thread::scope(|scope| {
        let days: Vec<_> = scenarios
            .iter()
            .map(|s| scope.spawn(move || play(s)))
            .collect();
        days.into_iter()
            .map(|day| day.join().expect("a day ends"))
            .collect()
    })
}

fn beside(scenario: &Scenario) -> Result<Run, String> {
    let calm = scenario.with("rewire_at_s", "0.0")?;
    let plain = scenario.with("shield", "false")?;
    let days = all(&[scenario.clone(), calm, plain]);
    let [rewired, calm, plain] =
        <[Day; 3]>::try_from(days).map_err(|_| "three days".to_string())?;
    Ok(Run {
        archive_fetches_per_object: rewired.archive_fetches_per_object,
        worth_kept: rewired.worth / calm.worth.max(f64::MIN_POSITIVE),
        loops_broken: rewired.loops_broken,
        node_visited_twice: rewired.node_visited_twice,
        older_than_purge: rewired.older_than_purge,
        without_shields: plain.archive_fetches_per_object,
        rewired,
        calm,
        plain,
    })
}

fn sweep(
    scenario: &Scenario,
    field: &str,
    values: &str,
    repeats: u64,
) -> Result<Vec<Point>, String> {
    let mut points = Vec::new();
    for value in values.split(',') {
        let mut days = Vec::new();
        for seed in 0..repeats {
            let own = scenario
                .with(field, value)?
                .with("seed", &(scenario.seed + seed).to_string())?;
            days.push(own.with("shield", "false")?);
            days.push(own);
        }
        let results = all(&days);
        let (plain, shielded): (Vec<_>, Vec<_>) =
            results.chunks(2).map(|pair| (&pair[0], &pair[1])).unzip();
        let spread = |days: &[&Day]| {
            let of = |d: &&Day| d.archive_fetches_per_object;
            let mean = days.iter().map(of).sum::<f64>() / days.len() as f64;
            let least = days.iter().map(of).fold(f64::MAX, f64::min);
            [mean, least, days.iter().map(of).fold(0.0, f64::max)]
        };
        let worth = |days: &[&Day]| days.iter().map(|d| d.worth).sum::<f64>() / days.len() as f64;
        points.push(Point {
            value: value
                .trim()
                .parse()
                .map_err(|e| format!("{value:?}: {e}"))?,
            shielded: spread(&shielded),
            plain: spread(&plain),
            worth: worth(&shielded),
            worth_plain: worth(&plain),
        });
    }
    Ok(points)
}
