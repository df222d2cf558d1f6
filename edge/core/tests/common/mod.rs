//! Requests at a core whose attempts the test ends one by one.
#![allow(dead_code)]

use foldmux::interface::{CacheId, Member, Outcome, State, Time};
use foldmux::Router;
use foldmux_core::attempt::{Attempt, Got, Tries};
use foldmux_core::buffers::Buffers;
use foldmux_core::clock::Clock;
use foldmux_core::desk::Notice;
use foldmux_core::limits::Limiter;
use foldmux_core::members::{Listed, Members};
use foldmux_core::{Answer, Core, Desk, Inquiry, Reply, Slot};
use foldmux_limits::table::{Draft, Said, Table};
use foldmux_limits::values::{Concurrency, Layer};
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
/// A client's wait, over all bounds of the tests (us): no wait here ends by the request's own time.
const BUDGET: Time = 80_000_000;

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

impl Tries for Scripted {
    fn attempt(&self, attempt: &Attempt, _: &mut [u8]) -> (Outcome, Option<Got>) {
        self.began.send(attempt.inquiry.via).unwrap();
        let end = self
            .ends
            .lock()
            .unwrap()
            .recv_timeout(PATIENCE)
            .expect("an end");
        match end {
            End::With(outcome) => (outcome, (outcome == Outcome::Served).then_some(Got::Same)),
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

impl Reply for Told {
    fn answer(mut self: Box<Self>, answer: Answer) {
        self.1 = true;
        let heard = match answer {
            Answer::Served(_) | Answer::Same => Heard::Same,
            Answer::Shed { .. } => Heard::Refused,
            Answer::Failed => Heard::Failed,
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
        let (clock, members) = (Clock::default(), Arc::new(Members::default()));
        let (desk, handle) = Desk::new(
            Router::new(decoded.settings, 1),
            clock.clone(),
            members.clone(),
        );
        let listed = |n: u32, zone, kind| Listed {
            member: Member {
                cache: CacheId(n),
                zone,
                kind,
                state: State::Ready,
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
        handle.tell(Notice::Members {
            full: true,
            listed: all,
        });
        let ((told, began), (ends, ended)) = (channel(), channel());
        let tries = Box::new(Scripted {
            began: told,
            ends: Mutex::new(ended),
        });
        let core = Core::new(
            handle,
            clock,
            Buffers::new(20),
            members,
            tries,
            50_000,
            0,
            18,
        );
        thread::Builder::new()
            .stack_size(512 * 1024)
            .spawn(move || desk.run())
            .unwrap();
        Rig { core, began, ends }
    }

    /// So many places, a queue of long patience, and a pause between attempts that outlasts the test.
    pub fn limit(&self, places: u64) -> Arc<Limiter> {
        self.limit_to(places, 80_000)
    }

    /// With a time for the whole request (ms), which may be shorter than the pause.
    pub fn limit_to(&self, places: u64, deadline_ms: u64) -> Arc<Limiter> {
        let layer = Layer {
            deadline_ms: Some(deadline_ms),
            attempts: Some(4),
            backoff_ms: Some(60_000),
            backoff_most_ms: Some(60_000),
            jitter_percent: Some(0.0),
            concurrency: Some(Concurrency::Fixed { most: places }),
            queue: Some(4),
            queue_age_ms: Some(60_000),
            ..Layer::default()
        };
        let defaults = Some(Said {
            at: "f:1".into(),
            value: layer,
        });
        let table = Table::new(
            &Account::default(),
            &Draft {
                defaults,
                ..Draft::default()
            },
        );
        let repeats = vec![foldmux::interface::Repeat::Safe];
        let limiter = Limiter::new(table, self.core.clock.clone(), "edge".into(), repeats);
        assert!(self.core.limits.set(limiter.clone()).is_ok());
        limiter
    }

    pub fn ask(&self, via: u64) -> (Arc<Slot>, Receiver<Heard>) {
        let inquiry = Inquiry {
            via,
            class: Arc::new(0),
            class_name: "sheet".into(),
            object: via,
            part: 0,
            group: 0,
            size_kb: 1.0,
            token: None,
            got: Some("x".into()),
            body: None,
            arrived: Instant::now(),
            budget: BUDGET,
            front: "msgpack",
            caller: "".into(),
            within: None,
        };
        let (told, heard) = channel();
        let slot = self.core.slot();
        self.core
            .start(inquiry, slot.clone(), Box::new(Told(told, false)));
        (slot, heard)
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
            (self.core.open(), self.core.buffers.out()) == (count, count)
        });
    }
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
