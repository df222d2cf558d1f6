//! The proxy between clients and a pop cache, both driven step by step by the test. No request ends by its deadline:
//! that of its class is longer than any test.
#![allow(dead_code)]

use crate::common::{self, read_message, with_read_timeout, ProxyProcess};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::Duration;

pub use rpc_calls::*;

#[path = "rpc_calls.rs"]
mod rpc_calls;

/// The time limit of every wait: longer than any step takes, so that only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The setting with the class's deadline (us): far longer than `TEST_TIMEOUT`.
const CLASS_DEADLINE: &str = "\"hardLimit\":300000000";

/// A running proxy, the listener of its caches and a journal service that never responds.
pub struct TestProxy {
    pub process: ProxyProcess,
    /// Where it listens for clients.
    pub address: SocketAddr,
    pub config: String,
    caches: TcpListener,
    /// Kept open so that polls neither fail nor get a response.
    _journal: TcpListener,
}

impl TestProxy {
    pub fn start() -> TestProxy {
        TestProxy::start_with_config(|config| config)
    }

    /// Starts the proxy with the standard configuration as changed by `change`.
    pub fn start_with_config(change: impl FnOnce(String) -> String) -> TestProxy {
        TestProxy::start_command(common::command(&["serve"]), change)
    }

    /// As [`TestProxy::start_with_config`], with a command that runs the proxy.
    pub fn start_command(command: Command, change: impl FnOnce(String) -> String) -> TestProxy {
        let (caches, journal) = (common::bind_loopback(), common::bind_loopback());
        let config = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
        let config = change(config.replace("\"hardLimit\":30000000", CLASS_DEADLINE));
        let (process, [address, _]) = common::start_command(command, &config);
        TestProxy {
            process,
            address: address.expect("an address"),
            config,
            caches,
            _journal: journal,
        }
    }

    pub fn client(&self) -> Client {
        Client::new(TcpStream::connect(self.address).unwrap())
    }

    pub fn caches(&self) -> &TcpListener {
        &self.caches
    }

    /// Accepts the next connection to the cache and reads the request on it.
    pub fn next_attempt(&self) -> Attempt {
        let (sender, receiver) = channel();
        let listener = self.caches.try_clone().unwrap();
        std::thread::spawn(move || drop(sender.send(listener.accept())));
        let stream = receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("a connection to the cache")
            .unwrap()
            .0;
        let mut stream = BufReader::new(with_read_timeout(stream));
        let head = read_head(&mut stream);
        Attempt { stream, head }
    }

    /// As [`TestProxy::next_attempt`], without waiting: `None` if no connection is in the accept queue.
    pub fn try_next_attempt(&self) -> Option<Attempt> {
        self.caches.set_nonblocking(true).unwrap();
        let accepted = self.caches.accept();
        self.caches.set_nonblocking(false).unwrap();
        let stream = accepted.ok()?.0;
        stream.set_nonblocking(false).unwrap();
        let mut stream = BufReader::new(with_read_timeout(stream));
        let head = read_head(&mut stream);
        Some(Attempt { stream, head })
    }

    /// Accepts and closes the connections in the cache's accept queue, and returns how many there were.
    pub fn pending_attempts(&self) -> usize {
        self.caches.set_nonblocking(true).unwrap();
        let count = std::iter::from_fn(|| self.caches.accept().ok()).count();
        self.caches.set_nonblocking(false).unwrap();
        count
    }

    /// Whether no request with this id is open: a second request with the id of an open one fails at once.
    pub fn request_has_ended(&self, id: u64) -> bool {
        let mut client = self.client();
        client.send_request(id);
        loop {
            if let Some(mut attempt) = self.try_next_attempt() {
                attempt.respond(b"ok");
                assert!(client.read_response().contains("ok"));
                return true;
            }
            if client.has_response() {
                assert!(client.read_response().contains("Fault"));
                return false;
            }
            std::thread::yield_now();
        }
    }

    /// A client whose one request has been served and whose connection is idle. The cache closes its own connection, so
    /// that a later attempt arrives on a new one.
    pub fn idle_client(&self, object: u64) -> Client {
        let mut client = self.client();
        client.send_request(object);
        self.next_attempt().respond(b"ok");
        assert!(client.read_response().contains("\\xc4\\x02ok"));
        client
    }

    pub fn signal(&self, name: &str) {
        self.process.signal(name);
    }

