//! What a failed system call proves. Pure: error numbers to verdicts, a table for each kind of call.

use std::io::{Error, ErrorKind};

/// What a call on a connection that is up comes to when it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnStream {
    /// A signal interrupted it, or there was nothing to do yet: the same call again.
    Again,
    /// Memory was short, or the network told of trouble: the same call again, after a pause. Where the connection did not
    /// survive, the next call says so: the system reports such an error once, then the end.
    Later,
    /// The connection has ended.
    Over,
}

/// What a dial that failed proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnDial {
    /// This machine lacked a descriptor, a port or memory, or was interrupted: another dial may succeed. No news of the peer.
    Ours,
    /// Nobody answers at that address.
    Peer,
}

/// What a failed accept proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnAccept {
    /// Nobody came in the time that was set.
    Quiet,
    /// That connection, or the wait for it, came to nothing: the next may be there already.
    Next,
    /// There is nothing to take a connection with: the next call fails too, until something is given back.
    Later,
}

/// The error number; that of the kind, where an error was made by its kind alone.
fn code(error: &Error) -> Option<i32> {
    error.raw_os_error().or(match error.kind() {
        ErrorKind::Interrupted => Some(libc::EINTR),
        ErrorKind::WouldBlock => Some(libc::EAGAIN),
        ErrorKind::ConnectionAborted => Some(libc::ECONNABORTED),
        ErrorKind::ConnectionReset => Some(libc::ECONNRESET),
        ErrorKind::BrokenPipe => Some(libc::EPIPE),
        ErrorKind::NotConnected => Some(libc::ENOTCONN),
        _ => None,
    })
}

/// Of a call that reads, writes, looks at or sets something on a connection. Only errors that prove its end end it: any
/// other is asked again, within the caller's time.
pub fn on_stream(error: &Error) -> OnStream {
    match code(error) {
        Some(libc::EINTR | libc::EAGAIN) => OnStream::Again,
        Some(
            libc::ECONNRESET | libc::EPIPE | libc::ENOTCONN | libc::ECONNABORTED | libc::ESHUTDOWN,
        ) => OnStream::Over,
        // The descriptor or an argument is wrong: no repetition mends that.
        Some(libc::EBADF | libc::ENOTSOCK | libc::EINVAL | libc::EFAULT | libc::EDOM) => {
            OnStream::Over
        }
        Some(_) => OnStream::Later,
        // Not the system's: made by a library.
        None => OnStream::Over,
    }
}

/// Of the calls that make a connection.
pub fn on_dial(error: &Error) -> OnDial {
    match code(error) {
        Some(
            libc::EINTR
            | libc::EAGAIN
            | libc::ENOMEM
            | libc::ENOBUFS
            | libc::EMFILE
            | libc::ENFILE
            | libc::EADDRINUSE
            | libc::EADDRNOTAVAIL
            | libc::ENETDOWN
            | libc::ENETUNREACH
            | libc::EPERM
            | libc::EACCES,
        ) => OnDial::Ours,
        _ => OnDial::Peer,
    }
}

/// Of `accept`. On Linux it also reports errors that are pending on the new connection, which say nothing of the next.
pub fn on_accept(error: &Error) -> OnAccept {
    match code(error) {
        Some(libc::EAGAIN) => OnAccept::Quiet,
        Some(
            libc::EINTR
            | libc::ECONNABORTED
            | libc::EPROTO
            | libc::EPERM
            | libc::ENETDOWN
            | libc::ENETUNREACH
            | libc::EHOSTDOWN
            | libc::EHOSTUNREACH
            | libc::ENONET
            | libc::ENOPROTOOPT
            | libc::EOPNOTSUPP
            | libc::ETIMEDOUT
            | libc::ECONNRESET,
        ) => OnAccept::Next,
        _ => OnAccept::Later,
    }
}

/// Whether a thread may be had a little later, where none could be started.
pub fn is_passing_on_spawn(error: &Error) -> bool {
    matches!(code(error), Some(libc::EAGAIN | libc::ENOMEM))
}
