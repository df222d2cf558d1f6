//! A listener whose queue is full: what is dialled meanwhile does not come up until a connection is accepted.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Longest wait for a connection that a listener has room for (loopback takes microseconds).
const ROOM: Duration = Duration::from_millis(200);
/// More than any system's queue of connections that nobody accepted.
const QUEUE_MOST: usize = 10_000;
/// Longer than a dial that was given up takes to vanish.
const PATIENCE: Duration = Duration::from_secs(30);
/// The system's name for a connection that is being dialled.
const SYN_SENT: &str = "02";

/// Connections that fill a listener's queue.
pub struct Filled(Vec<TcpStream>);

impl Filled {
    /// Returns once the queue is full and none of these dials is under way any more.
    pub fn new(listener: &TcpListener) -> Filled {
        let at = listener.local_addr().expect("a bound listener");
        let connect = |_| TcpStream::connect_timeout(&at, ROOM).ok();
        let streams: Vec<TcpStream> = (0..QUEUE_MOST).map_while(connect).collect();
        assert!(streams.len() < QUEUE_MOST, "the queue has no end");
        let end = Instant::now() + PATIENCE;
        while is_dialled(at) {
            assert!(Instant::now() < end, "a dial that was given up goes on");
            std::thread::yield_now();
        }
        Filled(streams)
    }

    /// Accepts and closes all of them: the queue has room again.
    pub fn make_room(self, listener: &TcpListener) {
        self.0
            .iter()
            .for_each(|_| drop(listener.accept().expect("one that filled the queue")));
    }
}

/// Whether a socket of this machine is being connected to this address and has not come up.
pub fn is_dialled(at: SocketAddr) -> bool {
    let port = format!(":{:04X}", at.port());
    let table =
        std::fs::read_to_string("/proc/net/tcp").expect("the system's table of connections");
    table.lines().skip(1).any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields[2].ends_with(&port) && fields[3] == SYN_SENT
    })
}
