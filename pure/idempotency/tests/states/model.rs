//! The reference model: each key's whole history.

use foldmux_idempotency::table::{AttemptEnd, Denied, Grant, RetryPolicy};
use foldmux_idempotency::Millis;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::collections::BTreeMap;

pub const POLICY: RetryPolicy = RetryPolicy {
    idempotency_window: 2_000,
    max_attempts: 4,
    send_window: 200,
    max_run_time: 300,
    retention: 3_000,
};
pub const MAX_KEYS: usize = 3;
pub const KEY_COUNT: u8 = 5;

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its number as it was granted: the attempts before it may be evicted by the time it is issued.
    pub number: u8,
    pub issued_at: Millis,
    pub running_until: Millis,
    pub group: u32,
    pub end: Option<AttemptEnd>,
}

/// What a caller presents: a token of its first or last attempt, a token of another key, or nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Presented {
    Nothing,
    Last,
    First,
    OtherKey,
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    Wait(Millis),
    Acquire(u8, Presented),
    /// A granted attempt is issued, to this group if it may go to any.
    Issue(u8, u32),
    /// A granted attempt is released.
    Release(u8),
    Ended(u8, u8, AttemptEnd),
    /// The process restarts with what its store kept.
    Restart,
    /// A stored entry of the key can't be read, and blocks it for this time.
    BlockUnreadable(u8, Millis),
}

#[derive(Clone, Debug, Default)]
pub struct Model {
    pub now: Millis,
    pub keys: BTreeMap<u8, Vec<Attempt>>,
    pub unreadable: BTreeMap<u8, Millis>,
    pub granted: BTreeMap<u8, Grant>,
    pub last: Option<Result<Grant, Denied>>,
}

impl Model {
    fn evict(&mut self) {
        let now = self.now;
        self.keys.retain(|_, all| {
            all.last()
                .is_some_and(|last| last.running_until + POLICY.retention > now)
        });
        self.unreadable.retain(|_, until| *until > now);
    }

    fn decide(&self, key: u8, presented: Presented) -> Result<Grant, Denied> {
        if self.granted.contains_key(&key) {
            return Err(Denied::Pending);
        }
        if presented == Presented::OtherKey {
            return Err(Denied::KeyMismatch);
        }
        if self.unreadable.contains_key(&key) {
            return Err(Denied::Unreadable);
        }
        let (now, expires) = (self.now, self.now + POLICY.send_window);
        let Some(history) = self.keys.get(&key) else {
            let new = self
                .granted
                .keys()
                .filter(|key| !self.keys.contains_key(key))
                .count();
            let full = self.keys.len() + self.unreadable.len() + new >= MAX_KEYS;
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
        let last = history.last().expect("an issued attempt");
        let attempt = last.number + 1;
        if presented == Presented::First && history.len() > 1 {
            return Err(Denied::Superseded);
        }
        if last.end.is_none() && now < last.running_until {
            return Err(Denied::InFlight {
                until: last.running_until,
            });
        }
        if attempt >= POLICY.max_attempts {
            return Err(Denied::AttemptsExhausted);
        }
        let Some(first_run) = history
            .iter()
            .find(|attempt| attempt.end != Some(AttemptEnd::NotExecuted))
        else {
            return Ok(Grant::Anywhere {
                attempt,
                first: now,
                expires,
            });
        };
        let (first, group, window_end) = (
            first_run.issued_at,
            first_run.group,
            first_run.issued_at + POLICY.idempotency_window,
        );
        let within = Grant::Within {
            attempt,
            group,
            first,
            expires: expires.min(window_end),
        };
        (now < window_end)
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
        use Presented::*;
        let presented =
            prop_oneof![4 => Just(Nothing), 4 => Just(Last), 1 => Just(First), 1 => Just(OtherKey)];
        let end = prop_oneof![
            Just(AttemptEnd::NotExecuted),
            Just(AttemptEnd::MayHaveExecuted)
        ];
        prop_oneof![
            6 => prop_oneof![1..250u64, 1..4_000u64].prop_map(Step::Wait),
            8 => (0..KEY_COUNT, presented).prop_map(|(key, presented)| Step::Acquire(key, presented)),
            8 => (0..KEY_COUNT, 0..3u32).prop_map(|(key, group)| Step::Issue(key, group)),
            1 => (0..KEY_COUNT).prop_map(Step::Release),
            5 => (0..KEY_COUNT, 0..4u8, end).prop_map(|(key, attempt, end)| Step::Ended(key, attempt, end)),
            1 => Just(Step::Restart),
            1 => (0..KEY_COUNT, 1..3_000u64).prop_map(|(key, time)| Step::BlockUnreadable(key, time)),
        ]
        .boxed()
    }

    fn preconditions(model: &Model, step: &Step) -> bool {
        let is_known = |key| model.keys.contains_key(key) || model.unreadable.contains_key(key);
        match step {
            Step::Release(key) => model.granted.contains_key(key),
            // A granted attempt is issued before it expires, which is sooner than the attempts before it are evicted.
            Step::Issue(key, _) => model.granted.get(key).is_some_and(|grant| match *grant {
                Grant::Anywhere { expires, .. } | Grant::Within { expires, .. } => {
                    model.now < expires
                }
            }),
            // The store has one entry per key, readable or not.
            Step::BlockUnreadable(key, _) => !is_known(key) && !model.granted.contains_key(key),
            _ => true,
        }
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        match *step {
            Step::Wait(time) => model.now += time,
            Step::Acquire(key, presented) => {
                model.evict();
                let decision = model.decide(key, presented);
                model
                    .granted
                    .extend(decision.iter().map(|grant| (key, *grant)));
                model.last = Some(decision);
            }
            Step::Issue(key, group) => {
                // A retry counts from the first attempt that may have run when it was granted, even if that attempt is
                // proved not to have run before the retry is issued.
                let (number, issued_at, group, expires) =
                    match model.granted.remove(&key).expect("granted") {
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
                let running_until = expires + POLICY.max_run_time;
                model.keys.entry(key).or_default().push(Attempt {
                    number,
                    issued_at,
                    running_until,
                    group,
                    end: None,
                });
            }
            Step::Release(key) => model.granted.retain(|own, _| *own != key),
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
            Step::Restart => model.granted.clear(),
            Step::BlockUnreadable(key, time) => model.unreadable.extend([(key, model.now + time)]),
        }
        model
    }
}
