//! Changes from one tree to the next while fills are in flight.

use super::*;
use crate::tree::{NodeKind, ProposedNode, TreeDraft};

const OVERLAP_US: TimestampUs = 5_000_000;

fn tree(epoch: u64, office: &str, instead_of: Option<u64>) -> Tree {
    let node = |name: &str, kind, parents: &[&str]| ProposedNode {
        name: name.into(),
        kind,
        parents: parents.iter().map(|p| p.to_string()).collect(),
    };
    let nodes = vec![
        node("archive", NodeKind::Archive, &[]),
        node("east", NodeKind::Hub, &["archive"]),
        node("south", NodeKind::Hub, &["archive"]),
        node("office", NodeKind::Location, &[office]),
    ];
    Tree::validate(&TreeDraft {
        epoch,
        instead_of,
        nodes,
        skip_tiers: false,
    })
    .unwrap()
}

#[test]
fn a_fill_finishes_under_its_own_tree_while_new_fills_use_the_new_one() {
    let mut versions = TopologyVersions::new("office", tree(1, "east", None), OVERLAP_US).unwrap();
    let old = versions.current().version();
    assert_eq!(
        versions.apply(100, tree(2, "south", None)),
        Ok(Applied::New)
    );
    let new = versions.current().version();
    assert!(versions.may_use(200, old, "east") && versions.may_use(200, old, "south"));
    assert!(!versions.may_use(200, new, "east") && versions.may_use(200, new, "south"));
    assert_eq!(
        versions.expire(100 + OVERLAP_US - 1),
        Vec::<Arc<str>>::new()
    );
    assert_eq!(versions.expire(100 + OVERLAP_US), ["east".into()]);
    assert!(!versions.may_use(100 + OVERLAP_US, old, "east"));
    assert_eq!(versions.previous_count(), 0);
}

#[test]
fn an_older_tree_is_accepted_only_if_it_names_the_epoch_in_service() {
    let mut versions = TopologyVersions::new("office", tree(5, "east", None), OVERLAP_US).unwrap();
    let older = TopologyRejected::Older {
        proposed: 4,
        present: 5,
    };
    assert_eq!(
        versions.apply(1, tree(4, "south", None)),
        Err(older.clone())
    );
    assert_eq!(
        versions.apply(1, tree(5, "south", None)),
        Err(TopologyRejected::Conflict { epoch: 5 })
    );
    let not_in_service = TopologyRejected::NotInService {
        named: 3,
        present: 5,
    };
    assert_eq!(
        versions.apply(1, tree(4, "south", Some(3))),
        Err(not_in_service)
    );
    assert_eq!(versions.apply(1, tree(5, "east", None)), Ok(Applied::Same));
    assert_eq!(versions.current().epoch(), 5);
    assert_eq!(
        versions.apply(1, tree(4, "south", Some(5))),
        Ok(Applied::New)
    );
    assert_eq!(versions.current().epoch(), 4);
    assert!(older.to_string().contains("instead_of = 5"));
    assert_eq!(
        TopologyVersions::new("west", tree(1, "east", None), OVERLAP_US).err(),
        Some(TopologyRejected::NodeMissing("west".into()))
    );
}

#[test]
fn the_number_of_previous_trees_is_bounded() {
    let mut versions = TopologyVersions::new("office", tree(1, "east", None), 60_000_000).unwrap();
    for epoch in 2..200 {
        let now = epoch * 1_000;
        let office = if epoch % 2 == 0 { "south" } else { "east" };
        assert_eq!(
            versions.apply(now, tree(epoch, office, None)),
            Ok(Applied::New)
        );
        assert!(versions.previous_count() <= MAX_PREVIOUS_VERSIONS);
    }
    assert_eq!(versions.expire(u64::MAX), ["south".into()]);
}
