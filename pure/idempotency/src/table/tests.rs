//! Which attempts of a key are granted, in single cases and over random sequences of faults.

use super::*;
use proptest::prelude::*;

const POLICY: RetryPolicy = RetryPolicy {
    idempotency_window: 2_000,
    max_attempts: 4,
    send_window: 200,
    max_run_time: 300,
    retention: 10_000,
};

fn key(n: u8) -> KeyHash {
    KeyHash([n; 16])
}

fn issue(
    table: &mut IdempotencyTable,
    now: Millis,
    presented: Option<&Token>,
) -> Result<Grant, Denied> {
    let grant = table.acquire(now, key(1), &POLICY, presented)?;
    assert_eq!(
        table.acquire(now, key(1), &POLICY, presented),
        Err(Denied::Pending)
    );
    table.issue(now, key(1), &POLICY, &grant, 7, key(9));
    Ok(grant)
}

#[test]
fn no_attempt_is_granted_while_one_may_run_or_outside_group_and_window() {
    let mut table = IdempotencyTable::new(8);
    assert_eq!(
        issue(&mut table, 0, None),
        Ok(Grant::Anywhere {
            attempt: 0,
            first: 0,
            expires: 200
        })
    );
    assert_eq!(
        issue(&mut table, 499, None),
        Err(Denied::InFlight { until: 500 })
    );
    // Its end is unknown: it may have run, in group 7.
    let within = Grant::Within {
        attempt: 1,
        group: 7,
        first: 0,
        expires: 700,
    };
    assert_eq!(issue(&mut table, 500, None), Ok(within));
    assert_eq!(
        table.record_end(key(1), 0, AttemptEnd::NotExecuted),
        None,
        "not the last attempt"
    );
    assert!(table
        .record_end(key(1), 1, AttemptEnd::MayHaveExecuted)
        .is_some());
    // An attempt may be sent only while the origin still drops duplicates.
    let last = Grant::Within {
        attempt: 2,
        group: 7,
        first: 0,
        expires: 2_000,
    };
    assert_eq!(issue(&mut table, 1_900, None), Ok(last));
    table.record_end(key(1), 2, AttemptEnd::NotExecuted);
    assert_eq!(issue(&mut table, 2_000, None), Err(Denied::WindowExpired));
}

#[test]
fn after_an_attempt_that_did_not_run_any_group_is_granted() {
    let mut table = IdempotencyTable::new(8);
    issue(&mut table, 0, None).unwrap();
    table.record_end(key(1), 0, AttemptEnd::NotExecuted);
    let again = Grant::Anywhere {
        attempt: 1,
        first: 5_000,
        expires: 5_200,
    };
    assert_eq!(issue(&mut table, 5_000, None), Ok(again));
    for n in 1..4 {
        table.record_end(key(1), n, AttemptEnd::NotExecuted);
        let _ = issue(&mut table, 5_001, None);
    }
    assert_eq!(
        issue(&mut table, 5_002, None),
        Err(Denied::AttemptsExhausted)
    );
}

#[test]
fn a_key_with_an_unreadable_entry_is_rejected_until_no_retry_can_come() {
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
    assert_eq!(issue(&mut table, 0, None), Err(Denied::Unreadable));
    assert_eq!(
        issue(&mut table, 9_999, Some(&token)),
        Err(Denied::Unreadable),
        "a token proves one attempt only"
    );
    assert!(
        Denied::Unreadable.may_have_run() && table.acquire(9_999, key(2), &POLICY, None).is_ok()
    );
    assert!(issue(&mut table, 10_000, None).is_ok());
    assert_eq!(
        table.take_evicted(),
        vec![key(1)],
        "the store removes it as well"
    );
}

#[test]
fn a_full_table_rejects_new_keys_and_evicts_none_that_could_be_retried() {
    let mut table = IdempotencyTable::new(1);
    issue(&mut table, 0, None).unwrap();
    assert_eq!(
        table.acquire(1, key(2), &POLICY, None),
        Err(Denied::TableFull)
    );
    assert_eq!(
        issue(&mut table, 1, None),
        Err(Denied::InFlight { until: 500 })
    );
    // The first key is evicted, so the table has room.
    assert!(table.acquire(10_500, key(2), &POLICY, None).is_ok());
}

