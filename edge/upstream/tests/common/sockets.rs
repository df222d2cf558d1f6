//! The cache's end of a connection, and what the system knows of both ends.

use super::PATIENCE;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub fn accept(listener: &TcpListener) -> TcpStream {
    let (told, heard) = std::sync::mpsc::channel();
    let listener = listener.try_clone().unwrap();
    std::thread::spawn(move || drop(told.send(listener.accept())));
    let stream = heard
        .recv_timeout(PATIENCE)
        .expect("a connection")
        .unwrap()
        .0;
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Reads a request to the end of its head, and no further.
pub fn read_head(mut stream: &TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a request");
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

/// All that comes until the other side closes; a reset is such an end.
pub fn rest(mut stream: &TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    bytes
}

pub fn say(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nETag: beef\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What the system knows of a TCP socket of this machine.
pub struct Socket {
    pub established: bool,
    /// Bytes that came and were not read.
    pub unread: usize,
}

/// The socket at `local` whose other end is `remote`, if there is one.
pub fn socket(local: SocketAddr, remote: SocketAddr) -> Option<Socket> {
    let port = |text: &str| u16::from_str_radix(text.split_once(':')?.1, 16).ok();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let ports = (port(fields[1])?, port(fields[2])?);
        let unread = usize::from_str_radix(fields[4].split_once(':')?.1, 16).ok()?;
        let found = ports == (local.port(), remote.port());
        found.then_some(Socket {
            established: fields[3] == "01",
            unread,
        })
    })
}

/// Waits until `holds`; a test in which it never does fails.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Asks until there is an answer; a test in which there never is one fails.
pub fn until_some<T>(mut answer: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(answer) = answer() {
            return answer;
        }
        assert!(Instant::now() < end, "never");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Closes the cache's end of a connection, and waits until the other end knows. With bytes that were not read this is a
/// reset.
pub fn close(stream: TcpStream) {
    let (near, far) = (stream.peer_addr().unwrap(), stream.local_addr().unwrap());
    drop(stream);
    until("the end is known", || {
        socket(near, far).is_none_or(|socket| !socket.established)
    });
}

/// Sends bytes, and waits until they have arrived.
pub fn arrive(stream: &TcpStream, text: &str) {
    let (near, far) = (stream.peer_addr().unwrap(), stream.local_addr().unwrap());
    say(stream, text);
    until("the bytes arrived", || {
        socket(near, far).is_some_and(|socket| socket.unread > 0)
    });
}
