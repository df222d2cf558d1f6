//! The log: lines on standard error, as plain text or JSON. They go through a bounded queue that drops lines when it is
//! full, so that a slow reader of the log never blocks a thread of the process.

use foldmux_fronts::listen::{named, READER_STACK};
use std::fmt;
use std::panic::catch_unwind;
use std::str::FromStr;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Most lines that wait to be written; further lines are dropped and counted by the writer.
const MAX_QUEUED_LINES: usize = 4_096;
/// Most attempts to start the log's thread.
const MAX_START_ATTEMPTS: usize = 3;
/// Environment variable with the log level, or a filter by module.
const LEVEL_VARIABLE: &str = "FOLDMUX_LOG";
const DEFAULT_LEVEL: &str = "info";

/// The format of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Plain,
    /// A JSON object.
    Json,
}

/// Why the log could not be started.
#[derive(Debug, PartialEq, Eq)]
pub enum LogError {
    /// There is no format of this name.
    UnknownFormat(String),
    /// The first text is neither a level nor a filter, for the reason in the second.
    Level(String, String),
    /// No thread can be created, for the given reason.
    NoThread(String),
    /// The log can't be set up, for the given reason.
    Setup(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::UnknownFormat(name) => {
                write!(out, "unknown log format {name:?}; expected plain or json")
            }
            LogError::Level(level, reason) => write!(out, "log level {level:?}: {reason}"),
            LogError::NoThread(reason) => write!(out, "{reason}"),
            LogError::Setup(reason) => write!(out, "log: {reason}"),
        }
    }
}

impl std::error::Error for LogError {}

impl FromStr for LogFormat {
    type Err = LogError;

    fn from_str(name: &str) -> Result<LogFormat, LogError> {
        match name {
            "plain" => Ok(LogFormat::Plain),
            "json" => Ok(LogFormat::Json),
            unknown => Err(LogError::UnknownFormat(unknown.to_string())),
        }
    }
}

/// Starts the log. Dropping the guard writes the queued lines. `level` is a level or a filter by module; without it the
/// value of `FOLDMUX_LOG` is used, or `info`.
///
/// # Errors
///
/// Returns an error if the level is invalid, or no thread can be created.
pub fn start(format: LogFormat, level: Option<&str>) -> Result<WorkerGuard, LogError> {
    let variable = std::env::var(LEVEL_VARIABLE).ok();
    let level = level.or(variable.as_deref()).unwrap_or(DEFAULT_LEVEL);
    let filter = EnvFilter::try_new(level)
        .map_err(|error| LogError::Level(level.to_string(), error.to_string()))?;
    let (writer, guard) = start_writer()?;
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false);
    let installed = match format {
        LogFormat::Plain => lines.with_target(false).try_init(),
        LogFormat::Json => lines.json().flatten_event(true).try_init(),
    };
    installed.map_err(|error| LogError::Setup(error.to_string()))?;
    Ok(guard)
}

/// Starts the queue and the thread that writes from it. The library panics if the machine has no thread left. In that
/// case this function waits until a thread can be created, and tries again.
fn start_writer() -> Result<(NonBlocking, WorkerGuard), LogError> {
    for _ in 0..MAX_START_ATTEMPTS {
        let builder = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .thread_name("log");
        if let Ok(writer) = catch_unwind(|| builder.finish(std::io::stderr())) {
            return Ok(writer);
        }
        let spare = named("spare", READER_STACK, || ()).map_err(LogError::NoThread)?;
        let _ = spare.join();
    }
    Err(LogError::Setup(
        "no thread can be created to write it".to_string(),
    ))
}