#[test]
fn a_token_counts_where_nothing_is_known_of_its_key() {
    let token = |attempt, n| Token {
        request: key(9),
        key: key(n),
        attempt,
        group: 3,
        first: 1_000,
        expires: 1_200,
    };
    // Another instance issued it; here nothing is known of it.
    let mut other = IdempotencyTable::new(8);
    assert_eq!(
        issue(&mut other, 1_100, Some(&token(0, 1))),
        Err(Denied::InFlight { until: 1_500 })
    );
    let within = Grant::Within {
        attempt: 1,
        group: 3,
        first: 1_000,
        expires: 1_700,
    };
    assert_eq!(issue(&mut other, 1_500, Some(&token(0, 1))), Ok(within));
    assert_eq!(
        issue(&mut other, 1_501, Some(&token(0, 1))),
        Err(Denied::Superseded)
    );
    assert_eq!(
        issue(&mut other, 1_501, Some(&token(1, 2))),
        Err(Denied::KeyMismatch)
    );
    assert_eq!(
        issue(&mut IdempotencyTable::new(8), 3_000, Some(&token(0, 1))),
        Err(Denied::WindowExpired)
    );
}

#[test]
fn a_granted_key_is_reserved_and_counts_until_it_is_released() {
    let mut table = IdempotencyTable::new(1);
    assert!(table.acquire(0, key(1), &POLICY, None).is_ok());
    assert_eq!(
        table.acquire(0, key(1), &POLICY, None),
        Err(Denied::Pending)
    );
    assert_eq!(
        table.acquire(0, key(2), &POLICY, None),
        Err(Denied::TableFull)
    );
    table.release(key(1));
    assert!(table.acquire(0, key(2), &POLICY, None).is_ok() && table.pending() == 1);
    // An evicted key is returned once, for the store.
    let grant = Grant::Anywhere {
        attempt: 0,
        first: 0,
        expires: 200,
    };
    table.issue(0, key(2), &POLICY, &grant, 1, key(9));
    assert!(table.acquire(20_000, key(3), &POLICY, None).is_ok());
    assert_eq!(
        (table.take_evicted(), table.take_evicted()),
        (vec![key(2)], vec![])
    );
}

proptest! {
    #[test]
    fn an_entry_is_decoded_from_its_bytes_as_it_was(
        attempt: u8, in_flight: bool, running_until: u64, may_have_run: Option<(u64, u32)>, group: u32, issued_at: u64, evict_at: u64, hash: [u8; 16],
    ) {
        let request = KeyHash(hash);
        let entry = Entry { attempt, in_flight, running_until, may_have_run, request, group, issued_at, evict_at };
        let bytes = entry.to_bytes();
        prop_assert_eq!(Entry::from_bytes(&bytes), Some(entry));
        prop_assert_eq!(Entry::from_bytes(&bytes[1..]), None);
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..60)) {
        if let Some(entry) = Entry::from_bytes(&bytes) {
            prop_assert_eq!(entry.to_bytes().len(), bytes.len());
        }
    }
}

