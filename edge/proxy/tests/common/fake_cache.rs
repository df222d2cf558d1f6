//! A scripted pop cache, parent or origin: the test accepts each connection and responds to each request on it.
#![allow(dead_code)]

use crate::common;
use crate::fake_journal::{accept, TEST_TIMEOUT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Longer than a connection to loopback takes while the accept queue has room.
const DIAL_TIMEOUT: Duration = Duration::from_millis(200);

/// A listener that accepts only when the test does.
pub struct FakeCache {
    listener: TcpListener,
}

/// A connection that the proxy opened.
pub struct Connection {
    stream: BufReader<TcpStream>,
}

impl FakeCache {
    pub fn start() -> FakeCache {
        FakeCache {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    pub fn connection(&self) -> Connection {
        Connection {
            stream: BufReader::new(accept(&self.listener)),
        }
    }

    /// Whether a connection is in the accept queue; it is accepted and closed.
    pub fn has_pending_connection(&self) -> bool {
        self.listener.set_nonblocking(true).unwrap();
        let pending = self.listener.accept().is_ok();
        self.listener.set_nonblocking(false).unwrap();
        pending
    }

    /// Fills the accept queue, so that the next dial hangs: the kernel drops its SYN until the queue has room.
    pub fn fill_accept_queue(&self) -> Vec<TcpStream> {
        std::iter::from_fn(|| TcpStream::connect_timeout(&self.address(), DIAL_TIMEOUT).ok())
            .collect()
    }

    /// Accepts the connections of [`FakeCache::fill_accept_queue`], so that a hung dial succeeds.
    pub fn drain_accept_queue(&self, queued: Vec<TcpStream>) {
        queued.iter().for_each(|_| drop(accept(&self.listener)));
    }

    /// Serves all connections in background threads, with this body for every request.
    pub fn serve(self, bytes: &'static str) {
        std::thread::spawn(move || {
            for stream in self.listener.incoming() {
                let Ok(stream) = stream else { return };
                std::thread::spawn(move || {
                    let mut connection = Connection {
                        stream: BufReader::new(stream),
                    };
                    while connection.has_request() {
                        connection.read_request();
                        connection.respond(bytes);
                    }
                });
            }
        });
    }
}

impl Connection {
    /// Waits for a request; false if the connection has ended.
    fn has_request(&mut self) -> bool {
        std::io::BufRead::fill_buf(&mut self.stream).is_ok_and(|bytes| !bytes.is_empty())
    }

    pub fn read_request(&mut self) -> String {
        common::read_request(&mut self.stream)
    }

    pub fn respond(&mut self, bytes: &str) {
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{bytes}",
            bytes.len()
        );
        self.stream.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Responds that the request may have run and has failed, and that the connection carries no other.
    pub fn fail(&mut self) {
        let text = "HTTP/1.1 500 Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        self.stream.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads until the proxy closes the connection, and returns all that it wrote.
    pub fn read_to_end(mut self) -> String {
        self.stream
            .get_ref()
            .set_read_timeout(Some(TEST_TIMEOUT))
            .unwrap();
        let mut rest = Vec::new();
        self.stream
            .read_to_end(&mut rest)
            .expect("the proxy closes the connection");
        String::from_utf8_lossy(&rest).into_owned()
    }
}
