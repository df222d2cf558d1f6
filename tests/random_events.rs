//! Checks the rules for requests and attempts over random events.
mod common;
use common::*;
use foldmux::interface::*;
use std::collections::BTreeMap;

#[test]
fn random_events_give_one_final_result_per_request_and_no_attempt_at_a_draining_cache() {
    for seed in 0..12u64 {
        let (log, repeated) = (run_events(seed), run_events(seed));
        assert_eq!(log, repeated, "the same events give the same actions");
        assert!(log.len() > 500);
    }
}

/// The requests of one run.
#[derive(Default)]
struct Run {
    /// By open request: its deadline, and the number of its next attempt.
    open: BTreeMap<RequestId, (Time, u8)>,
    in_flight: Vec<(Fetch, u8, Time)>,
    /// Final results by request.
    ended: BTreeMap<RequestId, u32>,
}

impl Run {
    /// Checks the rules for an action and records it.
    fn take(&mut self, now: Time, states: &BTreeMap<u32, MemberState>, action: &Action) {
        match action {
            Action::Fetch(fetch) => {
                assert_eq!(
                    states[&fetch.cache.0],
                    MemberState::Ready,
                    "the cache is ready"
                );
                assert_eq!(
                    states[&fetch.source.0],
                    MemberState::Ready,
                    "the source is ready"
                );
                let entry = self
                    .open
                    .get_mut(&fetch.id)
                    .expect("the attempt's request is open");
                self.in_flight.push((fetch.clone(), entry.1, now));
                entry.1 += 1;
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                self.open.remove(id).expect("the request is open");
                *self.ended.entry(*id).or_default() += 1;
            }
            Action::Cancel { id, attempt } => {
                let in_flight = |(f, a, _): &(Fetch, u8, Time)| f.id == *id && a == attempt;
                assert!(
                    self.in_flight.iter().any(in_flight),
                    "the cancelled attempt is in flight"
                );
            }
            _ => {}
        }
    }
}

/// Passes generated events to a router, checks the rules for each action and returns all actions.
fn run_events(seed: u64) -> Vec<Action> {
    let mut bits = seed.wrapping_mul(0x9e3779b97f4a7c15) | 1;
    let mut draw = move |n: u64| {
        bits ^= bits << 13;
        bits ^= bits >> 7;
        bits ^= bits << 17;
        bits % n
    };
    let detail = [
        CacheStatusDetail::None,
        CacheStatusDetail::HitOnly,
        CacheStatusDetail::All,
    ][(seed % 3) as usize];
    let config = Settings {
        cache_status_detail: detail,
        may_hedge: seed.is_multiple_of(2),
        ..settings()
    };
    let mut host = TestHost::new(config, members());
    let mut states: BTreeMap<u32, MemberState> =
        members().iter().map(|m| (m.cache.0, m.state)).collect();
    let mut run = Run::default();
    let mut log = Vec::new();
    for step in 0..4_000 {
        host.now += draw(20) * MS;
        let overdue = run
            .in_flight
            .iter()
            .position(|(f, _, _)| run.open.get(&f.id).is_some_and(|o| host.now >= o.0));
        let mut served = None;
        let actions = match (overdue, draw(10)) {
            (None, 0..=3) if step < 3_500 => {
                let (id, actions) = host.request(draw(2) as usize, draw(200) + 1);
                run.open.insert(id, (host.now + 3 * SECOND, 0));
                actions
            }
            (None, 4) => {
                let cache = [10, 11, 12, 13, 20, 21, 22, 30, 31][draw(9) as usize];
                let new_state = [
                    MemberState::Ready,
                    MemberState::Ready,
                    MemberState::Draining,
                    MemberState::Gone,
                ][draw(4) as usize];
                states.insert(cache, new_state);
                let started_at = host.now;
                host.change_member(cache, |m| (m.state, m.started_at) = (new_state, started_at))
            }
            (None, 5) => host.event(Event::Timer { token: 1 }),
            (None, 6) => {
                let object = (draw(2) == 0).then(|| ObjectId(draw(200) + 1));
                host.event(Event::Purged {
                    object,
                    group: draw(8) as u32,
                    age: draw(300) * MS,
                })
            }
            (index, _) => {
                if run.in_flight.is_empty() {
                    continue;
                }
                let index = index.unwrap_or(draw(run.in_flight.len() as u64) as usize);
                let (fetch, attempt, _) = run.in_flight.remove(index);
                let is_due = run.open.get(&fetch.id).is_some_and(|o| host.now >= o.0);
                let outcome = match draw(8) {
                    _ if is_due => Outcome::TimedOut,
                    0 => Outcome::Error,
                    1 => Outcome::Overloaded,
                    2 => Outcome::Miss,
                    3 => Outcome::ConnectFailed,
                    4 => Outcome::Reset,
                    _ => Outcome::Served,
                };
                if outcome == Outcome::Served && run.open.contains_key(&fetch.id) {
                    served = Some(fetch.id);
                }
                host.outcome(&fetch, attempt, outcome, CacheStatus::Unknown)
            }
        };
        if let Some(id) = served {
            run.open.remove(&id);
            *run.ended.entry(id).or_default() += 1;
        }
        for action in &actions {
            run.take(host.now, &states, action);
        }
        log.extend(actions);
    }
    host.now += 10 * SECOND;
    for action in host.event(Event::Timer { token: 1 }) {
        if let Action::Reject { id, .. } | Action::Fail { id } = action {
            run.open.remove(&id).expect("the request is open");
        }
    }
    assert!(
        run.open.is_empty(),
        "requests without a final result: {:?}",
        run.open
    );
    assert!(run.ended.values().all(|&n| n == 1));
    log
}
