//! A simple model that follows a router's events and checks the rules that every action must keep.

use crate::common::*;
use crate::generated::CLASSES;
use foldmux::interface::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// An open request of the model.
struct RequestState {
    class: usize,
    object: u64,
    sent: u32,
    in_flight: Option<Fetch>,
    /// The cache of the first attempt that may have been processed, and the time when it was sent.
    possibly_processed: Option<(CacheId, Time)>,
    sent_at: Time,
}

#[derive(Clone, Debug)]
pub enum Step {
    Request(usize, u64, f64),
    EndAttempt(usize, u8),
    ChangeMember(usize, u8),
    Purge(Option<u64>, u64),
    Disconnect(usize),
    Timer,
}

pub fn steps() -> impl Strategy<Value = (u64, Step)> {
    let step = prop_oneof![
        6 => (0usize..CLASSES, 1u64..60, 0.0..40_000.0f64).prop_map(|(c, o, s)| Step::Request(c, o, s)),
        8 => (0usize..64, 0u8..9).prop_map(|(index, kind)| Step::EndAttempt(index, kind)),
        2 => (0usize..16, 0u8..4).prop_map(|(index, kind)| Step::ChangeMember(index, kind)),
        1 => (prop::option::of(1u64..60), 0u64..400).prop_map(|(o, age)| Step::Purge(o, age)),
        1 => (0usize..64).prop_map(Step::Disconnect),
        2 => Just(Step::Timer),
    ];
    (0u64..120, step)
}

fn outcome(kind: u8) -> Outcome {
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
    ][kind as usize % 9]
}

pub struct Model {
    config: Settings,
    list: Vec<Member>,
    listed: BTreeMap<u32, Member>,
    pub host: TestHost,
    open: BTreeMap<RequestId, RequestState>,
    purges: Vec<(Option<u64>, Time, Time)>,
}

impl Model {
    pub fn new(config: Settings, list: Vec<Member>) -> Model {
        let listed = list.iter().map(|m| (m.cache.0, m.clone())).collect();
        let host = TestHost::new(config.clone(), list.clone());
        Model {
            config,
            list,
            listed,
            host,
            open: BTreeMap::new(),
            purges: Vec::new(),
        }
    }

    /// The router's actions for a step, or `None` if the step does not apply.
    pub fn step(&mut self, wait: u64, step: Step) -> Option<Vec<Action>> {
        self.host.now += wait * MS;
        let now = self.host.now;
        Some(match step {
            Step::Request(class, object, size) => {
                let class = class % self.config.classes.len();
                // Recorded before the router handles the request; the host assigns the next id.
                let id = RequestId(self.host.last_id + 1);
                self.open.insert(
                    id,
                    RequestState {
                        class,
                        object,
                        sent: 0,
                        in_flight: None,
                        possibly_processed: None,
                        sent_at: now,
                    },
                );
                self.host
                    .request_for(class, object, size, self.config.classes[class].deadline)
                    .1
            }
            Step::EndAttempt(index, kind) => {
                let waiting = self.open.iter().filter(|(_, s)| s.in_flight.is_some());
                let in_flight: Vec<RequestId> = waiting.map(|(&id, _)| id).collect();
                let &id = in_flight.get(index % in_flight.len().max(1))?;
                let request = self.open.get_mut(&id)?;
                let fetch = request.in_flight.take()?;
                let outcome = outcome(kind);
                if !outcome.not_processed() && outcome != Outcome::Served {
                    request
                        .possibly_processed
                        .get_or_insert((fetch.cache, request.sent_at));
                }
                let attempt = request.sent as u8 - 1;
                if outcome == Outcome::Served {
                    self.open.remove(&id);
                }
                self.host
                    .outcome(&fetch, attempt, outcome, CacheStatus::Unknown)
            }
            Step::ChangeMember(index, kind) => {
                let before = self.list.get(index % self.list.len())?;
                let new = [
                    MemberState::Ready,
                    MemberState::Draining,
                    MemberState::Gone,
                    MemberState::Ready,
                ][kind as usize];
                let started_at = if kind == 3 { now } else { before.started_at };
                let changed = Member {
                    state: new,
                    started_at,
                    ..before.clone()
                };
                self.listed.insert(before.cache.0, changed.clone());
                self.host.event(Event::Members {
                    full: false,
                    members: vec![changed],
                })
            }
            Step::Purge(object, age) => {
                self.purges.push((object, now - age * MS, now));
                let object = object.map(ObjectId);
                self.host.event(Event::Purged {
                    object,
                    group: 5,
                    age: age * MS,
                })
            }
            Step::Disconnect(index) => {
                let &id = self.open.keys().nth(index % self.open.len().max(1))?;
                self.open.remove(&id);
                self.host.event(Event::ClientDisconnected { id })
            }
            Step::Timer => self.host.event(Event::Timer { token: 1 }),
        })
    }

