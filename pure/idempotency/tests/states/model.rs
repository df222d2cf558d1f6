//! The plain model: each key's whole history.

use foldmux_idempotency::ledger::{End, Grant, Refusal, Rule};
use foldmux_idempotency::Millis;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::collections::BTreeMap;

pub const RULE: Rule = Rule {
    window: 2_000,
    attempts: 4,
    good_for: 200,
    runs_for: 300,
    remember: 3_000,
};
pub const MOST: usize = 3;
pub const KEYS: u8 = 5;

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// As it was granted: what came before may be forgotten by the time it is handed out.
    pub number: u8,
    pub handed: Millis,
    pub quiet_at: Millis,
    pub group: u32,
    pub end: Option<End>,
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
    Ended(u8, u8, End),
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
    pub last: Option<Result<Grant, Refusal>>,
}

impl Model {
    fn forget(&mut self) {
        let now = self.now;
        self.keys.retain(|_, all| {
            all.last()
                .is_some_and(|last| last.quiet_at + RULE.remember > now)
        });
        self.fenced.retain(|_, until| *until > now);
    }

    fn judge(&self, key: u8, shown: Shown) -> Result<Grant, Refusal> {
        if self.asked.contains_key(&key) {
            return Err(Refusal::Deciding);
        }
        if shown == Shown::OtherKey {
            return Err(Refusal::OtherKey);
        }
        if self.fenced.contains_key(&key) {
            return Err(Refusal::Unread);
        }
        let (now, expires) = (self.now, self.now + RULE.good_for);
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
            return if full { Err(Refusal::Full) } else { Ok(first) };
        };
        let last = history.last().expect("handed out");
        let attempt = last.number + 1;
        if shown == Shown::First && history.len() > 1 {
            return Err(Refusal::Replayed);
        }
        if last.end.is_none() && now < last.quiet_at {
            return Err(Refusal::Running {
                until: last.quiet_at,
            });
        }
        if attempt >= RULE.attempts {
            return Err(Refusal::TooMany);
        }
        let Some(ran) = history
            .iter()
            .find(|attempt| attempt.end != Some(End::NeverRan))
        else {
            return Ok(Grant::Anywhere {
                attempt,
                first: now,
                expires,
            });
        };
        let (first, group, closes) = (ran.handed, ran.group, ran.handed + RULE.window);
        let within = Grant::Within {
            attempt,
            group,
            first,
            expires: expires.min(closes),
        };
        (now < closes).then_some(within).ok_or(Refusal::WindowOver)
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
        let end = prop_oneof![Just(End::NeverRan), Just(End::MayHaveRun)];
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
                let told = model.judge(key, shown);
                model.asked.extend(told.iter().map(|grant| (key, *grant)));
                model.last = Some(told);
            }
            Step::Hand(key, group) => {
                // A repeat counts from the first that may have run when it was granted, also where the proof that none had
                // comes before it is handed out.
                let (number, handed, group, expires) =
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
                let quiet_at = expires + RULE.runs_for;
                model.keys.entry(key).or_default().push(Attempt {
                    number,
                    handed,
                    quiet_at,
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
