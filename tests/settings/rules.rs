//! A small plain model beside the router: what it saw, and the rules that every action has to keep.

use crate::common::*;
use crate::drawn::CLASSES;
use foldmux::interface::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// One request as the test sees it.
struct Seen {
    class: usize,
    object: u64,
    sent: u32,
    out: Option<Fetch>,
    /// Where it may have run first, and when that was sent.
    ran: Option<(CacheId, Time)>,
    sent_at: Time,
}

#[derive(Clone, Debug)]
pub enum Step {
    Ask(usize, u64, f64),
    End(usize, u8),
    Change(usize, u8),
    Purge(Option<u64>, u64),
    Leave(usize),
    Tick,
}

pub fn steps() -> impl Strategy<Value = (u64, Step)> {
    let step = prop_oneof![
        6 => (0usize..CLASSES, 1u64..60, 0.0..40_000.0f64).prop_map(|(c, o, s)| Step::Ask(c, o, s)),
        8 => (0usize..64, 0u8..9).prop_map(|(at, how)| Step::End(at, how)),
        2 => (0usize..16, 0u8..4).prop_map(|(at, how)| Step::Change(at, how)),
        1 => (prop::option::of(1u64..60), 0u64..400).prop_map(|(o, ago)| Step::Purge(o, ago)),
        1 => (0usize..64).prop_map(Step::Leave),
        2 => Just(Step::Tick),
    ];
    (0u64..120, step)
}

fn outcome(how: u8) -> Outcome {
    use Outcome::*;
    [
        Served,
        Served,
        Error,
        Overloaded,
        TimedOut,
        ConnectFailed,
        Reset,
        Miss,
        NeverSent,
    ][how as usize % 9]
}

pub struct Model {
    choice: Settings,
    list: Vec<Member>,
    state: BTreeMap<u32, Member>,
    pub front: Front,
    open: BTreeMap<RequestId, Seen>,
    purges: Vec<(Option<u64>, Time, Time)>,
}

impl Model {
    pub fn new(choice: Settings, list: Vec<Member>) -> Model {
        let state = list.iter().map(|m| (m.cache.0, m.clone())).collect();
        let front = Front::new(choice.clone(), list.clone());
        Model {
            choice,
            list,
            state,
            front,
            open: BTreeMap::new(),
            purges: Vec::new(),
        }
    }

    /// What the router does at a step, or none where the step has nothing to act on.
    pub fn step(&mut self, wait: u64, step: Step) -> Option<Vec<Action>> {
        self.front.now += wait * MS;
        let now = self.front.now;
        Some(match step {
            Step::Ask(class, object, size) => {
                let class = class % self.choice.classes.len();
                // Put down before the router speaks of it: its id is the next.
                let id = RequestId(self.front.next + 1);
                self.open.insert(
                    id,
                    Seen {
                        class,
                        object,
                        sent: 0,
                        out: None,
                        ran: None,
                        sent_at: now,
                    },
                );
                self.front
                    .request_for(class, object, size, self.choice.classes[class].deadline)
                    .1
            }
            Step::End(at, how) => {
                let with = self.open.iter().filter(|(_, s)| s.out.is_some());
                let out: Vec<RequestId> = with.map(|(&id, _)| id).collect();
                let &id = out.get(at % out.len().max(1))?;
                let seen = self.open.get_mut(&id)?;
                let fetch = seen.out.take()?;
                let end = outcome(how);
                if !end.not_processed() && end != Outcome::Served {
                    seen.ran.get_or_insert((fetch.cache, seen.sent_at));
                }
                let attempt = seen.sent as u8 - 1;
                if end == Outcome::Served {
                    self.open.remove(&id);
                }
                self.front
                    .outcome(&fetch, attempt, end, CacheStatus::Unknown)
            }
            Step::Change(at, how) => {
                let before = self.list.get(at % self.list.len())?;
                let new = [
                    MemberState::Ready,
                    MemberState::Draining,
                    MemberState::Gone,
                    MemberState::Ready,
                ][how as usize];
                let boot = if how == 3 { now } else { before.started_at };
                let changed = Member {
                    state: new,
                    started_at: boot,
                    ..before.clone()
                };
                self.state.insert(before.cache.0, changed.clone());
                self.front.event(Event::Members {
                    full: false,
                    members: vec![changed],
                })
            }
            Step::Purge(object, ago) => {
                self.purges.push((object, now - ago * MS, now));
                let object = object.map(ObjectId);
                self.front.event(Event::Purged {
                    object,
                    group: 5,
                    age: ago * MS,
                })
            }
            Step::Leave(at) => {
                let &id = self.open.keys().nth(at % self.open.len().max(1))?;
                self.open.remove(&id);
                self.front.event(Event::ClientDisconnected { id })
            }
            Step::Tick => self.front.event(Event::Timer { token: 1 }),
        })
    }

