//! The rig with real processes: what it does to them, what it sees of them, and what it finds where nothing is covered.

use foldmux_harness::archive::{result, Policy};
use foldmux_harness::check::read;
use foldmux_harness::customer::{key, Manner};
use foldmux_harness::faults::{run, Run};
use foldmux_harness::gate::Point;
use foldmux_harness::line::Way;
use foldmux_harness::record::{Event, Outcome};
use foldmux_harness::schedule::{draw, Among, Counts, Fault};
use foldmux_harness::settings::KEYED;
use foldmux_harness::{Fleet, Plan};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

const SHORT: Duration = Duration::from_millis(700);
const LONG: Duration = Duration::from_secs(10);

fn manner(patience: Duration) -> Manner {
    let (deadline, longest) = (Duration::from_secs(3), Duration::from_secs(3));
    Manner {
        class: KEYED.into(),
        covered: false,
        patience,
        deadline,
        longest,
    }
}

/// The archive runs every request, also repeats.
fn counting() -> Policy {
    Policy {
        window: None,
        ..Policy::default()
    }
}

fn start(plan: Plan) -> Fleet {
    Fleet::start(&plan).unwrap()
}

#[test]
fn a_paused_process_answers_nobody_until_it_is_woken_and_a_restart_keeps_its_address() {
    let fleet = start(Plan {
        processes: 2,
        ..Plan::default()
    });
    let mut customer = fleet.customer(LONG);
    assert_eq!(
        customer.ask(0, &manner(LONG), 1, &key(1, 1)),
        Some(Outcome::Served)
    );
    fleet.pause(0).unwrap();
    let held = fleet.archive().hold(Point::Read, None);
    let (told, heard) = channel();
    thread::scope(|scope| {
        let mut waits = fleet.customer(LONG);
        scope.spawn(move || told.send(waits.once(0, &manner(LONG), 2, Some(&key(1, 2)))));
        // Another process serves all the while.
        let mut other = fleet.customer(LONG);
        let asks = scope.spawn(move || other.ask(1, &manner(LONG), 3, &key(1, 3)));
        assert!(held.reached(1));
        assert_eq!(fleet.archive().runs(&key(1, 2)), 0);
        held.open();
        assert_eq!(asks.join().unwrap(), Some(Outcome::Served));
        assert!(heard.try_recv().is_err());
        fleet.wake(0).unwrap();
        assert!(heard.recv_timeout(LONG).unwrap().is_some());
    });
    let before = fleet.address(0);
    fleet.kill(0);
    assert!(customer
        .once(0, &manner(LONG), 4, Some(&key(1, 4)))
        .is_none());
    fleet.restart(0).unwrap();
    fleet.well(0).unwrap();
    assert_eq!(fleet.address(0), before);
    assert_eq!(
        customer.ask(0, &manner(LONG), 4, &key(1, 4)),
        Some(Outcome::Served)
    );
    assert!(fleet.leave(0).unwrap().success());
}

#[test]
fn the_archive_sees_who_asks_and_a_planted_second_run_is_found() {
    let fleet = start(Plan {
        archive: counting(),
        ..Plan::default()
    });
    let mut customer = fleet.customer(LONG);
    for (process, number) in [(0, 1), (1, 2), (2, 3)] {
        customer.ask(process, &manner(LONG), number, &key(2, number));
    }
    let verdict = read(&fleet.record().lines().unwrap());
    assert!(
        verdict.sound() && verdict.run_twice_uncovered == 0,
        "{verdict}"
    );
    // The same key once more, by another process that knows nothing of it.
    customer.ask(2, &manner(LONG), 1, &key(2, 1));
    let lines = fleet.record().lines().unwrap();
    let by: Vec<Option<usize>> = lines
        .iter()
        .filter_map(|line| match &line.event {
            Event::Ran { by, .. } => Some(*by),
            _ => None,
        })
        .collect();
    assert_eq!(by, [0, 1, 2, 2].map(Some));
    let verdict = read(&lines);
    assert_eq!(
        (verdict.run_twice_uncovered, verdict.two_answers),
        (1, 1),
        "{verdict}"
    );
    assert_eq!(fleet.archive().runs(&key(2, 1)), 2);
}

