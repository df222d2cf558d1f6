//! Requests at a core whose attempts the test ends one by one.
#![allow(dead_code)]

use foldmux::interface::{CacheId, Member, MemberState, Outcome};
use foldmux::Router;
use foldmux_core::attempt::{Attempt, Payload, UpstreamClient};
use foldmux_core::buffers::BufferPool;
use foldmux_core::clock::Clock;
use foldmux_core::limits::{Limiter, Occupancy};
use foldmux_core::messages::Command;
use foldmux_core::servers::{Server, ServerList};
use foldmux_core::{CancelHandle, ClientRequest, Core, CoreSetup, EventLoop, Responder, Response};
use foldmux_limits::concurrency::ConcurrencyLimit;
use foldmux_limits::overrides::LimitOverrides;
use foldmux_limits::resolve::{LimitSet, LimitsFile, Located};
use foldmux_limits::Account;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"index":0,"balancers":1,"locality":1,"dcs":["hub","edge"],
"kinds":["box","parent","origin"],"classes":[{"name":"sheet","slo":20000000,"hardLimit":90000000,
"idempotency":"free"}],
"limits":{"maxAttempts":8,"cancel":true,"retryAfter":true,"maxRetryAfter":500000},"rules":{"answerSlack":8000,
"stopSendingWithin":250000,"coldFrom":0.17,"rampTime":18000000,"fall":3000000,"fallMultiple":4.0},
"domain":{"originKind":2,"midKind":1,"siblings":"any","notesGiven":"none","clientKbPerS":5000.0,"direct":false,
"hubOf":[0,0],"passOn":[false],"instancesByZone":[0,1],"parentFloor":0.1,"parentCold":21000000,
"parentBreaksAt":2.0,"purgeSlack":1000000,"purgeDone":6000000}}"#;
/// Longer than anything takes; it ends a test that waits for what never comes.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// A client's wait, over all bounds of the tests: no wait here ends by the request's own time.
const BUDGET: Duration = Duration::from_secs(80);

/// How an attempt ends, as the test says.
pub enum End {
    With(Outcome),
    Panic,
}

/// Tells of each attempt, and ends it as the test says.
struct Scripted {
    began: Sender<u64>,
    ends: Mutex<Receiver<End>>,
}

impl UpstreamClient for Scripted {
    fn attempt(&self, attempt: &Attempt, _: &mut [u8]) -> (Outcome, Option<Payload>) {
        self.began.send(attempt.request.via_id).unwrap();
        let end = self
            .ends
            .lock()
            .unwrap()
            .recv_timeout(PATIENCE)
            .expect("an end");
        match end {
            End::With(outcome) => (
                outcome,
                (outcome == Outcome::Served).then_some(Payload::NotModified),
            ),
            End::Panic => panic!("planted in an attempt"),
        }
    }
}

/// What became of a request's reply.
#[derive(Debug, PartialEq)]
pub enum Heard {
    Same,
    Refused,
    Failed,
    /// It was dropped: nothing is said, or by the front alone.
    Nothing,
}

struct Told(Sender<Heard>, bool);

impl Responder for Told {
    fn respond(mut self: Box<Self>, response: Response) {
        self.1 = true;
        let heard = match response {
            Response::Served(_) | Response::NotModified => Heard::Same,
            Response::Rejected(_) => Heard::Refused,
            Response::Failed => Heard::Failed,
        };
        let _ = self.0.send(heard);
    }
}

impl Drop for Told {
    fn drop(&mut self) {
        if !self.1 {
            let _ = self.0.send(Heard::Nothing);
        }
    }
}

pub struct Rig {
    pub core: Arc<Core>,
    pub began: Receiver<u64>,
    pub ends: Sender<End>,
}

