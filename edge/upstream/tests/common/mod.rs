//! One cache on a real socket and attempts at it, each step of which the test releases.
#![allow(dead_code)]

use foldmux::interface::{CacheId, Fetch, Member, Outcome, RequestId, State};
use foldmux_core::attempt::{Attempt, Got, Line, Tries};
use foldmux_core::buffers::Buffers;
use foldmux_core::clock::Clock;
use foldmux_core::cover::{Hold, Intended};
use foldmux_core::desk::Target;
use foldmux_core::inquiry::Inquiry;
use foldmux_core::members::{Listed, Members};
use foldmux_core::slot::Slot;
use foldmux_upstream::{pool::Pool, Upstream};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const CACHE: CacheId = CacheId(7);
/// Longer than anything takes; it ends a test that waits for what never comes.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The one cache, and what makes attempts at it.
pub struct Rig {
    listener: Option<TcpListener>,
    pub upstream: Upstream,
    listed: Listed,
}

impl Rig {
    pub fn new() -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let member = Member { cache: CACHE, state: State::Ready, boot: 3, ..Member::default() };
        let listed = Listed { member, name: "s".into(), address: listener.local_addr().unwrap() };
        let upstream = Upstream {
            members: Arc::new(Members::default()),
            pool: Pool::new(8, Duration::from_secs(60)),
            clock: Clock::default(),
            dial_time_out: 2 * PATIENCE,
        };
        upstream.members.apply(true, vec![listed.clone()]);
        Rig { listener: Some(listener), upstream, listed }
    }

    pub fn listener(&self) -> &TcpListener {
        self.listener.as_ref().expect("the cache listens")
    }

    /// Nobody listens any more: dials are refused.
    pub fn without_listener(self) -> Rig {
        Rig { listener: None, ..self }
    }

    /// A request for this cache, to be changed before it is made.
    pub fn asked(&self) -> Asked {
        let fetch = Fetch {
            id: RequestId(1),
            cache: CACHE,
            time_out: 0,
            send_by: 0,
            source: CACHE,
            keep: 0,
            max_age: 0,
            join: false,
            hold_only: false,
            renew: false,
        };
        let inquiry = Inquiry {
            via: 1,
            class: Arc::new(0),
            class_name: "sheet".into(),
            object: 5,
            part: 0,
            group: 0,
            size_kb: 1.0,
            token: None,
            got: None,
            body: None,
            arrived: Instant::now(),
            budget: 60_000_000,
            front: "test",
            caller: "".into(),
            within: None,
        };
        let target =
            Target { cache: Some(self.listed.start()), source: None, attempt: 0, decided: Instant::now() };
        Asked { inquiry, fetch, target, slot: Slot::new(RequestId(1)), guard: None }
    }

    /// Makes the attempt on the calling thread: how it ended, and the body that it brought.
    pub fn make(&self, asked: &Asked) -> (Outcome, Option<Brought>) {
        let attempt = Attempt {
            inquiry: &asked.inquiry,
            slot: &asked.slot,
            fetch: &asked.fetch,
            target: &asked.target,
            deadline: Instant::now() + 2 * PATIENCE,
            guard: asked.guard.as_deref(),
        };
        let mut buffer = vec![0; 64 * 1024];
        let (outcome, got) = self.upstream.attempt(&attempt, &mut buffer);
        let brought = got.map(|got| match got {
            Got::Body(at) => Brought::Body(String::from_utf8_lossy(&buffer[at]).into_owned()),
            Got::Same => Brought::Same,
        });
        (outcome, brought)
    }

    /// Makes the attempt while `cache` plays the other side.
    pub fn during<T: Send>(
        &self,
        asked: &Asked,
        cache: impl FnOnce() -> T + Send,
    ) -> (Outcome, Option<Brought>, T) {
        std::thread::scope(|scope| {
            let cache = scope.spawn(cache);
            let (outcome, brought) = self.make(asked);
            (outcome, brought, cache.join().unwrap())
        })
    }

    /// The next connection. A program that makes none fails the test.
    pub fn accept(&self) -> TcpStream {
        accept(self.listener())
    }

    /// A connection that was used once and is idle in the pool; the cache's end of it.
    pub fn idle(&self) -> TcpStream {
        let (outcome, _, stream) = self.during(&self.asked(), || {
            let stream = self.accept();
            read_head(&stream);
            say(&stream, &ok("first"));
            stream
        });
        assert_eq!((outcome, self.upstream.pool.count()), (Outcome::Served, (0, 1)));
        stream
    }

    /// Whether no connection was opened that the test did not accept.
    pub fn nobody_dialled(&self) -> bool {
        self.listener().set_nonblocking(true).unwrap();
        let none = self.listener().accept().is_err();
        self.listener().set_nonblocking(false).unwrap();
        none
    }
}

