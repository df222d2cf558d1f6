//! One call of the journal service: the request, and its answer read whole within one deadline.

use super::Feed;
use foldmux_http1::io::write_all;
use foldmux_http1::{read_response, Broken};
use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long after the wait that was asked for an answer counts as lost, and how long a dial may take.
pub const PATIENCE: Duration = Duration::from_millis(700);
/// Longest answer (bytes): some thousand events.
pub const MOST_ANSWER: usize = 1024 * 1024;

/// Why a call brought nothing that can be taken.
#[derive(Debug)]
pub enum Fault {
    NoConnection(std::io::Error),
    /// The service has moved to another address: what its old one says counts no more.
    Moved,
    Broken(Broken),
    Status(u16),
    Unreadable(simd_json::Error),
    /// Events after this number are missing, or out of order.
    Missing {
        after: u64,
    },
    /// Its last event comes before one that was taken.
    Older {
        last: u64,
        taken: u64,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::NoConnection(error) => write!(out, "no connection: {error}"),
            Fault::Moved => write!(out, "it has moved"),
            Fault::Broken(Broken::TimedOut) => write!(out, "no answer in time"),
            Fault::Broken(Broken::Reset) => write!(out, "the connection broke"),
            Fault::Broken(Broken::Unreadable) => write!(out, "an answer that can't be read"),
            Fault::Status(status) => write!(out, "answered {status}"),
            Fault::Unreadable(error) => write!(out, "an answer that can't be read: {error}"),
            Fault::Missing { after } => {
                write!(out, "events after {after} are missing or out of order")
            }
            Fault::Older { last, taken } => write!(out, "it ends at event {last}, before {taken}"),
        }
    }
}

/// What to ask for: the events after `tail`, or word after `max_wait` that there are none.
pub struct Call {
    pub address: SocketAddr,
    pub tail: u64,
    pub max_wait: Duration,
}

pub struct Answer {
    pub feed: Feed,
    /// The connection may carry another call.
    pub reusable: bool,
}

impl Call {
    /// Makes the call. One deadline bounds the whole, however little of an answer comes at a time.
    pub fn make(&self, stream: &TcpStream, buffer: &mut [u8]) -> Result<Answer, Fault> {
        let Call {
            address,
            tail,
            max_wait,
        } = self;
        let wait = max_wait.as_millis();
        let request =
            format!("GET /journal?tail={tail}&max_wait={wait} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let deadline = Instant::now() + *max_wait + PATIENCE;
        let written = write_all(stream, &[request.as_bytes()], deadline);
        written.map_err(|unwritten| Fault::Broken(unwritten.cause))?;
        let response = read_response(stream, buffer, deadline).map_err(Fault::Broken)?;
        if response.status != 200 {
            return Err(Fault::Status(response.status));
        }
        let feed =
            simd_json::serde::from_slice(&mut buffer[response.body]).map_err(Fault::Unreadable)?;
        Ok(Answer {
            feed,
            reusable: response.reusable,
        })
    }
}