/// An event of the test: what callers, the network and instances do.
#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u16),
    /// A request at one of the two instances (`at`: the second), with the last token or without.
    Request {
        at: bool,
        token: bool,
    },
    /// The attempt in flight arrives, unless it has expired, and runs; or it is lost.
    Arrives(bool),
    /// The end of the attempt in flight becomes known, or does not.
    EndKnown(bool),
    /// A request without a token whose response is lost; if `dropped`, the instance never sent the attempt.
    ResponseLost {
        at: bool,
        dropped: bool,
    },
    /// The first instance crashes and restarts with its store.
    Crash,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1u16..900).prop_map(Step::Wait),
        4 => (any::<bool>(), any::<bool>()).prop_map(|(at, token)| Step::Request { at, token }),
        3 => any::<bool>().prop_map(Step::Arrives),
        2 => any::<bool>().prop_map(Step::EndKnown),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(at, dropped)| Step::ResponseLost { at, dropped }),
        1 => Just(Step::Crash),
    ];
    proptest::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// An archive that drops duplicates for the window after the first run never runs the key twice, and no two attempts
    /// are in flight at once, whatever is lost and whichever instance the caller asks. At an instance that did not issue
    /// the last attempt it presents that attempt's token.
    #[test]
    fn no_key_runs_twice(steps in steps()) {
        let mut instances = [IdempotencyTable::new(4), IdempotencyTable::new(4)];
        // The first instance's store, with entries as they were before their attempts were sent.
        let mut stored: HashMap<KeyHash, Entry> = HashMap::new();
        let mut now = 1_000u64;
        // The attempt in flight: its token, when it arrived, and which instance issued it.
        let mut in_flight_attempt: Option<(Token, Option<Millis>, usize)> = None;
        let mut last: Option<(Token, usize)> = None;
        let (mut first_run, mut runs) = (None::<(Millis, u32)>, 0);
        for step in steps {
            match step {
                Step::Wait(ms) => now += ms as u64,
                Step::Request { at, token } => {
                    let at = at as usize;
                    // Only the instance that issued the last attempt knows of it without its token, and callers stop
                    // retrying after the retention.
                    let presented = last.filter(|(_, from)| token || *from != at).map(|(token, _)| token);
                    let given_up = |(t, _): (Token, usize)| now >= t.expires + POLICY.retention;
                    if last.is_some_and(given_up) {
                        continue;
                    }
                    let Ok(grant) = instances[at].acquire(now, key(1), &POLICY, presented.as_ref()) else { continue };
                    if let Some((token, arrived, _)) = in_flight_attempt {
                        prop_assert!(now >= arrived.map_or(token.expires, |t| t + POLICY.max_run_time), "two attempts at once");
                    }
                    let (attempt, group, first, expires) = match grant {
                        Grant::Anywhere { attempt, first, expires } => (attempt, 5 + attempt as u32, first, expires),
                        Grant::Within { attempt, group, first, expires } => (attempt, group, first, expires),
                    };
                    let entry = instances[at].issue(now, key(1), &POLICY, &grant, group, key(9));
                    if at == 0 {
                        stored.insert(key(1), entry);
                    }
                    let token = Token { request: key(9), key: key(1), attempt, group, first, expires };
                    (in_flight_attempt, last) = (Some((token, None, at)), Some((token, at)));
                }
                Step::Arrives(runs_now) => {
                    let Some((token, arrived, _)) = &mut in_flight_attempt else { continue };
                    if now >= token.expires || arrived.is_some() || !runs_now {
                        continue;
                    }
                    *arrived = Some(now);
                    match first_run {
                        Some((at, group)) if now < at + POLICY.idempotency_window && group == token.group => {}
                        _ => {
                            runs += 1;
                            first_run = first_run.or(Some((now, token.group)));
                        }
                    }
                    prop_assert!(runs <= 1, "it ran twice");
                }
                Step::EndKnown(becomes_known) => {
                    let Some((token, arrived, at)) = in_flight_attempt.filter(|_| becomes_known) else { continue };
                    // An attempt is known not to have run only once it can no longer arrive.
                    let end = match arrived {
                        Some(_) => AttemptEnd::MayHaveExecuted,
                        None if now >= token.expires => AttemptEnd::NotExecuted,
                        None => continue,
                    };
                    instances[at].record_end(key(1), token.attempt, end);
                    in_flight_attempt = None;
                }
                // Only a caller without its first token asks without one.
                Step::ResponseLost { at, dropped } if last.is_none() => {
                    let at = at as usize;
                    let Ok(grant) = instances[at].acquire(now, key(1), &POLICY, None) else { continue };
                    let (attempt, group) = match grant {
                        Grant::Anywhere { attempt, .. } => (attempt, 5 + attempt as u32),
                        Grant::Within { attempt, group, .. } => (attempt, group),
                    };
                    let entry = instances[at].issue(now, key(1), &POLICY, &grant, group, key(8));
                    let ended = if dropped { instances[at].record_end(key(1), attempt, AttemptEnd::NotExecuted) } else { None };
                    if at == 0 {
                        stored.insert(key(1), ended.unwrap_or(entry));
                    }
                }
                Step::ResponseLost { .. } => {}
                Step::Crash => {
                    instances[0] = IdempotencyTable::restored(4, stored.iter().map(|(k, e)| (*k, *e)));
                }
            }
        }
    }
}