#[test]
fn a_repeat_within_the_window_is_answered_as_the_first_and_runs_no_more() {
    let fleet = start(Plan {
        archive: Policy {
            window: Some(LONG * 6),
            ..Policy::default()
        },
        ..Plan::default()
    });
    let mut customer = fleet.customer(LONG);
    let name = key(3, 1);
    for process in [0, 1, 2] {
        customer.ask(process, &manner(LONG), 1, &name);
    }
    let verdict = read(&fleet.record().lines().unwrap());
    assert_eq!(
        (verdict.served, verdict.repeats, verdict.two_answers),
        (3, 2, 0),
        "{verdict}"
    );
    assert_eq!(fleet.archive().runs(&name), 1);
    let said = customer.once(0, &manner(LONG), 1, Some(&name)).unwrap();
    assert_eq!(
        said,
        foldmux_fakes::rpc::Said::Served(result(&name, 1).into_bytes())
    );
}

#[test]
fn one_process_is_cut_off_from_the_archive_and_the_others_are_not() {
    let fleet = start(Plan::default());
    let mut customer = fleet.customer(SHORT);
    for process in 0..3 {
        customer.ask(process, &manner(SHORT), 1, &key(4, process as u64));
    }
    fleet.cut_archive(0, Some(Way::Back));
    let gate = fleet.archive().hold(Point::Answer, Some(&key(4, 10)));
    assert!(customer
        .once(1, &manner(SHORT), 2, Some(&key(4, 11)))
        .is_some());
    thread::scope(|scope| {
        let mut cut = fleet.customer(LONG);
        let asks = scope.spawn(move || cut.once(0, &manner(LONG), 3, Some(&key(4, 10))));
        // It came there; the answer does not come back, and the client is served only once it may.
        assert!(gate.reached(1));
        gate.open();
        assert!(customer
            .once(2, &manner(SHORT), 4, Some(&key(4, 12)))
            .is_some());
        fleet.cut_archive(0, None);
        assert!(asks.join().unwrap().is_some());
    });
}

#[test]
fn without_cover_a_request_whose_proxy_is_killed_runs_a_second_time() {
    let fleet = start(Plan {
        archive: counting(),
        ..Plan::default()
    });
    let (name, mut customer) = (key(5, 1), fleet.customer(LONG));
    let gate = fleet.archive().hold(Point::Ran, Some(&name));
    thread::scope(|scope| {
        let asks = scope.spawn(|| customer.ask(0, &manner(LONG), 1, &name));
        assert!(gate.reached(1));
        fleet.kill(0);
        gate.open();
        assert_eq!(asks.join().unwrap(), Some(Outcome::Served));
    });
    let verdict = read(&fleet.record().lines().unwrap());
    assert_eq!(
        (verdict.kills, verdict.cut_off, verdict.again),
        (1, 1, 1),
        "{verdict}"
    );
    assert_eq!(verdict.run_twice_uncovered, 1, "{verdict}");
}

#[test]
fn the_baseline_under_a_schedule_shows_cut_off_requests_and_repeats() {
    let plan = Plan {
        archive: counting(),
        seed: 11,
        ..Plan::default()
    };
    let counts = Counts {
        kills: 5,
        pauses: 3,
        apart: 2,
        ..Counts::default()
    };
    let span = Duration::from_secs(12);
    let played = Run {
        plan,
        requests: 1_200,
        customers: 12,
        span,
        counts,
        together: 2,
        covered: false,
    };
    let (_fleet, verdict) = run(&played).unwrap();
    println!("{verdict}");
    assert_eq!(verdict.keys, 1_200);
    assert!(verdict.kills >= 4 && verdict.pauses >= 2, "{verdict}");
    assert!(
        verdict.cut_off > 0 && verdict.again > 0 && verdict.run_twice_uncovered > 0,
        "{verdict}"
    );
    assert!(
        verdict.sound(),
        "nothing was promised, so nothing is broken: {verdict}"
    );
}

#[test]
fn a_schedule_is_the_same_for_a_seed_and_breaks_no_more_together_than_it_may() {
    let ms = Duration::from_millis;
    let among = Among {
        processes: 6,
        together: 2,
        lasts: [ms(300), ms(1_500)],
    };
    let counts = Counts {
        kills: 12,
        pauses: 12,
        leaves: 3,
        upgrades: 1,
        cuts: 12,
        apart: 4,
    };
    let steps = draw(7, Duration::from_secs(60), among, counts);
    assert_eq!(steps, draw(7, Duration::from_secs(60), among, counts));
    assert_ne!(steps, draw(8, Duration::from_secs(60), among, counts));
    assert_eq!(steps.len(), 44);
    for step in &steps {
        let now =
            |s: &&foldmux_harness::schedule::Step| s.at <= step.at && step.at < s.at + s.lasts;
        assert!(steps.iter().filter(now).count() <= 2);
        assert!(!matches!(step.fault, Fault::Cut(other, _) if other == step.process));
    }
}
