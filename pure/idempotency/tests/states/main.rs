//! Compares the table with a reference model that keeps each key's whole history. Whatever is granted, issued, released,
//! ended, evicted or unreadable, in whatever order and over restarts, the table decides as the history requires.

mod model;

use foldmux_idempotency::table::{Entry, Grant, IdempotencyTable, STORED_LENGTH};
use foldmux_idempotency::token::{KeyHash, Token};
use model::{Model, Presented, Step, KEY_COUNT, MAX_KEYS, POLICY};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, StateMachineTest};
use std::collections::BTreeMap;

struct TableTest {
    table: IdempotencyTable,
    stored: BTreeMap<KeyHash, [u8; STORED_LENGTH]>,
    tokens: BTreeMap<u8, Vec<Token>>,
    granted: BTreeMap<u8, Grant>,
}

fn hash(key: u8) -> KeyHash {
    KeyHash([key; 16])
}

impl StateMachineTest for TableTest {
    type SystemUnderTest = TableTest;
    type Reference = Model;

    fn init_test(_: &Model) -> TableTest {
        let (stored, tokens, granted) = Default::default();
        TableTest {
            table: IdempotencyTable::new(MAX_KEYS),
            stored,
            tokens,
            granted,
        }
    }

    fn apply(mut test: TableTest, model: &Model, step: Step) -> TableTest {
        let now = model.now;
        match step {
            Step::Wait(_) => {}
            Step::Acquire(key, presented) => {
                // A key whose history is evicted by this request has no tokens: callers have stopped retrying it by then.
                let tokens = test
                    .tokens
                    .get(&key)
                    .filter(|_| model.keys.contains_key(&key));
                let (request, group) = (hash(8), 0);
                let other = Token {
                    key: hash(9),
                    request,
                    attempt: 0,
                    group,
                    first: now,
                    expires: now,
                };
                let presented = match presented {
                    Presented::Nothing => None,
                    Presented::Last => tokens.and_then(|all| all.last().copied()),
                    Presented::First => tokens.and_then(|all| all.first().copied()),
                    Presented::OtherKey => Some(other),
                };
                let decision = test
                    .table
                    .acquire(now, hash(key), &POLICY, presented.as_ref());
                assert_eq!(
                    Some(decision),
                    model.last,
                    "key {key}, presented {presented:?}"
                );
                test.granted
                    .extend(decision.iter().map(|grant| (key, *grant)));
                for gone in test.table.take_evicted() {
                    test.stored.remove(&gone);
                    test.tokens.remove(&gone.0[0]);
                }
            }
            Step::Issue(key, group) => {
                let grant = test.granted.remove(&key).expect("granted");
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
                let request = hash(100 + attempt);
                let entry = test
                    .table
                    .issue(now, hash(key), &POLICY, &grant, group, request);
                test.stored.insert(hash(key), entry.to_bytes());
                let token = Token {
                    request,
                    key: hash(key),
                    attempt,
                    group,
                    first,
                    expires,
                };
                test.tokens.entry(key).or_default().push(token);
            }
            Step::Release(key) => {
                test.granted.remove(&key);
                test.table.release(hash(key));
            }
            Step::Ended(key, attempt, end) => {
                let entry = test.table.record_end(hash(key), attempt, end);
                test.stored
                    .extend(entry.map(|entry| (hash(key), entry.to_bytes())));
            }
            Step::Restart => {
                let read =
                    |bytes: &[u8]| Entry::from_bytes(bytes).expect("the entry as it was stored");
                let entries = test.stored.iter().map(|(key, bytes)| (*key, read(bytes)));
                test.table = IdempotencyTable::restored(MAX_KEYS, entries);
                model
                    .unreadable
                    .iter()
                    .for_each(|(key, until)| test.table.block_unreadable(hash(*key), *until));
                test.granted.clear();
            }
            Step::BlockUnreadable(key, time) => test.table.block_unreadable(hash(key), now + time),
        }
        test
    }

    fn check_invariants(test: &TableTest, model: &Model) {
        let held = (0..KEY_COUNT).filter(|key| test.table.get(hash(*key)).is_some());
        assert!(held.eq(model.keys.keys().copied()));
        assert_eq!(test.table.pending(), model.granted.len());
        assert_eq!(test.table.len(), model.keys.len() + model.unreadable.len());
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(18), ..ProptestConfig::default() })]

    #[test]
    fn the_table_decides_as_the_history_requires(sequential 1..60 => TableTest);
}
