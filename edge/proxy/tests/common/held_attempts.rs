//! The other ends of the program, held by the test: a client's request in a thread of its own, and the cache's side of each
//! attempt, answered or cut when the test says so.
#![allow(dead_code)]

use crate::common::request;
use foldmux_fakes::rpc::{Said, Terminal};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Ends a test that waits for what never comes.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// What the cache serves.
pub const BODY: &[u8] = b"ok";

/// One request as a client waits for it.
pub struct PendingResponse(Receiver<std::io::Result<Said>>);

impl PendingResponse {
    /// The answer; `None` where the connection ended without one.
    pub fn said(self) -> Option<Said> {
        self.0.recv_timeout(PATIENCE).expect("an end").ok()
    }
}

/// Asks for an object on a connection of its own; the client would wait for 20 s.
pub fn ask(serves: SocketAddr, class: &str, object: u64) -> PendingResponse {
    let (told, heard) = channel();
    let class = class.to_string();
    std::thread::spawn(move || {
        let mut terminal = Terminal::connect(serves, PATIENCE).unwrap();
        let _ = told.send(terminal.ask(&class, &fields(object), &[]));
    });
    PendingResponse(heard)
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

/// One attempt as the cache has it.
pub struct Attempt {
    stream: BufReader<TcpStream>,
    /// Its head on one line.
    pub head: String,
}

impl Attempt {
    /// The next attempt on a connection of its own.
    pub fn next(caches: &TcpListener) -> Attempt {
        let (told, heard) = channel();
        let listener = caches.try_clone().unwrap();
        std::thread::spawn(move || drop(told.send(listener.accept())));
        let (stream, _) = heard.recv_timeout(PATIENCE).expect("an attempt").unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut stream = BufReader::new(stream);
        let head = request(&mut stream);
        Attempt { stream, head }
    }

    /// Answers with the object, and closes.
    pub fn serve(mut self) {
        let answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
        self.stream.get_mut().write_all(answer).unwrap();
    }

    /// Ends without an answer: the attempt may have run.
    pub fn cut(self) {}
}
