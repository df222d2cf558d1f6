//! Settings far wider than any one deployment's: whatever they say, the rules hold. And the hard cases of a deployment
//! without parents, whose classes go stale in seconds.
mod common;
use common::*;
use foldmux::interface::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn repeats() -> impl Strategy<Value = Repeat> {
    prop_oneof![
        Just(Repeat::Safe),
        Just(Repeat::SingleShot),
        Just(Repeat::Keyed(Group::All)),
        Just(Repeat::Keyed(Group::Zone)),
    ]
}

prop_compose! {
    fn classes()(
        aim in 50u64..2_000, stretch in 0.0..4.0f64, deadline in 300u64..10_000, repeat in repeats(),
        window in 100u64..10_000, fresh in prop_oneof![Just(0u64), 1u64..60], grace in 0u64..120, write in any::<bool>(),
    ) -> Class {
        Class {
            aim: aim * MS, aim_stretch: stretch, deadline: deadline * MS, worth: 1.0, late_worth: 0.1, repeat,
            repeat_window: window * MS, fresh: if write { 0 } else { fresh * SECOND }, grace: grace * SECOND,
            pass_on: write,
        }
    }
}

prop_compose! {
    fn choices()(
        classes in prop::collection::vec(classes(), 1..4), parents in any::<bool>(),
        siblings in prop_oneof![Just(Siblings::None), Just(Siblings::OwnZone), Just(Siblings::Any)],
        notes in prop_oneof![Just(Notes::None), Just(Notes::HitOnly), Just(Notes::All)],
        bits in any::<[bool; 4]>(), max_attempts in 1u32..10, cold_from in 0.02..0.7f64, cold_for in 1u64..40,
        multiple in 1.1..6.0f64, window in 200u64..5_000, purge_done in 1u64..20, pace in 0.0..20_000.0f64,
        origin_falls in 0.0..3.0f64, routers in 1u32..200,
    ) -> Settings {
        Settings {
            classes, siblings, notes, max_attempts, routers, can_join: bits[0], direct: bits[1], may_cancel: bits[2],
            weights_told: bits[3], parent_kind: parents.then_some(PARENT), may_duplicate: false,
            client_kb_per_s: pace, cache_cold_from: cold_from, cache_cold_for: cold_for * SECOND,
            cache_fall_multiple: multiple, fall_window: window * MS, purge_done: purge_done * SECOND,
            origin_fall_multiple: origin_falls, routers_by_zone: vec![0, 0, routers, 1], ..settings()
        }
    }
}

/// One request as the test sees it.
struct Seen {
    class: usize,
    object: u64,
    sent: u32,
    out: Option<Fetch>,
    /// Where it may have run first.
    ran: Option<CacheId>,
}

#[derive(Clone, Debug)]
enum Step {
    Ask(usize, u64, f64),
    End(usize, u8),
    Change(usize, u8),
    Purge(Option<u64>, u64),
    Leave(usize),
    Tick,
}

