//! The program between clients and a cache that the test holds and releases step by step. No request is over by its own
//! time: the class's deadline is longer than any test.
#![allow(dead_code)]

use crate::common::{self, connected, message, Program};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::Duration;

pub use rpc_calls::*;

#[path = "rpc_calls.rs"]
mod rpc_calls;

/// Longer than anything takes; it ends a test that waits for what never comes.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// The class's deadline (us): far beyond `PATIENCE`.
const DEADLINE: &str = "\"hardLimit\":300000000";

pub struct TestProxy {
    pub program: Program,
    pub serves: SocketAddr,
    pub config: String,
    caches: TcpListener,
    /// Held so that calls to it neither fail nor are answered.
    _journal: TcpListener,
}

impl TestProxy {
    pub fn start() -> TestProxy {
        TestProxy::start_with(|config| config)
    }

    /// With another configuration, made from the usual one.
    pub fn start_with(change: impl FnOnce(String) -> String) -> TestProxy {
        TestProxy::start_by(common::command(&["serve"]), change)
    }

    /// With another configuration, by this command.
    pub fn start_by(command: Command, change: impl FnOnce(String) -> String) -> TestProxy {
        let (caches, journal) = (common::listener(), common::listener());
        let config = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
        let config = change(config.replace("\"hardLimit\":30000000", DEADLINE));
        let (program, [serves, _]) = common::start_by(command, &config);
        TestProxy {
            program,
            serves: serves.expect("an address"),
            config,
            caches,
            _journal: journal,
        }
    }

    pub fn client(&self) -> Client {
        Client::over(TcpStream::connect(self.serves).unwrap())
    }

    pub fn caches(&self) -> &TcpListener {
        &self.caches
    }

    /// The next connection to the cache, with the request on it.
    pub fn attempt(&self) -> Attempt {
        let (told, heard) = channel();
        let listener = self.caches.try_clone().unwrap();
        std::thread::spawn(move || drop(told.send(listener.accept())));
        let stream = heard
            .recv_timeout(PATIENCE)
            .expect("a connection to the cache")
            .unwrap()
            .0;
        let mut stream = BufReader::new(connected(stream));
        let head = head(&mut stream);
        Attempt { stream, head }
    }

    /// As `attempt`, if there is one now.
    pub fn attempt_now(&self) -> Option<Attempt> {
        self.caches.set_nonblocking(true).unwrap();
        let accepted = self.caches.accept();
        self.caches.set_nonblocking(false).unwrap();
        let stream = accepted.ok()?.0;
        stream.set_nonblocking(false).unwrap();
        let mut stream = BufReader::new(connected(stream));
        let head = head(&mut stream);
        Some(Attempt { stream, head })
    }

    /// Connections to the cache that nobody has taken yet.
    pub fn waiting_attempts(&self) -> usize {
        self.caches.set_nonblocking(true).unwrap();
        let count = std::iter::from_fn(|| self.caches.accept().ok()).count();
        self.caches.set_nonblocking(false).unwrap();
        count
    }

    /// Whether no request under this id is open any more: one under the id of an open one fails at once.
    pub fn is_over(&self, id: u64) -> bool {
        let mut client = self.client();
        client.ask(id);
        loop {
            if let Some(mut attempt) = self.attempt_now() {
                attempt.give(b"ok");
                assert!(client.answer().contains("ok"));
                return true;
            }
            if client.has_answer() {
                assert!(client.answer().contains("Fault"));
                return false;
            }
            std::thread::yield_now();
        }
    }

    /// A client with one answer behind it, at rest. The cache closes its connection: what is sent on later comes on another.
    pub fn rested(&self, object: u64) -> Client {
        let mut client = self.client();
        client.ask(object);
        self.attempt().give(b"ok");
        assert!(client.answer().contains("\\xc4\\x02ok"));
        client
    }

    pub fn signal(&self, name: &str) {
        self.program.signal(name);
    }