/// One attempt, as the core would hand it over.
pub struct Asked {
    pub inquiry: Inquiry,
    pub fetch: Fetch,
    pub target: Target,
    pub slot: Arc<Slot>,
    pub guard: Option<Box<dyn Hold>>,
}

impl Asked {
    pub fn with_body(mut self, length: usize) -> Asked {
        let body = Buffers::new(4).lease_for_body().unwrap();
        self.inquiry.body = Some((body, length));
        self
    }

    /// Runs `step` once the attempt has its connection, before it looks at it and writes.
    pub fn when_connected(self, step: impl FnOnce() + Send + Sync + 'static) -> Asked {
        assert!(self.slot.hold(0, Arc::new(Dropped(Mutex::new(Some(Box::new(step)))))));
        self
    }

    /// Runs `step` after all other looks, right before the first byte is written.
    pub fn before_first_byte(mut self, step: impl FnOnce() + Send + Sync + 'static) -> Asked {
        self.guard = Some(Box::new(Guard(Mutex::new(Some(Box::new(step))))));
        self
    }
}

/// What an attempt brought.
#[derive(Debug, PartialEq)]
pub enum Brought {
    Body(String),
    Same,
}

pub fn body(text: &str) -> Option<Brought> {
    Some(Brought::Body(text.to_string()))
}

type Step = Mutex<Option<Box<dyn FnOnce() + Send + Sync>>>;

/// Dropped by the slot where the attempt puts its own line in its place.
struct Dropped(Step);

impl Line for Dropped {
    fn cut(&self) {}
}

impl Drop for Dropped {
    fn drop(&mut self) {
        run(&self.0);
    }
}

/// Asked by the attempt right before its first byte.
struct Guard(Step);

impl Hold for Guard {
    fn within(&self) -> Option<u32> {
        None
    }

    fn intend(&self, _: &Member) -> Intended {
        Intended::Yes
    }

    fn may_send(&self) -> bool {
        run(&self.0);
        true
    }

    fn term(&self) -> Option<u64> {
        None
    }

    fn ended(&self, _: Outcome) {}

    fn may_have_run(&self) -> bool {
        false
    }

    fn done(&self, _: foldmux_core::cover::Final) -> bool {
        true
    }

    fn over(&self) {}
}

fn run(step: &Step) {
    if let Some(step) = step.lock().unwrap().take() {
        step();
    }
}

pub fn accept(listener: &TcpListener) -> TcpStream {
    let (told, heard) = std::sync::mpsc::channel();
    let listener = listener.try_clone().unwrap();
    std::thread::spawn(move || drop(told.send(listener.accept())));
    let stream = heard.recv_timeout(PATIENCE).expect("a connection").unwrap().0;
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
    format!("HTTP/1.1 200 OK\r\nETag: beef\r\nContent-Length: {}\r\n\r\n{body}", body.len())
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
        found.then_some(Socket { established: fields[3] == "01", unread })
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

/// Closes the cache's end of a connection, and waits until the other end knows. With bytes that were not read this is a
/// reset.
pub fn close(stream: TcpStream) {
    let (near, far) = (stream.peer_addr().unwrap(), stream.local_addr().unwrap());
    drop(stream);
    until("the end is known", || socket(near, far).is_none_or(|socket| !socket.established));
}

/// Sends bytes, and waits until they have arrived.
pub fn arrive(stream: &TcpStream, text: &str) {
    let (near, far) = (stream.peer_addr().unwrap(), stream.local_addr().unwrap());
    say(stream, text);
    until("the bytes arrived", || socket(near, far).is_some_and(|socket| socket.unread > 0));
}
