//! A connection for code that reads and writes by the standard traits.

use crate::stream::{self, Stop};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A connection of which each read and each write may take so long. Calls that fail for the moment are repeated within that
/// time.
pub struct Timed<'a> {
    stream: &'a TcpStream,
    patience: Duration,
}

impl<'a> Timed<'a> {
    /// Reads and writes on `stream`, each within `patience`.
    pub fn new(stream: &'a TcpStream, patience: Duration) -> Timed<'a> {
        Timed { stream, patience }
    }

    fn until(&self) -> Instant {
        Instant::now() + self.patience
    }
}

impl From<Stop> for io::Error {
    fn from(stop: Stop) -> io::Error {
        match stop {
            Stop::TimedOut => ErrorKind::TimedOut.into(),
            Stop::Over(error) | Stop::Failing(error) => error,
        }
    }
}

impl Read for Timed<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        Ok(stream::read(self.stream, buffer, self.until())?)
    }
}

impl Write for Timed<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match bytes {
            [] => Ok(0),
            _ => Ok(stream::write(self.stream, bytes, self.until())?),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
