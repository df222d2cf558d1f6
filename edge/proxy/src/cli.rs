//! Parses the command line.

use foldmux_proxy::log::{LogError, LogFormat};
use lexopt::{Arg, Parser};
use std::ffi::OsString;
use std::fmt;
use std::path::PathBuf;

/// What `foldmux help` prints.
pub const USAGE: &str = "\
foldmux, an edge proxy in front of pop caches, and a hub cache behind them

  foldmux serve [--config FILE] [--operator FILE]          run in the foreground until SIGTERM; SIGHUP reloads
  foldmux hub --operator FILE --name NODE                  serve as a hub of the operator's tree; SIGHUP reloads it
  foldmux check-config [--config FILE] [--operator FILE]   check either or both and print a summary
  foldmux plan OLD NEW                                     what a change of the tree would move, and whether it is valid
  foldmux extproc-check ADDRESS [--method M] [--path P] [--header NAME:VALUE]...
                                                           ask a running external processor for one decision
  foldmux limits show CLASS [--route R] | export | schema [--operator FILE]
  foldmux limits diff OLD NEW                              compare the limits of two files
  foldmux version
  foldmux help

  --log plain|json    format of the log on standard error
  --log-level LEVEL   error, warn, info, debug, or a filter by module; default: FOLDMUX_LOG, then info

The configuration is FILE, else the file that GW_CONFIG names. GW_NAME and GW_LISTEN override it.
The operator's file is a script (deploy/foldmux.star); without it and FOLDMUX_OPERATOR, all that it sets is off.";

/// Environment variable with the path of the operator's file, if `--operator` is not given.
const OPERATOR_VARIABLE: &str = "FOLDMUX_OPERATOR";
/// Most arguments of `limits`.
const MAX_LIMITS_ARGUMENTS: usize = 3;
/// The method and path of the request that `extproc-check` sends by default.
const DEFAULT_METHOD: &str = "GET";
const DEFAULT_PATH: &str = "/v2/q/formula-card/0000000000000001/0";

/// The command to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Serve as an edge proxy.
    Serve,
    /// Serve as a hub.
    Hub,
    /// Check the files and print a summary.
    CheckConfig,
    /// Print what a change of the fill hierarchy would move.
    Plan,
    /// Ask a running external processor for one decision.
    ExtProcCheck,
    /// Show, export or compare limits.
    Limits,
    /// Print the version.
    Version,
    /// Print the usage.
    Help,
}

/// The parsed command line.
#[derive(Debug)]
pub struct CommandLine {
    /// The command.
    pub command: Command,
    /// `--config`.
    pub config: Option<OsString>,
    /// `--operator`, or FOLDMUX_OPERATOR.
    pub operator: Option<PathBuf>,
    /// `--name`: the node that `hub` serves.
    pub name: Option<String>,
    /// The files of `plan`, or the address of `extproc-check`.
    pub operands: Vec<PathBuf>,
    /// The request that `extproc-check` sends.
    pub request: CheckedRequest,
    /// The arguments of `limits`.
    pub limits_arguments: Vec<String>,
    /// `--route`: the route that `limits show` prints.
    pub route: Option<String>,
    /// `--log`.
    pub log_format: LogFormat,
    /// `--log-level`.
    pub log_level: Option<String>,
}

/// The request that `extproc-check` sends.
#[derive(Debug)]
pub struct CheckedRequest {
    /// `--method`.
    pub method: String,
    /// `--path`.
    pub path: String,
    /// The name and value of each `--header`.
    pub headers: Vec<(String, String)>,
}

/// Why the command line can't be used. The program prints its text.
#[derive(Debug)]
pub enum UsageError {
    /// An option is unknown, or has no value.
    Option(lexopt::Error),
    /// An argument is not valid UTF-8.
    NotUtf8(OsString),
    /// No command is given.
    NoCommand,
    /// There is no command of this name.
    UnknownCommand(String),
    /// A header has no colon.
    Header(String),
    /// The log format is unknown.
    Log(LogError),
    /// The command needs another argument, which the text names.
    Missing(&'static str),
}

impl fmt::Display for UsageError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UsageError::Option(error) => write!(out, "{error}"),
            UsageError::NotUtf8(word) => write!(out, "{word:?} is not valid UTF-8"),
            UsageError::NoCommand => write!(out, "missing command; see foldmux help"),
            UsageError::UnknownCommand(name) => {
                write!(out, "unknown command {name:?}; see foldmux help")
            }
            UsageError::Header(text) => {
                write!(out, "header {text:?} is not of the form NAME:VALUE")
            }
            UsageError::Log(error) => write!(out, "{error}"),
            UsageError::Missing(what) => write!(out, "{what}"),
        }
    }
}

