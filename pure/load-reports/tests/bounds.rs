//! Edge cases of the load table and the probe budget, without sockets.

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

/// A table of four servers with equal reports.
fn equal_reports() -> LoadTable {
    let mut reports = reports();
    (0..4).for_each(|server| reports.record_report(START, server, load(0.5, 10.0)));
    reports
}

#[test]
fn a_repeated_report_keeps_its_first_age_and_attempts_sent_since_count() {
    let mut reports = equal_reports();
    reports.record_report(START, 0, load(0.2, 4.0));
    let new = reports.relative_load(START, 0);
    assert!(new < 0.6, "less than half the load of the others: {new}");
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
    // It holds 14 requests where it reported 4, so it is no longer idle.
    assert!(
        reports.relative_load(now, 0) > 1.0,
        "{}",
        reports.relative_load(now, 0)
    );
    (0..10).for_each(|_| reports.record_completion(now, 0, false));
    assert!(
        reports.relative_load(now, 0) < 1.0,
        "completed attempts are subtracted: {}",
        reports.relative_load(now, 0)
    );
}

#[test]
fn a_server_that_reports_idle_and_rejects_attracts_no_requests() {
    let mut reports = equal_reports();
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
    // After the lifetime without a rejection its report is trusted again.
    now += reports.lifetime() + 1;
    reports.record_report(now, 0, load(0.01, 0.0));
    (1..4).for_each(|server| reports.record_report(now, server, load(0.5, 11.0)));
    assert!(reports.relative_load(now, 0) < 0.5);
}

#[test]
fn without_new_reports_every_server_returns_to_average() {
    let mut reports = equal_reports();
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
    let much_later = START + 1_000 * reports.lifetime();
    assert!(
        (0..4).all(|server| reports.relative_load(much_later, server) == 1.0
            && reports.confidence(much_later, server) == 0.0)
    );
    assert_eq!(
        reports.relative_load(much_later, 99),
        1.0,
        "a server without a report is average too"
    );
}

#[test]
fn empty_reports_are_ignored_and_the_table_is_bounded() {
    let mut reports = equal_reports();
    reports.record_report(START + MS, 0, Load::default());
    assert_eq!(
        (
            reports.relative_load(START, 0),
            reports.confidence(START, 0)
        ),
        (1.0, 1.0)
    );
    // With one field missing the other still counts.
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
        "the oldest report is evicted"
    );
    (0..MAX_SERVERS as u32 + 100).for_each(|server| reports.forget(server));
    assert!(reports.is_empty());
}

fn candidate(server: u32) -> ProbeCandidate {
    ProbeCandidate {
        server,
        confidence: 0.0,
        expected_attempts: 20.0,
        loss_rate: 0.2,
        ready: true,
    }
}

fn budget(price: f64) -> ProbeBudget {
    let mut budget = ProbeBudget::new(true, price, 250 * MS);
    (0..1_000).for_each(|_| budget.record_request());
    budget
}

#[test]
fn a_server_is_probed_only_where_the_response_may_change_a_selection() {
    assert!(budget(0.01).try_probe(START, candidate(1)));
    let skipped = |candidate: ProbeCandidate| !budget(0.01).try_probe(START, candidate);
    assert!(
        skipped(ProbeCandidate {
            ready: false,
            ..candidate(1)
        }),
        "never one that drains, is gone or is in maintenance"
    );
    assert!(
        skipped(ProbeCandidate {
            confidence: 0.9,
            ..candidate(1)
        }),
        "its report is new"
    );
    assert!(
        skipped(ProbeCandidate {
            expected_attempts: 0.5,
            ..candidate(1)
        }),
        "no attempt is expected there"
    );
    assert!(
        skipped(ProbeCandidate {
            loss_rate: 0.0,
            ..candidate(1)
        }),
        "no attempt is lost"
    );
    assert!(
        skipped(ProbeCandidate {
            loss_rate: f64::NAN,
            ..candidate(1)
        }) && skipped(ProbeCandidate {
            expected_attempts: f64::NAN,
            ..candidate(1)
        })
    );
    assert!(
        !ProbeBudget::new(false, 0.0, MS).try_probe(START, candidate(1)),
        "the settings forbid it"
    );
    assert!(
        !ProbeBudget::new(true, 0.0, MS).try_probe(START, candidate(1)),
        "no request has added to the budget"
    );
    assert!(
        !budget(f64::NAN).try_probe(START, candidate(1))
            && !budget(5.0).try_probe(START, candidate(1)),
        "the price exceeds the gain"
    );
}

#[test]
fn useless_probes_are_skipped_except_for_exploration() {
    let mut budget = budget(0.5);
    let mut sent = 0;
    for k in 0..20_000u64 {
        budget.record_request();
        let now = START + k * 10 * MS;
        if budget.try_probe(now, candidate(1)) {
            budget.record_probe(1, false);
            sent += 1;
        }
    }
    assert!(
        (100..500).contains(&sent),
        "one in 64 and some at the start: {sent} of 20000"
    );
}

#[test]
fn a_probe_times_out_and_all_probes_stay_within_their_bounds() {
    let mut budget = budget(0.0);
    let sent = (0..20)
        .filter(|server| budget.try_probe(START, candidate(*server)))
        .count();
    assert_eq!(
        (sent, budget.in_flight(START)),
        (MAX_PROBES_IN_FLIGHT, MAX_PROBES_IN_FLIGHT)
    );
    (0..1_000).for_each(|_| budget.record_request());
    assert!(
        !budget.try_probe(START + 249 * MS, candidate(9)),
        "the maximum number of probes is in flight"
    );
    assert!(
        budget.try_probe(START + 250 * MS, candidate(9)),
        "the others have timed out"
    );
    // A server has one probe at a time, and a response to a forgotten probe is ignored.
    assert!(!budget.try_probe(START + 251 * MS, candidate(9)));
    budget.forget(9);
    budget.record_probe(9, true);
    assert_eq!(budget.in_flight(START + 251 * MS), 0);
    // However useful, probes are at most a twentieth of the requests.
    let mut unpriced = ProbeBudget::new(true, 0.0, 1);
    let count = (0..1_000u64).filter(|k| {
        unpriced.record_request();
        unpriced.try_probe(
            START + k * MS,
            ProbeCandidate {
                loss_rate: 1.0,
                expected_attempts: 1e9,
                ..candidate(*k as u32)
            },
        )
    });
    let count = count.count();
    assert!((40..=50).contains(&count), "{count} of 1000 requests");
}
