//! A scripted journal service: the test takes each call on a real socket and answers it piece by piece.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::Duration;

/// Longer than anything takes; it ends a test that waits for what never comes.
pub const PATIENCE: Duration = Duration::from_secs(30);

pub struct FakeJournal {
    listener: TcpListener,
}

/// A call of the journal service that is not answered yet.
pub struct Call {
    stream: BufReader<TcpStream>,
    /// The number of the last event that the program has.
    pub tail: u64,
}

/// One line of a list. Its id is `s-` and eight hex digits.
#[derive(Clone, Copy)]
pub struct Line {
    pub id: u32,
    pub zone: &'static str,
    pub kind: &'static str,
    pub address: SocketAddr,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Line {
    pub fn pop_cache(id: u32, address: SocketAddr) -> Line {
        Line {
            id,
            zone: "edge",
            kind: "box",
            address,
            status: "ready",
            since_ms: 0,
        }
    }

    pub fn hub(id: u32, kind: &'static str, address: SocketAddr) -> Line {
        Line {
            zone: "hub",
            kind,
            ..Line::pop_cache(id, address)
        }
    }

    pub fn now(self, status: &'static str) -> Line {
        Line { status, ..self }
    }

    pub fn name(&self) -> String {
        format!("s-{:08x}", self.id)
    }

    fn json(&self) -> String {
        let Line {
            zone,
            kind,
            address,
            status,
            since_ms,
            ..
        } = self;
        let name = self.name();
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":0,"status":"{status}","weight":1,"since_ms":{since_ms}}}"#
        )
    }
}

/// An event that tells of members; `whole` where it is the list.
pub fn hosts(pos: u64, whole: bool, lines: &[Line]) -> String {
    let lines: Vec<String> = lines.iter().map(Line::json).collect();
    format!(
        r#"{{"pos":{pos},"hosts":{{"index":{pos},"snapshot":{whole},"endpoints":[{}]}}}}"#,
        lines.join(",")
    )
}

/// An event that purges a group.
pub fn purge(pos: u64, group: u32) -> String {
    format!(r#"{{"pos":{pos},"expire":{{"set":{group},"stamp":1764576000480}}}}"#)
}

/// The body of an answer with these events, the last of which has the number `last`.
pub fn feed(last: u64, events: &[String]) -> String {
    format!(r#"{{"pos":{last},"entries":[{}]}}"#, events.join(","))
}

/// An answer as it goes over the socket.
pub fn answer(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The program's configuration with these events for `known`.
pub fn config(journal: SocketAddr, settings: &str, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"memory_mb":192,"sockets":1024}},
        "journal":"{journal}","known":{known},"settings":{settings}}}"#
    )
}

/// The next connection; a program that makes none fails the test.
pub fn accept(listener: &TcpListener) -> TcpStream {
    let (told, heard) = channel();
    let listener = listener.try_clone().unwrap();
    std::thread::spawn(move || drop(told.send(listener.accept())));
    let stream = heard
        .recv_timeout(PATIENCE)
        .expect("a connection")
        .unwrap()
        .0;
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

impl FakeJournal {
    pub fn start() -> FakeJournal {
        FakeJournal::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub fn at(address: SocketAddr) -> FakeJournal {
        FakeJournal {
            listener: TcpListener::bind(address).unwrap(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// The next connection, and the call on it.
    pub fn call(&self) -> Call {
        let stream = BufReader::new(accept(&self.listener));
        Call::read(stream).expect("a call on a new connection")
    }
}

impl Call {
    fn read(mut stream: BufReader<TcpStream>) -> Option<Call> {
        let mut tail = None;
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).expect("a call");
            if line.is_empty() {
                return None;
            }
            if line == "\r\n" {
                return Some(Call {
                    stream,
                    tail: tail.expect("a tail"),
                });
            }
            let after = line.split_once("tail=").map(|(_, after)| after);
            let number = after
                .and_then(|after| after.split_once('&'))
                .map(|(number, _)| number);
            tail = tail.or(number.map(|number| number.parse().unwrap()));
        }
    }

    pub fn write(&mut self, bytes: &str) {
        self.stream.get_mut().write_all(bytes.as_bytes()).unwrap();
    }

    /// Answers with these events, and returns the call that follows on the same connection.
    pub fn answer(mut self, last: u64, events: &[String]) -> Call {
        self.write(&answer(&feed(last, events)));
        Call::read(self.stream).expect("the call that follows on an answer")
    }

    /// The program closes the connection and writes nothing more on it.
    pub fn closed(mut self) {
        let mut rest = Vec::new();
        // A reset ends it as well: what was written to it stays unread.
        let _ = self.stream.read_to_end(&mut rest);
        assert!(
            rest.is_empty(),
            "the program wrote on: {}",
            String::from_utf8_lossy(&rest)
        );
    }

    /// Writes no more, as a service that ends; the program must close as well.
    pub fn end(self) {
        self.stream
            .get_ref()
            .shutdown(std::net::Shutdown::Write)
            .unwrap();
        self.closed();
    }

    /// The socket, to write to it while the call is waited on.
    pub fn socket(&self) -> TcpStream {
        self.stream.get_ref().try_clone().unwrap()
    }
}
