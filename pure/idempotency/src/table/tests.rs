//! Which attempts of a key are granted, alone and over drawn sequences of faults.

use super::*;
use proptest::prelude::*;

const RULE: RetryPolicy = RetryPolicy {
    idempotency_window: 2_000,
    max_attempts: 4,
    send_window: 200,
    max_run_time: 300,
    retention: 10_000,
};

fn key(n: u8) -> KeyHash {
    KeyHash([n; 16])
}

fn go(table: &mut IdempotencyTable, now: Millis, shown: Option<&Token>) -> Result<Grant, Denied> {
    let grant = table.acquire(now, key(1), &RULE, shown)?;
    assert_eq!(
        table.acquire(now, key(1), &RULE, shown),
        Err(Denied::Pending)
    );
    table.issue(now, key(1), &RULE, &grant, 7, key(9));
    Ok(grant)
}

#[test]
fn no_attempt_while_one_may_run_and_none_outside_group_or_window() {
    let mut table = IdempotencyTable::new(8);
    assert_eq!(
        go(&mut table, 0, None),
        Ok(Grant::Anywhere {
            attempt: 0,
            first: 0,
            expires: 200
        })
    );
    assert_eq!(
        go(&mut table, 499, None),
        Err(Denied::InFlight { until: 500 })
    );
    // Nothing was heard of it: it may have run, in group 7.
    let within = Grant::Within {
        attempt: 1,
        group: 7,
        first: 0,
        expires: 700,
    };
    assert_eq!(go(&mut table, 500, None), Ok(within));
    assert_eq!(
        table.record_end(key(1), 0, AttemptEnd::NotExecuted),
        None,
        "not the last attempt"
    );
    assert!(table
        .record_end(key(1), 1, AttemptEnd::MayHaveExecuted)
        .is_some());
    // The last moment at which a repeat is dropped bounds how long an attempt is good.
    let last = Grant::Within {
        attempt: 2,
        group: 7,
        first: 0,
        expires: 2_000,
    };
    assert_eq!(go(&mut table, 1_900, None), Ok(last));
    table.record_end(key(1), 2, AttemptEnd::NotExecuted);
    assert_eq!(go(&mut table, 2_000, None), Err(Denied::WindowExpired));
}

#[test]
fn what_is_proved_not_to_have_run_goes_anywhere_again() {
    let mut table = IdempotencyTable::new(8);
    go(&mut table, 0, None).unwrap();
    table.record_end(key(1), 0, AttemptEnd::NotExecuted);
    let again = Grant::Anywhere {
        attempt: 1,
        first: 5_000,
        expires: 5_200,
    };
    assert_eq!(go(&mut table, 5_000, None), Ok(again));
    for n in 1..4 {
        table.record_end(key(1), n, AttemptEnd::NotExecuted);
        let _ = go(&mut table, 5_001, None);
    }
    assert_eq!(go(&mut table, 5_002, None), Err(Denied::AttemptsExhausted));
}

#[test]
fn a_key_whose_entry_can_t_be_read_is_refused_until_its_repeats_can_come_no_more() {
    let mut table = IdempotencyTable::new(8);
    table.block_unreadable(key(1), 10_000);
    let token = Token {
        request: key(9),
        key: key(1),
        attempt: 3,
        group: 3,
        first: 9_000,
        expires: 9_900,
    };
    assert_eq!(go(&mut table, 0, None), Err(Denied::Unreadable));
    assert_eq!(
        go(&mut table, 9_999, Some(&token)),
        Err(Denied::Unreadable),
        "a token tells of one attempt alone"
    );
    assert!(Denied::Unreadable.may_have_run() && table.acquire(9_999, key(2), &RULE, None).is_ok());
    assert!(go(&mut table, 10_000, None).is_ok());
    assert_eq!(
        table.take_evicted(),
        vec![key(1)],
        "its store lets go of it as well"
    );
}

#[test]
fn a_full_ledger_refuses_and_forgets_nothing_that_could_come_back() {
    let mut table = IdempotencyTable::new(1);
    go(&mut table, 0, None).unwrap();
    assert_eq!(
        table.acquire(1, key(2), &RULE, None),
        Err(Denied::TableFull)
    );
    assert_eq!(
        go(&mut table, 1, None),
        Err(Denied::InFlight { until: 500 })
    );
    // Its time is over: the place is free.
    assert!(table.acquire(10_500, key(2), &RULE, None).is_ok());
}

