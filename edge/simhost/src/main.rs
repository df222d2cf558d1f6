use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    match foldmux_simhost::run(input, BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("foldmux-simhost: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
