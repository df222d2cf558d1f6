use foldmux_simhost::host::Host;
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// `--deaf`: load reports are left aside; `--probes`: probes are sent where they may pay. Both are there to compare by.
fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let has = |word: &str| arguments.iter().any(|argument| argument == word);
    let host = Host::new(has("--deaf"), has("--probes"));
    let input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    match foldmux_simhost::run_on(host, input, BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("foldmux-simhost: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