    /// Stops the process with SIGSTOP and returns once it has stopped. It finds all that arrives meanwhile at once, when
    /// it resumes.
    pub fn pause(&self) {
        self.signal("-STOP");
        let state =
            || std::fs::read_to_string(format!("/proc/{}/stat", self.process.id())).unwrap();
        while !state().rsplit(") ").next().unwrap().starts_with('T') {
            std::thread::yield_now();
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Sends SIGTERM and returns the log line of the drain that it starts.
    pub fn start_drain(&self) -> String {
        self.signal("-TERM");
        self.process.wait_for_log("draining: ")
    }

    /// Waits for the process to exit by itself, with status 0.
    pub fn assert_clean_exit(&mut self) {
        let status = self.process.wait();
        assert!(status.success(), "{status}");
    }
}

/// A client connection, with MessagePack-RPC requests numbered from 1.
pub struct Client {
    pub stream: BufReader<TcpStream>,
    next_number: u32,
}

impl Client {
    pub fn new(stream: TcpStream) -> Client {
        Client {
            stream: BufReader::new(with_read_timeout(stream)),
            next_number: 1,
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).unwrap();
    }

    /// Requests an object with the next request number, and returns that number.
    pub fn send_request(&mut self, object: u64) -> u32 {
        let number = self.next_number;
        self.send(&encode_request(number, object));
        self.next_number += 1;
        number
    }

    /// Cancels the request with this number.
    pub fn send_forget(&mut self, number: u32) {
        let mut bytes = b"\x93\x02\xa6forget\x91\xce".to_vec();
        bytes.extend(number.to_be_bytes());
        self.send(&bytes);
    }

    /// Reads the next message and returns it escaped.
    pub fn read_response(&mut self) -> String {
        read_message(&mut self.stream)
    }

    /// Whether the proxy serves the connection, rather than closing it because all client slots are in use.
    pub fn is_admitted(&mut self) -> bool {
        self.send(b"\x94\x00\x01\xa6isWell\x91\x80");
        self.stream.fill_buf().is_ok_and(|bytes| !bytes.is_empty())
    }

    /// Whether there is something to read, without waiting.
    pub fn has_response(&mut self) -> bool {
        let stream = self.stream.get_ref();
        stream.set_nonblocking(true).unwrap();
        let seen = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        seen.is_ok()
    }

    /// Asserts that the proxy closes the connection without a reset and without sending anything more.
    pub fn assert_closed(&mut self) {
        let mut rest = Vec::new();
        self.stream
            .read_to_end(&mut rest)
            .expect("an end without a reset");
        assert_eq!(common::escape(&rest), "");
    }

    /// Whether the proxy's response to `isWell` is true.
    pub fn is_well(&mut self) -> bool {
        let number = self.next_number;
        self.next_number += 1;
        self.send(
            &[
                &b"\x94\x00\xce"[..],
                &number.to_be_bytes(),
                b"\xa6isWell\x91\x80",
            ]
            .concat(),
        );
        self.read_response().contains("\\xc3")
    }
}

/// The cache's side of an attempt.
pub struct Attempt {
    pub stream: BufReader<TcpStream>,
    /// The head of the last request on this connection.
    pub head: String,
}

impl Attempt {
    /// Sends a complete response with this body, and leaves the connection open.
    pub fn respond(&mut self, body: &[u8]) {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.stream.get_mut().write_all(head.as_bytes()).unwrap();
        self.stream.get_mut().write_all(body).unwrap();
    }

    /// Reads the next request on the same connection.
    pub fn read_next_request(&mut self) {
        self.head = read_head(&mut self.stream);
    }

    /// The value of a header of the request.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.head.lines().filter_map(|line| line.split_once(": "));
        headers
            .find(|(header, _)| *header == name)
            .expect("the header")
            .1
    }

    /// Asserts that the proxy cancels this attempt: it closes or resets the connection without another request on it.
    pub fn assert_cancelled(&mut self) {
        let mut rest = Vec::new();
        match self.stream.read_to_end(&mut rest) {
            Err(e) if e.kind() != std::io::ErrorKind::ConnectionReset => panic!("still open: {e}"),
            _ => assert_eq!(common::escape(&rest), ""),
        }
    }
}

/// Reads up to the blank line after the headers.
fn read_head(stream: &mut BufReader<TcpStream>) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(
            stream.read_line(&mut head).unwrap() > 0,
            "the connection ended within a request: {head}"
        );
    }
    head
}
