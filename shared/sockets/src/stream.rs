//! Reads and writes on a blocking connection, until a moment that bounds the whole and not each call.

use crate::pauses::Pauses;
use crate::verdict::{on_stream, OnStream};
use crate::watch::{Call, Watch};
use nix::sys::socket::{recv, send, MsgFlags};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsRawFd;
use std::thread;
use std::time::{Duration, Instant};

/// How often a call that never waits is made again, at once, where it fails for the moment.
const TRIES: usize = 8;
/// Taken at once where bytes are thrown away.
const CHUNK: usize = 4096;

/// Why a call brought nothing.
#[derive(Debug)]
pub enum Stop {
    /// Its time is over: nothing came, or nothing more was taken.
    TimedOut,
    /// Its time is over, and the call had failed to the last, although the connection may be up.
    Failing(io::Error),
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
    read_watched(stream, buffer, until, &mut Watch::new(until))
}

/// As [`read`]; `watch` then knows when the bytes may have come.
pub fn read_watched(
    stream: &TcpStream,
    buffer: &mut [u8],
    until: Instant,
    watch: &mut Watch,
) -> Result<usize, Stop> {
    let most = buffer.len();
    let read = |left| match stream.set_read_timeout(Some(left)) {
        Ok(()) => (&mut &*stream).read(buffer),
        Err(_) => receive_now(stream, buffer, MsgFlags::empty()),
    };
    watched(until, watch, |count| *count < most, read)
}

/// Waits for bytes and leaves them; false is the end of what the peer sends.
pub fn wait_for_bytes(stream: &TcpStream, until: Instant, watch: &mut Watch) -> Result<bool, Stop> {
    let peek = |left| match stream.set_read_timeout(Some(left)) {
        Ok(()) => stream.peek(&mut [0]),
        Err(_) => receive_now(stream, &mut [0], MsgFlags::MSG_PEEK),
    };
    Ok(watched(until, watch, |_| false, peek)? > 0)
}

/// Writes some bytes, at least one.
pub fn write(stream: &TcpStream, bytes: &[u8], until: Instant) -> Result<usize, Stop> {
    let (written, _) = repeat(until, |left| {
        let written = match stream.set_write_timeout(Some(left)) {
            Ok(()) => (&mut &*stream).write(bytes),
            Err(_) => send_now(stream, bytes),
        };
        match written? {
            0 => Err(io::Error::from_raw_os_error(libc::EPIPE)),
            count => Ok(count),
        }
    });
    written
}

/// `recv(2)` without waiting. Also for a call whose time-out could not be set: that is no reason not to see what has come.
fn receive_now(stream: &TcpStream, buffer: &mut [u8], flags: MsgFlags) -> io::Result<usize> {
    Ok(recv(
        stream.as_raw_fd(),
        buffer,
        flags | MsgFlags::MSG_DONTWAIT,
    )?)
}

/// `send(2)` without waiting.
fn send_now(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    Ok(send(
        stream.as_raw_fd(),
        bytes,
        MsgFlags::MSG_DONTWAIT | MsgFlags::MSG_NOSIGNAL,
    )?)
}

/// As [`repeat`], told to a watch. `drains`: whether what was read was all that stood there.
fn watched<T>(
    until: Instant,
    watch: &mut Watch,
    drains: impl FnOnce(&T) -> bool,
    call: impl FnMut(Duration) -> io::Result<T>,
) -> Result<T, Stop> {
    let began = Instant::now();
    let (done, failing_since) = repeat(until, call);
    let drained = done.as_ref().is_ok_and(drains);
    watch.over(Call {
        began,
        failing_since,
        drained,
        over: Instant::now(),
    });
    done
}

/// Makes a call until it succeeds, the connection has ended or the time is over. It is given the time that is left. An end
/// has to be told twice in a row: a connection that has ended tells it each time. Besides, since when the call had failed until
/// right before that.
fn repeat<T>(
    until: Instant,
    mut call: impl FnMut(Duration) -> io::Result<T>,
) -> (Result<T, Stop>, Option<Instant>) {
    let mut pauses = Pauses::default();
    let (mut over, mut failing_since, mut last) = (false, None, None);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return (
                Err(last.map_or(Stop::TimedOut, Stop::Failing)),
                failing_since,
            );
        }
        let error = match call(left) {
            Ok(done) => return (Ok(done), failing_since),
            Err(error) => error,
        };
        failing_since.get_or_insert_with(Instant::now);
        let verdict = on_stream(&error);
        if verdict == OnStream::Over && over {
            return (Err(Stop::Over(error)), failing_since);
        }
        over = verdict == OnStream::Over;
        last = (verdict != OnStream::Again).then_some(error);
        let pause = pauses.before_next(verdict);
        thread::sleep(pause.min(until.saturating_duration_since(Instant::now())));
    }
}

/// What has arrived and was not read. It neither waits nor takes it.
pub fn arrived(stream: &TcpStream) -> Arrived {
    let mut over = false;
    for _ in 0..TRIES {
        match receive_now(stream, &mut [0], MsgFlags::MSG_PEEK) {
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
    let mut chunk = [0; CHUNK];
    let (mut left, mut failed) = (most, 0);
    while left > 0 && failed < TRIES {
        match receive_now(stream, &mut chunk, MsgFlags::empty()) {
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