impl std::error::Error for UsageError {}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> UsageError {
        UsageError::Option(error)
    }
}

impl CommandLine {
    /// Parses the arguments of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if an argument is invalid, or no command is given.
    pub fn parse() -> Result<CommandLine, UsageError> {
        let mut parser = Parser::from_env();
        let mut command = None;
        let mut line = CommandLine::new();
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Value(value) => match command {
                    None => command = Some(parse_command(utf8(value)?)?),
                    Some(command) => line.add_argument(command, value)?,
                },
                Arg::Long("help") | Arg::Short('h') => command = Some(Command::Help),
                Arg::Long("version") | Arg::Short('V') => command = Some(Command::Version),
                Arg::Long(option) => {
                    let option = option.to_string();
                    line.set_option(&option, &mut parser)?;
                }
                other => return Err(other.unexpected().into()),
            }
        }
        line.command = command.ok_or(UsageError::NoCommand)?;
        Ok(line)
    }

    /// A command line without arguments.
    fn new() -> CommandLine {
        CommandLine {
            command: Command::Help,
            config: None,
            operator: std::env::var_os(OPERATOR_VARIABLE).map(PathBuf::from),
            name: None,
            operands: Vec::new(),
            request: CheckedRequest {
                method: DEFAULT_METHOD.to_string(),
                path: DEFAULT_PATH.to_string(),
                headers: Vec::new(),
            },
            limits_arguments: Vec::new(),
            route: None,
            log_format: LogFormat::Plain,
            log_level: None,
        }
    }

    /// Adds an argument that follows the command.
    fn add_argument(&mut self, command: Command, value: OsString) -> Result<(), UsageError> {
        match command {
            Command::Plan if self.operands.len() < 2 => self.operands.push(value.into()),
            Command::ExtProcCheck if self.operands.is_empty() => self.operands.push(value.into()),
            Command::Limits if self.limits_arguments.len() < MAX_LIMITS_ARGUMENTS => {
                self.limits_arguments.push(utf8(value)?)
            }
            _ => return Err(Arg::Value(value).unexpected().into()),
        }
        Ok(())
    }

    fn set_option(&mut self, option: &str, parser: &mut Parser) -> Result<(), UsageError> {
        match option {
            "config" => self.config = Some(parser.value()?),
            "operator" => self.operator = Some(parser.value()?.into()),
            "name" => self.name = Some(utf8(parser.value()?)?),
            "route" => self.route = Some(utf8(parser.value()?)?),
            "method" => self.request.method = utf8(parser.value()?)?,
            "path" => self.request.path = utf8(parser.value()?)?,
            "header" => self
                .request
                .headers
                .push(parse_header(utf8(parser.value()?)?)?),
            "log" => {
                let format = utf8(parser.value()?)?.parse();
                self.log_format = format.map_err(UsageError::Log)?;
            }
            "log-level" => self.log_level = Some(utf8(parser.value()?)?),
            unknown => return Err(Arg::Long(unknown).unexpected().into()),
        }
        Ok(())
    }
}

fn utf8(word: OsString) -> Result<String, UsageError> {
    word.into_string().map_err(UsageError::NotUtf8)
}

fn parse_command(name: String) -> Result<Command, UsageError> {
    Ok(match name.as_str() {
        "serve" => Command::Serve,
        "hub" => Command::Hub,
        "check-config" => Command::CheckConfig,
        "plan" => Command::Plan,
        "extproc-check" => Command::ExtProcCheck,
        "limits" => Command::Limits,
        "version" => Command::Version,
        "help" => Command::Help,
        _ => return Err(UsageError::UnknownCommand(name)),
    })
}

fn parse_header(text: String) -> Result<(String, String), UsageError> {
    match text.split_once(':') {
        Some((name, value)) => Ok((name.to_string(), value.trim().to_string())),
        None => Err(UsageError::Header(text)),
    }
}
