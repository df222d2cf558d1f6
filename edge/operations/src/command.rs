//! The commands of the admin interface, one a line. A line that can't be read is one `error` line, and the connection
//! goes on.

use std::fmt;

/// Longest command, without its end of line (bytes). An id of a pop cache is far shorter.
pub const MAX_COMMAND_BYTES: usize = 256;
/// How much of an unknown word is repeated in the error (characters).
const MAX_QUOTED_CHARS: usize = 32;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `status`: whether the process takes clients.
    Status,
    /// `stats`: the counts since the start.
    Stats,
    /// `maint-on ID`: takes a pop cache out of service.
    MaintenanceOn(String),
    /// `maint-off ID`: brings it back.
    MaintenanceOff(String),
}

/// Why a line is no command. Its text follows `error ` on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The line has no word.
    Empty,
    /// The line is longer than [`MAX_COMMAND_BYTES`].
    TooLong,
    /// The line is not UTF-8.
    NotText,
    /// The first word is no command.
    Unknown(String),
    /// This command needs an id.
    MissingId(&'static str),
    /// This command has more words than it takes.
    TooManyWords(&'static str),
}

impl fmt::Display for CommandError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Empty => write!(out, "empty call"),
            CommandError::TooLong => write!(out, "call longer than {MAX_COMMAND_BYTES} bytes"),
            CommandError::NotText => write!(out, "call is not text"),
            CommandError::Unknown(word) => write!(
                out,
                "no call {word:?}; calls: status, stats, maint-on ID, maint-off ID"
            ),
            CommandError::MissingId(command) => {
                write!(out, "{command} wants the id of a pop cache")
            }
            CommandError::TooManyWords(command) => {
                write!(out, "{command} takes no more than its words")
            }
        }
    }
}

impl std::error::Error for CommandError {}

/// Reads a command. `line` is without its end of line.
///
/// # Errors
///
/// Where the line is no command.
pub fn parse(line: &[u8]) -> Result<Command, CommandError> {
    if line.len() > MAX_COMMAND_BYTES {
        return Err(CommandError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| CommandError::NotText)?;
    let mut words = text.split_ascii_whitespace();
    let Some(name) = words.next() else {
        return Err(CommandError::Empty);
    };
    match name {
        "status" => without_id("status", words).map(|()| Command::Status),
        "stats" => without_id("stats", words).map(|()| Command::Stats),
        "maint-on" => with_id("maint-on", words).map(Command::MaintenanceOn),
        "maint-off" => with_id("maint-off", words).map(Command::MaintenanceOff),
        unknown => Err(CommandError::Unknown(
            unknown.chars().take(MAX_QUOTED_CHARS).collect(),
        )),
    }
}

fn without_id<'a>(
    command: &'static str,
    mut words: impl Iterator<Item = &'a str>,
) -> Result<(), CommandError> {
    match words.next() {
        None => Ok(()),
        Some(_) => Err(CommandError::TooManyWords(command)),
    }
}

fn with_id<'a>(
    command: &'static str,
    mut words: impl Iterator<Item = &'a str>,
) -> Result<String, CommandError> {
    let id = words.next().ok_or(CommandError::MissingId(command))?;
    without_id(command, words)?;
    Ok(id.to_string())
}

/// Splits what a connection sent into commands. Memory is bounded: a line longer than [`MAX_COMMAND_BYTES`] is reported
/// once, as soon as it is too long, and the rest of it is discarded.
#[derive(Default)]
pub struct CommandReader {
    partial_line: Vec<u8>,
    /// Within a line that is too long, until its end.
    skipping: bool,
}

impl CommandReader {
    /// The commands that are complete with `bytes`, in order; the rest waits for more.
    pub fn read(&mut self, bytes: &[u8]) -> Vec<Result<Command, CommandError>> {
        let mut commands = Vec::new();
        for &byte in bytes {
            commands.extend(self.read_byte(byte));
        }
        commands
    }

    fn read_byte(&mut self, byte: u8) -> Option<Result<Command, CommandError>> {
        if byte == b'\n' {
            return self.end_line();
        }
        if self.skipping {
            return None;
        }
        self.partial_line.push(byte);
        // One byte more than the longest command: it may be the `\r` before the end of line.
        if self.partial_line.len() <= MAX_COMMAND_BYTES + 1 {
            return None;
        }
        self.partial_line.clear();
        self.skipping = true;
        Some(Err(CommandError::TooLong))
    }

    fn end_line(&mut self) -> Option<Result<Command, CommandError>> {
        if std::mem::take(&mut self.skipping) {
            return None;
        }
        let line = std::mem::take(&mut self.partial_line);
        Some(parse(line.strip_suffix(b"\r").unwrap_or(&line)))
    }

    /// Whether part of a line waits for its end: where the connection closes, that command was cut off.
    pub fn has_partial_line(&self) -> bool {
        self.skipping || !self.partial_line.is_empty()
    }
}

#[cfg(test)]
mod tests;
