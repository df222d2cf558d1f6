//! Which attempts of a key are granted, alone and over drawn sequences of faults.

use super::*;
use proptest::prelude::*;

const RULE: Rule = Rule {
    window: 2_000,
    attempts: 4,
    good_for: 200,
    runs_for: 300,
    remember: 10_000,
};

fn key(n: u8) -> Mark {
    Mark([n; 16])
}

fn go(ledger: &mut Ledger, now: Millis, shown: Option<&Token>) -> Result<Grant, Refusal> {
    let grant = ledger.ask(now, key(1), &RULE, shown)?;
    assert_eq!(
        ledger.ask(now, key(1), &RULE, shown),
        Err(Refusal::Deciding)
    );
    ledger.hand(now, key(1), &RULE, &grant, 7, key(9));
    Ok(grant)
}

#[test]
fn no_attempt_while_one_may_run_and_none_outside_group_or_window() {
    let mut ledger = Ledger::new(8);
    assert_eq!(
        go(&mut ledger, 0, None),
        Ok(Grant::Anywhere {
            attempt: 0,
            first: 0,
            expires: 200
        })
    );
    assert_eq!(
        go(&mut ledger, 499, None),
        Err(Refusal::Running { until: 500 })
    );
    // Nothing was heard of it: it may have run, in group 7.
    let within = Grant::Within {
        attempt: 1,
        group: 7,
        first: 0,
        expires: 700,
    };
    assert_eq!(go(&mut ledger, 500, None), Ok(within));
    assert_eq!(
        ledger.ended(key(1), 0, End::NeverRan),
        None,
        "not the last attempt"
    );
    assert!(ledger.ended(key(1), 1, End::MayHaveRun).is_some());
    // The last moment at which a repeat is dropped bounds how long an attempt is good.
    let last = Grant::Within {
        attempt: 2,
        group: 7,
        first: 0,
        expires: 2_000,
    };
    assert_eq!(go(&mut ledger, 1_900, None), Ok(last));
    ledger.ended(key(1), 2, End::NeverRan);
    assert_eq!(go(&mut ledger, 2_000, None), Err(Refusal::WindowOver));
}

#[test]
fn what_is_proved_not_to_have_run_goes_anywhere_again() {
    let mut ledger = Ledger::new(8);
    go(&mut ledger, 0, None).unwrap();
    ledger.ended(key(1), 0, End::NeverRan);
    let again = Grant::Anywhere {
        attempt: 1,
        first: 5_000,
        expires: 5_200,
    };
    assert_eq!(go(&mut ledger, 5_000, None), Ok(again));
    for n in 1..4 {
        ledger.ended(key(1), n, End::NeverRan);
        let _ = go(&mut ledger, 5_001, None);
    }
    assert_eq!(go(&mut ledger, 5_002, None), Err(Refusal::TooMany));
}

#[test]
fn a_key_whose_entry_can_t_be_read_is_refused_until_its_repeats_can_come_no_more() {
    let mut ledger = Ledger::new(8);
    ledger.fence(key(1), 10_000);
    let token = Token {
        request: key(9),
        key: key(1),
        attempt: 3,
        group: 3,
        first: 9_000,
        expires: 9_900,
    };
    assert_eq!(go(&mut ledger, 0, None), Err(Refusal::Unread));
    assert_eq!(
        go(&mut ledger, 9_999, Some(&token)),
        Err(Refusal::Unread),
        "a token tells of one attempt alone"
    );
    assert!(Refusal::Unread.may_have_run() && ledger.ask(9_999, key(2), &RULE, None).is_ok());
    assert!(go(&mut ledger, 10_000, None).is_ok());
    assert_eq!(
        ledger.forgotten(),
        vec![key(1)],
        "its store lets go of it as well"
    );
}

#[test]
fn a_full_ledger_refuses_and_forgets_nothing_that_could_come_back() {
    let mut ledger = Ledger::new(1);
    go(&mut ledger, 0, None).unwrap();
    assert_eq!(ledger.ask(1, key(2), &RULE, None), Err(Refusal::Full));
    assert_eq!(
        go(&mut ledger, 1, None),
        Err(Refusal::Running { until: 500 })
    );
    // Its time is over: the place is free.
    assert!(ledger.ask(10_500, key(2), &RULE, None).is_ok());
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
    // Another instance handed it out; here nothing is known of it.
    let mut other = Ledger::new(8);
    assert_eq!(
        go(&mut other, 1_100, Some(&token(0, 1))),
        Err(Refusal::Running { until: 1_500 })
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
        Err(Refusal::Replayed)
    );
    assert_eq!(
        go(&mut other, 1_501, Some(&token(1, 2))),
        Err(Refusal::OtherKey)
    );
    assert_eq!(
        go(&mut Ledger::new(8), 3_000, Some(&token(0, 1))),
        Err(Refusal::WindowOver)
    );
}

