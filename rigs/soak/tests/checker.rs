//! Each rule finds the record that breaks it, and none is found in a good one.

use foldmux_soak::check::{check, Rule};
use foldmux_soak::record::{Answer, Attempt, Gone, Request};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(written: Instant) -> Request {
    let answers = vec![(Answer::Served, written + ms(100))];
    Request {
        id: 7,
        keyed: false,
        connection: 1,
        written,
        wait: ms(1_000),
        answers,
        gone: None,
        ended: None,
    }
}

fn attempt(at: Instant) -> Attempt {
    Attempt {
        id: 7,
        at,
        wait: ms(950),
        until: at + ms(20),
    }
}

fn rules(request: Request, attempts: &[Attempt]) -> Vec<Rule> {
    check(&[request], attempts)
        .into_iter()
        .map(|broken| broken.rule)
        .collect()
}

#[test]
fn a_request_with_one_answer_after_attempts_in_turn_breaks_nothing() {
    let now = Instant::now();
    assert_eq!(
        rules(request(now), &[attempt(now + ms(5)), attempt(now + ms(40))]),
        []
    );
    let refused = vec![(Answer::Refused, now + ms(1_540))];
    assert_eq!(
        rules(
            Request {
                answers: refused,
                ..request(now)
            },
            &[]
        ),
        []
    );
    let gone = Some((Gone::Forgot, now + ms(50)));
    assert_eq!(
        rules(
            Request {
                answers: vec![],
                gone,
                ..request(now)
            },
            &[attempt(now + ms(140))]
        ),
        []
    );
}

#[test]
fn an_end_without_an_answer_is_a_lost_request() {
    let now = Instant::now();
    let lost = Request {
        answers: vec![],
        ended: Some(now + ms(80)),
        ..request(now)
    };
    assert_eq!(rules(lost, &[]), [Rule::Lost]);
}

#[test]
fn an_answer_that_comes_too_late_or_never_is_told() {
    let now = Instant::now();
    assert_eq!(
        rules(
            Request {
                answers: vec![],
                ..request(now)
            },
            &[]
        ),
        [Rule::Unanswered]
    );
    let late = vec![(Answer::Served, now + ms(1_600))];
    assert_eq!(
        rules(
            Request {
                answers: late,
                ..request(now)
            },
            &[]
        ),
        [Rule::Unanswered]
    );
}

#[test]
fn a_second_answer_and_other_bytes_are_told() {
    let now = Instant::now();
    let twice = vec![
        (Answer::Served, now + ms(10)),
        (Answer::Failed, now + ms(12)),
    ];
    assert_eq!(
        rules(
            Request {
                answers: twice,
                ..request(now)
            },
            &[]
        ),
        [Rule::Twice]
    );
    let spoilt = vec![(Answer::Spoilt, now + ms(10))];
    assert_eq!(
        rules(
            Request {
                answers: spoilt,
                ..request(now)
            },
            &[]
        ),
        [Rule::Spoilt]
    );
}

#[test]
fn attempts_after_the_client_beyond_its_time_and_at_once_are_told() {
    let now = Instant::now();
    let gone = Some((Gone::Closed, now));
    let after = Attempt {
        wait: ms(100),
        ..attempt(now + ms(200))
    };
    assert_eq!(
        rules(
            Request {
                gone,
                ..request(now)
            },
            &[after]
        ),
        [Rule::AfterGone]
    );
    let long = Attempt {
        wait: ms(1_160),
        ..attempt(now)
    };
    assert_eq!(rules(request(now), &[long]), [Rule::Deadline]);
    let first = Attempt {
        until: now + ms(200),
        ..attempt(now)
    };
    assert_eq!(
        rules(request(now), &[first, attempt(now + ms(100))]),
        [Rule::AtOnce]
    );
}
