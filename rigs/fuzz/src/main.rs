//! `make fuzz SECONDS=60`: all targets in turn, a table, and a non-zero exit where anything was found.

use lexopt::Arg;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    match read() {
        Ok((seconds, seed)) => run(Duration::from_secs(seconds), seed),
        Err(why) => {
            eprintln!("fuzz: {why}");
            ExitCode::FAILURE
        }
    }
}

fn read() -> Result<(u64, u64), lexopt::Error> {
    use lexopt::ValueExt;
    let (mut seconds, mut seed, mut parser) = (60, 1, lexopt::Parser::from_env());
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seconds") => seconds = parser.value()?.parse()?,
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok((seconds, seed))
}

fn run(time: Duration, seed: u64) -> ExitCode {
    // A panic is a finding, told once below.
    std::panic::set_hook(Box::new(|_| ()));
    let report = foldmux_fuzz::run(time, seed);
    println!(
        "{:<16} {:>10} {:>8} {:>16}",
        "target", "inputs", "corpus", "longest turn"
    );
    for (name, inputs, longest, kept) in &report.rows {
        println!(
            "{name:<16} {inputs:>10} {kept:>8} {:>13} ms",
            longest.as_millis()
        );
    }
    for (name, bytes, why) in &report.findings {
        println!("FOUND {name}: {why}");
        match foldmux_fuzz::keep(name, bytes) {
            Ok(file) => println!("      kept in {}", file.display()),
            Err(why) => println!("      not kept: {why}"),
        }
    }
    if report.findings.is_empty() {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
