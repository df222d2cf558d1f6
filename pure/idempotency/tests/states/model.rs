//! The plain model: each key's whole history.

use foldmux_idempotency::table::{AttemptEnd, Denied, Grant, RetryPolicy};
use foldmux_idempotency::Millis;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::collections::BTreeMap;

pub const RULE: RetryPolicy = RetryPolicy {
    idempotency_window: 2_000,
    max_attempts: 4,
    send_window: 200,
    max_run_time: 300,
    retention: 3_000,
};
pub const MOST: usize = 3;
pub const KEYS: u8 = 5;

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// As it was granted: what came before may be forgotten by the time it is handed out.
    pub number: u8,
    pub issued_at: Millis,
    pub running_until: Millis,
    pub group: u32,
    pub end: Option<AttemptEnd>,
}

/// What a caller shows: a token of its first or last attempt, of another key, or nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shown {
    Nothing,
    Last,
    First,
    OtherKey,
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    Wait(Millis),
    Ask(u8, Shown),
    /// What was granted is handed out, to this group where it may go anywhere; or let go.
    Hand(u8, u32),
    LetGo(u8),
    Ended(u8, u8, AttemptEnd),
    /// With what a store kept.
    Restart,
    Fence(u8, Millis),
}

#[derive(Clone, Debug, Default)]
pub struct Model {
    pub now: Millis,
    pub keys: BTreeMap<u8, Vec<Attempt>>,
    pub fenced: BTreeMap<u8, Millis>,
    pub asked: BTreeMap<u8, Grant>,
    pub last: Option<Result<Grant, Denied>>,
}

impl Model {
    fn forget(&mut self) {
        let now = self.now;
        self.keys.retain(|_, all| {
            all.last()
                .is_some_and(|last| last.running_until + RULE.retention > now)
        });
        self.fenced.retain(|_, until| *until > now);
    }

    fn decide(&self, key: u8, shown: Shown) -> Result<Grant, Denied> {
        if self.asked.contains_key(&key) {
            return Err(Denied::Pending);
        }
        if shown == Shown::OtherKey {
            return Err(Denied::KeyMismatch);
        }
        if self.fenced.contains_key(&key) {
            return Err(Denied::Unreadable);
        }
        let (now, expires) = (self.now, self.now + RULE.send_window);
        let Some(history) = self.keys.get(&key) else {
            let new = self
                .asked
                .keys()
                .filter(|key| !self.keys.contains_key(key))
                .count();
            let full = self.keys.len() + self.fenced.len() + new >= MOST;
            let first = Grant::Anywhere {
                attempt: 0,
                first: now,
                expires,
            };
            return if full {
                Err(Denied::TableFull)
            } else {
                Ok(first)
            };
        };
        let last = history.last().expect("handed out");
        let attempt = last.number + 1;
        if shown == Shown::First && history.len() > 1 {
            return Err(Denied::Superseded);
        }
        if last.end.is_none() && now < last.running_until {
            return Err(Denied::InFlight {
                until: last.running_until,
            });
        }
        if attempt >= RULE.max_attempts {
            return Err(Denied::AttemptsExhausted);
        }
        let Some(ran) = history
            .iter()
            .find(|attempt| attempt.end != Some(AttemptEnd::NotExecuted))
        else {
            return Ok(Grant::Anywhere {
                attempt,
                first: now,
                expires,
            });
        };
        let (first, group, closes) = (
            ran.issued_at,
            ran.group,
            ran.issued_at + RULE.idempotency_window,
        );
        let within = Grant::Within {
            attempt,
            group,
            first,
            expires: expires.min(closes),
        };
        (now < closes)
            .then_some(within)
            .ok_or(Denied::WindowExpired)
    }
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model {
            now: 1_000,
            ..Model::default()
        })
        .boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        use Shown::*;
        let shown =
            prop_oneof![4 => Just(Nothing), 4 => Just(Last), 1 => Just(First), 1 => Just(OtherKey)];
        let end = prop_oneof![
            Just(AttemptEnd::NotExecuted),
            Just(AttemptEnd::MayHaveExecuted)
        ];
        prop_oneof![
            6 => prop_oneof![1..250u64, 1..4_000u64].prop_map(Step::Wait),
            8 => (0..KEYS, shown).prop_map(|(key, shown)| Step::Ask(key, shown)),
            8 => (0..KEYS, 0..3u32).prop_map(|(key, group)| Step::Hand(key, group)),
            1 => (0..KEYS).prop_map(Step::LetGo),
            5 => (0..KEYS, 0..4u8, end).prop_map(|(key, attempt, end)| Step::Ended(key, attempt, end)),
            1 => Just(Step::Restart),
            1 => (0..KEYS, 1..3_000u64).prop_map(|(key, time)| Step::Fence(key, time)),
        ]
        .boxed()
    }

    fn preconditions(model: &Model, step: &Step) -> bool {
        let known = |key| model.keys.contains_key(key) || model.fenced.contains_key(key);
        match step {
            Step::LetGo(key) => model.asked.contains_key(key),
            // Whoever was granted one hands it out while it is good: what came before is remembered for longer than that.
            Step::Hand(key, _) => model.asked.get(key).is_some_and(|grant| match *grant {
                Grant::Anywhere { expires, .. } | Grant::Within { expires, .. } => {
                    model.now < expires
                }
            }),
            // A store holds of a key what can be read, or what can't.
            Step::Fence(key, _) => !known(key) && !model.asked.contains_key(key),
            _ => true,
        }
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        match *step {
            Step::Wait(time) => model.now += time,
            Step::Ask(key, shown) => {
                model.forget();
                let told = model.decide(key, shown);
                model.asked.extend(told.iter().map(|grant| (key, *grant)));
                model.last = Some(told);
            }
            Step::Hand(key, group) => {
                // A repeat counts from the first that may have run when it was granted, also where the proof that none had
                // comes before it is handed out.
                let (number, issued_at, group, expires) =
                    match model.asked.remove(&key).expect("granted") {
                        Grant::Anywhere {
                            attempt, expires, ..
                        } => (attempt, model.now, group, expires),
                        Grant::Within {
                            attempt,
                            group,
                            first,
                            expires,
                        } => (attempt, first, group, expires),
                    };
                let running_until = expires + RULE.max_run_time;
                model.keys.entry(key).or_default().push(Attempt {
                    number,
                    issued_at,
                    running_until,
                    group,
                    end: None,
                });
            }
            Step::LetGo(key) => model.asked.retain(|own, _| *own != key),
            Step::Ended(key, attempt, end) => {
                let history = model
                    .keys
                    .get_mut(&key)
                    .filter(|all| all.last().is_some_and(|last| last.number == attempt));
                let last = history
                    .and_then(|all| all.last_mut())
                    .filter(|last| last.end.is_none());
                last.into_iter().for_each(|last| last.end = Some(end));
            }
            Step::Restart => model.asked.clear(),
            Step::Fence(key, time) => model.fenced.extend([(key, model.now + time)]),
        }
        model
    }
}