#[test]
fn a_token_is_judged_by_what_is_known_and_else_by_what_it_says() {
    let token = |attempt, n| Token {
        request: key(9),
        key: key(n),
        attempt,
        group: 3,
        first: 1_000,
        expires: 1_200,
    };
    // Another instance issued_at it out; here nothing is known of it.
    let mut other = IdempotencyTable::new(8);
    assert_eq!(
        go(&mut other, 1_100, Some(&token(0, 1))),
        Err(Denied::InFlight { until: 1_500 })
    );
    let within = Grant::Within {
        attempt: 1,
        group: 3,
        first: 1_000,
        expires: 1_700,
    };
    assert_eq!(go(&mut other, 1_500, Some(&token(0, 1))), Ok(within));
    assert_eq!(
        go(&mut other, 1_501, Some(&token(0, 1))),
        Err(Denied::Superseded)
    );
    assert_eq!(
        go(&mut other, 1_501, Some(&token(1, 2))),
        Err(Denied::KeyMismatch)
    );
    assert_eq!(
        go(&mut IdempotencyTable::new(8), 3_000, Some(&token(0, 1))),
        Err(Denied::WindowExpired)
    );
}

#[test]
fn a_key_that_is_being_placed_is_taken_and_counts_until_it_is_let_go() {
    let mut table = IdempotencyTable::new(1);
    assert!(table.acquire(0, key(1), &RULE, None).is_ok());
    assert_eq!(table.acquire(0, key(1), &RULE, None), Err(Denied::Pending));
    assert_eq!(
        table.acquire(0, key(2), &RULE, None),
        Err(Denied::TableFull)
    );
    table.release(key(1));
    assert!(table.acquire(0, key(2), &RULE, None).is_ok() && table.pending() == 1);
    // What is forgotten is told once, for the store.
    let grant = Grant::Anywhere {
        attempt: 0,
        first: 0,
        expires: 200,
    };
    table.issue(0, key(2), &RULE, &grant, 1, key(9));
    assert!(table.acquire(20_000, key(3), &RULE, None).is_ok());
    assert_eq!(
        (table.take_evicted(), table.take_evicted()),
        (vec![key(2)], vec![])
    );
}

proptest! {
    #[test]
    fn an_entry_comes_back_from_its_bytes_as_it_was(
        attempt: u8, in_flight: bool, running_until: u64, may_have_run: Option<(u64, u32)>, group: u32, issued_at: u64, evict_at: u64, mark: [u8; 16],
    ) {
        let request = KeyHash(mark);
        let entry = Entry { attempt, in_flight, running_until, may_have_run, request, group, issued_at, evict_at };
        let bytes = entry.to_bytes();
        prop_assert_eq!(Entry::from_bytes(&bytes), Some(entry));
        prop_assert_eq!(Entry::from_bytes(&bytes[1..]), None);
    }

    #[test]
    fn any_bytes_are_an_entry_or_none(bytes in proptest::collection::vec(any::<u8>(), 0..60)) {
        if let Some(entry) = Entry::from_bytes(&bytes) {
            prop_assert_eq!(entry.to_bytes().len(), bytes.len());
        }
    }
}

