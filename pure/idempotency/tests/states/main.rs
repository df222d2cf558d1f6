//! The table against a plain model, which keeps each key's whole history: whatever is asked, handed out, let go, told of its
//! end or forgotten, in whatever order, over restarts, the table grants and refuses as the history says.

mod model;

use foldmux_idempotency::table::{Entry, Grant, IdempotencyTable, STORED_LENGTH};
use foldmux_idempotency::token::{KeyHash, Token};
use model::{Model, Shown, Step, KEYS, MOST, RULE};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, StateMachineTest};
use std::collections::BTreeMap;

struct Real {
    table: IdempotencyTable,
    stored: BTreeMap<KeyHash, [u8; STORED_LENGTH]>,
    tokens: BTreeMap<u8, Vec<Token>>,
    granted: BTreeMap<u8, Grant>,
}

fn mark(key: u8) -> KeyHash {
    KeyHash([key; 16])
}

impl StateMachineTest for Real {
    type SystemUnderTest = Real;
    type Reference = Model;

    fn init_test(_: &Model) -> Real {
        let (stored, tokens, granted) = Default::default();
        Real {
            table: IdempotencyTable::new(MOST),
            stored,
            tokens,
            granted,
        }
    }

    fn apply(mut real: Real, model: &Model, step: Step) -> Real {
        let now = model.now;
        match step {
            Step::Wait(_) => {}
            Step::Ask(key, shown) => {
                // Of a history that is forgotten by this ask a caller shows nothing: it asks no more by then.
                let own = real
                    .tokens
                    .get(&key)
                    .filter(|_| model.keys.contains_key(&key));
                let (request, group) = (mark(8), 0);
                let other = Token {
                    key: mark(9),
                    request,
                    attempt: 0,
                    group,
                    first: now,
                    expires: now,
                };
                let shown = match shown {
                    Shown::Nothing => None,
                    Shown::Last => own.and_then(|all| all.last().copied()),
                    Shown::First => own.and_then(|all| all.first().copied()),
                    Shown::OtherKey => Some(other),
                };
                let told = real.table.acquire(now, mark(key), &RULE, shown.as_ref());
                assert_eq!(Some(told), model.last, "key {key}, shown {shown:?}");
                real.granted.extend(told.iter().map(|grant| (key, *grant)));
                for gone in real.table.take_evicted() {
                    real.stored.remove(&gone);
                    real.tokens.remove(&gone.0[0]);
                }
            }
            Step::Hand(key, group) => {
                let grant = real.granted.remove(&key).expect("granted");
                let (attempt, group, first, expires) = match grant {
                    Grant::Anywhere {
                        attempt,
                        first,
                        expires,
                    } => (attempt, group, first, expires),
                    Grant::Within {
                        attempt,
                        group,
                        first,
                        expires,
                    } => (attempt, group, first, expires),
                };
                let request = mark(100 + attempt);
                let entry = real
                    .table
                    .issue(now, mark(key), &RULE, &grant, group, request);
                real.stored.insert(mark(key), entry.to_bytes());
                let token = Token {
                    request,
                    key: mark(key),
                    attempt,
                    group,
                    first,
                    expires,
                };
                real.tokens.entry(key).or_default().push(token);
            }
            Step::LetGo(key) => {
                real.granted.remove(&key);
                real.table.release(mark(key));
            }
            Step::Ended(key, attempt, end) => {
                let entry = real.table.record_end(mark(key), attempt, end);
                real.stored
                    .extend(entry.map(|entry| (mark(key), entry.to_bytes())));
            }
            Step::Restart => {
                let read = |bytes: &[u8]| Entry::from_bytes(bytes).expect("as it was written");
                let entries = real.stored.iter().map(|(key, bytes)| (*key, read(bytes)));
                real.table = IdempotencyTable::restored(MOST, entries);
                model
                    .fenced
                    .iter()
                    .for_each(|(key, until)| real.table.block_unreadable(mark(*key), *until));
                real.granted.clear();
            }
            Step::Fence(key, time) => real.table.block_unreadable(mark(key), now + time),
        }
        real
    }

    fn check_invariants(real: &Real, model: &Model) {
        let held = (0..KEYS).filter(|key| real.table.get(mark(*key)).is_some());
        assert!(held.eq(model.keys.keys().copied()));
        assert_eq!(real.table.pending(), model.asked.len());
        assert_eq!(real.table.len(), model.keys.len() + model.fenced.len());
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(18), ..ProptestConfig::default() })]

    #[test]
    fn the_ledger_says_what_the_history_says(sequential 1..60 => Real);
}
