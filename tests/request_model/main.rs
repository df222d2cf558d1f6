//! Checks the router's request state against a simple model over generated events in any order: outcomes that are late,
//! duplicated or missing, members that leave, clients that disconnect, a restart of the router. Each request gets one
//! final result, attempts are numbered from 0 and go to listed servers, and no non-idempotent request can be processed
//! twice.
#[path = "../common/mod.rs"]
mod common;
mod steps;

use common::*;
use foldmux::interface::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use steps::{step, Step};

struct OpenRequest {
    class: usize,
    deadline: Time,
    response_started: bool,
    attempts: u8,
    possibly_processed: bool,
}

struct Model {
    host: TestHost,
    members: Vec<Member>,
    open: BTreeMap<RequestId, OpenRequest>,
    in_flight: BTreeSet<(RequestId, u8)>,
    ended: BTreeSet<RequestId>,
}

impl Model {
    fn new() -> Model {
        let (open, in_flight, ended) = Default::default();
        Model {
            host: TestHost::new(settings(), members()),
            members: members(),
            open,
            in_flight,
            ended,
        }
    }

    /// Whether an attempt of the request is in flight.
    fn has_attempts_in_flight(&self, id: RequestId) -> bool {
        self.in_flight
            .range((id, 0)..=(id, u8::MAX))
            .next()
            .is_some()
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Fetch(fetch) => {
                    let in_flight = self.has_attempts_in_flight(fetch.id);
                    let request = self
                        .open
                        .get_mut(&fetch.id)
                        .expect("the attempt's request is open");
                    let non_idempotent = settings().classes[request.class].retry_safety
                        == RetrySafety::NonIdempotent;
                    assert!(
                        !non_idempotent || !in_flight && !request.possibly_processed,
                        "a non-idempotent request may be processed twice"
                    );
                    let listed = |cache| {
                        self.members
                            .iter()
                            .any(|m| m.cache == cache && m.state != MemberState::Gone)
                    };
                    assert!(
                        listed(fetch.cache) && listed(fetch.source),
                        "{fetch:?} is not listed"
                    );
                    assert!(self.in_flight.insert((fetch.id, request.attempts)));
                    request.attempts += 1;
                    assert!(u32::from(request.attempts) <= settings().max_attempts);
                }
                Action::Reject { id, .. } => {
                    let in_flight = self.has_attempts_in_flight(id);
                    let request = self.open.remove(&id).expect("the rejected request is open");
                    let non_idempotent = settings().classes[request.class].retry_safety
                        == RetrySafety::NonIdempotent;
                    assert!(
                        !non_idempotent || !in_flight && !request.possibly_processed,
                        "rejected, but it may have been processed"
                    );
                    assert!(self.ended.insert(id), "two final results");
                }
                Action::Fail { id } => {
                    assert!(
                        self.open.remove(&id).is_some(),
                        "the failed request is not open"
                    );
                    assert!(self.ended.insert(id), "two final results");
                }
                Action::Cancel { id, attempt } => {
                    assert!(
                        self.in_flight.contains(&(id, attempt)) && !self.open.contains_key(&id)
                    );
                }
                Action::StartTimer { .. }
                | Action::HealthCheck { .. }
                | Action::MessagePeers { .. }
                | Action::SubscribeMembers => {}
            }
        }
    }

    /// Every open request has an attempt in flight.
    fn check(&self) {
        for id in self.open.keys() {
            assert!(
                self.has_attempts_in_flight(*id),
                "{id:?} has no attempt in flight"
            );
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Request {
                class,
                object,
                budget,
            } => self.request(class, object, budget),
            Step::AttemptEnded {
                which,
                outcome,
                cache_status,
            } => self.end_attempt(which, outcome, cache_status),
            Step::UnknownAttempt {
                id,
                attempt,
                outcome,
            } => self.report_unknown(RequestId(id), attempt, outcome),
            Step::ResponseStarted(which) => self.start_response(which),
            Step::ClientDisconnected(which) => self.disconnect(which),
            Step::AdvanceTime(time) => self.advance_time(time),
            Step::MemberChanged { which, state } => self.change_member(which, state),
            Step::Purged(object) => {
                self.event(Event::Purged {
                    object: Some(ObjectId(object)),
                    group: 5,
                    age: 0,
                });
            }
            Step::Restart => self.restart(),
        }
    }

    fn event(&mut self, event: Event) {
        let actions = self.host.event(event);
        self.apply(actions);
    }

    fn request(&mut self, class: usize, object: u64, budget: Time) {
        let id = RequestId(self.host.last_id + 1);
        let deadline = self.host.now + budget;
        let open = OpenRequest {
            class,
            deadline,
            response_started: false,
            attempts: 0,
            possibly_processed: false,
        };
        self.open.insert(id, open);
        let (_, actions) = self.host.request_for(class, object, 500.0, budget);
        self.apply(actions);
    }

    fn end_attempt(&mut self, which: usize, outcome: Outcome, cache_status: CacheStatus) {
        let Some(&(id, attempt)) = self
            .in_flight
            .iter()
            .nth(which % self.in_flight.len().max(1))
        else {
            return;
        };
        self.in_flight.remove(&(id, attempt));
        let last = outcome == Outcome::Served;
        if let Some(request) = self.open.get_mut(&id) {
            request.possibly_processed |= !outcome.not_processed();
        }
        // A served attempt ends its request, unless that has ended before.
        if last && self.open.remove(&id).is_some() {
            assert!(self.ended.insert(id), "two final results");
        }
        self.event(Event::Outcome(AttemptReport {
            id,
            attempt,
            outcome,
            cache_status,
            elapsed: 60 * MS,
            last,
        }));
    }

    /// Reports an attempt that is not in flight.
    fn report_unknown(&mut self, id: RequestId, attempt: u8, outcome: Outcome) {
        if self.in_flight.contains(&(id, attempt)) {
            return;
        }
        let report = AttemptReport {
            id,
            attempt,
            outcome,
            cache_status: CacheStatus::Unknown,
            elapsed: MS,
            last: false,
        };
        assert_eq!(
            self.host.event(Event::Outcome(report)),
            [],
            "the report of an unknown attempt is ignored"
        );
    }

    fn open_request(&self, which: usize) -> Option<RequestId> {
        self.open
            .keys()
            .nth(which % self.open.len().max(1))
            .copied()
    }

    fn start_response(&mut self, which: usize) {
        let Some(id) = self.open_request(which) else {
            return;
        };
        self.open
            .get_mut(&id)
            .expect("the request is open")
            .response_started = true;
        self.event(Event::ResponseStarted { id });
    }

    fn disconnect(&mut self, which: usize) {
        let Some(id) = self.open_request(which) else {
            return;
        };
        self.open.remove(&id);
        self.event(Event::ClientDisconnected { id });
    }

    fn advance_time(&mut self, time: Time) {
        self.host.now += time;
        self.event(Event::Timer { token: 1 });
        let (now, slack) = (self.host.now, settings().response_slack);
        let overdue = self
            .open
            .values()
            .find(|open| !open.response_started && now >= open.deadline + slack);
        assert!(overdue.is_none(), "a request is overdue");
    }

    fn change_member(&mut self, which: usize, state: MemberState) {
        let which = which % self.members.len();
        self.members[which].state = state;
        self.event(Event::Members {
            full: false,
            members: vec![self.members[which].clone()],
        });
    }

    fn restart(&mut self) {
        let (now, next) = (self.host.now, self.host.last_id);
        *self = Model {
            members: self.members.clone(),
            ..Model::new()
        };
        (self.host.now, self.host.last_id) = (now, next);
        self.event(Event::Members {
            full: true,
            members: self.members.clone(),
        });
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: RngSeed::Fixed(18), ..ProptestConfig::default() })]

    #[test]
    fn each_request_has_one_result_and_none_is_processed_twice(
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut model = Model::new();
        for step in steps {
            model.step(step);
            model.check();
        }
    }
}
