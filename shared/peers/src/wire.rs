//! A socket whose reads and writes are over by a moment, however they trickle.

use foldmux_sockets::stream;
use std::io::{self, BufReader, Read};
use std::net::TcpStream;
use std::time::Instant;

/// The socket gives at most so much at once.
const READ: usize = 16 * 1024;

/// A socket whose reads fail once a moment has passed.
pub struct DeadlineStream {
    stream: TcpStream,
    /// The moment; whoever reads may put it off.
    pub until: Instant,
}

/// Such a socket, read through a buffer.
pub type DeadlineReader = BufReader<DeadlineStream>;

/// Reads `stream` until that moment.
pub fn deadline_reader(stream: TcpStream, until: Instant) -> DeadlineReader {
    BufReader::with_capacity(READ, DeadlineStream { stream, until })
}

impl Read for DeadlineStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        Ok(stream::read(&self.stream, buffer, self.until)?)
    }
}

/// Writes all of it, or fails by the moment.
pub fn write(stream: &TcpStream, mut bytes: &[u8], until: Instant) -> io::Result<()> {
    while !bytes.is_empty() {
        let count = stream::write(stream, bytes, until)?;
        bytes = &bytes[count..];
    }
    Ok(())
}
