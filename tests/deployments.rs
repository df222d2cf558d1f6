//! The hard cases of a deployment without parents, whose classes go stale in seconds. Drawn settings: tests/settings.rs.
mod common;
use common::*;
use foldmux::interface::*;

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
