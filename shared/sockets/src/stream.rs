//! Reads and writes on a blocking connection, until a moment that bounds the whole and not each call.

use crate::pauses::Pauses;
use crate::verdict::{on_stream, OnStream};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Flags of `recv(2)` on Linux: look without taking, and without waiting.
const MSG_PEEK: i32 = libc::MSG_PEEK;
const MSG_DONTWAIT: i32 = libc::MSG_DONTWAIT;
/// How often a call that never waits is made again, at once, where it fails for the moment.
const TRIES: usize = 8;
/// Taken at once where bytes are thrown away.
const CHUNK: usize = 4096;

/// Why a call brought nothing.
#[derive(Debug)]
pub enum Stop {
    /// Its time is over.
    TimedOut,
    /// The connection has ended.
    Over(io::Error),
}

/// What stands on a connection, without waiting for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrived {
    Nothing,
    Bytes,
    /// The peer has ended it.
    End,
    /// No call succeeded that could tell.
    Unknown,
}

/// Reads some bytes; 0 is the end of what the peer sends.
pub fn read(stream: &TcpStream, buffer: &mut [u8], until: Instant) -> Result<usize, Stop> {
    repeat(until, |left| {
        stream.set_read_timeout(Some(left))?;
        (&mut &*stream).read(buffer)
    })
}

/// Waits for bytes and leaves them; false is the end of what the peer sends.
pub fn wait_for_bytes(stream: &TcpStream, until: Instant) -> Result<bool, Stop> {
    repeat(until, |left| {
        stream.set_read_timeout(Some(left))?;
        Ok(stream.peek(&mut [0])? > 0)
    })
}

/// Writes some bytes, at least one.
pub fn write(stream: &TcpStream, bytes: &[u8], until: Instant) -> Result<usize, Stop> {
    repeat(until, |left| {
        stream.set_write_timeout(Some(left))?;
        match (&mut &*stream).write(bytes)? {
            0 => Err(io::Error::from_raw_os_error(libc::EPIPE)),
            count => Ok(count),
        }
    })
}

/// Makes a call until it succeeds, the connection has ended or the time is over. It is given the time that is left. An end
/// has to be told twice in a row: a connection that has ended tells it each time.
fn repeat<T>(until: Instant, mut call: impl FnMut(Duration) -> io::Result<T>) -> Result<T, Stop> {
    let mut pauses = Pauses::default();
    let mut over = false;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Stop::TimedOut);
        }
        let error = match call(left) {
            Ok(done) => return Ok(done),
            Err(error) => error,
        };
        let verdict = on_stream(&error);
        if verdict == OnStream::Over && over {
            return Err(Stop::Over(error));
        }
        over = verdict == OnStream::Over;
        let pause = pauses.before_next(verdict);
        thread::sleep(pause.min(until.saturating_duration_since(Instant::now())));
    }
}

/// What has arrived and was not read. It neither waits nor takes it.
pub fn arrived(stream: &TcpStream) -> Arrived {
    let mut byte = [MaybeUninit::uninit()];
    let mut over = false;
    for _ in 0..TRIES {
        match SockRef::from(stream).recv_with_flags(&mut byte, MSG_PEEK | MSG_DONTWAIT) {
            Ok(0) => return Arrived::End,
            Ok(_) => return Arrived::Bytes,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Arrived::Nothing,
            Err(e) if on_stream(&e) == OnStream::Over && over => return Arrived::End,
            Err(e) => over = on_stream(&e) == OnStream::Over,
        }
    }
    Arrived::Unknown
}

/// Throws away what has arrived, `most` bytes of it, without waiting, so that a close does not reset over it.
pub fn drain(stream: &TcpStream, most: usize) {
    let mut chunk = [MaybeUninit::uninit(); CHUNK];
    let (mut left, mut failed) = (most, 0);
    while left > 0 && failed < TRIES {
        match SockRef::from(stream).recv_with_flags(&mut chunk, MSG_DONTWAIT) {
            Ok(0) => return,
            Ok(count) => left = left.saturating_sub(count),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            Err(e) if on_stream(&e) == OnStream::Over => return,
            Err(_) => failed += 1,
        }
    }
}

/// Ends one or both ways of a connection; whether they have ended.
pub fn shut(stream: &TcpStream, how: Shutdown) -> bool {
    let mut over = false;
    (0..TRIES).any(|_| match stream.shutdown(how) {
        Ok(()) => true,
        // Not connected any more: it has ended, if it is so a second time.
        Err(e) => std::mem::replace(&mut over, on_stream(&e) == OnStream::Over) && over,
    })
}

/// Has small writes leave at once, and not wait for what the peer acknowledges. Without it answers are late by some
/// milliseconds: no reason to give a connection up.
pub fn set_nodelay(stream: &TcpStream) {
    let _ = (0..TRIES).any(|_| stream.set_nodelay(true).is_ok());
}
