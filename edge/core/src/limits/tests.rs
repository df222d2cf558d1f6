//! Concurrency slots passed on to queued requests, reloads of the table, and the idempotency window.

use super::*;
use foldmux::interface::{Fetch, Time};
use foldmux_limits::concurrency::ConcurrencyLimit;
use foldmux_limits::overrides::LimitOverrides;
use foldmux_limits::resolve::{ClassOverrides, LimitSet, LimitsFile, Located};
use foldmux_limits::Account;
use std::sync::mpsc::channel;
use std::time::Instant;

fn table(slots: u64) -> LimitSet {
    let layer = LimitOverrides {
        concurrency: Some(ConcurrencyLimit::Fixed { max: slots }),
        queue_capacity: Some(4),
        queue_timeout_ms: Some(60_000),
        max_attempts: Some(2),
        retention_rank: Some(1),
        attempt_timeout_ms: Some(200),
        ..LimitOverrides::default()
    };
    let overrides = Located {
        at: "f:1".into(),
        value: ClassOverrides {
            class: "formula-card".to_string(),
            overrides: layer,
        },
    };
    LimitSet::new(
        &Account::default(),
        &LimitsFile {
            classes: vec![overrides],
            ..LimitsFile::default()
        },
    )
}

fn limiter() -> Arc<Limiter> {
    let retry_safety_by_class = vec![
        RetrySafety::Idempotent,
        RetrySafety::Idempotent,
        RetrySafety::Keyed(foldmux::interface::KeyScope::All),
    ];
    Limiter::new(
        table(1),
        Clock::default(),
        "turku".into(),
        retry_safety_by_class,
    )
}

fn occupancy(open: u64, queued: u64) -> Occupancy {
    Occupancy { open, queued }
}

/// Returns the limits of a request that was admitted or queued.
fn limits_of(admission: Admission) -> RequestLimits {
    match admission {
        Admission::Admitted(limits) | Admission::Queued(limits, _) => limits,
        _ => panic!("the request was neither admitted nor queued"),
    }
}

#[test]
fn a_released_slot_goes_to_a_queued_request_also_if_its_grant_was_never_taken() {
    let limiter = limiter();
    let (sender, queue_ends) = channel();
    let admit = || {
        let sender = sender.clone();
        limiter.admit(
            1,
            "",
            "msgpack",
            Box::new(move |end| {
                let _ = sender.send(end);
            }),
        )
    };
    assert!(
        matches!(
            limiter.admit(0, "", "msgpack", Box::new(|_| ())),
            Admission::Unlimited
        ),
        "no limits are set for class 0"
    );
    let first = limits_of(admit());
    let (second, third) = (limits_of(admit()), limits_of(admit()));
    assert_eq!(limiter.occupancy(), occupancy(1, 2));
    drop(first);
    assert_eq!(
        (queue_ends.recv(), limiter.occupancy()),
        (Ok(QueueEnd::Admitted), occupancy(1, 1))
    );
    // The second was granted a slot, and its client disconnected before it took the slot.
    drop(second);
    assert_eq!(
        (queue_ends.recv(), limiter.occupancy()),
        (Ok(QueueEnd::Admitted), occupancy(1, 0))
    );
    drop(third);
    assert_eq!(limiter.occupancy(), occupancy(0, 0));
}

#[test]
fn a_reloaded_table_applies_to_new_requests_and_not_to_open_ones() {
    let limiter = limiter();
    let mut open = limits_of(limiter.admit(1, "", "dns", Box::new(|_| ())));
    limiter.replace_table(LimitSet::new(&Account::default(), &LimitsFile::default()));
    assert!(matches!(
        limiter.admit(1, "", "dns", Box::new(|_| ())),
        Admission::Unlimited
    ));
    let mut fetch = Fetch {
        id: foldmux::interface::RequestId(1),
        cache: foldmux::interface::CacheId(1),
        timeout: 900_000,
        is_idempotent: true,
        send_before: 0,
        source: foldmux::interface::CacheId(2),
        retention_rank: 3,
        max_age: 0,
        collapse: false,
        only_if_cached: false,
        revalidate: true,
    };
    open.tighten(&mut fetch);
    assert_eq!(
        (fetch.timeout, fetch.retention_rank, fetch.revalidate),
        (200_000, 1, true)
    );
    assert_eq!(
        [0, 1, 2].map(|_| open.permit_attempt()),
        [
            AttemptPermission::Now,
            AttemptPermission::Now,
            AttemptPermission::Denied
        ]
    );
    drop(open);
    assert_eq!(limiter.occupancy(), occupancy(0, 0));
}

#[test]
fn a_retry_is_sent_within_the_idempotency_windows_of_its_limits_and_of_the_router() {
    const KEYED: usize = 2;
    let retry_safety_by_class = vec![
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
    let limiter = Limiter::new(table, clock.clone(), "turku".into(), retry_safety_by_class);
    let send_before = |class, never_executed, router_bound| {
        let mut limits = limits_of(limiter.admit(class, "", "msgpack", Box::new(|_| ())));
        let sent_at = Instant::now();
        limits.record_attempt(sent_at, false, never_executed);
        let mut fetch = Fetch {
            id: foldmux::interface::RequestId(1),
            cache: foldmux::interface::CacheId(1),
            timeout: 0,
            is_idempotent: false,
            send_before: router_bound,
            source: foldmux::interface::CacheId(1),
            retention_rank: 0,
            max_age: 0,
            collapse: false,
            only_if_cached: false,
            revalidate: false,
        };
        limits.tighten(&mut fetch);
        (fetch.send_before, clock.at(sent_at) + 2_000_000)
    };
    let (bound, window_end) = send_before(KEYED, false, 0);
    assert_eq!(bound, window_end);
    let (bound, window_end) = send_before(KEYED, false, Time::MAX);
    assert_eq!(bound, window_end);
    assert_eq!(
        send_before(KEYED, false, 5).0,
        5,
        "the earlier bound applies"
    );
    assert_eq!(send_before(KEYED, true, 0).0, 0, "nothing executed");
    assert_eq!(send_before(0, false, 0).0, 0, "the class is idempotent");
}
