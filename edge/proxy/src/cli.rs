//! The words of the command line.

use foldmux_proxy::log::{LogError, LogFormat};
use lexopt::{Arg, Parser};
use std::ffi::OsString;
use std::fmt;
use std::path::PathBuf;

/// What `foldmux help` prints.
pub const USAGE: &str = "\
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

/// Environment variable with the path of the operator's file.
const OPERATOR_VARIABLE: &str = "FOLDMUX_OPERATOR";
/// Most words after `limits`.
const MAX_LIMITS_WORDS: usize = 3;
/// The request that `extproc-check` asks about, unless others are named.
const DEFAULT_METHOD: &str = "GET";
const DEFAULT_PATH: &str = "/v2/q/formula-card/0000000000000001/0";

/// What the program is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Serve as an edge proxy.
    Serve,
    /// Serve as a hub.
    Hub,
    /// Read the files and print what they hold.
    CheckConfig,
    /// Print what a change of the hierarchy would move.
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

/// The command line, read.
#[derive(Debug)]
pub struct CommandLine {
    /// The command.
    pub command: Command,
    /// `--config`.
    pub config: Option<OsString>,
    /// `--operator`, or FOLDMUX_OPERATOR.
    pub operator: Option<PathBuf>,
    /// `--name`: of a hub.
    pub name: Option<String>,
    /// The words after the command, but for `limits`.
    pub files: Vec<PathBuf>,
    /// The request that `extproc-check` asks about.
    pub request: CheckedRequest,
    /// The words after `limits`.
    pub limits_words: Vec<String>,
    /// `--route`: of `limits show`.
    pub route: Option<String>,
    /// `--log`.
    pub log_format: LogFormat,
    /// `--log-level`.
    pub log_level: Option<String>,
}

/// The request that `extproc-check` asks about.
#[derive(Debug)]
pub struct CheckedRequest {
    /// `--method`.
    pub method: String,
    /// `--path`.
    pub path: String,
    /// Each `--header`: its name and value.
    pub headers: Vec<(String, String)>,
}

/// Why the command line can't be used. Its text is what the program prints.
#[derive(Debug)]
pub enum UsageError {
    /// An option is unknown, or has no value.
    Option(lexopt::Error),
    /// A word is not text.
    NotText(OsString),
    /// There is no command.
    NoCommand,
    /// No command has this name.
    UnknownCommand(String),
    /// A header has no colon.
    Header(String),
    /// The log has no such format.
    Log(LogError),
    /// The command needs something more, as the text says.
    Missing(&'static str),
}

impl fmt::Display for UsageError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UsageError::Option(error) => write!(out, "{error}"),
            UsageError::NotText(word) => write!(out, "{word:?} is no text"),
            UsageError::NoCommand => write!(out, "no command; see foldmux help"),
            UsageError::UnknownCommand(name) => {
                write!(out, "no command {name:?}; see foldmux help")
            }
            UsageError::Header(text) => write!(out, "{text:?} is no NAME:VALUE"),
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
    /// Reads the words of this process.
    ///
    /// # Errors
    ///
    /// Where a word can't be used, or there is no command.
    pub fn read() -> Result<CommandLine, UsageError> {
        let mut parser = Parser::from_env();
        let mut command = None;
        let mut line = CommandLine::new();
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Value(value) => match command {
                    None => command = Some(parse_command(text(value)?)?),
                    Some(command) => line.take_word(command, value)?,
                },
                Arg::Long("help") | Arg::Short('h') => command = Some(Command::Help),
                Arg::Long("version") | Arg::Short('V') => command = Some(Command::Version),
                Arg::Long(option) => {
                    let option = option.to_string();
                    line.take_option(&option, &mut parser)?;
                }
                other => return Err(other.unexpected().into()),
            }
        }
        line.command = command.ok_or(UsageError::NoCommand)?;
        Ok(line)
    }

    /// A line without words.
    fn new() -> CommandLine {
        CommandLine {
            command: Command::Help,
            config: None,
            operator: std::env::var_os(OPERATOR_VARIABLE).map(PathBuf::from),
            name: None,
            files: Vec::new(),
            request: CheckedRequest {
                method: DEFAULT_METHOD.to_string(),
                path: DEFAULT_PATH.to_string(),
                headers: Vec::new(),
            },
            limits_words: Vec::new(),
            route: None,
            log_format: LogFormat::Plain,
            log_level: None,
        }
    }

    /// A word after the command.
    fn take_word(&mut self, command: Command, value: OsString) -> Result<(), UsageError> {
        match command {
            Command::Plan if self.files.len() < 2 => self.files.push(value.into()),
            Command::ExtProcCheck if self.files.is_empty() => self.files.push(value.into()),
            Command::Limits if self.limits_words.len() < MAX_LIMITS_WORDS => {
                self.limits_words.push(text(value)?)
            }
            _ => return Err(Arg::Value(value).unexpected().into()),
        }
        Ok(())
    }

    fn take_option(&mut self, option: &str, parser: &mut Parser) -> Result<(), UsageError> {
        match option {
            "config" => self.config = Some(parser.value()?),
            "operator" => self.operator = Some(parser.value()?.into()),
            "name" => self.name = Some(text(parser.value()?)?),
            "route" => self.route = Some(text(parser.value()?)?),
            "method" => self.request.method = text(parser.value()?)?,
            "path" => self.request.path = text(parser.value()?)?,
            "header" => self.request.headers.push(header(text(parser.value()?)?)?),
            "log" => {
                let format = text(parser.value()?)?.parse();
                self.log_format = format.map_err(UsageError::Log)?;
            }
            "log-level" => self.log_level = Some(text(parser.value()?)?),
            unknown => return Err(Arg::Long(unknown).unexpected().into()),
        }
        Ok(())
    }
}

fn text(word: OsString) -> Result<String, UsageError> {
    word.into_string().map_err(UsageError::NotText)
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

fn header(text: String) -> Result<(String, String), UsageError> {
    match text.split_once(':') {
        Some((name, value)) => Ok((name.to_string(), value.trim().to_string())),
        None => Err(UsageError::Header(text)),
    }
}
