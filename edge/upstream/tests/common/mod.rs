//! One cache on a real socket and attempts at it, each step of which the test releases.
#![allow(dead_code)]

mod requests;
mod sockets;

pub use requests::*;
pub use sockets::*;

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
use std::net::{TcpListener, TcpStream};
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
        let member = Member {
            cache: CACHE,
            state: State::Ready,
            boot: 3,
            ..Member::default()
        };
        let listed = Listed {
            member,
            name: "s".into(),
            address: listener.local_addr().unwrap(),
        };
        let upstream = Upstream {
            members: Arc::new(Members::default()),
            pool: Pool::new(8, Duration::from_secs(60)),
            clock: Clock::default(),
            dial_time_out: 2 * PATIENCE,
        };
        upstream.members.apply(true, vec![listed.clone()]);
        Rig {
            listener: Some(listener),
            upstream,
            listed,
        }
    }

    pub fn listener(&self) -> &TcpListener {
        self.listener.as_ref().expect("the cache listens")
    }

    /// Nobody listens any more: dials are refused.
    pub fn without_listener(self) -> Rig {
        Rig {
            listener: None,
            ..self
        }
    }

    /// A request for this cache, to be changed before it is made.
    pub fn asked(&self) -> Asked {
        let (fetch, inquiry) = (fetch(), inquiry());
        let target = Target {
            cache: Some(self.listed.start()),
            source: None,
            attempt: 0,
            decided: Instant::now(),
        };
        Asked {
            inquiry,
            fetch,
            target,
            slot: Slot::new(RequestId(1)),
            guard: None,
        }
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
        assert_eq!(
            (outcome, self.upstream.pool.count()),
            (Outcome::Served, (0, 1))
        );
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
        assert!(self
            .slot
            .hold(0, Arc::new(Dropped(Mutex::new(Some(Box::new(step)))))));
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
