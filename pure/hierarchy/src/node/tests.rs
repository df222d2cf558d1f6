//! A hub's choice of source, over trees, health and cold gates together.

use super::*;
use crate::ledger::Key;
use crate::tree::{Draft, Kind, Proposed};

const RULE: Rule = Rule {
    from: 0.1,
    over: 20_000_000,
    breaks_at: 2.0,
    window: 3_000_000,
    safety: 0.6,
};
const LIMITS: Limits = Limits {
    fetches: 10,
    waits: 100,
    lease: 1_000_000,
    attempts: 4,
};

fn tree(epoch: u64, tops: &[&str], low: &[(&str, &[&str])]) -> Tree {
    let node = |name: &str, kind, parents: &[&str]| Proposed {
        name: name.into(),
        kind,
        parents: parents.iter().map(|p| p.to_string()).collect(),
    };
    let mut nodes = vec![node("archive", Kind::Archive, &[])];
    nodes.extend(tops.iter().map(|name| node(name, Kind::Hub, &["archive"])));
    nodes.extend(
        low.iter()
            .map(|(name, parents)| node(name, Kind::Hub, parents)),
    );
    Tree::check(&Draft {
        epoch,
        nodes,
        ..Draft::default()
    })
    .unwrap()
}

fn node(me: &str, tree: Tree, paces: &[(&str, f64)]) -> Node {
    let paces = paces
        .iter()
        .map(|(name, pace)| ((*name).into(), *pace))
        .collect();
    Node::new(me, tree, 10_000_000, LIMITS, RULE, paces).unwrap()
}

fn seeking<'a>(
    object: u64,
    lane: Lane,
    passed: &'a [&'a str],
    tried: &'a [&'a str],
) -> Seeking<'a> {
    Seeking {
        object,
        lane,
        passed,
        tried,
    }
}

#[test]
fn a_source_on_the_way_is_avoided_and_where_all_are_it_is_a_loop() {
    let mut east = node("east", tree(1, &["south"], &[("east", &["south"])]), &[]);
    let lane = Lane::Of(east.present().stamp());
    assert_eq!(
        &*east.choose(1, &seeking(7, lane, &[], &[])).unwrap().name,
        "south"
    );
    assert_eq!(
        east.choose(1, &seeking(7, lane, &["south"], &[])),
        Err(NoWay::Loop)
    );
    assert_eq!(
        east.choose(1, &seeking(7, lane, &[], &["south"])),
        Err(NoWay::Tried)
    );
    let mut east = node(
        "east",
        tree(1, &["south"], &[("east", &["south", "archive"])]),
        &[],
    );
    let choice = east.choose(1, &seeking(7, lane, &["south"], &[])).unwrap();
    assert!(choice.archive && choice.avoided);
}

#[test]
fn an_unwell_source_is_left_out_while_there_is_another() {
    let mut east = node(
        "east",
        tree(1, &["south", "north"], &[("east", &["south", "north"])]),
        &[],
    );
    let lane = Lane::Of(east.present().stamp());
    let south: Arc<str> = "south".into();
    east.hear(1, 0, &south, Word::Unreached, None);
    assert_eq!(
        &*east.choose(2, &seeking(7, lane, &[], &[])).unwrap().name,
        "north"
    );
    assert_eq!(
        &*east
            .choose(2, &seeking(7, lane, &[], &["north"]))
            .unwrap()
            .name,
        "south"
    );
}

#[test]
fn after_a_rewiring_the_former_shield_is_asked_for_what_it_holds_before_the_archive() {
    let (before, after) = (
        tree(1, &["a", "b", "c"], &[]),
        tree(2, &["a", "b"], &[("c", &["a", "archive"])]),
    );
    let object = (0..)
        .find(|o| &**before.name(before.shield(*o).unwrap()) == "c")
        .unwrap();
    let shield = after.name(after.shield(object).unwrap()).clone();
    let mut node = node(&shield, before, &[]);
    node.rewire(5, after, HashMap::new()).unwrap();
    let lane = Lane::Of(node.present().stamp());
    let first = node.choose(6, &seeking(object, lane, &[], &[])).unwrap();
    assert_eq!((&*first.name, first.hold_only), ("c", true));
    // It lacks it, or is where the fill came from: then the archive.
    assert!(
        node.choose(6, &seeking(object, lane, &[], &["c"]))
            .unwrap()
            .archive
    );
    assert!(
        node.choose(6, &seeking(object, lane, &["c"], &[]))
            .unwrap()
            .archive
    );
    // Once the former tree's time is over, the archive at once.
    assert!(
        node.choose(10_000_006, &seeking(object, lane, &[], &[]))
            .unwrap()
            .archive
    );
}

#[test]
fn a_fill_whose_tree_is_gone_goes_on_solo_by_the_present_one() {
    let mut east = node(
        "east",
        tree(1, &["south", "north"], &[("east", &["south"])]),
        &[],
    );
    let (_, lane) = east.want(
        1,
        Key {
            class: 0,
            object: 7,
            part: 0,
        },
        Arrival::BEGINS,
        0,
        50_000_000,
    );
    east.rewire(
        2,
        tree(2, &["south", "north"], &[("east", &["north"])]),
        HashMap::new(),
    )
    .unwrap();
    let during = east.choose(3, &seeking(7, lane, &[], &[])).unwrap();
    assert_eq!((&*during.name, during.solo), ("south", false));
    let after = east
        .choose(10_000_002, &seeking(7, lane, &[], &[]))
        .unwrap();
    assert_eq!((&*after.name, after.solo), ("north", true));
}

#[test]
fn a_cold_source_is_passed_over_once_it_has_been_given_its_part() {
    let mut east = node(
        "east",
        tree(1, &["south"], &[("east", &["south", "archive"])]),
        &[("south", 10.0)],
    );
    let lane = Lane::Of(east.present().stamp());
    let south: Arc<str> = "south".into();
    let given = |node: &mut Node, now| {
        (0..100)
            .filter(|_| {
                !node
                    .choose(now, &seeking(7, lane, &[], &[]))
                    .unwrap()
                    .archive
            })
            .count()
    };
    let first = given(&mut east, 1_000);
    assert!((1..10).contains(&first), "{first}");
    // It says that it started long ago.
    east.hear(2_000, 1_000_000, &south, Word::Served, Some(1_000));
    assert_eq!(given(&mut east, 3_000), 100);
    // It breaks off twice: it may be a new start.
    (0..2).for_each(|_| east.hear(4_000, 1_000_000, &south, Word::Failed, None));
    assert!((1..=12).contains(&given(&mut east, 5_000_000)));
}
