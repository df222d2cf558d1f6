//! The command line of the edge proxy.

use foldmux_proxy::fronts::dns::server::Setup;
use foldmux_proxy::{config, server};
use lexopt::{Arg, Parser};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
foldmux, an edge proxy in front of pop caches

  foldmux serve [--config FILE] [--dns FILE]          run in the foreground until SIGTERM; SIGHUP reloads
  foldmux check-config [--config FILE] [--dns FILE]   read the configuration and say what it holds
  foldmux version
  foldmux help

The configuration is FILE, else the file that GW_CONFIG names. GW_NAME and GW_LISTEN override it.
The DNS front is off unless --dns, or FOLDMUX_DNS, names the operator's file for it.";

enum Command {
    Serve,
    Check,
    Version,
    Help,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("foldmux: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut parser = Parser::from_env();
    let (mut command, mut file, mut dns) = (None, None, std::env::var_os("FOLDMUX_DNS"));
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Arg::Value(word) if command.is_none() => {
                command = Some(match word.to_string_lossy().as_ref() {
                    "serve" => Command::Serve,
                    "check-config" => Command::Check,
                    "version" => Command::Version,
                    "help" => Command::Help,
                    other => return Err(format!("no command {other:?}; see foldmux help")),
                });
            }
            Arg::Long("config") => file = Some(parser.value().map_err(|e| e.to_string())?),
            Arg::Long("dns") => dns = Some(parser.value().map_err(|e| e.to_string())?),
            Arg::Long("help") | Arg::Short('h') => command = Some(Command::Help),
            Arg::Long("version") | Arg::Short('V') => command = Some(Command::Version),
            other => return Err(other.unexpected().to_string()),
        }
    }
    match command.ok_or("no command; see foldmux help")? {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("foldmux {}", env!("CARGO_PKG_VERSION")),
        Command::Check => {
            let config = config::read(&place(file)?)?;
            if let Some(setup) = setup(dns)? {
                println!("{setup:?}");
            }
            let (classes, bounds) = (config.decoded.classes.join(", "), config.bounds);
            println!("{} on {}: classes {classes}", config.name, config.listen);
            println!("{bounds:?}, {} events known", config.known.entries.len());
        }
        Command::Serve => {
            let file = place(file)?;
            let config = config::read(&file)?;
            let bound = setup(dns)?.map(Setup::bind).transpose()?;
            server::run(config, &file, bound)?;
        }
    }
    Ok(())
}

fn setup(file: Option<OsString>) -> Result<Option<Setup>, String> {
    let Some(file) = file.map(PathBuf::from) else { return Ok(None) };
    let bytes = std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    Setup::parse(bytes).map(Some)
}

/// Where the configuration is: the same file is read at the start and at each reload.
fn place(file: Option<OsString>) -> Result<PathBuf, String> {
    let file = file.or_else(|| std::env::var_os("GW_CONFIG")).ok_or("no configuration: set GW_CONFIG")?;
    Ok(file.into())
}
