//! Places that go to whoever waits, and tables that change in service.

use super::*;
use foldmux::interface::{Fetch, Time};
use foldmux_limits::concurrency::ConcurrencyLimit;
use foldmux_limits::overrides::LimitOverrides;
use foldmux_limits::resolve::{ClassOverrides, LimitSet, LimitsFile, Located};
use foldmux_limits::Account;
use std::sync::mpsc::channel;
use std::time::Instant;

fn table(places: u64) -> LimitSet {
    let layer = LimitOverrides {
        concurrency: Some(ConcurrencyLimit::Fixed { max: places }),
        queue_capacity: Some(4),
        queue_timeout_ms: Some(60_000),
        max_attempts: Some(2),
        retention_rank: Some(1),
        attempt_timeout_ms: Some(200),
        ..LimitOverrides::default()
    };
    let said = Located {
        at: "f:1".into(),
        value: ClassOverrides {
            class: "formula-card".to_string(),
            overrides: layer,
        },
    };
    LimitSet::new(
        &Account::default(),
        &LimitsFile {
            classes: vec![said],
            ..LimitsFile::default()
        },
    )
}

fn limiter() -> Arc<Limiter> {
    let repeats = vec![
        RetrySafety::Idempotent,
        RetrySafety::Idempotent,
        RetrySafety::Keyed(foldmux::interface::KeyScope::All),
    ];
    Limiter::new(table(1), Clock::default(), "turku".into(), repeats)
}

fn occupancy(open: u64, queued: u64) -> Occupancy {
    Occupancy { open, queued }
}

fn held(entered: Admission) -> RequestLimits {
    match entered {
        Admission::Admitted(held) | Admission::Queued(held, _) => held,
        _ => panic!("no place and no wait"),
    }
}

#[test]
fn a_place_goes_to_whoever_waits_also_when_it_was_granted_and_never_heard_of() {
    let limiter = limiter();
    let (tell, told) = channel();
    let enter = || {
        let tell = tell.clone();
        limiter.admit(
            1,
            "",
            "msgpack",
            Box::new(move |end| {
                let _ = tell.send(end);
            }),
        )
    };
    assert!(
        matches!(
            limiter.admit(0, "", "msgpack", Box::new(|_| ())),
            Admission::Unlimited
        ),
        "no limits were set"
    );
    let first = held(enter());
    let (second, third) = (held(enter()), held(enter()));
    assert_eq!(limiter.occupancy(), occupancy(1, 2));
    drop(first);
    assert_eq!(
        (told.recv(), limiter.occupancy()),
        (Ok(QueueEnd::Admitted), occupancy(1, 1))
    );
    // It had a place, and its client left before it heard of it.
    drop(second);
    assert_eq!(
        (told.recv(), limiter.occupancy()),
        (Ok(QueueEnd::Admitted), occupancy(1, 0))
    );
    drop(third);
    assert_eq!(limiter.occupancy(), occupancy(0, 0));
}

#[test]
fn another_table_holds_for_those_that_come_and_not_for_those_that_are_open() {
    let limiter = limiter();
    let mut old = held(limiter.admit(1, "", "dns", Box::new(|_| ())));
    limiter.replace_table(LimitSet::new(&Account::default(), &LimitsFile::default()));
    assert!(matches!(
        limiter.admit(1, "", "dns", Box::new(|_| ())),
        Admission::Unlimited
    ));
    let mut fetch = Fetch {
        id: foldmux::interface::RequestId(1),
        cache: foldmux::interface::CacheId(1),
        timeout: 900_000,
        send_before: 0,
        source: foldmux::interface::CacheId(2),
        retention_rank: 3,
        max_age: 0,
        collapse: false,
        only_if_cached: false,
        revalidate: true,
    };
    old.tighten(&mut fetch);
    assert_eq!(
        (fetch.timeout, fetch.retention_rank, fetch.revalidate),
        (200_000, 1, true)
    );
    assert_eq!(
        [0, 1, 2].map(|_| old.permit_attempt()),
        [
            AttemptPermission::Now,
            AttemptPermission::Now,
            AttemptPermission::Denied
        ]
    );
    drop(old);
    assert_eq!(limiter.occupancy(), occupancy(0, 0));
}

#[test]
fn a_repeat_begins_within_the_window_of_its_limits_and_of_the_module() {
    const KEYED: usize = 2;
    let repeats = vec![
        RetrySafety::Idempotent,
        RetrySafety::Idempotent,
        RetrySafety::Keyed(foldmux::interface::KeyScope::All),
    ];
    let clock = Clock::default();
    let layer = |window_ms| LimitOverrides {
        max_attempts: Some(3),
        idempotency_window_ms: Some(window_ms),
        concurrency: Some(ConcurrencyLimit::Fixed { max: 4 }),
        ..LimitOverrides::default()
    };
    let defaults = Some(Located {
        at: "f:1".into(),
        value: layer(2_000),
    });
    let table = LimitSet::new(
        &Account::default(),
        &LimitsFile {
            defaults,
            ..LimitsFile::default()
        },
    );
    let limiter = Limiter::new(table, clock.clone(), "turku".into(), repeats);
    let bound = |class, never_ran, by| {
        let mut held = held(limiter.admit(class, "", "msgpack", Box::new(|_| ())));
        let began = Instant::now();
        held.record_attempt(began, false, never_ran);
        let mut fetch = Fetch {
            id: foldmux::interface::RequestId(1),
            cache: foldmux::interface::CacheId(1),
            timeout: 0,
            send_before: by,
            source: foldmux::interface::CacheId(1),
            retention_rank: 0,
            max_age: 0,
            collapse: false,
            only_if_cached: false,
            revalidate: false,
        };
        held.tighten(&mut fetch);
        (fetch.send_before, clock.at(began) + 2_000_000)
    };
    let (by, window) = bound(KEYED, false, 0);
    assert_eq!(by, window);
    let (by, window) = bound(KEYED, false, Time::MAX);
    assert_eq!(by, window);
    assert_eq!(bound(KEYED, false, 5).0, 5, "the earlier bound holds");
    assert_eq!(bound(KEYED, true, 0).0, 0, "nothing ran");
    assert_eq!(bound(0, false, 0).0, 0, "it may run again");
}
