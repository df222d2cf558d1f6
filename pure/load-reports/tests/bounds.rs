//! The hard cases of reports and probes, without sockets.

use foldmux_load_reports::probe_budget::{ProbeCandidate, MAX_PROBES_IN_FLIGHT};
use foldmux_load_reports::table::MAX_SERVERS;
use foldmux_load_reports::{Load, LoadTable, ProbeBudget};

const MS: u64 = 1_000;
const START: u64 = 1_000_000_000;

fn reports() -> LoadTable {
    LoadTable::new(300.0 * MS as f64)
}

fn load(util: f32, inflight: f32) -> Load {
    Load {
        util: Some(util),
        inflight: Some(inflight),
        ..Load::default()
    }
}

/// Four servers that each say the same.
fn even() -> LoadTable {
    let mut reports = reports();
    (0..4).for_each(|server| reports.record_report(START, server, load(0.5, 10.0)));
    reports
}

#[test]
fn a_report_that_ten_answers_repeat_is_as_old_as_its_first_and_own_sends_count() {
    let mut reports = even();
    reports.record_report(START, 0, load(0.2, 4.0));
    let new = reports.relative_load(START, 0);
    assert!(new < 0.6, "half as busy as the others: {new}");
    let mut now = START;
    for k in 1..=10 {
        now += 50 * MS;
        if k % 5 == 0 {
            (1..4).for_each(|server| {
                reports.record_report(now, server, load(0.5, 10.0 + k as f32 / 1e3))
            });
        }
        reports.record_send(0);
        reports.record_report(now, 0, load(0.2, 4.0));
    }
    assert!(
        reports.confidence(now, 0) < reports.confidence(now, 1),
        "the others' reports are new, this one is not"
    );
    // 14 held where it said 4: it is no idle server any more.
    assert!(
        reports.relative_load(now, 0) > 1.0,
        "{}",
        reports.relative_load(now, 0)
    );
    (0..10).for_each(|_| reports.record_completion(now, 0, false));
    assert!(
        reports.relative_load(now, 0) < 1.0,
        "what ended counts too: {}",
        reports.relative_load(now, 0)
    );
}

#[test]
fn a_server_that_says_it_is_idle_and_refuses_draws_nothing_more() {
    let mut reports = even();
    let mut now = START;
    for k in 0..200u64 {
        now += 20 * MS;
        (1..4).for_each(|server| {
            reports.record_report(now, server, load(0.5, 10.0 + k as f32 / 1e3))
        });
        reports.record_report(now, 0, load(0.01, k as f32 / 1e3));
        reports.record_send(0);
        reports.record_completion(now, 0, true);
        assert!(
            reports.relative_load(now, 0) >= 1.0,
            "{k}: {}",
            reports.relative_load(now, 0)
        );
    }
    // Without a lie to go by it counts again as it says.
    now += reports.lifetime() + 1;
    reports.record_report(now, 0, load(0.01, 0.0));
    (1..4).for_each(|server| reports.record_report(now, server, load(0.5, 11.0)));
    assert!(reports.relative_load(now, 0) < 0.5);
}

#[test]
fn when_all_reports_stop_every_server_fades_to_average_and_stays_there() {
    let mut reports = even();
    reports.record_report(START, 0, load(0.1, 1.0));
    reports.record_report(START, 3, load(0.95, 40.0));
    let (mut low, mut high) = (
        reports.relative_load(START, 0),
        reports.relative_load(START, 3),
    );
    assert!(low < 0.5 && high > 1.5, "{low} {high}");
    for step in 1..=10 {
        let now = START + reports.lifetime() * step / 10;
        let at = [0, 3].map(|server| reports.relative_load(now, server));
        assert!(at[0] >= low && at[1] <= high, "at {step} tenths: {at:?}");
        [low, high] = at;
    }
    assert_eq!((low, high), (1.0, 1.0));
    let long = START + 1_000 * reports.lifetime();
    assert!(
        (0..4).all(|server| reports.relative_load(long, server) == 1.0
            && reports.confidence(long, server) == 0.0)
    );
    assert_eq!(
        reports.relative_load(long, 99),
        1.0,
        "one never heard of is average too"
    );
}

