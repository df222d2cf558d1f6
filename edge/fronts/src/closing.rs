//! The graceful close of a connection. A close over bytes that were not read resets the connection, and the peer may lose
//! an answer that it has not read yet. So our side stops writing first, and what still comes is read and thrown away until
//! the peer closes, or for a bounded time.

use socket2::SockRef;
use std::io::{ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// How long a connection that has ended here is read until its peer closes too. A peer may send on for 50 ms across the
/// end, and sees it a round trip after the last byte of the last answer: time for both many times over.
pub const LINGER: Duration = Duration::from_secs(1);
/// Bytes thrown away meanwhile: 32 requests with the longest body (48,000 bytes) across the end, rounded up.
pub const MOST_DISCARDED: usize = 2 * 1024 * 1024;
/// Thrown away in one read.
const CHUNK: usize = 4096;
/// Flags of `recv(2)` on Linux: look without taking, and without waiting.
const MSG_PEEK: i32 = 0x02;
const MSG_DONTWAIT: i32 = 0x40;

/// Whether bytes have arrived that nobody has read. It neither waits nor takes them.
pub fn has_arrived(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let seen = SockRef::from(stream).recv_with_flags(&mut byte, MSG_PEEK | MSG_DONTWAIT);
    seen.is_ok_and(|count| count > 0)
}

/// Our side writes nothing more; the peer reads what was written, then the end.
pub fn stop_writing(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
}

/// Ends both ways at once, and wakes whoever reads or writes.
pub fn cut(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
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
/// again at least every `LINGER`.
pub fn discard(mut stream: &TcpStream, state: impl Fn() -> Discard) {
    let mut chunk = [0; CHUNK];
    let mut left = MOST_DISCARDED;
    loop {
        let wait = match state() {
            Discard::Owed => LINGER,
            Discard::Ended(ago) if ago >= LINGER || left == 0 => return,
            Discard::Ended(ago) => LINGER - ago,
        };
        if stream.set_read_timeout(Some(wait)).is_err() {
            return;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(count) if state() != Discard::Owed => left = left.saturating_sub(count),
            Ok(_) => {}
            Err(e) if is_passing(e.kind()) => {}
            Err(_) => return,
        }
    }
}

/// Nothing came in time, or a signal did.
pub fn is_passing(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Interrupted | ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Throws away what has arrived, without waiting, so that a close does not reset over it.
pub fn drain(stream: &TcpStream) {
    let mut left = MOST_DISCARDED;
    let mut chunk = [MaybeUninit::uninit(); CHUNK];
    while left > 0 {
        match SockRef::from(stream).recv_with_flags(&mut chunk, MSG_DONTWAIT) {
            Ok(count) if count > 0 => left = left.saturating_sub(count),
            _ => return,
        }
    }
}
