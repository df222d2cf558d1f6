//! The command line of foldmux.

use foldmux_proxy::check_config::{check, load, place, tell, tree};
use foldmux_proxy::log::{self, Form};
use foldmux_proxy::{config, limits, server};
use lexopt::{Arg, Parser};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
foldmux, an edge proxy in front of pop caches, and a hub cache behind them

  foldmux serve [--config FILE] [--operator FILE]          run in the foreground until SIGTERM; SIGHUP reloads
  foldmux hub --operator FILE --name NODE                  serve as a hub of the operator's tree; SIGHUP rewires
  foldmux check-config [--config FILE] [--operator FILE]   read either or both and say what they hold
  foldmux plan OLD NEW                                     what a rewiring would move, and whether it is taken
  foldmux extproc-check ADDRESS [--method M] [--path P] [--header NAME:VALUE]...
                                                           ask a running external processor for one decision
  foldmux limits show CLASS [--route R] | export | schema [--operator FILE]
  foldmux limits diff OLD NEW                              what differs between two files' limits
  foldmux version
  foldmux help

  --log plain|json    form of the log on standard error
  --log-level LEVEL   error, warn, info, debug, or a filter by module; else FOLDMUX_LOG, else info

The configuration is FILE, else the file that GW_CONFIG names. GW_NAME and GW_LISTEN override it.
The operator's file is a script (deploy/foldmux.star); without it, or FOLDMUX_OPERATOR, all that it could set is off.";

#[derive(Clone, Copy, PartialEq)]
enum Command {
    Serve,
    Hub,
    Check,
    Plan,
    Ask,
    Limits,
    Version,
    Help,
}

/// What the command line says.
struct Line {
    command: Command,
    config: Option<OsString>,
    operator: Option<PathBuf>,
    name: Option<String>,
    files: Vec<PathBuf>,
    /// Of the request that `extproc-check` asks about.
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    /// Of `limits`.
    words: Vec<String>,
    route: Option<String>,
    form: Form,
    level: Option<String>,
}

fn main() -> ExitCode {
    match read().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("foldmux: {}", message.trim_end());
            ExitCode::FAILURE
        }
    }
}

fn read() -> Result<Line, String> {
    let mut parser = Parser::from_env();
    let (mut command, mut config, mut name, mut level) = (None, None, None, None);
    let mut operator = std::env::var_os("FOLDMUX_OPERATOR").map(PathBuf::from);
    let (mut files, mut form) = (Vec::new(), Form::Plain);
    let (mut method, mut path) = (
        "GET".to_string(),
        "/v2/q/formula-card/0000000000000001/0".to_string(),
    );
    let (mut headers, mut words, mut route) = (Vec::new(), Vec::new(), None);
    let said = |e: lexopt::Error| e.to_string();
    let word = |value: OsString| value.into_string().map_err(|v| format!("{v:?} is no text"));
    while let Some(arg) = parser.next().map_err(said)? {
        match arg {
            Arg::Value(value) if command.is_none() => {
                command = Some(match word(value)?.as_str() {
                    "serve" => Command::Serve,
                    "hub" => Command::Hub,
                    "check-config" => Command::Check,
                    "plan" => Command::Plan,
                    "extproc-check" => Command::Ask,
                    "limits" => Command::Limits,
                    "version" => Command::Version,
                    "help" => Command::Help,
                    other => return Err(format!("no command {other:?}; see foldmux help")),
                });
            }
            Arg::Value(file) if command == Some(Command::Plan) && files.len() < 2 => {
                files.push(file.into())
            }
            Arg::Value(place) if command == Some(Command::Ask) && files.is_empty() => {
                files.push(place.into())
            }
            Arg::Value(value) if command == Some(Command::Limits) && words.len() < 3 => {
                words.push(word(value)?)
            }
            Arg::Long("route") => route = Some(word(parser.value().map_err(said)?)?),
            Arg::Long("method") => method = word(parser.value().map_err(said)?)?,
            Arg::Long("path") => path = word(parser.value().map_err(said)?)?,
            Arg::Long("header") => {
                let text = word(parser.value().map_err(said)?)?;
                let (name, value) = text
                    .split_once(':')
                    .ok_or_else(|| format!("{text:?} is no NAME:VALUE"))?;
                headers.push((name.to_string(), value.trim().to_string()));
            }
            Arg::Long("config") => config = Some(parser.value().map_err(said)?),
            Arg::Long("operator") => operator = Some(parser.value().map_err(said)?.into()),
            Arg::Long("name") => name = Some(word(parser.value().map_err(said)?)?),
            Arg::Long("log") => form = Form::parse(&word(parser.value().map_err(said)?)?)?,
            Arg::Long("log-level") => level = Some(word(parser.value().map_err(said)?)?),
            Arg::Long("help") | Arg::Short('h') => command = Some(Command::Help),
            Arg::Long("version") | Arg::Short('V') => command = Some(Command::Version),
            other => return Err(other.unexpected().to_string()),
        }
    }
    let command = command.ok_or("no command; see foldmux help")?;
    Ok(Line {
        command,
        config,
        operator,
        name,
        files,
        method,
        path,
        headers,
        words,
        route,
        form,
        level,
    })
}

fn run(line: Line) -> Result<(), String> {
    let Line {
        command,
        config,
        operator,
        name,
        files,
        method,
        path,
        headers,
        words,
        route,
        form,
        level,
    } = line;
    match command {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("foldmux {}", env!("CARGO_PKG_VERSION")),
        Command::Check => check(config, operator)?,
        Command::Plan => {
            let [old, new] = &files[..] else {
                return Err("plan wants two files; see foldmux help".to_string());
            };
            tell(&tree(old)?, &tree(new)?)?;
        }
        Command::Ask => {
            let [place] = &files[..] else {
                return Err("extproc-check wants an address; see foldmux help".to_string());
            };
            let place = place.to_string_lossy();
            print!(
                "{}",
                foldmux_extproc::check::check(&place, &method, &path, &headers)?
            );
        }
        Command::Limits => print!(
            "{}",
            limits::command(&words, operator.as_deref(), route.as_deref())?
        ),
        Command::Serve => {
            let file = place(config)?;
            let config = config::read(&file)?;
            let held = operator.as_deref().map(load).transpose()?;
            let _log = log::start(form, level.as_deref())?;
            server::run(config, &file, operator.as_deref().zip(held))?;
        }
        Command::Hub => {
            let file = operator.ok_or("hub wants --operator FILE")?;
            let name = name.ok_or("hub wants --name NODE")?;
            let _log = log::start(form, level.as_deref())?;
            foldmux_hub::run::run(&name, &file)?;
        }
    }
    Ok(())
}
