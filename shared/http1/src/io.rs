//! Reading and writing on a blocking socket until a moment, which bounds the whole and not each call.

use crate::bounds::Broken;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// Some bytes; 0 is the end.
pub fn read_some(stream: &TcpStream, buffer: &mut [u8], deadline: Instant) -> Result<usize, Broken> {
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Broken::TimedOut);
        }
        stream.set_read_timeout(Some(left)).map_err(|_| Broken::Reset)?;
        match (&mut &*stream).read(buffer) {
            Ok(n) => return Ok(n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return Err(Broken::Reset),
        }
    }
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
            let taken = write_some(stream, left, until).map_err(|cause| Unwritten { written, cause })?;
            left = &left[taken..];
            written += taken;
        }
    }
    Ok(())
}

/// Some bytes, at least one.
fn write_some(stream: &TcpStream, bytes: &[u8], until: Instant) -> Result<usize, Broken> {
    loop {
        let time = until.saturating_duration_since(Instant::now());
        if time.is_zero() {
            return Err(Broken::TimedOut);
        }
        stream.set_write_timeout(Some(time)).map_err(|_| Broken::Reset)?;
        match (&mut &*stream).write(bytes) {
            Ok(0) => return Err(Broken::Reset),
            Ok(n) => return Ok(n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return Err(Broken::Reset),
        }
    }
}

/// Whether an idle connection may still be used. Guards against one that the other side closed, or spoke on, while
/// it was idle.
pub fn quiet(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let quiet = matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    quiet && stream.set_nonblocking(false).is_ok()
}
