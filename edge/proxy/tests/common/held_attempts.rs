//! Clients and a cache that the test drives: each request waits in a background thread, and each attempt is answered or
//! closed when the test does so.
#![allow(dead_code)]

use crate::common::read_request;
use foldmux_fakes::rpc::{Said, Terminal};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// The time limit of every wait: longer than any step takes, so that only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The body of the cache's responses.
pub const BODY: &[u8] = b"ok";

/// A request whose client waits for the response.
pub struct PendingResponse(Receiver<std::io::Result<Said>>);

impl PendingResponse {
    /// Waits for the response; `None` if the connection ended without one.
    pub fn wait(self) -> Option<Said> {
        self.0
            .recv_timeout(TEST_TIMEOUT)
            .expect("a response or the end of the connection")
            .ok()
    }
}

/// Requests an object on a new connection; the client waits for 20 s.
pub fn send_request(address: SocketAddr, class: &str, object: u64) -> PendingResponse {
    let (sender, receiver) = channel();
    let class = class.to_string();
    std::thread::spawn(move || {
        let mut client = Terminal::connect(address, TEST_TIMEOUT).unwrap();
        let _ = sender.send(client.ask(&class, &fields(object), &[]));
    });
    PendingResponse(receiver)
}

fn fields(object: u64) -> BTreeMap<&'static str, String> {
    BTreeMap::from([
        ("i", format!("{object:016x}")),
        ("k", format!("{object:032x}")),
        ("d", "20000".to_string()),
        ("o", format!("{object:016x}")),
        ("nth", "0".to_string()),
        ("batch", "1".to_string()),
        ("m", "10".to_string()),
    ])
}

/// The cache's side of an attempt.
pub struct Attempt {
    stream: BufReader<TcpStream>,
    /// The whole request on one line.
    pub head: String,
}

impl Attempt {
    /// Accepts the next connection and reads the request on it.
    pub fn accept(caches: &TcpListener) -> Attempt {
        let (sender, receiver) = channel();
        let listener = caches.try_clone().unwrap();
        std::thread::spawn(move || drop(sender.send(listener.accept())));
        let (stream, _) = receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("an attempt")
            .unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut stream = BufReader::new(stream);
        let head = read_request(&mut stream);
        Attempt { stream, head }
    }

    /// Responds with the object, and closes the connection.
    pub fn serve(mut self) {
        let response = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
        self.stream.get_mut().write_all(response).unwrap();
    }

    /// Closes the connection without a response: the attempt may have run.
    pub fn close_without_response(self) {}
}
