//! The selection of sources at one hub, by trees, health and slow start together.

use super::*;
use crate::in_flight::FetchKey;
use crate::tree::{NodeKind, ProposedNode, TreeDraft};

const RULE: SlowStart = SlowStart {
    initial_ratio: 0.1,
    ramp_us: 20_000_000,
    overload_multiple: 2.0,
    overload_window_us: 3_000_000,
    budget_ratio: 0.6,
};
const LIMITS: FetchLimits = FetchLimits {
    fetches: 10,
    waiters: 100,
    lease_us: 1_000_000,
    attempts: 4,
};

fn tree(epoch: u64, top_hubs: &[&str], lower_hubs: &[(&str, &[&str])]) -> Tree {
    let node = |name: &str, kind, parents: &[&str]| ProposedNode {
        name: name.into(),
        kind,
        parents: parents.iter().map(|p| p.to_string()).collect(),
    };
    let mut nodes = vec![node("archive", NodeKind::Archive, &[])];
    nodes.extend(
        top_hubs
            .iter()
            .map(|name| node(name, NodeKind::Hub, &["archive"])),
    );
    nodes.extend(
        lower_hubs
            .iter()
            .map(|(name, parents)| node(name, NodeKind::Hub, parents)),
    );
    Tree::validate(&TreeDraft {
        epoch,
        nodes,
        ..TreeDraft::default()
    })
    .unwrap()
}

fn node(name: &str, tree: Tree, full_rates: &[(&str, f64)]) -> Node {
    let full_rates = full_rates
        .iter()
        .map(|(name, rate)| ((*name).into(), *rate))
        .collect();
    Node::new(name, tree, 10_000_000, LIMITS, RULE, full_rates).unwrap()
}

fn request<'a>(
    object: u64,
    scope: CollapseScope,
    passed: &'a [&'a str],
    tried: &'a [&'a str],
) -> SourceRequest<'a> {
    SourceRequest {
        object,
        scope,
        passed,
        tried,
    }
}

#[test]
fn sources_on_the_path_are_avoided_and_without_others_it_is_a_loop() {
    let mut east = node("east", tree(1, &["south"], &[("east", &["south"])]), &[]);
    let scope = CollapseScope::Version(east.current_tree().version());
    assert_eq!(
        &*east
            .select_source(1, &request(7, scope, &[], &[]))
            .unwrap()
            .name,
        "south"
    );
    assert_eq!(
        east.select_source(1, &request(7, scope, &["south"], &[])),
        Err(NoSource::Loop)
    );
    assert_eq!(
        east.select_source(1, &request(7, scope, &[], &["south"])),
        Err(NoSource::Exhausted)
    );
    let mut east = node(
        "east",
        tree(1, &["south"], &[("east", &["south", "archive"])]),
        &[],
    );
    let choice = east
        .select_source(1, &request(7, scope, &["south"], &[]))
        .unwrap();
    assert!(choice.archive && choice.loop_avoided);
}

#[test]
fn an_ejected_source_is_left_out_while_there_is_another() {
    let mut east = node(
        "east",
        tree(1, &["south", "north"], &[("east", &["south", "north"])]),
        &[],
    );
    let scope = CollapseScope::Version(east.current_tree().version());
    let south: Arc<str> = "south".into();
    east.record_attempt(1, 0, &south, AttemptOutcome::Unreached, None);
    assert_eq!(
        &*east
            .select_source(2, &request(7, scope, &[], &[]))
            .unwrap()
            .name,
        "north"
    );
    assert_eq!(
        &*east
            .select_source(2, &request(7, scope, &[], &["north"]))
            .unwrap()
            .name,
        "south"
    );
}

#[test]
fn the_previous_shield_is_asked_for_a_cached_copy_before_the_archive() {
    let (old_tree, new_tree) = (
        tree(1, &["a", "b", "c"], &[]),
        tree(2, &["a", "b"], &[("c", &["a", "archive"])]),
    );
    let object = (0..)
        .find(|o| &**old_tree.name(old_tree.shield(*o).unwrap()) == "c")
        .unwrap();
    let shield = new_tree.name(new_tree.shield(object).unwrap()).clone();
    let mut node = node(&shield, old_tree, &[]);
    node.apply_tree(5, new_tree, HashMap::new()).unwrap();
    let scope = CollapseScope::Version(node.current_tree().version());
    let first = node
        .select_source(6, &request(object, scope, &[], &[]))
        .unwrap();
    assert_eq!((&*first.name, first.only_if_cached), ("c", true));
    // The archive is asked if the previous shield has no copy, or if the fill came from it.
    assert!(
        node.select_source(6, &request(object, scope, &[], &["c"]))
            .unwrap()
            .archive
    );
    assert!(
        node.select_source(6, &request(object, scope, &["c"], &[]))
            .unwrap()
            .archive
    );
    // After the overlap the archive is asked at once.
    assert!(
        node.select_source(10_000_006, &request(object, scope, &[], &[]))
            .unwrap()
            .archive
    );
}

#[test]
fn a_fill_whose_tree_was_dropped_continues_uncollapsed_under_the_current_one() {
    let mut east = node(
        "east",
        tree(1, &["south", "north"], &[("east", &["south"])]),
        &[],
    );
    let (_, scope) = east.request(
        1,
        FetchKey {
            class: 0,
            object: 7,
            part: 0,
        },
        FillContext::LOCAL,
        0,
        50_000_000,
    );
    east.apply_tree(
        2,
        tree(2, &["south", "north"], &[("east", &["north"])]),
        HashMap::new(),
    )
    .unwrap();
    let during = east.select_source(3, &request(7, scope, &[], &[])).unwrap();
    assert_eq!((&*during.name, during.uncollapsed), ("south", false));
    let after = east
        .select_source(10_000_002, &request(7, scope, &[], &[]))
        .unwrap();
    assert_eq!((&*after.name, after.uncollapsed), ("north", true));
}

#[test]
fn a_source_that_is_warming_up_is_left_out_once_its_share_is_spent() {
    let mut east = node(
        "east",
        tree(1, &["south"], &[("east", &["south", "archive"])]),
        &[("south", 10.0)],
    );
    let scope = CollapseScope::Version(east.current_tree().version());
    let south: Arc<str> = "south".into();
    let admitted = |node: &mut Node, now| {
        (0..100)
            .filter(|_| {
                !node
                    .select_source(now, &request(7, scope, &[], &[]))
                    .unwrap()
                    .archive
            })
            .count()
    };
    let first = admitted(&mut east, 1_000);
    assert!((1..10).contains(&first), "{first}");
    // The source reports that it started long ago.
    east.record_attempt(
        2_000,
        1_000_000,
        &south,
        AttemptOutcome::Served,
        Some(1_000),
    );
    assert_eq!(admitted(&mut east, 3_000), 100);
    // Two failures may mean that the source is restarting.
    (0..2)
        .for_each(|_| east.record_attempt(4_000, 1_000_000, &south, AttemptOutcome::Failed, None));
    assert!((1..=12).contains(&admitted(&mut east, 5_000_000)));
}