    pub fn check(&mut self, actions: &[Action]) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Fetch(fetch) => self.check_fetch(fetch)?,
                Action::Reject { id, .. } => {
                    let request = self.open.remove(id).expect("the request is open");
                    let retry_safety = self.config.classes[request.class].retry_safety;
                    let safe = matches!(
                        retry_safety,
                        RetrySafety::Idempotent | RetrySafety::Keyed(KeyScope::All)
                    );
                    prop_assert!(
                        safe || request.possibly_processed.is_none(),
                        "a rejection states that a retry is safe"
                    );
                }
                Action::Fail { id } => {
                    self.open.remove(id).expect("the request is open");
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn check_fetch(&mut self, fetch: &Fetch) -> Result<(), TestCaseError> {
        let (config, listed, now) = (&self.config, &self.listed, self.host.now);
        let request = self
            .open
            .get_mut(&fetch.id)
            .expect("the attempt's request is open");
        let rules = &config.classes[request.class];
        prop_assert!(request.in_flight.is_none(), "two concurrent attempts");
        prop_assert!(
            request.sent < config.max_attempts,
            "attempt {} of {}",
            request.sent + 1,
            config.max_attempts
        );
        let (cache, source) = (&listed[&fetch.cache.0], &listed[&fetch.source.0]);
        prop_assert!(
            cache.state == MemberState::Ready && source.state == MemberState::Ready,
            "no attempt goes to a draining or removed server"
        );
        prop_assert!(
            cache.kind != 0 || cache.zone == config.zone,
            "attempts go to caches of the own zone only"
        );
        prop_assert!(
            cache.kind == 0 || config.direct_fetch,
            "no direct attempts at parents or the origin"
        );
        if source.kind == 0 && fetch.source != fetch.cache {
            let allowed = match config.sibling_fills {
                SiblingFills::None => false,
                SiblingFills::OwnZone => source.zone == config.zone,
                SiblingFills::Any => true,
            };
            prop_assert!(
                allowed,
                "{:?} does not allow {:?} as a source",
                config.sibling_fills,
                fetch.source
            );
        }
        if let Some((first, index)) = request.possibly_processed {
            let window = |keyed: RetrySafety| {
                keyed == RetrySafety::Idempotent || now < index + rules.idempotency_window
            };
            prop_assert!(
                window(rules.retry_safety),
                "a keyed request is retried only while its key is remembered"
            );
            match rules.retry_safety {
                RetrySafety::Idempotent | RetrySafety::Keyed(KeyScope::All) => {}
                RetrySafety::NonIdempotent => {
                    prop_assert!(
                        false,
                        "a non-idempotent request that may have been processed is retried"
                    )
                }
                RetrySafety::Keyed(KeyScope::Zone) => {
                    prop_assert_eq!(listed[&first.0].zone, cache.zone)
                }
                RetrySafety::Keyed(KeyScope::Cell) => {
                    prop_assert_eq!(listed[&first.0].cell, cache.cell)
                }
            }
        }
        if rules.freshness_lifetime > 0 {
            prop_assert!(
                fetch.max_age <= rules.freshness_lifetime + rules.stale_while_revalidate,
                "the age bound exceeds freshness lifetime plus stale-while-revalidate"
            );
        }
        for &(object, valid_from, purged_at) in &self.purges {
            if object.is_none_or(|o| o == request.object) && now < purged_at + config.purge_complete
            {
                prop_assert!(
                    (1..=(now - valid_from).max(1)).contains(&fetch.max_age),
                    "a purge bounds the age"
                );
            }
        }
        prop_assert_eq!(
            fetch.retention_rank == 0,
            rules.bypass_cache,
            "only responses that bypass the cache are not stored"
        );
        prop_assert!(
            fetch.timeout <= 2 * rules.deadline,
            "the timeout is at most twice the class's deadline"
        );
        (request.sent, request.sent_at) = (request.sent + 1, now);
        request.in_flight = Some(fetch.clone());
        Ok(())
    }

    /// Checks that the first timer after the longest deadline ends every open request.
    pub fn end(&mut self) -> Result<(), TestCaseError> {
        let longest = self
            .config
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0);
        self.host.now += longest + self.config.response_slack;
        let actions = self.host.event(Event::Timer { token: 1 });
        self.check(&actions)?;
        prop_assert!(
            self.open.is_empty(),
            "{} requests have no final result at their deadline",
            self.open.len()
        );
        Ok(())
    }
}
