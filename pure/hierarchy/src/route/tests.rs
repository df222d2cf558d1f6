//! Next hops of fills, and the shields of objects.

use super::*;
use crate::tree::{ProposedNode, TreeDraft};

fn tree_with_top_hubs(n: usize, epoch: u64) -> Tree {
    let node = |name: String, kind, parents: &[&str]| ProposedNode {
        name,
        kind,
        parents: parents.iter().map(|p| p.to_string()).collect(),
    };
    let mut nodes = vec![node("archive".into(), NodeKind::Archive, &[])];
    nodes.extend((0..n).map(|h| node(format!("hub-{h}"), NodeKind::Hub, &["archive"])));
    nodes.push(node("low".into(), NodeKind::Hub, &["hub-0", "archive"]));
    nodes.push(node("office".into(), NodeKind::Location, &["low", "hub-1"]));
    Tree::validate(&TreeDraft {
        epoch,
        nodes,
        ..TreeDraft::default()
    })
    .unwrap()
}

#[test]
fn all_hubs_agree_on_the_shield_and_it_alone_asks_the_archive() {
    let tree = tree_with_top_hubs(12, 1);
    for object in 0..2_000 {
        let shield = tree.shield(object).unwrap();
        assert_eq!(tree.next_hops(shield, object, |_| true), [tree.archive()]);
        for &hub in tree.top_hubs().iter().filter(|h| **h != shield) {
            let hops = tree.next_hops(hub, object, |_| true);
            assert_eq!((hops[0], hops.last()), (shield, Some(&tree.archive())));
            assert!(hops.len() <= MAX_SHIELDS + 1 && hops.iter().all(|to| tree.allows(hub, *to)));
        }
    }
}

#[test]
fn an_unusable_shield_is_replaced_by_the_same_fallback_for_all_hubs() {
    let tree = tree_with_top_hubs(12, 1);
    for object in 0..500 {
        let shield = tree.shield(object).unwrap();
        let usable = |index| index != shield;
        let first_hops: Vec<NodeIndex> = tree
            .top_hubs()
            .iter()
            .filter(|h| **h != shield)
            .map(|h| tree.next_hops(*h, object, usable)[0])
            .collect();
        // The fallback asks the archive, and all others ask the fallback.
        let fallback = first_hops.iter().find(|f| **f != tree.archive()).unwrap();
        assert_eq!(first_hops.iter().filter(|f| *f == fallback).count(), 10);
        assert_eq!(
            first_hops.iter().filter(|f| **f == tree.archive()).count(),
            1
        );
    }
}

#[test]
fn lower_nodes_ask_their_parents_before_the_shield() {
    let tree = tree_with_top_hubs(4, 1);
    let index = |name| tree.find(name).unwrap();
    assert_eq!(
        tree.next_hops(index("office"), 9, |_| true),
        [index("low"), index("hub-1")]
    );
    let low = tree.next_hops(index("low"), 9, |_| true);
    assert_eq!(
        (low[0], low.last()),
        (index("hub-0"), Some(&tree.archive()))
    );
    assert!(low.contains(&tree.shield(9).unwrap()) || tree.shield(9) == Some(index("hub-0")));
    assert!(tree.next_hops(tree.archive(), 9, |_| true).is_empty());
    assert!(tree.next_hops(index("office"), 9, |_| false).is_empty());
    assert!(
        !tree.allows(index("hub-0"), index("low")) && tree.allows(index("low"), index("hub-3"))
    );
}

#[test]
fn removing_a_hub_moves_few_objects() {
    let (before, after) = (tree_with_top_hubs(20, 1), tree_with_top_hubs(19, 2));
    let objects = 40_000;
    let moved = (0..objects)
        .filter(|o| {
            before.name(before.shield(*o).unwrap()) != after.name(after.shield(*o).unwrap())
        })
        .count();
    assert!(
        (moved as f64) < 1.2 / 20.0 * objects as f64,
        "{moved} of {objects}"
    );
}
