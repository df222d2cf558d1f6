//! Reading and writing on a blocking socket until a moment, which bounds the whole and not each call.

use crate::bounds::Broken;
use foldmux_sockets::stream::{arrived, read, write, Arrived, Stop};
use std::net::TcpStream;
use std::time::Instant;

impl From<Stop> for Broken {
    fn from(stop: Stop) -> Broken {
        match stop {
            Stop::TimedOut | Stop::Failing(_) => Broken::TimedOut,
            Stop::Over(_) => Broken::Reset,
        }
    }
}

/// Some bytes; 0 is the end.
pub fn read_some(
    stream: &TcpStream,
    buffer: &mut [u8],
    deadline: Instant,
) -> Result<usize, Broken> {
    Ok(read(stream, buffer, deadline)?)
}

/// A write that ended before its time: how many bytes the system had taken by then. Where it took none, nobody can
/// have read any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unwritten {
    pub written: usize,
    pub cause: Broken,
}

impl From<Unwritten> for Broken {
    fn from(unwritten: Unwritten) -> Broken {
        unwritten.cause
    }
}

/// All parts, one after the other.
pub fn write_all(stream: &TcpStream, parts: &[&[u8]], until: Instant) -> Result<(), Unwritten> {
    let mut written = 0;
    for part in parts {
        let mut left = *part;
        while !left.is_empty() {
            let taken = write(stream, left, until);
            let taken = taken.map_err(|stop| Unwritten {
                written,
                cause: stop.into(),
            })?;
            left = &left[taken..];
            written += taken;
        }
    }
    Ok(())
}

/// Whether a connection may still be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quiet {
    Yes,
    /// The other side closed it, or spoke on it unasked.
    No,
    /// No call succeeded that could tell.
    Unknown,
}

/// Whether nothing has come on a connection. Guards against one that the other side closed, or spoke on, while it was idle.
pub fn is_quiet(stream: &TcpStream) -> Quiet {
    match arrived(stream) {
        Arrived::Nothing => Quiet::Yes,
        Arrived::Bytes | Arrived::End => Quiet::No,
        Arrived::Unknown => Quiet::Unknown,
    }
}

/// Whether an idle connection is known to be of use: where that can't be told, another is dialled.
pub fn quiet(stream: &TcpStream) -> bool {
    is_quiet(stream) == Quiet::Yes
}