    /// The program is stopped: what happens from here on happens, for it, at one moment. Returns once it has stopped.
    pub fn stop(&self) {
        self.signal("-STOP");
        let state =
            || std::fs::read_to_string(format!("/proc/{}/stat", self.program.id())).unwrap();
        while !state().rsplit(") ").next().unwrap().starts_with('T') {
            std::thread::yield_now();
        }
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// SIGTERM, and the program has begun to leave; what its log says then.
    pub fn leave(&self) -> String {
        self.signal("-TERM");
        self.program.line("draining: ")
    }

    /// The program ended by itself, in order.
    pub fn ends_well(&mut self) {
        let status = self.program.ended();
        assert!(status.success(), "{status}");
    }
}

pub struct Client {
    pub stream: BufReader<TcpStream>,
    next: u32,
}

impl Client {
    pub fn over(stream: TcpStream) -> Client {
        Client {
            stream: BufReader::new(connected(stream)),
            next: 1,
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).unwrap();
    }

    /// Asks for an object, under the next number; which one that is.
    pub fn ask(&mut self, object: u64) -> u32 {
        let number = self.next;
        self.send(&call(number, object));
        self.next += 1;
        number
    }

    pub fn forget(&mut self, number: u32) {
        let mut bytes = b"\x93\x02\xa6forget\x91\xce".to_vec();
        bytes.extend(number.to_be_bytes());
        self.send(&bytes);
    }

    /// The next message, escaped.
    pub fn answer(&mut self) -> String {
        message(&mut self.stream)
    }

    /// Whether the connection is served, and not ended for lack of a place.
    pub fn finds_a_place(&mut self) -> bool {
        self.send(b"\x94\x00\x01\xa6isWell\x91\x80");
        self.stream.fill_buf().is_ok_and(|bytes| !bytes.is_empty())
    }

    /// Whether something to read has come.
    pub fn has_answer(&mut self) -> bool {
        let stream = self.stream.get_ref();
        stream.set_nonblocking(true).unwrap();
        let seen = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        seen.is_ok()
    }

    /// The program ends the connection in order, with nothing more on it: no reset.
    pub fn ends(&mut self) {
        let mut rest = Vec::new();
        self.stream
            .read_to_end(&mut rest)
            .expect("an end without a reset");
        assert_eq!(common::escape(&rest), "");
    }

    /// Whether the program says that it is well.
    pub fn is_well(&mut self) -> bool {
        let number = self.next;
        self.next += 1;
        self.send(
            &[
                &b"\x94\x00\xce"[..],
                &number.to_be_bytes(),
                b"\xa6isWell\x91\x80",
            ]
            .concat(),
        );
        self.answer().contains("\\xc3")
    }
}

pub struct Attempt {
    pub stream: BufReader<TcpStream>,
    /// Of the last request on it.
    pub head: String,
}

impl Attempt {
    pub fn give(&mut self, body: &[u8]) {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.stream.get_mut().write_all(head.as_bytes()).unwrap();
        self.stream.get_mut().write_all(body).unwrap();
    }

    /// The next request on the same connection.
    pub fn again(&mut self) {
        self.head = head(&mut self.stream);
    }

    /// A field of the request.
    pub fn field(&self, name: &str) -> &str {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields
            .find(|(field, _)| *field == name)
            .expect("the field")
            .1
    }

    /// The program gave this attempt up: it closed the connection, with no other request on it.
    pub fn is_given_up(&mut self) {
        let mut rest = Vec::new();
        match self.stream.read_to_end(&mut rest) {
            Err(e) if e.kind() != std::io::ErrorKind::ConnectionReset => panic!("still open: {e}"),
            _ => assert_eq!(common::escape(&rest), ""),
        }
    }
}

fn head(stream: &mut BufReader<TcpStream>) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(
            stream.read_line(&mut head).unwrap() > 0,
            "the connection ended within a request: {head}"
        );
    }
    head
}
