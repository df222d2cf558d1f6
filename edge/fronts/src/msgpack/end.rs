//! Why a client's connection ended, told in the log with what was open on it.

use foldmux_core::log_throttle::LogThrottle;
use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

/// Requests that one line names; the others are counted.
const NAMED: usize = 8;

/// Why a client's connection ended.
#[derive(Debug)]
pub(super) enum EndReason {
    /// The client closed, or stopped writing.
    ClientClosed,
    /// Reading from it failed.
    ReadFailed(std::io::Error),
    /// Writing an answer to it failed.
    WriteFailed(std::io::Error),
    /// The client did not take an answer in its time.
    NotTaken,
    /// What came can't be read as a message.
    Unreadable(&'static str),
    /// A message did not come whole in its time.
    HalfMessage,
    /// Nothing was asked or owed for as long as a connection may rest.
    Idle,
    /// Our side had ended it: to make way, with the last answer, or because the process leaves.
    EndedHere,
}

impl fmt::Display for EndReason {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            EndReason::ClientClosed => out.write_str("the client closed"),
            EndReason::ReadFailed(error) => write!(out, "a read failed: {error}"),
            EndReason::WriteFailed(error) => write!(out, "a write failed: {error}"),
            EndReason::NotTaken => out.write_str("the client did not take an answer in its time"),
            EndReason::Unreadable(why) => write!(out, "a message can't be read: {why}"),
            EndReason::HalfMessage => out.write_str("a message did not come whole in its time"),
            EndReason::Idle => out.write_str("idle"),
            EndReason::EndedHere => out.write_str("ended by this side"),
        }
    }
}

/// The end of a client's connection.
pub(super) struct End {
    pub client: Option<SocketAddr>,
    /// The connection's number.
    pub number: u64,
    pub reason: EndReason,
    /// The clients' ids of the requests that were open on it.
    pub given_up: Vec<u64>,
    /// Answers in whose place an error was sent, as the client read too slowly for them to be in time.
    pub replaced: usize,
    /// Bytes that still came and were thrown away.
    pub discarded: usize,
}

impl End {
    /// Tells of it: a line at the level INFO where requests were given up with it, answers replaced or the rest of a message
    /// thrown away, else at DEBUG.
    pub fn tell(&self, lines: &LogThrottle) {
        let End {
            number,
            reason,
            given_up,
            replaced,
            discarded,
            ..
        } = self;
        let client = self.client.map_or_else(
            || "a client that has gone".to_string(),
            |address| address.to_string(),
        );
        let discarded = match discarded {
            0 => String::new(),
            bytes => format!("; {bytes} bytes behind it were thrown away"),
        };
        let cut_off = matches!(reason, EndReason::HalfMessage) && !discarded.is_empty();
        if given_up.is_empty() && *replaced == 0 && !cut_off {
            tracing::debug!("connection {number} of {client}: {reason}{discarded}");
            return;
        }
        if !lines.admits(Instant::now()) {
            return;
        }
        let replaced = match replaced {
            0 => String::new(),
            count => format!("; {count} answers could not be in time and were replaced by errors"),
        };
        let given_up = list(given_up);
        tracing::info!("connection {number} of {client}: {reason}{discarded}{given_up}{replaced}");
    }
}

/// The requests that were given up, as a line names them.
fn list(given_up: &[u64]) -> String {
    if given_up.is_empty() {
        return String::new();
    }
    let named: Vec<String> = given_up
        .iter()
        .take(NAMED)
        .map(|id| format!("{id:016x}"))
        .collect();
    let more = given_up.len().saturating_sub(NAMED);
    let named = named.join(", ");
    format!("; given up: {named} and {more} more")
}
