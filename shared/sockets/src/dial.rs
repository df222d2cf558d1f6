//! Dialling a connection, in a way that another thread can end at any moment.
//!
//! Owns: the socket until it is connected. The standard library connects before it hands a stream out, so that nobody
//! could shut it meanwhile.

use crate::pauses::Pauses;
use crate::stream::set_nodelay;
use crate::verdict::{on_dial, OnDial};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The library waits whole milliseconds, rounded down. Guards against a dial that ends before its time: what it was bounded
/// by, such as the end of a repeat's window, would seem not to have come yet, and the peer would be blamed.
const ROUNDED: Duration = Duration::from_millis(1);
/// How long a dial is repeated where this machine lacks something for it. A shortage that lasts longer is better told to
/// whoever wants the connection, who has its own deadline.
const REPEAT_FOR: Duration = Duration::from_millis(100);

/// Whether a dial still wanted is asked each time before one begins, with its socket.
pub type StillWanted<'a> = dyn Fn(&Arc<TcpStream>) -> bool + 'a;

/// A connection to `address` that comes up within `time`. Each socket is shown to `still_wanted` before it is dialled: whoever
/// keeps it may shut it at any moment, which ends the dial. Where that answers false, the dial ends with
/// [`io::ErrorKind::Interrupted`].
pub fn dial(
    address: SocketAddr,
    time: Duration,
    still_wanted: &StillWanted,
) -> io::Result<Arc<TcpStream>> {
    let begun = Instant::now();
    let mut pauses = Pauses::default();
    loop {
        let left = time.saturating_sub(begun.elapsed());
        let error = match once(address, left, still_wanted)? {
            Ok(stream) => return Ok(stream),
            Err(error) => error,
        };
        let pause = pauses.lengthen();
        let over = begun.elapsed() + pause >= time.min(REPEAT_FOR);
        if over || on_dial(&error) == OnDial::Peer {
            return Err(error);
        }
        thread::sleep(pause);
    }
}

/// One dial; the outer error: it is not wanted any more.
fn once(
    address: SocketAddr,
    time: Duration,
    still_wanted: &StillWanted,
) -> io::Result<io::Result<Arc<TcpStream>>> {
    let socket = match Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    ) {
        Ok(socket) => socket,
        Err(error) => return Ok(Err(error)),
    };
    let stream: Arc<TcpStream> = Arc::new(socket.into());
    if !still_wanted(&stream) {
        return Err(io::ErrorKind::Interrupted.into());
    }
    let connected = SockRef::from(&*stream).connect_timeout(&address.into(), time + ROUNDED);
    if connected.is_ok() {
        set_nodelay(&stream);
    }
    Ok(connected.map(|()| stream))
}
