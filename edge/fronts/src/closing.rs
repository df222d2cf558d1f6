//! The graceful close of a connection. A close over bytes that were not read resets the connection, and the peer may lose
//! an answer that it has not read yet. So our side stops writing first, and what still comes is read and thrown away until
//! the peer closes, or for a bounded time.

use foldmux_sockets::stream::{self, Arrived, Stop};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// How long a connection that has ended here is read until its peer closes too. A peer may send on for 50 ms across the
/// end, and sees it a round trip after the last byte of the last answer: time for both many times over.
pub const LINGER_TIME: Duration = Duration::from_secs(1);
/// Most bytes thrown away meanwhile: 32 requests with the longest body (48,000 bytes) across the end, rounded up.
pub const MAX_DISCARDED_BYTES: usize = 2 * 1024 * 1024;
/// Most bytes thrown away in one read.
const DISCARD_CHUNK_SIZE: usize = 4096;

/// Whether bytes have arrived that nobody has read. It neither waits nor takes them. Where no call succeeds that could tell,
/// they may have: what is ended for want of bytes would be ended over them.
pub fn has_arrived(stream: &TcpStream) -> bool {
    matches!(stream::arrived(stream), Arrived::Bytes | Arrived::Unknown)
}

/// Our side writes nothing more; the peer reads what was written, then the end. False where that could not be done: the
/// connection goes on.
pub fn stop_writing(stream: &TcpStream) -> bool {
    stream::shut(stream, Shutdown::Write)
}

/// Ends both ways at once, and wakes whoever reads or writes; false where that could not be done.
pub fn cut(stream: &TcpStream) -> bool {
    stream::shut(stream, Shutdown::Both)
}

/// Whether a discarding reader goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discard {
    /// Something is owed to the peer yet: the reader only listens for its close.
    Owed,
    /// Our side ended so long ago.
    Ended(Duration),
}

/// Reads and throws away until the peer closes, or until what it may take after our end is over. `state` is asked
/// again at least every `LINGER_TIME`. Returns how many bytes were thrown away.
pub fn discard(stream: &TcpStream, state: impl Fn() -> Discard) -> usize {
    let mut chunk = [0; DISCARD_CHUNK_SIZE];
    let (mut left, mut discarded) = (MAX_DISCARDED_BYTES, 0);
    loop {
        let wait = match state() {
            Discard::Owed => LINGER_TIME,
            Discard::Ended(ago) if ago >= LINGER_TIME || left == 0 => return discarded,
            Discard::Ended(ago) => LINGER_TIME - ago,
        };
        match stream::read(stream, &mut chunk, Instant::now() + wait) {
            Ok(0) | Err(Stop::Over(_)) => return discarded,
            Ok(count) => {
                discarded += count;
                if state() != Discard::Owed {
                    left = left.saturating_sub(count);
                }
            }
            Err(Stop::TimedOut | Stop::Failing(_)) => {}
        }
    }
}

/// Throws away what has arrived, without waiting, so that a close does not reset over it.
pub fn drain(stream: &TcpStream) {
    stream::drain(stream, MAX_DISCARDED_BYTES);
}
