//! Where a fill goes next, and which hub shields an object.

use super::*;
use crate::tree::{ProposedNode, TreeDraft};

pub fn hubs(n: usize, epoch: u64) -> Tree {
    let proposed = |name: String, kind, parents: &[&str]| ProposedNode {
        name,
        kind,
        parents: parents.iter().map(|p| p.to_string()).collect(),
    };
    let mut nodes = vec![proposed("archive".into(), NodeKind::Archive, &[])];
    nodes.extend((0..n).map(|h| proposed(format!("hub-{h}"), NodeKind::Hub, &["archive"])));
    nodes.push(proposed("low".into(), NodeKind::Hub, &["hub-0", "archive"]));
    nodes.push(proposed(
        "office".into(),
        NodeKind::Location,
        &["low", "hub-1"],
    ));
    Tree::validate(&TreeDraft {
        epoch,
        nodes,
        ..TreeDraft::default()
    })
    .unwrap()
}

#[test]
fn all_hubs_agree_on_a_shield_and_it_alone_goes_to_the_archive() {
    let tree = hubs(12, 1);
    for object in 0..2_000 {
        let shield = tree.shield(object).unwrap();
        assert_eq!(tree.next(shield, object, |_| true), [tree.archive()]);
        for &hub in tree.top_hubs().iter().filter(|h| **h != shield) {
            let next = tree.next(hub, object, |_| true);
            assert_eq!((next[0], next.last()), (shield, Some(&tree.archive())));
            assert!(next.len() <= MAX_SHIELDS + 1 && next.iter().all(|to| tree.allows(hub, *to)));
        }
    }
}

#[test]
fn a_shield_that_may_not_be_used_has_one_stand_in_for_all() {
    let tree = hubs(12, 1);
    for object in 0..500 {
        let shield = tree.shield(object).unwrap();
        let rest = |ix| ix != shield;
        let firsts: Vec<NodeIndex> = tree
            .top_hubs()
            .iter()
            .filter(|h| **h != shield)
            .map(|h| tree.next(*h, object, rest)[0])
            .collect();
        // The stand-in goes to the archive, all others to the stand-in.
        let stand_in = firsts.iter().find(|f| **f != tree.archive()).unwrap();
        assert_eq!(firsts.iter().filter(|f| *f == stand_in).count(), 10);
        assert_eq!(firsts.iter().filter(|f| **f == tree.archive()).count(), 1);
    }
}

#[test]
fn lower_nodes_go_by_their_parents_then_over_the_shield() {
    let tree = hubs(4, 1);
    let ix = |name| tree.find(name).unwrap();
    assert_eq!(
        tree.next(ix("office"), 9, |_| true),
        [ix("low"), ix("hub-1")]
    );
    let low = tree.next(ix("low"), 9, |_| true);
    assert_eq!((low[0], low.last()), (ix("hub-0"), Some(&tree.archive())));
    assert!(low.contains(&tree.shield(9).unwrap()) || tree.shield(9) == Some(ix("hub-0")));
    assert!(tree.next(tree.archive(), 9, |_| true).is_empty());
    assert!(tree.next(ix("office"), 9, |_| false).is_empty());
    assert!(!tree.allows(ix("hub-0"), ix("low")) && tree.allows(ix("low"), ix("hub-3")));
}

#[test]
fn few_objects_move_when_a_hub_goes() {
    let (all, less) = (hubs(20, 1), hubs(19, 2));
    let objects = 40_000;
    let moved = (0..objects)
        .filter(|o| all.name(all.shield(*o).unwrap()) != less.name(less.shield(*o).unwrap()))
        .count();
    assert!(
        (moved as f64) < 1.2 / 20.0 * objects as f64,
        "{moved} of {objects}"
    );
}
