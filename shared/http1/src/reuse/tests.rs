//! Which idle connections carry another request.

use super::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};

/// Longer than a test takes.
const HOUR: Duration = Duration::from_secs(3_600);

struct Rig {
    listener: TcpListener,
    idle: IdleConnections,
    /// The server's ends.
    far: Vec<TcpStream>,
}

impl Rig {
    /// Connections that have been idle for these times, plus an hour: none of them grows older while the test runs.
    fn with_idle(ages: &[Duration]) -> Rig {
        let mut rig = Rig {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            idle: IdleConnections::default(),
            far: Vec::new(),
        };
        let now = Instant::now();
        for age in ages {
            rig.put_new();
            rig.idle.connections.last_mut().unwrap().idle_since = now + HOUR - *age;
        }
        rig
    }

    fn put_new(&mut self) {
        let near = TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        self.idle.put(Arc::new(near));
        self.far.push(self.listener.accept().unwrap().0);
    }

    /// The address of the connection that is taken; an age of `HOUR + time` counts as idle for `time`.
    fn take(&mut self, min_idle: Duration) -> Option<SocketAddr> {
        let taken = self.idle.take(min_idle, 3 * HOUR);
        taken.map(|stream| stream.local_addr().unwrap())
    }

    fn near(&self, number: usize) -> SocketAddr {
        self.far[number].peer_addr().unwrap()
    }

    /// Bytes from the server on one connection, once they have arrived there.
    fn surplus_on(&mut self, number: usize) {
        self.far[number].write_all(b"x").unwrap();
        let near = &self.idle.connections[number].stream;
        near.peek(&mut [0]).unwrap();
    }
}

#[test]
fn the_most_recently_used_of_those_that_were_idle_for_long_enough_is_taken() {
    let idle_for = |time: Duration| HOUR + time;
    let mut rig = Rig::with_idle(&[
        idle_for(2 * REUSE_DELAY),
        idle_for(REUSE_DELAY),
        Duration::ZERO,
    ]);
    assert_eq!(rig.take(REUSE_DELAY), Some(rig.near(1)));
    assert_eq!(rig.take(REUSE_DELAY), Some(rig.near(0)));
    assert_eq!(rig.take(REUSE_DELAY), None, "the third is too fresh");
    assert_eq!(rig.idle.len(), 1);
}

#[test]
fn one_request_that_must_not_run_twice_needs_a_longer_idle_time() {
    let mut rig = Rig::with_idle(&[HOUR + REUSE_DELAY]);
    assert_eq!(rig.take(reuse_delay(false)), None);
    assert_eq!(rig.take(reuse_delay(true)), Some(rig.near(0)));
    let mut rig = Rig::with_idle(&[HOUR + NON_IDEMPOTENT_REUSE_DELAY]);
    assert_eq!(rig.take(reuse_delay(false)), Some(rig.near(0)));
}

/// Guards against a second response that is later than the delay: an earlier one, on any connection, shows that the server
/// sends such.
#[test]
fn a_server_that_sent_surplus_bytes_gets_one_request_a_connection() {
    let mut rig = Rig::with_idle(&[HOUR + REUSE_DELAY; 3]);
    rig.surplus_on(0);
    assert_eq!(
        rig.take(REUSE_DELAY),
        None,
        "also the quiet ones are closed"
    );
    assert!(rig.idle.is_distrusted() && rig.idle.is_empty());
    rig.put_new();
    assert!(rig.idle.is_empty(), "closed, not kept");
    rig.idle.surplus_seen_at = Instant::now().checked_sub(DISTRUST_TIME);
    rig.put_new();
    assert_eq!(rig.idle.len(), 1, "kept once it is trusted again");
}

#[test]
fn a_connection_that_its_server_closed_is_no_reason_for_distrust() {
    let mut rig = Rig::with_idle(&[HOUR + REUSE_DELAY; 2]);
    rig.far[1].shutdown(std::net::Shutdown::Both).unwrap();
    let near = rig.idle.connections[1].stream.clone();
    near.peek(&mut [0]).unwrap();
    assert_eq!(rig.take(REUSE_DELAY), Some(rig.near(0)));
    assert!(!rig.idle.is_distrusted());
}
