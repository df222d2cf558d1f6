//! Reports and probes at the desk: probes go only to starts that take requests, and word of any other is dropped.

use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use foldmux::interface::*;
use foldmux::Router;
use foldmux_core::clock::Clock;
use foldmux_core::desk::{Notice, Order, Probes};
use foldmux_core::members::{Listed, Members, Start};
use foldmux_core::{Desk, DeskHandle, Slot};
use foldmux_load_reports::{Beside, Load};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
const SETTINGS: &str = r#"{"index":0,"balancers":1,"locality":0,"classes":[{"name":"page","slo":40000,
"hardLimit":3000000,"idempotency":"free"}],"limits":{"maxAttempts":4,"probes":true,"cancel":true},
"rules":{"answerSlack":8000,"stopSendingWithin":500000,"coldFrom":0.2,"rampTime":16000000,"fall":1000000,
"fallMultiple":2.5},"domain":{"originKind":1,"midKind":-1,"siblings":"any","notesGiven":"none","clientKbPerS":5000.0},
"report":{"how":"answers","names":["util","inflight"]},"charges":{"probe":0.0}}"#;

struct Prober(Sender<(CacheId, Start)>);

impl Probes for Prober {
    fn probe(&self, cache: CacheId, start: Start) {
        let _ = self.0.send((cache, start));
    }
}

fn listed(cache: u32, kind: usize, state: State, boot: Time) -> Listed {
    let member = Member {
        cache: CacheId(cache),
        kind,
        state,
        boot,
        weight: 1.0,
        ..Member::default()
    };
    Listed {
        member,
        name: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
    }
}

struct Rig {
    desk: DeskHandle,
    probes: Receiver<(CacheId, Start)>,
    next: u64,
}

fn rig() -> Rig {
    let mut decoded = foldmux_settings::parse(SETTINGS).unwrap();
    decoded.reports.acted_on = true;
    let beside = Beside::new(decoded.reports, &decoded.settings).expect("reports");
    let router = Router::new(decoded.settings, 1);
    let (mut desk, handle) = Desk::new(router, Clock::default(), Arc::new(Members::default()));
    let (sender, probes) = unbounded();
    desk.report_to(beside, Some(Box::new(Prober(sender))));
    std::thread::spawn(move || desk.run());
    let mut list: Vec<Listed> = (1..4)
        .map(|cache| listed(cache, 0, State::Ready, 0))
        .collect();
    list.push(listed(9, 1, State::Ready, 0));
    handle.tell(Notice::Members {
        full: true,
        listed: list,
    });
    Rig {
        desk: handle,
        probes,
        next: 0,
    }
}

impl Rig {
    /// One request whose first attempt is refused: what is learned of it makes a probe pay.
    fn refused(&mut self) {
        self.next += 1;
        let id = RequestId(self.next);
        let (sender, orders) = bounded(8);
        let object = ObjectId(self.next * 7_919);
        let ask = Ask {
            id,
            class: 0,
            object,
            part: 0,
            group: 0,
            size_kb: 10.0,
            budget: 3_000_000,
            lease: 0,
            within: None,
        };
        self.desk.tell(Notice::Ask {
            ask,
            slot: Slot::new(id),
            orders: Box::new(sender),
        });
        if let Ok(Order::Fetch(_, target)) = orders.recv_timeout(PATIENCE) {
            let (attempt, outcome, note) = (target.attempt, Outcome::Full, Note::Untold);
            let report = Report {
                id,
                attempt,
                outcome,
                note,
                elapsed: 1_000,
                last: true,
            };
            self.desk.tell(Notice::Outcome(report));
        }
        self.desk.tell(Notice::Ended(id));
    }

    /// Goes on until a probe is ordered.
    fn probe(&mut self) -> (CacheId, Start) {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            self.refused();
            if let Ok(probe) = self.probes.recv_timeout(Duration::from_millis(2)) {
                return probe;
            }
        }
        panic!("no probe was ordered");
    }
}

#[test]
fn probes_are_ordered_for_starts_that_take_requests_and_for_no_other() {
    let mut rig = rig();
    let first = rig.probe();
    assert!((1..4).contains(&first.0 .0), "never the origin: {first:?}");
    // What it found is told of a start that is over by then: it is as if it never came.
    let old = first.1;
    rig.desk.tell(Notice::Members {
        full: false,
        listed: vec![listed(first.0 .0, 0, State::Draining, 0)],
    });
    rig.desk.tell(Notice::Load {
        cache: first.0,
        start: old,
        load: Load::default(),
    });
    rig.desk.tell(Notice::Probed {
        cache: first.0,
        start: old,
        well: true,
        load: Load::default(),
    });
    // One order may have been under way as the drain was told.
    rig.refused();
    while rig.probes.try_recv().is_ok() {}
    for _ in 0..3 {
        let next = rig.probe();
        assert_ne!(next.0, first.0, "it drains");
        let load = Load {
            util: Some(0.5),
            inflight: None,
            ..Load::default()
        };
        rig.desk.tell(Notice::Probed {
            cache: next.0,
            start: next.1,
            well: true,
            load,
        });
    }
}
