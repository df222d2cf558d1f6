//! A socket whose reads and writes are over by a moment, however they trickle.

use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

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
        self.stream.set_read_timeout(Some(left(self.until)?))?;
        self.stream.read(buffer)
    }
}

/// Writes all of it, or fails by the moment.
pub fn write(mut stream: &TcpStream, mut bytes: &[u8], until: Instant) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.set_write_timeout(Some(left(until)?))?;
        match stream.write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

fn left(until: Instant) -> io::Result<Duration> {
    let left = until.saturating_duration_since(Instant::now());
    // A time-out of none would be none at all.
    if left < Duration::from_micros(1) {
        return Err(io::ErrorKind::TimedOut.into());
    }
    Ok(left)
}