impl Rig {
    pub fn new() -> Rig {
        let decoded = foldmux_settings::parse(SETTINGS).unwrap();
        let (clock, servers) = (Clock::default(), Arc::new(ServerList::default()));
        let (event_loop, handle) = EventLoop::new(
            Router::new(decoded.settings, 1),
            clock.clone(),
            servers.clone(),
        );
        let listed = |n: u32, zone, kind| Server {
            member: Member {
                cache: CacheId(n),
                zone,
                kind,
                state: MemberState::Ready,
                weight: 1.0,
                ..Member::default()
            },
            name: format!("s-{n:08x}").into(),
            address: ([127, 0, 0, 1], 9).into(),
        };
        let all = vec![
            listed(1, 1, 0),
            listed(2, 1, 0),
            listed(3, 1, 0),
            listed(90, 0, 1),
            listed(91, 0, 2),
        ];
        handle.send(Command::Servers {
            full: true,
            servers: all,
        });
        let ((told, began), (ends, ended)) = (channel(), channel());
        let upstream = Box::new(Scripted {
            began: told,
            ends: Mutex::new(ended),
        });
        let core = Core::new(CoreSetup {
            event_loop: handle,
            clock,
            buffers: BufferPool::new(20),
            servers,
            upstream,
            retry_after: Duration::from_millis(50),
            warm_up: Duration::ZERO,
            max_open: 18,
        });
        thread::Builder::new()
            .stack_size(512 * 1024)
            .spawn(move || event_loop.run())
            .unwrap();
        Rig { core, began, ends }
    }

    /// So many places, a queue of long patience, and a pause between attempts that outlasts the test.
    pub fn limit(&self, places: u64) -> Arc<Limiter> {
        self.limit_to(places, 80_000)
    }

    /// With a time for the whole request (ms), which may be shorter than the pause.
    pub fn limit_to(&self, places: u64, deadline_ms: u64) -> Arc<Limiter> {
        let layer = LimitOverrides {
            deadline_ms: Some(deadline_ms),
            max_attempts: Some(4),
            backoff_base_ms: Some(60_000),
            backoff_max_ms: Some(60_000),
            jitter_percent: Some(0.0),
            concurrency: Some(ConcurrencyLimit::Fixed { max: places }),
            queue_capacity: Some(4),
            queue_timeout_ms: Some(60_000),
            ..LimitOverrides::default()
        };
        let defaults = Some(Located {
            at: "f:1".into(),
            value: layer,
        });
        let table = LimitSet::new(
            &Account::default(),
            &LimitsFile {
                defaults,
                ..LimitsFile::default()
            },
        );
        let repeats = vec![foldmux::interface::RetrySafety::Idempotent];
        let limiter = Limiter::new(table, self.core.clock.clone(), "edge".into(), repeats);
        assert!(self.core.limiter.set(limiter.clone()).is_ok());
        limiter
    }

    pub fn ask(&self, via_id: u64) -> (Arc<CancelHandle>, Receiver<Heard>) {
        let request = ClientRequest {
            via_id,
            class: Arc::new(0),
            class_name: "sheet".into(),
            object: via_id,
            part: 0,
            group: 0,
            size_kb: 1.0,
            token: None,
            etag: Some("x".into()),
            body: None,
            arrived_at: Instant::now(),
            budget: BUDGET,
            front: "msgpack",
            caller: "".into(),
            required_group: None,
        };
        let (told, heard) = channel();
        let cancel = self.core.new_cancel_handle();
        self.core
            .start(request, cancel.clone(), Box::new(Told(told, false)));
        (cancel, heard)
    }

    pub fn begins(&self) -> u64 {
        self.began.recv_timeout(PATIENCE).expect("an attempt")
    }

    pub fn end(&self, outcome: Outcome) {
        self.ends.send(End::With(outcome)).unwrap();
    }

    /// Waits until so many requests are open, and no more buffers are out than that.
    pub fn open(&self, count: usize) {
        until("what a request held is back", || {
            (self.core.open_requests(), self.core.buffers.in_use()) == (count, count)
        });
    }
}

pub fn occupancy(open: u64, queued: u64) -> Occupancy {
    Occupancy { open, queued }
}

pub fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

pub fn hears(heard: &Receiver<Heard>) -> Heard {
    heard.recv_timeout(PATIENCE).expect("the reply's end")
}