#[test]
fn a_key_that_is_being_placed_is_taken_and_counts_until_it_is_let_go() {
    let mut ledger = Ledger::new(1);
    assert!(ledger.ask(0, key(1), &RULE, None).is_ok());
    assert_eq!(ledger.ask(0, key(1), &RULE, None), Err(Refusal::Deciding));
    assert_eq!(ledger.ask(0, key(2), &RULE, None), Err(Refusal::Full));
    ledger.let_go(key(1));
    assert!(ledger.ask(0, key(2), &RULE, None).is_ok() && ledger.asked() == 1);
    // What is forgotten is told once, for the store.
    let grant = Grant::Anywhere {
        attempt: 0,
        first: 0,
        expires: 200,
    };
    ledger.hand(0, key(2), &RULE, &grant, 1, key(9));
    assert!(ledger.ask(20_000, key(3), &RULE, None).is_ok());
    assert_eq!(
        (ledger.forgotten(), ledger.forgotten()),
        (vec![key(2)], vec![])
    );
}

proptest! {
    #[test]
    fn an_entry_comes_back_from_its_bytes_as_it_was(
        attempt: u8, out: bool, quiet_at: u64, ran: Option<(u64, u32)>, group: u32, handed: u64, forget_at: u64, mark: [u8; 16],
    ) {
        let request = Mark(mark);
        let entry = Entry { attempt, out, quiet_at, ran, request, group, handed, forget_at };
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
        let mut instances = [Ledger::new(4), Ledger::new(4)];
        // What the first instance's store has: entries as they were before their attempts went.
        let mut stored: HashMap<Mark, Entry> = HashMap::new();
        let mut now = 1_000u64;
        // The attempt that is out: its token, when it arrived, and which instance handed it out.
        let mut out: Option<(Token, Option<Millis>, usize)> = None;
        let mut last: Option<(Token, usize)> = None;
        let (mut first_run, mut runs) = (None::<(Millis, u32)>, 0);
        for step in steps {
            match step {
                Step::Wait(ms) => now += ms as u64,
                Step::Ask { at, token } => {
                    let at = at as usize;
                    // Only the instance that handed the last attempt out knows of it without its token, and
                    // callers don't repeat for ever.
                    let shown = last.filter(|(_, from)| token || *from != at).map(|(token, _)| token);
                    let given_up = |(t, _): (Token, usize)| now >= t.expires + RULE.remember;
                    if last.is_some_and(given_up) {
                        continue;
                    }
                    let Ok(grant) = instances[at].ask(now, key(1), &RULE, shown.as_ref()) else { continue };
                    if let Some((token, arrived, _)) = out {
                        prop_assert!(now >= arrived.map_or(token.expires, |t| t + RULE.runs_for), "two at once");
                    }
                    let (attempt, group, first, expires) = match grant {
                        Grant::Anywhere { attempt, first, expires } => (attempt, 5 + attempt as u32, first, expires),
                        Grant::Within { attempt, group, first, expires } => (attempt, group, first, expires),
                    };
                    let entry = instances[at].hand(now, key(1), &RULE, &grant, group, key(9));
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
                        Some((at, group)) if now < at + RULE.window && group == token.group => {}
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
                        Some(_) => End::MayHaveRun,
                        None if now >= token.expires => End::NeverRan,
                        None => continue,
                    };
                    instances[at].ended(key(1), token.attempt, end);
                    out = None;
                }
                // Before its first token a caller has none to show.
                Step::Lost { at, dropped } if last.is_none() => {
                    let at = at as usize;
                    let Ok(grant) = instances[at].ask(now, key(1), &RULE, None) else { continue };
                    let (attempt, group) = match grant {
                        Grant::Anywhere { attempt, .. } => (attempt, 5 + attempt as u32),
                        Grant::Within { attempt, group, .. } => (attempt, group),
                    };
                    let entry = instances[at].hand(now, key(1), &RULE, &grant, group, key(8));
                    let ended = if dropped { instances[at].ended(key(1), attempt, End::NeverRan) } else { None };
                    if at == 0 {
                        stored.insert(key(1), ended.unwrap_or(entry));
                    }
                }
                Step::Lost { .. } => {}
                Step::Crash => {
                    instances[0] = Ledger::restored(4, stored.iter().map(|(k, e)| (*k, *e)));
                }
            }
        }
    }
}
