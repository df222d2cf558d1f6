//! Slots of pools, the form of a record, numbers and lists of a process, drains and purges.

use crate::*;

#[test]
fn one_slot_too_many_is_found_by_pool() {
    let cap = |pool: &str, slots| Event::Cap {
        pool: pool.into(),
        slots,
    };
    let taken = |pool: &str, n| Event::Taken {
        pool: pool.into(),
        by: Some(n),
    };
    let given = |pool: &str, n| Event::Given {
        pool: pool.into(),
        by: Some(n),
    };
    let full = [
        cap("a", 2),
        taken("a", 0),
        taken("a", 1),
        taken("b", 1),
        given("a", 0),
        taken("a", 1),
    ];
    assert_eq!(broken(&full), []);
    assert_eq!(
        broken(&[&full[..], &[taken("a", 2)]].concat()),
        [("cap overrun", 1)]
    );
}

#[test]
fn a_record_reads_back_as_it_was_written_and_percentiles_are_of_the_nearest_rank() {
    let record = Record::default();
    for event in [
        asked("a", 0, false),
        ran("a", 0),
        served("a", 0, "one"),
        sent(3, 4),
        heard(1, 3, 4),
    ] {
        record.add(event);
    }
    let mut bytes = Vec::new();
    record.write(&mut bytes).unwrap();
    assert_eq!(record::read(&bytes[..]).unwrap(), record.lines().unwrap());
    let times: Vec<u64> = (1..=200).rev().collect();
    assert_eq!(
        [0.0, 0.5, 0.99, 1.0].map(|part| percentile(&times, part)),
        [1, 100, 198, 200].map(Some)
    );
    assert_eq!(percentile(&[], 0.5), None);
}

#[test]
fn own_numbers_and_lists_go_on_and_never_back() {
    let own = |number| Event::Numbered {
        stream: "journal".into(),
        reader: 1,
        number,
    };
    assert!(verdict(&[own(1), own(2), own(3)]).sound());
    assert_eq!(
        broken(&[own(1), own(1)]),
        [("numbers twice or out of order", 1)]
    );
    assert_eq!(broken(&[own(1), own(3)]), [("gaps untold", 1)]);
    let list = |index| Event::Listed {
        stream: "journal".into(),
        reader: 1,
        index,
    };
    assert!(verdict(&[list(2), list(2), list(5)]).sound());
    assert_eq!(
        broken(&[list(3), list(2)]),
        [("numbers twice or out of order", 1)]
    );
}

#[test]
fn a_drained_cache_that_is_asked_and_a_purged_object_without_a_bound_are_told_by_their_time() {
    let came = |object, max_age_ms| Event::Came {
        cache: 1,
        by: Some(0),
        object,
        max_age_ms,
    };
    let events = [
        came(7, None),
        Event::Drained { cache: 1 },
        came(8, None),
        Event::Purged { object: 9 },
        came(9, Some(1_000)),
        came(9, None),
    ];
    let seen = verdict(&events);
    assert_eq!(
        (seen.after_drain, seen.after_purge),
        (vec![1_000, 3_000, 4_000], vec![2_000])
    );
}
