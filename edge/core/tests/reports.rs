//! Load reports and health checks at the event loop: only incarnations that take requests are checked, and reports of any
//! other are dropped.

use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use foldmux::interface::*;
use foldmux::Router;
use foldmux_core::clock::Clock;
use foldmux_core::messages::{Command, Directive, ProbeSender};
use foldmux_core::servers::{Incarnation, Server, ServerList};
use foldmux_core::{CancelHandle, EventLoop, EventLoopHandle};
use foldmux_load_reports::{Load, RouterLoadReports};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
const SETTINGS: &str = r#"{"index":0,"balancers":1,"locality":0,"classes":[{"name":"page","slo":40000,
"hardLimit":3000000,"idempotency":"free"}],"limits":{"maxAttempts":4,"probes":true,"cancel":true},
"rules":{"answerSlack":8000,"stopSendingWithin":500000,"coldFrom":0.2,"rampTime":16000000,"fall":1000000,
"fallMultiple":2.5},"domain":{"originKind":1,"midKind":-1,"siblings":"any","notesGiven":"none","clientKbPerS":5000.0},
"report":{"how":"answers","names":["util","inflight"]},"charges":{"probe":0.0}}"#;

struct Prober(Sender<(CacheId, Incarnation)>);

impl ProbeSender for Prober {
    fn probe(&self, cache: CacheId, incarnation: Incarnation) {
        let _ = self.0.send((cache, incarnation));
    }
}

fn server(cache: u32, kind: usize, state: MemberState, boot: Time) -> Server {
    let member = Member {
        cache: CacheId(cache),
        kind,
        state,
        started_at: boot,
        weight: 1.0,
        ..Member::default()
    };
    Server {
        member,
        name: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
    }
}

struct Rig {
    event_loop: EventLoopHandle,
    probes: Receiver<(CacheId, Incarnation)>,
    next: u64,
}

fn rig() -> Rig {
    let mut decoded = foldmux_settings::parse(SETTINGS).unwrap();
    decoded.reports.placement_uses_load = true;
    let beside = RouterLoadReports::new(decoded.reports, &decoded.settings).expect("reports");
    let router = Router::new(decoded.settings, 1);
    let (mut event_loop, handle) =
        EventLoop::new(router, Clock::default(), Arc::new(ServerList::default()));
    let (sender, probes) = unbounded();
    event_loop.enable_load_reports(beside, Some(Box::new(Prober(sender))));
    std::thread::spawn(move || event_loop.run());
    let mut list: Vec<Server> = (1..4)
        .map(|cache| server(cache, 0, MemberState::Ready, 0))
        .collect();
    list.push(server(9, 1, MemberState::Ready, 0));
    handle.send(Command::Servers {
        full: true,
        servers: list,
    });
    Rig {
        event_loop: handle,
        probes,
        next: 0,
    }
}

impl Rig {
    /// One request whose first attempt is refused: what is learned of it makes a probe pay.
    fn refused(&mut self) {
        self.next += 1;
        let id = RequestId(self.next);
        let (sender, directives) = bounded(8);
        let object = ObjectId(self.next * 7_919);
        let ask = IncomingRequest {
            id,
            class: 0,
            object,
            part: 0,
            group: 0,
            size_kb: 10.0,
            time_budget: 3_000_000,
            placement_ttl: 0,
            required_group: None,
        };
        self.event_loop.send(Command::Request {
            request: ask,
            cancel: CancelHandle::new(id),
            directives: Box::new(sender),
        });
        if let Ok(Directive::Attempt(_, target)) = directives.recv_timeout(PATIENCE) {
            let (attempt, outcome, note) =
                (target.attempt, Outcome::Overloaded, CacheStatus::Unknown);
            let report = AttemptReport {
                id,
                attempt,
                outcome,
                cache_status: note,
                elapsed: 1_000,
                last: true,
            };
            self.event_loop.send(Command::Outcome(report));
        }
        self.event_loop.send(Command::RequestEnded(id));
    }

    /// Goes on until a probe is ordered.
    fn probe(&mut self) -> (CacheId, Incarnation) {
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
    rig.event_loop.send(Command::Servers {
        full: false,
        servers: vec![server(first.0 .0, 0, MemberState::Draining, 0)],
    });
    rig.event_loop.send(Command::LoadReport {
        cache: first.0,
        incarnation: old,
        load: Load::default(),
    });
    rig.event_loop.send(Command::ProbeResult {
        cache: first.0,
        incarnation: old,
        healthy: true,
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
        rig.event_loop.send(Command::ProbeResult {
            cache: next.0,
            incarnation: next.1,
            healthy: true,
            load,
        });
    }
}