fn steps() -> impl Strategy<Value = (u64, Step)> {
    let step = prop_oneof![
        6 => (0usize..4, 1u64..60, 0.0..40_000.0f64).prop_map(|(c, o, s)| Step::Ask(c, o, s)),
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
    [Served, Served, Error, Full, TimedOut, ConnectFailed, Reset, Miss, NeverSent][how as usize % 9]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 160, max_shrink_iters: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(26), ..ProptestConfig::default() })]

    #[test]
    fn whatever_the_settings_say_the_rules_hold(
        choice in choices(), own in 0u32..6, others in 0u32..5, parents in 0u32..4,
        steps in prop::collection::vec(steps(), 50..400),
    ) {
        let list = members_of(own, others, if choice.parent_kind.is_some() { parents } else { 0 });
        let mut state: BTreeMap<u32, Member> = list.iter().map(|m| (m.cache.0, m.clone())).collect();
        let mut front = Front::new(choice.clone(), list.clone());
        let mut open: BTreeMap<RequestId, Seen> = BTreeMap::new();
        let mut purges: Vec<(Option<u64>, Time, Time)> = Vec::new();
        for (wait, step) in steps {
            front.now += wait * MS;
            let now = front.now;
            let actions = match step {
                Step::Ask(class, object, size) => {
                    let class = class % choice.classes.len();
                    // Put down before the router speaks of it: its id is the next.
                    let id = RequestId(front.next + 1);
                    open.insert(id, Seen { class, object, sent: 0, out: None, ran: None });
                    front.request_of(class, object, size).1
                }
                Step::End(at, how) => {
                    let out: Vec<RequestId> = open.iter().filter(|(_, s)| s.out.is_some()).map(|(&id, _)| id).collect();
                    let Some(&id) = out.get(at % out.len().max(1)) else { continue };
                    let seen = open.get_mut(&id).unwrap();
                    let fetch = seen.out.take().unwrap();
                    let end = outcome(how);
                    if !end.never_ran() && end != Outcome::Served {
                        seen.ran.get_or_insert(fetch.cache);
                    }
                    let attempt = seen.sent as u8 - 1;
                    if end == Outcome::Served {
                        open.remove(&id);
                    }
                    front.outcome(&fetch, attempt, end, Note::Untold)
                }
                Step::Change(at, how) => {
                    let Some(before) = list.get(at % list.len()) else { continue };
                    let new = [State::Ready, State::Draining, State::Gone, State::Ready][how as usize];
                    let boot = if how == 3 { now } else { before.boot };
                    let changed = Member { state: new, boot, ..before.clone() };
                    state.insert(before.cache.0, changed.clone());
                    front.event(Event::Members { full: false, members: vec![changed] })
                }
                Step::Purge(object, ago) => {
                    purges.push((object, now - ago * MS, now));
                    front.event(Event::Purged { object: object.map(ObjectId), group: 5, ago: ago * MS })
                }
                Step::Leave(at) => {
                    let Some(&id) = open.keys().nth(at % open.len().max(1)) else { continue };
                    open.remove(&id);
                    front.event(Event::ClientGone { id })
                }
                Step::Tick => front.event(Event::Timer { token: 1 }),
            };
            for action in actions {
                match action {
                    Action::Fetch(fetch) => {
                        let seen = open.get_mut(&fetch.id).expect("nothing is sent after the end");
                        let rules = &choice.classes[seen.class];
                        prop_assert!(seen.out.is_none(), "two attempts at once");
                        prop_assert!(seen.sent < choice.max_attempts, "attempt {} of {}", seen.sent + 1, choice.max_attempts);
                        let (cache, source) = (&state[&fetch.cache.0], &state[&fetch.source.0]);
                        prop_assert!(cache.state == State::Ready && source.state == State::Ready, "drains and goings bind");
                        prop_assert!(cache.kind != 0 || cache.zone == choice.zone, "own location only");
                        prop_assert!(cache.kind == 0 || choice.direct, "not straight to parents or the origin");
                        if source.kind == 0 && fetch.source != fetch.cache {
                            let allowed = match choice.siblings {
                                Siblings::None => false,
                                Siblings::OwnZone => source.zone == choice.zone,
                                Siblings::Any => true,
                            };
                            prop_assert!(allowed, "{:?} names {:?} as a source", choice.siblings, fetch.source);
                        }
                        if let Some(first) = seen.ran {
                            match rules.repeat {
                                Repeat::Safe | Repeat::Keyed(Group::All) => {}
                                Repeat::SingleShot => prop_assert!(false, "a single shot that may have run is sent again"),
                                keyed => prop_assert_eq!(keyed.group_of(&state[&first.0]), keyed.group_of(cache)),
                            }
                        }
                        if rules.fresh > 0 {
                            prop_assert!(fetch.max_age <= rules.fresh + rules.grace, "older than fresh time and grace");
                        }
                        for &(object, stamp, told) in &purges {
                            let bound = object.is_none_or(|o| o == seen.object) && now < told + choice.purge_done;
                            if bound {
                                prop_assert!((1..=(now - stamp).max(1)).contains(&fetch.max_age), "a purge binds");
                            }
                        }
                        prop_assert_eq!(fetch.keep == 0, rules.pass_on, "a write is never kept");
                        seen.sent += 1;
                        seen.out = Some(fetch);
                    }
                    Action::Refuse { id, .. } => {
                        let seen = open.remove(&id).expect("one final answer");
                        let repeat = choice.classes[seen.class].repeat;
                        let harmless = matches!(repeat, Repeat::Safe | Repeat::Keyed(Group::All)) || seen.ran.is_none();
                        prop_assert!(harmless, "a refusal says that trying again is harmless");
                    }
                    Action::Fail { id } => {
                        open.remove(&id).expect("one final answer");
                    }
                    _ => {}
                }
            }
        }
    }
}

