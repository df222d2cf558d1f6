//! The checker, on records made by hand: each invariant broken once, and the like of each unbroken.

use foldmux_harness::check::{percentile, read, Verdict};
use foldmux_harness::record::{self, Event, Line, Outcome, Record};

fn verdict(events: &[Event]) -> Verdict {
    let line = |(n, event): (usize, &Event)| Line {
        at: n as u64 * 1_000,
        event: event.clone(),
    };
    read(&events.iter().enumerate().map(line).collect::<Vec<_>>())
}

fn asked(key: &str, process: usize, again: bool) -> Event {
    Event::Asked {
        key: key.into(),
        process,
        covered: true,
        again,
    }
}

fn reached(key: &str, by: usize) -> Event {
    Event::Reached {
        key: key.into(),
        by: Some(by),
        term: None,
    }
}

fn ran(key: &str, by: usize) -> Event {
    Event::Ran {
        key: key.into(),
        by: Some(by),
        term: Some(1),
    }
}

fn served(key: &str, process: usize, result: &str) -> Event {
    Event::Answered {
        key: key.into(),
        process,
        outcome: Outcome::Served,
        result: result.into(),
    }
}

fn heard(reader: u64, epoch: u64, number: u64) -> Event {
    Event::Heard {
        stream: "news".into(),
        reader,
        epoch,
        number,
    }
}

fn sent(epoch: u64, number: u64) -> Event {
    Event::Sent {
        stream: "news".into(),
        epoch,
        number,
    }
}

/// The one invariant that is broken, by name.
fn broken(events: &[Event]) -> Vec<(&'static str, u64)> {
    verdict(events)
        .breaks()
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .collect()
}

#[test]
fn a_key_that_is_taken_over_once_is_sound_and_the_time_to_the_next_attempt_is_told() {
    let events = [
        asked("a", 0, false),
        reached("a", 0),
        Event::Killed { process: 0 },
        Event::CutOff {
            key: "a".into(),
            process: 0,
        },
        asked("a", 1, true),
        reached("a", 1),
        ran("a", 1),
        served("a", 1, "one"),
        served("a", 2, "one"),
    ];
    let seen = verdict(&events);
    assert!(seen.sound(), "{seen}");
    assert_eq!(
        (seen.keys, seen.covered, seen.again, seen.cut_off),
        (1, 1, 1, 1)
    );
    assert_eq!(seen.after_kill, [3_000]);
}

#[test]
fn a_second_run_is_found_and_an_uncovered_one_is_only_counted() {
    let twice = [
        asked("a", 0, false),
        reached("a", 0),
        ran("a", 0),
        ran("a", 1),
        served("a", 1, "two"),
    ];
    assert_eq!(broken(&twice), [("run twice", 1)]);
    let mut alone = twice.to_vec();
    alone[0] = Event::Asked {
        key: "a".into(),
        process: 0,
        covered: false,
        again: false,
    };
    let seen = verdict(&alone);
    assert!(seen.sound() && seen.run_twice_uncovered == 1, "{seen}");
    let dropped = [
        asked("a", 0, false),
        ran("a", 0),
        Event::Dropped {
            key: "a".into(),
            by: Some(1),
        },
    ];
    assert_eq!(verdict(&dropped).repeats, 1);
}

#[test]
fn a_covered_request_without_an_answer_is_lost_also_where_its_client_never_gave_up() {
    assert_eq!(
        broken(&[asked("a", 0, false), ran("a", 0)]),
        [("covered and lost", 1)]
    );
    assert_eq!(broken(&[asked("a", 0, false)]), [("covered and lost", 1)]);
    let (cut_off, given_up) = (
        Event::CutOff {
            key: "a".into(),
            process: 0,
        },
        Event::GaveUp { key: "a".into() },
    );
    let refused = Event::Refused {
        key: "a".into(),
        process: 0,
        wait_ms: 5,
    };
    let lost = [
        asked("a", 0, false),
        cut_off,
        refused.clone(),
        given_up.clone(),
    ];
    assert_eq!(
        broken(&lost),
        [("covered and lost", 1)],
        "a refusal is no answer to what was begun"
    );
    let away = verdict(&[asked("a", 0, false), refused, given_up]);
    assert!(away.sound() && away.turned_away == 1, "{away}");
}

