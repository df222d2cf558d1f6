//! A scripted pop cache, parent or origin: the test takes each connection and each request on it.
#![allow(dead_code)]

use crate::common;
use crate::fake_journal::{accept, PATIENCE};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Longer than a dial on loopback takes that the accept queue has room for.
const DIAL: Duration = Duration::from_millis(200);

pub struct Cache {
    listener: TcpListener,
}

/// A connection that the program opened.
pub struct Connection {
    stream: BufReader<TcpStream>,
}

impl Cache {
    pub fn start() -> Cache {
        Cache {
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

    /// Whether a connection waits to be taken.
    pub fn is_dialled(&self) -> bool {
        self.listener.set_nonblocking(true).unwrap();
        let dialled = self.listener.accept().is_ok();
        self.listener.set_nonblocking(false).unwrap();
        dialled
    }

    /// Fills the accept queue, so that the next dial hangs: its first packet is dropped until there is room.
    pub fn fill(&self) -> Vec<TcpStream> {
        std::iter::from_fn(|| TcpStream::connect_timeout(&self.address(), DIAL).ok()).collect()
    }

    /// Takes the connections of [`Cache::fill`] and leaves room for those that wait.
    pub fn release(&self, filled: Vec<TcpStream>) {
        filled.iter().for_each(|_| drop(accept(&self.listener)));
    }

    /// Answers everything that comes, with these bytes, on threads of its own.
    pub fn serve(self, bytes: &'static str) {
        std::thread::spawn(move || {
            for stream in self.listener.incoming() {
                let Ok(stream) = stream else { return };
                std::thread::spawn(move || {
                    let mut connection = Connection {
                        stream: BufReader::new(stream),
                    };
                    while connection.is_asked() {
                        connection.request();
                        connection.answer(bytes);
                    }
                });
            }
        });
    }
}

impl Connection {
    /// Waits for a request; false at the end of the connection.
    fn is_asked(&mut self) -> bool {
        std::io::BufRead::fill_buf(&mut self.stream).is_ok_and(|bytes| !bytes.is_empty())
    }

    pub fn request(&mut self) -> String {
        common::request(&mut self.stream)
    }

    pub fn answer(&mut self, bytes: &str) {
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{bytes}",
            bytes.len()
        );
        self.stream.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads on until the program closes; all that it wrote.
    pub fn rest(mut self) -> String {
        self.stream
            .get_ref()
            .set_read_timeout(Some(PATIENCE))
            .unwrap();
        let mut rest = Vec::new();
        self.stream
            .read_to_end(&mut rest)
            .expect("the program closes");
        String::from_utf8_lossy(&rest).into_owned()
    }
}
