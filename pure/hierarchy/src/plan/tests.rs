//! What a plan counts as moved between two trees.

use super::*;
use crate::tree::{ProposedNode, TreeDraft};

fn tree(epoch: u64, hubs: &[&str], office: &[&str]) -> Tree {
    let node = |name: &str, kind, parents: &[&str]| ProposedNode {
        name: name.into(),
        kind,
        parents: parents.iter().map(|p| p.to_string()).collect(),
    };
    let mut nodes = vec![
        node("archive", NodeKind::Archive, &[]),
        node("office", NodeKind::Location, office),
    ];
    nodes.extend(hubs.iter().map(|h| node(h, NodeKind::Hub, &["archive"])));
    Tree::validate(&TreeDraft {
        epoch,
        nodes,
        ..TreeDraft::default()
    })
    .unwrap()
}

#[test]
fn a_plan_counts_moved_paths_and_shields() {
    let old = tree(1, &["east", "south", "north"], &["east"]);
    let same = plan(&old, &tree(2, &["east", "south", "north"], &["east"]));
    assert_eq!(
        (same.reparented.len(), same.shields_moved, same.paths_moved),
        (0, 0.0, 0.0)
    );
    // The office gets another parent: the paths of all its fills move, and no shield does.
    let reparented = plan(&old, &tree(2, &["east", "south", "north"], &["south"]));
    assert_eq!(
        (
            reparented.reparented[0].name.as_ref(),
            reparented.shields_moved
        ),
        ("office", 0.0)
    );
    assert_eq!(reparented.paths_moved, 1.0);
    // One of three hubs is removed: its third of the objects gets another shield.
    let removed = plan(&old, &tree(2, &["east", "south"], &["east"]));
    assert_eq!(removed.removed, ["north".into()]);
    assert!(
        (0.30..0.37).contains(&removed.shields_moved),
        "{}",
        removed.shields_moved
    );
}
