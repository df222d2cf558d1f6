//! The log: lines on standard error, plain or as JSON, through a bounded queue that drops rather than waits, so that
//! no thread of the program is ever held up by whoever reads it.

use foldmux_fronts::listen::{named, READER_STACK};
use std::panic::catch_unwind;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that wait to be written; those beyond are dropped and counted by the writer.
const QUEUE: usize = 4_096;
/// How often the log's thread is asked for, where there was one for others in between.
const STARTS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Plain,
    Json,
}

impl Form {
    pub fn parse(text: &str) -> Result<Form, String> {
        match text {
            "plain" => Ok(Form::Plain),
            "json" => Ok(Form::Json),
            other => Err(format!("no form of log {other:?}; plain or json")),
        }
    }
}

/// The queue and the thread that writes from it. The library panics where the machine has no thread left: then one is waited
/// for, and it is asked again.
fn writer() -> Result<(NonBlocking, WorkerGuard), String> {
    for _ in 0..STARTS {
        let builder = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUE)
            .thread_name("log");
        if let Ok(writer) = catch_unwind(|| builder.finish(std::io::stderr())) {
            return Ok(writer);
        }
        let _ = named("spare", READER_STACK, || ())?.join();
    }
    Err("log: no thread to write it".to_string())
}

/// Starts the log; what is queued is written when the guard is dropped. `level`: a level or a filter by module, else
/// what FOLDMUX_LOG says, else `info`.
pub fn start(form: Form, level: Option<&str>) -> Result<WorkerGuard, String> {
    let variable = std::env::var("FOLDMUX_LOG").ok();
    let filter = level.or(variable.as_deref()).unwrap_or("info");
    let filter = EnvFilter::try_new(filter).map_err(|e| format!("log level {filter:?}: {e}"))?;
    let (writer, guard) = writer()?;
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false);
    let set = match form {
        Form::Plain => lines.with_target(false).try_init(),
        Form::Json => lines.json().flatten_event(true).try_init(),
    };
    set.map(|()| guard).map_err(|e| format!("log: {e}"))
}