    pub fn check(&mut self, actions: &[Action]) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Fetch(fetch) => self.fetch(fetch)?,
                Action::Reject { id, .. } => {
                    let seen = self.open.remove(id).expect("one final answer");
                    let repeat = self.choice.classes[seen.class].retry_safety;
                    let safe = matches!(
                        repeat,
                        RetrySafety::Idempotent | RetrySafety::Keyed(KeyScope::All)
                    );
                    prop_assert!(
                        safe || seen.ran.is_none(),
                        "a refusal says that trying again is harmless"
                    );
                }
                Action::Fail { id } => {
                    self.open.remove(id).expect("one final answer");
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn fetch(&mut self, fetch: &Fetch) -> Result<(), TestCaseError> {
        let (choice, state, now) = (&self.choice, &self.state, self.front.now);
        let seen = self
            .open
            .get_mut(&fetch.id)
            .expect("nothing is sent after the end");
        let rules = &choice.classes[seen.class];
        prop_assert!(seen.out.is_none(), "two attempts at once");
        prop_assert!(
            seen.sent < choice.max_attempts,
            "attempt {} of {}",
            seen.sent + 1,
            choice.max_attempts
        );
        let (cache, source) = (&state[&fetch.cache.0], &state[&fetch.source.0]);
        prop_assert!(
            cache.state == MemberState::Ready && source.state == MemberState::Ready,
            "drains and goings bind"
        );
        prop_assert!(
            cache.kind != 0 || cache.zone == choice.zone,
            "own location only"
        );
        prop_assert!(
            cache.kind == 0 || choice.direct_fetch,
            "not straight to parents or the origin"
        );
        if source.kind == 0 && fetch.source != fetch.cache {
            let allowed = match choice.sibling_fills {
                SiblingFills::None => false,
                SiblingFills::OwnZone => source.zone == choice.zone,
                SiblingFills::Any => true,
            };
            prop_assert!(
                allowed,
                "{:?} names {:?} as a source",
                choice.sibling_fills,
                fetch.source
            );
        }
        if let Some((first, at)) = seen.ran {
            let window = |keyed: RetrySafety| {
                keyed == RetrySafety::Idempotent || now < at + rules.idempotency_window
            };
            prop_assert!(
                window(rules.retry_safety),
                "a keyed request is repeated only while that is remembered"
            );
            match rules.retry_safety {
                RetrySafety::Idempotent | RetrySafety::Keyed(KeyScope::All) => {}
                RetrySafety::NonIdempotent => {
                    prop_assert!(false, "a single shot that may have run is sent again")
                }
                RetrySafety::Keyed(KeyScope::Zone) => {
                    prop_assert_eq!(state[&first.0].zone, cache.zone)
                }
                RetrySafety::Keyed(KeyScope::Cell) => {
                    prop_assert_eq!(state[&first.0].cell, cache.cell)
                }
            }
        }
        if rules.freshness_lifetime > 0 {
            prop_assert!(
                fetch.max_age <= rules.freshness_lifetime + rules.stale_while_revalidate,
                "older than fresh time and grace"
            );
        }
        for &(object, stamp, told) in &self.purges {
            if object.is_none_or(|o| o == seen.object) && now < told + choice.purge_complete {
                prop_assert!(
                    (1..=(now - stamp).max(1)).contains(&fetch.max_age),
                    "a purge binds"
                );
            }
        }
        prop_assert_eq!(
            fetch.retention_rank == 0,
            rules.bypass_cache,
            "a write is never kept"
        );
        prop_assert!(
            fetch.timeout <= 2 * rules.deadline,
            "a time-out follows the class's own times"
        );
        (seen.sent, seen.sent_at) = (seen.sent + 1, now);
        seen.out = Some(fetch.clone());
        Ok(())
    }

    /// After the longest wait, one look gives each open request its answer.
    pub fn end(&mut self) -> Result<(), TestCaseError> {
        let longest = self
            .choice
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0);
        self.front.now += longest + self.choice.response_slack;
        let actions = self.front.event(Event::Timer { token: 1 });
        self.check(&actions)?;
        prop_assert!(
            self.open.is_empty(),
            "{} requests have no answer at their deadline",
            self.open.len()
        );
        Ok(())
    }
}
