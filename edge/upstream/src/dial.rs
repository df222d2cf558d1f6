//! Dialling a connection, in a way that another thread can end at any moment.
//!
//! Owns: the socket until it is connected. The standard library connects before it hands a stream out, so that nobody
//! could shut it meanwhile.

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The library waits whole milliseconds, rounded down. Guards against a dial that ends before its time: what it was bounded
/// by, such as the end of a repeat's window, would seem not to have come yet, and the cache would be blamed.
const ROUNDED: Duration = Duration::from_millis(1);

/// A stream that is not connected yet. Shut while it is being connected, it never is.
pub(crate) fn unconnected(address: SocketAddr) -> io::Result<Arc<TcpStream>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    Ok(Arc::new(socket.into()))
}

/// Connects the stream, within this time.
pub(crate) fn connect(stream: &TcpStream, address: SocketAddr, time_out: Duration) -> io::Result<()> {
    SockRef::from(stream).connect_timeout(&address.into(), time_out + ROUNDED)?;
    stream.set_nodelay(true)
}