#[test]
fn a_never_twice_request_whose_connection_breaks_is_sent_again_only_where_nothing_was_written() {
    let list = members_of(4, 0, 0);
    // Before the write: proof that nothing ran. During or after it: it may have run.
    for (end, again) in [(Outcome::ConnectFailed, true), (Outcome::NeverSent, true), (Outcome::Reset, false)]
    {
        let mut front = Front::new(stale_pages(), list.clone());
        let first = only_fetch(&front.request(1, 7).1);
        let next = front.outcome(&first, 0, end, Note::Untold);
        assert_eq!(fetches(&next).len(), again as usize, "{end:?}: {next:?}");
        assert_eq!(matches!(next[..], [Action::Fail { .. }]), !again, "{end:?}: failed, not refused");
    }
}

#[test]
fn a_purge_of_most_groups_at_once_with_grace_left_binds_every_request() {
    let mut front = Front::new(stale_pages(), members_of(4, 3, 0));
    for k in 0..60 {
        front.serve(k, Note::Untold);
    }
    for group in 0..32 {
        front.event(Event::Purged { object: None, group, ago: 100 * MS });
    }
    for k in 0..60 {
        front.now += 20 * MS;
        for fetch in fetches(&front.request(0, k).1) {
            assert!(
                fetch.max_age >= 1 && fetch.max_age <= 100 * MS + 20 * MS * (k + 1),
                "{k}: {}",
                fetch.max_age
            );
            front.outcome(&fetch, 0, Outcome::Served, Note::Untold);
        }
    }
}

#[test]
fn a_location_of_one_cache_goes_on_while_it_is_replaced() {
    let mut front = Front::new(stale_pages(), members_of(1, 3, 0));
    for k in 0..40 {
        assert_eq!(front.serve(k, Note::Untold).cache.0, 10);
    }
    let gone = Member { state: State::Gone, ..member(10, 2, 0) };
    front.event(Event::Members { full: false, members: vec![gone] });
    assert_eq!(finals(&front.request(0, 1).1), 1, "nobody may take it: answered at once");
    let boot = front.now;
    front.event(Event::Members { full: false, members: vec![Member { boot, ..member(11, 2, 0) }] });
    let mut sent = 0;
    for k in 100..400 {
        front.now += 40 * MS;
        for fetch in fetches(&front.request_of(0, k, 500.0).1) {
            assert_eq!(fetch.cache.0, 11);
            sent += 1;
            front.outcome(&fetch, 0, Outcome::Served, Note::Untold);
        }
    }
    assert!(sent > 30, "the cold cache has its share: {sent}");
}

#[test]
fn all_caches_of_a_location_replaced_within_twenty_seconds_leave_no_send_to_one_that_went() {
    let mut front = Front::new(stale_pages(), members_of(5, 3, 0));
    let mut listed: Vec<u32> = (10..15).collect();
    let (mut served, mut asked) = (0, 0);
    for k in 0..500u64 {
        front.now += 40 * MS;
        if k % 100 == 50 {
            let (old, new, boot) = (listed.remove(0), 50 + k as u32 / 100, front.now);
            let drained = Member { state: State::Draining, ..member(old, 2, 0) };
            let started = Member { boot, ..member(new, 2, 0) };
            front.event(Event::Members { full: false, members: vec![drained, started] });
            listed.push(new);
        }
        asked += 1;
        for fetch in fetches(&front.request(0, k % 80).1) {
            assert!(listed.contains(&fetch.cache.0), "{} went", fetch.cache.0);
            served += 1;
            front.outcome(&fetch, 0, Outcome::Served, Note::Untold);
        }
    }
    assert!(served * 10 > asked * 8, "{served} of {asked}");
}

#[test]
fn objects_of_twenty_one_times_the_size_do_not_close_the_ways_of_the_others() {
    let mut front = Front::new(stale_pages(), members_of(4, 3, 0));
    let mut refused = 0;
    for k in 0..600u64 {
        front.now += 30 * MS;
        let huge = k % 40 == 0;
        let (_, actions) = front.request_of(0, 1_000 + k, if huge { 500.0 * 21.0 } else { 500.0 });
        refused += finals(&actions);
        for fetch in fetches(&actions) {
            // The link carries each at its pace: a huge one takes 21 times as long, and is in time.
            let work = if huge { 21 * 50 * MS } else { 50 * MS };
            front.outcome_after(&fetch, 0, Outcome::Served, Note::Untold, work + 60 * MS);
        }
    }
    assert_eq!(refused, 0, "nothing is turned away for being beside a large one");
}
