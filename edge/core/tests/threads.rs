//! The threads of requests: as many as are open at once, given back once a burst is over, and none is lost to that.

use foldmux::interface::{CacheId, Member, Outcome, State};
use foldmux::Router;
use foldmux_core::attempt::{Attempt, Got, Tries};
use foldmux_core::buffers::Buffers;
use foldmux_core::clock::Clock;
use foldmux_core::desk::Notice;
use foldmux_core::members::{Listed, Members};
use foldmux_core::{Answer, Core, Desk, Inquiry, Reply};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// Ends a test that waits for what never comes.
const PATIENCE: Duration = Duration::from_secs(30);
const BURST: usize = 12;
const SETTINGS: &str = r#"{"index":0,"balancers":1,"locality":0,"classes":[{"name":"page","slo":10000000,
"hardLimit":20000000,"idempotency":"free"}],"limits":{"maxAttempts":4,"cancel":true},
"rules":{"answerSlack":8000,"stopSendingWithin":500000,"coldFrom":0.2,"rampTime":16000000,"fall":1000000,
"fallMultiple":2.5},"domain":{"originKind":1,"midKind":-1,"siblings":"any","notesGiven":"none","clientKbPerS":5000.0}}"#;

/// Attempts that end together, as soon as a whole burst of them runs.
struct Together(Arc<Barrier>);

impl Tries for Together {
    fn attempt(&self, _: &Attempt, _: &mut [u8]) -> (Outcome, Option<Got>) {
        self.0.wait();
        (Outcome::Served, Some(Got::Same))
    }
}

struct Told(Sender<()>);

impl Reply for Told {
    fn answer(self: Box<Self>, answer: Answer) {
        assert!(matches!(answer, Answer::Same));
        self.0.send(()).unwrap();
    }
}

fn core() -> Arc<Core> {
    let decoded = foldmux_settings::parse(SETTINGS).unwrap();
    let (clock, members) = (Clock::default(), Arc::new(Members::default()));
    let (desk, handle) = Desk::new(Router::new(decoded.settings, 1), clock.clone(), members.clone());
    let listed = |n: u32, kind| Listed {
        member: Member { cache: CacheId(n), kind, state: State::Ready, weight: 1.0, ..Member::default() },
        name: format!("s-{n:08x}").into(),
        address: ([127, 0, 0, 1], 9).into(),
    };
    handle.tell(Notice::Members { full: true, listed: vec![listed(1, 0), listed(2, 0), listed(9, 1)] });
    thread::spawn(move || desk.run());
    let tries = Box::new(Together(Arc::new(Barrier::new(BURST))));
    Core::new(handle, clock, Buffers::new(2 * BURST), members, tries, 50_000, 0, 2 * BURST)
}

fn inquiry(id: u64) -> Inquiry {
    Inquiry {
        via: id,
        class: Arc::new(0),
        class_name: "page".into(),
        object: id,
        part: 0,
        group: 0,
        size_kb: 1.0,
        token: None,
        got: Some("x".into()),
        body: None,
        arrived: Instant::now(),
        budget: 20_000_000,
        front: "test",
        caller: "".into(),
        within: None,
    }
}

/// Starts a burst of requests; each tells when it is answered.
fn burst(core: &Arc<Core>, first: u64) -> Receiver<()> {
    let (told, answers) = channel();
    for id in first..first + BURST as u64 {
        core.start(inquiry(id), core.slot(), Box::new(Told(told.clone())));
    }
    answers
}

/// Threads of requests in this process.
fn threads() -> usize {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let names = tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("comm")).ok());
    names.filter(|name| name.trim() == "request").count()
}

#[test]
fn the_threads_of_a_burst_are_given_back_and_the_next_burst_is_served() {
    let core = core();
    for first in [1, 1_001] {
        let answers = burst(&core, first);
        for _ in 0..BURST {
            answers.recv_timeout(PATIENCE).expect("an answer");
        }
        assert!(threads() <= BURST, "no more than were ever open at once");
        let until = Instant::now() + PATIENCE;
        while threads() > 0 && Instant::now() < until {
            thread::yield_now();
        }
        assert_eq!((threads(), core.open()), (0, 0), "all are given back");
    }
}
