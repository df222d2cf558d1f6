//! `make demo`, and by a second word the scenarios of the external processor ([`foldmux_demo`]). Without one: the real
//! proxies and hubs over stand-ins ([`hubs`]), with a verdict by exit code.

mod hubs;

use foldmux_demo::extproc::Trial;
use foldmux_fakes::unix_ms;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("demo: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<bool, String> {
    let program = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "target/release/foldmux".to_string());
    let program = PathBuf::from(program);
    let which = std::env::args().nth(2);
    let folder = std::env::temp_dir().join(format!("foldmux-demo-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let verdict = match which.as_deref() {
        None => hubs::play(&program, &folder),
        Some("extproc") => process(&program, &folder),
        Some("streams") => foldmux_demo::extproc::streams(&program, &folder, 2_000).map(|told| {
            println!("{told}");
            true
        }),
        Some("day") => foldmux_demo::day::compare(&program, &folder, 3).map(|_| true),
        Some(other) => Err(format!(
            "no demo {other:?}; extproc, streams, day, or none for the hubs"
        )),
    };
    match &verdict {
        Ok(true) => drop(std::fs::remove_dir_all(&folder)),
        _ => eprintln!("demo: the logs are in {}", folder.display()),
    }
    verdict
}

/// The external processor behind a proxy that cancels at random.
fn process(program: &Path, folder: &Path) -> Result<bool, String> {
    let began = Instant::now();
    let trial = Trial {
        requests: 20_000,
        seed: unix_ms(),
        slowest: 50,
        forgets: false,
    };
    let report = foldmux_demo::extproc::run(program, folder, trial)?;
    println!("{report}\n{:.1} s", began.elapsed().as_secs_f64());
    Ok(report.sound())
}
