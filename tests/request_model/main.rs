//! The table of requests against a plain one: whatever comes in whatever order - outcomes late, twice or never, members that
//! go, clients that leave, a router that starts anew - each request is answered once, an attempt is numbered from 0 and
//! goes to a listed server, and no effect is risked twice.
#[path = "../common/mod.rs"]
mod common;
mod steps;

use common::*;
use foldmux::interface::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use steps::{step, Step};

struct Open {
    class: usize,
    deadline: Time,
    started: bool,
    attempts: u8,
    may_have_run: bool,
}

struct Table {
    front: Front,
    members: Vec<Member>,
    open: BTreeMap<RequestId, Open>,
    out: BTreeSet<(RequestId, u8)>,
    ended: BTreeSet<RequestId>,
}

impl Table {
    fn new() -> Table {
        let (open, out, ended) = Default::default();
        Table {
            front: Front::new(settings(), members()),
            members: members(),
            open,
            out,
            ended,
        }
    }

    /// Only one that is out, and is known to be, is told of.
    fn has_out(&self, id: RequestId) -> bool {
        self.out.range((id, 0)..=(id, u8::MAX)).next().is_some()
    }

    fn acts(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Fetch(fetch) => {
                    let out = self.has_out(fetch.id);
                    let request = self
                        .open
                        .get_mut(&fetch.id)
                        .expect("an attempt for one that is not open");
                    let single = settings().classes[request.class].retry_safety
                        == RetrySafety::NonIdempotent;
                    assert!(
                        !single || !out && !request.may_have_run,
                        "an effect is risked twice"
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
                    assert!(self.out.insert((fetch.id, request.attempts)));
                    request.attempts += 1;
                    assert!(u32::from(request.attempts) <= settings().max_attempts);
                }
                Action::Reject { id, .. } => {
                    let out = self.has_out(id);
                    let request = self.open.remove(&id).expect("refused, and not open");
                    let single = settings().classes[request.class].retry_safety
                        == RetrySafety::NonIdempotent;
                    assert!(
                        !single || !out && !request.may_have_run,
                        "refused, and it may have run"
                    );
                    assert!(self.ended.insert(id), "two answers");
                }
                Action::Fail { id } => {
                    assert!(self.open.remove(&id).is_some(), "failed, and not open");
                    assert!(self.ended.insert(id), "two answers");
                }
                Action::Cancel { id, attempt } => {
                    assert!(self.out.contains(&(id, attempt)) && !self.open.contains_key(&id));
                }
                Action::StartTimer { .. }
                | Action::HealthCheck { .. }
                | Action::MessagePeers { .. }
                | Action::SubscribeMembers => {}
            }
        }
    }

    /// One that is open has something out, or has just been answered: none is forgotten.
    fn check(&self) {
        for id in self.open.keys() {
            assert!(self.has_out(*id), "{id:?} waits for nothing");
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask {
                class,
                object,
                budget,
            } => self.request(class, object, budget),
            Step::Ended {
                which,
                outcome,
                note,
            } => self.end_attempt(which, outcome, note),
            Step::Stray {
                id,
                attempt,
                outcome,
            } => self.report_unknown(RequestId(id), attempt, outcome),
            Step::Started(which) => self.start_response(which),
            Step::Gone(which) => self.disconnect(which),
            Step::Pass(time) => self.pass(time),
            Step::Member { which, state } => self.change_member(which, state),
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
        let actions = self.front.event(event);
        self.acts(actions);
    }

    fn request(&mut self, class: usize, object: u64, budget: Time) {
        let id = RequestId(self.front.next + 1);
        let deadline = self.front.now + budget;
        let open = Open {
            class,
            deadline,
            started: false,
            attempts: 0,
            may_have_run: false,
        };
        self.open.insert(id, open);
        let (_, actions) = self.front.request_for(class, object, 500.0, budget);
        self.acts(actions);
    }

    fn end_attempt(&mut self, which: usize, outcome: Outcome, cache_status: CacheStatus) {
        let Some(&(id, attempt)) = self.out.iter().nth(which % self.out.len().max(1)) else {
            return;
        };
        self.out.remove(&(id, attempt));
        let last = outcome == Outcome::Served;
        if let Some(request) = self.open.get_mut(&id) {
            request.may_have_run |= !outcome.not_processed();
        }
        // What is served answers its client, if it was not answered before.
        if last && self.open.remove(&id).is_some() {
            assert!(self.ended.insert(id), "two answers");
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
        if self.out.contains(&(id, attempt)) {
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
            self.front.event(Event::Outcome(report)),
            [],
            "for what is not out"
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
        self.open.get_mut(&id).expect("it is open").started = true;
        self.event(Event::ResponseStarted { id });
    }

    fn disconnect(&mut self, which: usize) {
        let Some(id) = self.open_request(which) else {
            return;
        };
        self.open.remove(&id);
        self.event(Event::ClientDisconnected { id });
    }

    fn pass(&mut self, time: Time) {
        self.front.now += time;
        self.event(Event::Timer { token: 1 });
        let (now, slack) = (self.front.now, settings().response_slack);
        let late = self
            .open
            .values()
            .find(|open| !open.started && now >= open.deadline + slack);
        assert!(late.is_none(), "an answer is overdue");
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
        let (now, next) = (self.front.now, self.front.next);
        *self = Table {
            members: self.members.clone(),
            ..Table::new()
        };
        (self.front.now, self.front.next) = (now, next);
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
        let mut table = Table::new();
        for step in steps {
            table.step(step);
            table.check();
        }
    }
}
