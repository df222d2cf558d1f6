//! Generated events, over which the rules hold.
mod common;
use common::*;
use foldmux::interface::*;
use std::collections::BTreeMap;

#[test]
fn random_events_from_a_fixed_seed_one_final_result_each_and_no_attempt_at_a_draining_cache() {
    for seed in 0..12u64 {
        let (log, again) = (play(seed), play(seed));
        assert_eq!(log, again, "identical events give identical actions");
        assert!(log.len() > 500);
    }
}

/// What a run knows of its requests.
#[derive(Default)]
struct Run {
    /// By open request: its deadline, and the number of its next attempt.
    open: BTreeMap<RequestId, (Time, u8)>,
    in_flight: Vec<(Fetch, u8, Time)>,
    /// Final results by request.
    ended: BTreeMap<RequestId, u32>,
}

impl Run {
    /// Asserts the rules on an action and takes it in.
    fn take(&mut self, now: Time, state: &BTreeMap<u32, MemberState>, action: &Action) {
        match action {
            Action::Fetch(fetch) => {
                assert_eq!(
                    state[&fetch.cache.0],
                    MemberState::Ready,
                    "sent to a cache that is not ready"
                );
                assert_eq!(
                    state[&fetch.source.0],
                    MemberState::Ready,
                    "a source that is not ready"
                );
                let entry = self
                    .open
                    .get_mut(&fetch.id)
                    .expect("nothing is sent after the end");
                self.in_flight.push((fetch.clone(), entry.1, now));
                entry.1 += 1;
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                self.open.remove(id).expect("one final answer");
                *self.ended.entry(*id).or_default() += 1;
            }
            Action::Cancel { id, attempt } => {
                let in_flight = |(f, a, _): &(Fetch, u8, Time)| f.id == *id && a == attempt;
                assert!(
                    self.in_flight.iter().any(in_flight),
                    "cancels what is in flight"
                );
            }
            _ => {}
        }
    }
}

/// Plays generated events; asserts the rules as it goes and gives all actions.
fn play(seed: u64) -> Vec<Action> {
    let mut x = seed.wrapping_mul(0x9e3779b97f4a7c15) | 1;
    let mut draw = move |n: u64| {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        x % n
    };
    let told = [
        CacheStatusDetail::None,
        CacheStatusDetail::HitOnly,
        CacheStatusDetail::All,
    ][(seed % 3) as usize];
    let choice = Settings {
        cache_status_detail: told,
        may_hedge: seed.is_multiple_of(2),
        ..settings()
    };
    let mut front = Front::new(choice, members());
    let mut state: BTreeMap<u32, MemberState> =
        members().iter().map(|m| (m.cache.0, m.state)).collect();
    let mut run = Run::default();
    let mut log = Vec::new();
    for step in 0..4_000 {
        front.now += draw(20) * MS;
        let overdue = run
            .in_flight
            .iter()
            .position(|(f, _, _)| run.open.get(&f.id).is_some_and(|o| front.now >= o.0));
        let mut closing = None;
        let actions = match (overdue, draw(10)) {
            (None, 0..=3) if step < 3_500 => {
                let (id, actions) = front.request(draw(2) as usize, draw(200) + 1);
                run.open.insert(id, (front.now + 3 * SECOND, 0));
                actions
            }
            (None, 4) => {
                let cache = [10, 11, 12, 13, 20, 21, 22, 30, 31][draw(9) as usize];
                let new = [
                    MemberState::Ready,
                    MemberState::Ready,
                    MemberState::Draining,
                    MemberState::Gone,
                ][draw(4) as usize];
                state.insert(cache, new);
                let boot = front.now;
                front.change(cache, |m| (m.state, m.started_at) = (new, boot))
            }
            (None, 5) => front.event(Event::Timer { token: 1 }),
            (None, 6) => {
                let object = (draw(2) == 0).then(|| ObjectId(draw(200) + 1));
                front.event(Event::Purged {
                    object,
                    group: draw(8) as u32,
                    age: draw(300) * MS,
                })
            }
            (at, _) => {
                if run.in_flight.is_empty() {
                    continue;
                }
                let at = at.unwrap_or(draw(run.in_flight.len() as u64) as usize);
                let (fetch, attempt, _) = run.in_flight.remove(at);
                let due = run.open.get(&fetch.id).is_some_and(|o| front.now >= o.0);
                let outcome = match draw(8) {
                    _ if due => Outcome::TimedOut,
                    0 => Outcome::Error,
                    1 => Outcome::Overloaded,
                    2 => Outcome::Miss,
                    3 => Outcome::ConnectFailed,
                    4 => Outcome::Reset,
                    _ => Outcome::Served,
                };
                if outcome == Outcome::Served && run.open.contains_key(&fetch.id) {
                    closing = Some(fetch.id);
                }
                front.outcome(&fetch, attempt, outcome, CacheStatus::Unknown)
            }
        };
        if let Some(id) = closing {
            run.open.remove(&id);
            *run.ended.entry(id).or_default() += 1;
        }
        for action in &actions {
            run.take(front.now, &state, action);
        }
        log.extend(actions);
    }
    front.now += 10 * SECOND;
    for action in front.event(Event::Timer { token: 1 }) {
        if let Action::Reject { id, .. } | Action::Fail { id } = action {
            run.open.remove(&id).expect("one final answer");
        }
    }
    assert!(run.open.is_empty(), "no request is lost: {:?}", run.open);
    assert!(run.ended.values().all(|&n| n == 1));
    log
}
