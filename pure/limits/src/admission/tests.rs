//! Admission, queueing and a replacement of the limits in service.

use super::*;
use crate::concurrency::ConcurrencyLimit;
use crate::overrides::LimitOverrides;
use crate::resolve::{ClassOverrides, LimitsFile, Located};
use crate::Account;
use proptest::prelude::*;

fn occupancy(in_flight: usize, queued: usize) -> Occupancy {
    Occupancy {
        in_flight: in_flight as u64,
        queued: queued as u64,
    }
}

fn limits(capacity: u64, queue: u64, class: &str) -> LimitSet {
    let overrides = LimitOverrides {
        concurrency: Some(ConcurrencyLimit::Fixed { max: capacity }),
        queue_capacity: Some(queue),
        queue_timeout_ms: Some(100),
        retry_budget: Some("b".into()),
        ..LimitOverrides::default()
    };
    let budget = RetryBudget {
        name: "b".into(),
        percent: 10.0,
        burst: 2,
        parent: None,
    };
    let located = |value| Located {
        at: "f:1".to_string(),
        value,
    };
    let file = LimitsFile {
        classes: vec![Located {
            at: "f:2".into(),
            value: ClassOverrides {
                class: class.to_string(),
                overrides,
            },
        }],
        budgets: vec![located(budget)],
        ..LimitsFile::default()
    };
    LimitSet::new(&Account::default(), &file)
}

#[test]
fn capacity_is_given_in_order_and_budgets_bound_retries() {
    let limits = limits(1, 2, "mix-video");
    let mut control = AdmissionControl::new(&limits);
    let key = LimitKey::from(&*limits.by_class[0][0]);
    let answers: Vec<Admission> = (0..4).map(|id| control.admit(0, &key, id)).collect();
    assert_eq!(
        answers,
        [
            Admission::Admitted,
            Admission::Queued,
            Admission::Queued,
            Admission::Rejected
        ]
    );
    assert_eq!(
        (control.release(10, &key), control.occupancy()),
        (Some(1), occupancy(1, 1))
    );
    control.cancel(&key, 2);
    assert_eq!(
        (control.release(20, &key), control.occupancy()),
        (None, occupancy(0, 0))
    );
    assert!(control.try_retry(&key) && control.try_retry(&key) && !control.try_retry(&key));
    (0..10).for_each(|_| control.record_first_attempt(&key));
    assert!(control.try_retry(&key));
    // Another class has no bounds.
    let other = LimitKey::from(&*limits.by_class[1][0]);
    assert!(
        (0..100)
            .all(|id| control.admit(0, &other, id) == Admission::Admitted
                && control.try_retry(&other))
    );
}

#[test]
fn a_flood_of_one_class_takes_no_capacity_of_another() {
    let layers = ["formula-card", "mix-record"].map(|class| {
        let concurrency = Some(ConcurrencyLimit::Fixed { max: 5 });
        Located {
            at: "f:1".to_string(),
            value: ClassOverrides {
                class: class.to_string(),
                overrides: LimitOverrides {
                    concurrency,
                    ..LimitOverrides::default()
                },
            },
        }
    });
    let file = LimitsFile {
        classes: layers.to_vec(),
        ..LimitsFile::default()
    };
    let limits = LimitSet::new(&Account::default(), &file);
    let mut control = AdmissionControl::new(&limits);
    let [card, record] = [1, 2].map(|class| LimitKey::from(&*limits.by_class[class][0]));
    let rejected = (0..1_000)
        .filter(|id| control.admit(0, &card, *id) == Admission::Rejected)
        .count();
    assert_eq!(rejected, 995);
    assert!((0..5).all(|id| control.admit(0, &record, 5_000 + id) == Admission::Admitted));
}

#[test]
fn replaced_limits_keep_requests_in_flight_and_queued() {
    let before = limits(1, 4, "mix-video");
    let mut control = AdmissionControl::new(&before);
    let key = LimitKey::from(&*before.by_class[0][0]);
    (0..4).for_each(|id| {
        control.admit(0, &key, id);
    });
    // Capacity for two, and one in the queue.
    let Replaced { rejected, admitted } = control.replace_limits(5, &limits(2, 1, "mix-video"));
    assert_eq!(
        (rejected, admitted, control.occupancy()),
        (vec![2, 3], vec![1], occupancy(2, 0))
    );
    assert_eq!(control.admit(5, &key, 9), Admission::Queued);
    // The limits are removed: their requests end in the retired pool.
    let Replaced { rejected, .. } = control.replace_limits(6, &limits(2, 1, "mix-record"));
    assert_eq!((rejected, control.occupancy()), (vec![9], occupancy(2, 0)));
    assert_eq!(
        (
            control.release(7, &key),
            control.release(8, &key),
            control.occupancy()
        ),
        (None, None, occupancy(0, 0))
    );
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive,
    End,
    Advance(u8),
    Replace(u8, u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Arrive),
        3 => Just(Step::End),
        2 => any::<u8>().prop_map(Step::Advance),
        1 => (1u8..5, 0u8..5).prop_map(|(capacity, queue)| Step::Replace(capacity, queue)),
    ];
    proptest::collection::vec(step, 0..200)
}

proptest! {
    /// Whatever arrives, ends, expires and is replaced: each request ends once, none queued while there is capacity, and
    /// all capacity is released.
    #[test]
    fn all_capacity_is_released_and_no_request_waits_for_ever(steps in steps()) {
        let mut now = 0;
        let mut max_in_flight = 2;
        let first = limits(2, 3, "mix-video");
        let mut control = AdmissionControl::new(&first);
        let key = LimitKey::from(&*first.by_class[0][0]);
        let (mut in_flight, mut queued, mut next) = (Vec::new(), Vec::new(), 0u64);
        for step in steps {
            match step {
                Step::Arrive => {
                    next += 1;
                    match control.admit(now, &key, next) {
                        Admission::Admitted => in_flight.push(next),
                        Admission::Queued => queued.push(next),
                        Admission::Rejected => {}
                    }
                }
                Step::End if in_flight.is_empty() => {}
                Step::End => {
                    in_flight.pop();
                    if let Some(id) = control.release(now, &key) {
                        prop_assert!(queued.contains(&id));
                        queued.retain(|other| *other != id);
                        in_flight.push(id);
                    }
                }
                Step::Advance(ms) => {
                    now += ms as u64 * 1_000;
                    let expired = control.expire(now);
                    prop_assert!(expired.iter().all(|id| queued.contains(id)));
                    queued.retain(|id| !expired.contains(id));
                }
                Step::Replace(capacity, queue) => {
                    let Replaced { rejected, admitted } = control.replace_limits(now, &limits(capacity as u64, queue as u64, "mix-video"));
                    max_in_flight = capacity as usize;
                    queued.retain(|id| !rejected.contains(id) && !admitted.contains(id));
                    in_flight.extend(admitted);
                }
            }
            prop_assert_eq!(control.occupancy(), occupancy(in_flight.len(), queued.len()));
            prop_assert!(queued.is_empty() || in_flight.len() >= max_in_flight);
        }
        while in_flight.pop().is_some() {
            in_flight.extend(control.release(now, &key));
        }
        prop_assert_eq!(control.occupancy(), occupancy(0, 0));
    }
}
