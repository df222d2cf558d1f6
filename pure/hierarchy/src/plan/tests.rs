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
fn a_plan_counts_what_moves() {
    let old = tree(1, &["east", "south", "north"], &["east"]);
    let same = plan(&old, &tree(2, &["east", "south", "north"], &["east"]));
    assert_eq!(
        (same.reparented.len(), same.shields_moved, same.paths_moved),
        (0, 0.0, 0.0)
    );
    // The office turned to another hub: its ways move, where that hub is on them; no shield does.
    let turned = plan(&old, &tree(2, &["east", "south", "north"], &["south"]));
    assert_eq!(
        (turned.reparented[0].name.as_ref(), turned.shields_moved),
        ("office", 0.0)
    );
    assert_eq!(turned.paths_moved, 1.0);
    // A hub less: its third of the objects has another shield.
    let less = plan(&old, &tree(2, &["east", "south"], &["east"]));
    assert_eq!(less.removed, ["north".into()]);
    assert!(
        (0.30..0.37).contains(&less.shields_moved),
        "{}",
        less.shields_moved
    );
}
