//! Runs, answers and losses of keyed requests.

use crate::*;

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
