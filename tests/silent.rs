//! What is done about a cache that says nothing.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn a_cache_that_is_silent_when_an_answer_is_due_is_passed_over_until_it_speaks() {
    let mut front = Front::new(settings(), members());
    let hung = front.serve(77, Note::Filled).cache;
    let out = only_fetch(&front.request(0, 77).1);
    assert_eq!(out.cache, hung);
    // Sent 50 ms of work that is wanted within 500: no answer is owed yet.
    front.now += 400 * MS;
    assert_eq!(only_fetch(&front.request(0, 77).1).cache, hung, "it may still answer in time");
    front.now += 200 * MS;
    assert_ne!(
        only_fetch(&front.request(0, 77).1).cache,
        hung,
        "nothing has timed out yet, and it is silent"
    );
    // Any word will do, also a refusal.
    front.outcome(&out, 0, Outcome::Full, Note::Untold);
    assert_eq!(only_fetch(&front.request(0, 77).1).cache, hung, "it speaks");
}

#[test]
fn a_cache_whose_dials_come_to_nothing_is_left_alone_even_where_no_other_may_be_asked() {
    // All other own caches drain: before, the one whose dials fail was asked again and again.
    let mut front = Front::new(settings(), members());
    for cache in [11, 12, 13] {
        front.change(cache, |m| m.state = State::Draining);
    }
    let lost = |front: &mut Front, object| {
        let out = only_fetch(&front.request(0, object).1);
        assert_eq!(out.cache, CacheId(10));
        front.now += 10 * MS;
        front.outcome(&out, 0, Outcome::ConnectFailed, Note::Untold)
    };
    // One lost dial may be chance: it is asked once more.
    let again = lost(&mut front, 1);
    assert_eq!(only_fetch(&again).cache, CacheId(10));
    front.now += 10 * MS;
    let ended = front.outcome(&only_fetch(&again), 1, Outcome::ConnectFailed, Note::Untold);
    assert_eq!((fetches(&ended).len(), finals(&ended)), (0, 1), "two in a row: it is down");
    let (_, refused) = front.request(0, 2);
    assert!(matches!(refused[..], [Action::Refuse { .. }]), "refused at once, not after a dial: {refused:?}");
    // A second later one may find out.
    front.now += 1_100 * MS;
    let trial = only_fetch(&front.request(0, 3).1);
    assert_eq!(trial.cache, CacheId(10));
    front.outcome(&trial, 0, Outcome::Served, Note::Filled);
    assert_eq!(only_fetch(&front.request(0, 4).1).cache, CacheId(10), "it is back");
}
