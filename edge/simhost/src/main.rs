//! `foldmux-simhost`: plays the simulator's batches from standard input, replies on standard output.

use foldmux_simhost::host::{Host, HostOptions};
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

const INPUT_BUFFER_BYTES: usize = 1 << 20;

/// `--deaf` ignores load reports, `--probes` sends health checks where they may pay; both are for comparisons.
fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let has = |flag: &str| arguments.iter().any(|argument| argument == flag);
    let host = Host::new(HostOptions {
        ignores_load_reports: has("--deaf"),
        acts_on_load_reports: has("--probes"),
    });
    let input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    match foldmux_simhost::run_on(host, input, BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foldmux-simhost: {}", error.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