#[test]
fn what_can_not_be_used_is_as_if_nothing_came_and_what_is_kept_is_bounded() {
    let mut reports = even();
    reports.record_report(START + MS, 0, Load::default());
    assert_eq!(
        (
            reports.relative_load(START, 0),
            reports.confidence(START, 0)
        ),
        (1.0, 1.0)
    );
    // One field is missing: the other still counts.
    reports.record_report(
        START + MS,
        0,
        Load {
            util: None,
            ..load(0.0, 10.0)
        },
    );
    assert_eq!(reports.confidence(START + MS, 0), 1.0);
    for server in 0..MAX_SERVERS as u32 + 100 {
        reports.record_report(START + 2 * MS + server as u64, server, load(0.5, 10.0));
    }
    assert_eq!(reports.len(), MAX_SERVERS);
    assert_eq!(
        reports.confidence(START + 3 * MS, 0),
        0.0,
        "the one longest not heard of went"
    );
    (0..MAX_SERVERS as u32 + 100).for_each(|server| reports.forget(server));
    assert!(reports.is_empty());
}

fn case(server: u32) -> ProbeCandidate {
    ProbeCandidate {
        server,
        confidence: 0.0,
        expected_attempts: 20.0,
        loss_rate: 0.2,
        ready: true,
    }
}

fn asking(price: f64) -> ProbeBudget {
    let mut asking = ProbeBudget::new(true, price, 250 * MS);
    (0..1_000).for_each(|_| asking.request());
    asking
}

#[test]
fn a_server_is_asked_only_where_the_answer_may_change_a_choice_and_pays() {
    assert!(asking(0.01).try_probe(START, case(1)));
    let no = |case: ProbeCandidate| !asking(0.01).try_probe(START, case);
    assert!(
        no(ProbeCandidate {
            ready: false,
            ..case(1)
        }),
        "never one that drains, is gone or is out by hand"
    );
    assert!(
        no(ProbeCandidate {
            confidence: 0.9,
            ..case(1)
        }),
        "its report is new"
    );
    assert!(
        no(ProbeCandidate {
            expected_attempts: 0.5,
            ..case(1)
        }),
        "nothing will go there"
    );
    assert!(
        no(ProbeCandidate {
            loss_rate: 0.0,
            ..case(1)
        }),
        "no choice loses anything"
    );
    assert!(
        no(ProbeCandidate {
            loss_rate: f64::NAN,
            ..case(1)
        }) && no(ProbeCandidate {
            expected_attempts: f64::NAN,
            ..case(1)
        })
    );
    assert!(
        !ProbeBudget::new(false, 0.0, MS).try_probe(START, case(1)),
        "the settings forbid it"
    );
    assert!(
        !ProbeBudget::new(true, 0.0, MS).try_probe(START, case(1)),
        "no request has paid for it"
    );
    assert!(
        !asking(f64::NAN).try_probe(START, case(1)) && !asking(5.0).try_probe(START, case(1)),
        "it costs more than it gains"
    );
}

#[test]
fn probes_that_change_nothing_are_left_off_but_for_a_trickle() {
    let mut asking = asking(0.5);
    let mut sent = 0;
    for k in 0..20_000u64 {
        asking.request();
        let now = START + k * 10 * MS;
        if asking.try_probe(now, case(1)) {
            asking.record_probe(1, false);
            sent += 1;
        }
    }
    assert!(
        (100..500).contains(&sent),
        "one in 64 and some at first: {sent} of 20000"
    );
}

#[test]
fn a_probe_that_never_ends_gives_its_place_back_and_all_stay_within_their_bounds() {
    let mut asking = asking(0.0);
    let sent = (0..20)
        .filter(|server| asking.try_probe(START, case(*server)))
        .count();
    assert_eq!(
        (sent, asking.in_flight(START)),
        (MAX_PROBES_IN_FLIGHT, MAX_PROBES_IN_FLIGHT)
    );
    (0..1_000).for_each(|_| asking.request());
    assert!(
        !asking.try_probe(START + 249 * MS, case(9)),
        "all places are out"
    );
    assert!(
        asking.try_probe(START + 250 * MS, case(9)),
        "what was not answered by then is over"
    );
    // Of one server one at a time, and an answer that nobody waits for is no record.
    assert!(!asking.try_probe(START + 251 * MS, case(9)));
    asking.forget(9);
    asking.record_probe(9, true);
    assert_eq!(asking.in_flight(START + 251 * MS), 0);
    // Whatever they gain, they are a twentieth of the requests at most.
    let mut few = ProbeBudget::new(true, 0.0, 1);
    let count = (0..1_000u64).filter(|k| {
        few.request();
        few.try_probe(
            START + k * MS,
            ProbeCandidate {
                loss_rate: 1.0,
                expected_attempts: 1e9,
                ..case(*k as u32)
            },
        )
    });
    let count = count.count();
    assert!((40..=50).contains(&count), "{count} of 1000 requests");
}