#[test]
fn two_results_of_one_key_are_found_once_and_so_is_one_that_no_run_gave() {
    let two = [
        asked("a", 0, false),
        ran("a", 0),
        served("a", 0, "one"),
        served("a", 1, "two"),
    ];
    assert_eq!(broken(&two), [("two answers", 1)]);
    let failed = Event::Answered {
        key: "a".into(),
        process: 1,
        outcome: Outcome::Failed,
        result: "Failed".into(),
    };
    let turned = [
        asked("a", 0, false),
        ran("a", 0),
        served("a", 0, "one"),
        failed,
    ];
    assert_eq!(broken(&turned), [("two answers", 1)]);
    assert_eq!(
        broken(&[asked("a", 0, false), served("a", 0, "one")]),
        [("results that no run gave", 1)]
    );
}

#[test]
fn numbers_come_in_order_once_and_with_no_gap_untold() {
    let news = [sent(1, 1), sent(1, 2), sent(1, 3), sent(1, 4), sent(2, 1)];
    let with = |heard: &[Event]| broken(&[&news[..], heard].concat());
    let gap = |from, to| Event::Gap {
        stream: "news".into(),
        reader: 7,
        epoch: 1,
        from,
        to,
    };
    let whole = |number| Event::Snapshot {
        stream: "news".into(),
        reader: 7,
        epoch: 1,
        number,
    };
    assert_eq!(
        with(&[
            heard(7, 1, 2),
            heard(7, 1, 3),
            heard(7, 1, 4),
            heard(7, 2, 1)
        ]),
        []
    );
    assert_eq!(with(&[heard(7, 1, 1), gap(2, 3), heard(7, 1, 4)]), []);
    assert_eq!(with(&[heard(7, 1, 1), whole(3), heard(7, 1, 4)]), []);
    assert_eq!(with(&[heard(7, 1, 1), heard(8, 1, 1)]), [], "two readers");
    assert_eq!(
        with(&[heard(7, 1, 2), heard(7, 1, 2)]),
        [("numbers twice or out of order", 1)]
    );
    assert_eq!(
        with(&[heard(7, 1, 2), heard(7, 1, 1)]),
        [("numbers twice or out of order", 1)]
    );
    assert_eq!(
        with(&[heard(7, 2, 1), heard(7, 1, 4)]),
        [("numbers twice or out of order", 1)]
    );
    assert_eq!(
        with(&[heard(7, 1, 3), whole(2)]),
        [("numbers twice or out of order", 1)]
    );
    assert_eq!(
        with(&[heard(7, 1, 9)]),
        [("numbers twice or out of order", 1)],
        "never sent"
    );
    assert_eq!(
        with(&[heard(7, 1, 1), heard(7, 1, 3)]),
        [("gaps untold", 1)]
    );
    assert_eq!(
        with(&[heard(7, 1, 1), gap(3, 3), heard(7, 1, 4)]),
        [("gaps untold", 1)],
        "told too late"
    );
}

#[test]
fn streams_at_the_source_are_compared_with_the_sites_that_have_readers() {
    let site = |n: usize| format!("site{n}");
    let joined = |n: usize| Event::Joined {
        stream: "news".into(),
        site: site(n),
        reader: n as u64,
    };
    let opened = |n: usize| Event::Opened {
        stream: "news".into(),
        site: site(n),
    };
    let closed = |n: usize| Event::Closed {
        stream: "news".into(),
        site: site(n),
    };
    let even = [
        joined(0),
        joined(1),
        opened(0),
        opened(1),
        closed(0),
        opened(0),
    ];
    assert_eq!(verdict(&even).streams_beyond, 0);
    let handover = [joined(0), opened(0), opened(0), closed(0)];
    assert_eq!(verdict(&handover).streams_beyond, 1);
    assert_eq!(verdict(&[opened(0)]).streams_beyond, 1, "for nobody");
}

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