/// What a caller and the world do.
#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u16),
    /// Asks at an instance, with the last token or without.
    Ask {
        at: bool,
        token: bool,
    },
    /// The attempt that is out arrives, if its time is not over, and runs; or it is lost.
    Arrives(bool),
    /// Its end becomes known, truly or not at all.
    Known(bool),
    /// Asks at an instance without a token, and the answer never comes: it was dropped there, or lost on its way.
    Lost {
        at: bool,
        dropped: bool,
    },
    /// The first instance dies and comes back with its store.
    Crash,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1u16..900).prop_map(Step::Wait),
        4 => (any::<bool>(), any::<bool>()).prop_map(|(at, token)| Step::Ask { at, token }),
        3 => any::<bool>().prop_map(Step::Arrives),
        2 => any::<bool>().prop_map(Step::Known),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(at, dropped)| Step::Lost { at, dropped }),
        1 => Just(Step::Crash),
    ];
    proptest::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// An archive that drops repeats for the window after the first run never runs the key twice, and no two
    /// attempts are out at once, whatever is lost, and wherever the caller asks: at the second instance with the
    /// token of its last attempt.
    #[test]
    fn no_key_runs_twice(steps in steps()) {
        let mut instances = [IdempotencyTable::new(4), IdempotencyTable::new(4)];
        // What the first instance's store has: entries as they were before their attempts went.
        let mut stored: HashMap<KeyHash, Entry> = HashMap::new();
        let mut now = 1_000u64;
        // The attempt that is out: its token, when it arrived, and which instance issued_at it out.
        let mut out: Option<(Token, Option<Millis>, usize)> = None;
        let mut last: Option<(Token, usize)> = None;
        let (mut first_run, mut runs) = (None::<(Millis, u32)>, 0);
        for step in steps {
            match step {
                Step::Wait(ms) => now += ms as u64,
                Step::Ask { at, token } => {
                    let at = at as usize;
                    // Only the instance that issued_at the last attempt out knows of it without its token, and
                    // callers don't repeat for ever.
                    let shown = last.filter(|(_, from)| token || *from != at).map(|(token, _)| token);
                    let given_up = |(t, _): (Token, usize)| now >= t.expires + RULE.retention;
                    if last.is_some_and(given_up) {
                        continue;
                    }
                    let Ok(grant) = instances[at].acquire(now, key(1), &RULE, shown.as_ref()) else { continue };
                    if let Some((token, arrived, _)) = out {
                        prop_assert!(now >= arrived.map_or(token.expires, |t| t + RULE.max_run_time), "two at once");
                    }
                    let (attempt, group, first, expires) = match grant {
                        Grant::Anywhere { attempt, first, expires } => (attempt, 5 + attempt as u32, first, expires),
                        Grant::Within { attempt, group, first, expires } => (attempt, group, first, expires),
                    };
                    let entry = instances[at].issue(now, key(1), &RULE, &grant, group, key(9));
                    if at == 0 {
                        stored.insert(key(1), entry);
                    }
                    let token = Token { request: key(9), key: key(1), attempt, group, first, expires };
                    (out, last) = (Some((token, None, at)), Some((token, at)));
                }
                Step::Arrives(runs_now) => {
                    let Some((token, arrived, _)) = &mut out else { continue };
                    if now >= token.expires || arrived.is_some() || !runs_now {
                        continue;
                    }
                    *arrived = Some(now);
                    match first_run {
                        Some((at, group)) if now < at + RULE.idempotency_window && group == token.group => {}
                        _ => {
                            runs += 1;
                            first_run = first_run.or(Some((now, token.group)));
                        }
                    }
                    prop_assert!(runs <= 1, "it ran twice");
                }
                Step::Known(told) => {
                    let Some((token, arrived, at)) = out.filter(|_| told) else { continue };
                    // That it never ran is known only if it never can.
                    let end = match arrived {
                        Some(_) => AttemptEnd::MayHaveExecuted,
                        None if now >= token.expires => AttemptEnd::NotExecuted,
                        None => continue,
                    };
                    instances[at].record_end(key(1), token.attempt, end);
                    out = None;
                }
                // Before its first token a caller has none to show.
                Step::Lost { at, dropped } if last.is_none() => {
                    let at = at as usize;
                    let Ok(grant) = instances[at].acquire(now, key(1), &RULE, None) else { continue };
                    let (attempt, group) = match grant {
                        Grant::Anywhere { attempt, .. } => (attempt, 5 + attempt as u32),
                        Grant::Within { attempt, group, .. } => (attempt, group),
                    };
                    let entry = instances[at].issue(now, key(1), &RULE, &grant, group, key(8));
                    let ended = if dropped { instances[at].record_end(key(1), attempt, AttemptEnd::NotExecuted) } else { None };
                    if at == 0 {
                        stored.insert(key(1), ended.unwrap_or(entry));
                    }
                }
                Step::Lost { .. } => {}
                Step::Crash => {
                    instances[0] = IdempotencyTable::restored(4, stored.iter().map(|(k, e)| (*k, *e)));
                }
            }
        }
    }
}
