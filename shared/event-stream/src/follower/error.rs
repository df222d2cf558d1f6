//! Why a poll brought no events that can be applied.

use foldmux_http1::Broken;
use std::fmt;

/// Why a poll returned no events that can be applied.
#[derive(Debug)]
pub enum PollError {
    /// No connection, or no thread to poll on it, could be had.
    Connect(std::io::Error),
    /// The request or the response was interrupted.
    Transport(Broken),
    /// The status of the response is not 200.
    Status(u16),
    /// The body is not a batch of events.
    Body(String),
    /// One event, or a response that can only be applied as a whole, is longer than this number of bytes.
    TooLong(usize),
    /// Events after this number are missing, or out of order.
    Gap {
        /// Number of the last event before the gap.
        after: u64,
    },
    /// The last event of the response comes before one that was already applied when it was requested.
    Outdated {
        /// Number of the last event of the response.
        last: u64,
        /// Number of the event that was already applied.
        applied: u64,
    },
}

impl fmt::Display for PollError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PollError::Connect(error) => write!(out, "no connection: {error}"),
            PollError::Transport(Broken::TimedOut) => write!(out, "no response in time"),
            PollError::Transport(Broken::Reset) => write!(out, "the connection was lost"),
            PollError::Transport(Broken::Unreadable) => write!(out, "unreadable response"),
            PollError::Transport(Broken::NoMemory) => write!(out, "no memory for the response"),
            PollError::Status(status) => write!(out, "response with status {status}"),
            PollError::Body(error) => write!(out, "unreadable response: {error}"),
            PollError::TooLong(bytes) => {
                write!(out, "more than {bytes} bytes that must be applied at once")
            }
            PollError::Gap { after } => {
                write!(out, "events after {after} are missing or out of order")
            }
            PollError::Outdated { last, applied } => {
                write!(
                    out,
                    "the response ends at event {last}, but {applied} was already applied"
                )
            }
        }
    }
}

impl std::error::Error for PollError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            PollError::Connect(error) => Some(error),
            _ => None,
        }
    }
}
