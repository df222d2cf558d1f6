//! The listener for links of other processes.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// How often the acceptor looks whether it is to end, or whether an address in use has come free.
pub(crate) const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Connections that the kernel holds before they are taken.
const BACKLOG: i32 = 128;

/// Listens at the address; none where another has it.
pub(crate) fn listen(address: SocketAddr) -> io::Result<Option<TcpListener>> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    match socket
        .bind(&address.into())
        .and_then(|()| socket.listen(BACKLOG))
    {
        Err(e) if e.kind() == io::ErrorKind::AddrInUse => return Ok(None),
        bound => bound?,
    }
    socket.set_read_timeout(Some(LOOK_EVERY))?;
    Ok(Some(socket.into()))
}
