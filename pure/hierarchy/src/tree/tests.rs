//! Validation of proposed trees.

use super::*;

fn node(name: &str, kind: NodeKind, parents: &[&str]) -> ProposedNode {
    ProposedNode {
        name: name.into(),
        kind,
        parents: parents.iter().map(|p| p.to_string()).collect(),
    }
}

fn draft(nodes: Vec<ProposedNode>) -> TreeDraft {
    TreeDraft {
        epoch: 3,
        nodes,
        ..TreeDraft::default()
    }
}

fn valid_nodes() -> Vec<ProposedNode> {
    vec![
        node("archive", NodeKind::Archive, &[]),
        node("south", NodeKind::Hub, &["archive"]),
        node("east", NodeKind::Hub, &["south", "archive"]),
        node("porvoo", NodeKind::Location, &["east", "south"]),
    ]
}

#[test]
fn a_valid_tree_is_accepted_and_its_version_does_not_depend_on_the_order_of_its_nodes() {
    let tree = Tree::validate(&draft(valid_nodes())).unwrap();
    assert_eq!(
        tree.top_hubs()
            .iter()
            .map(|t| &**tree.name(*t))
            .collect::<Vec<_>>(),
        ["south"]
    );
    assert_eq!(
        (
            &**tree.name(tree.archive()),
            tree.callers(tree.find("south").unwrap()).count()
        ),
        ("archive", 2)
    );
    let height = |name| tree.height(tree.find(name).unwrap());
    assert_eq!(
        ["archive", "south", "east", "porvoo"].map(height),
        [0, 2, 3, 4]
    );
    let mut reversed = valid_nodes();
    reversed.reverse();
    assert_eq!(
        Tree::validate(&draft(reversed)).unwrap().version(),
        tree.version()
    );
    let mut other = valid_nodes();
    other[3].parents.reverse();
    assert_ne!(
        Tree::validate(&draft(other)).unwrap().version(),
        tree.version()
    );
    let version = tree.version();
    assert_eq!(TreeVersion::parse(&version.to_string()), Some(version));
    for text in [
        "",
        "3",
        "3-",
        "-00000000",
        "3-0000000",
        "+3-00000000",
        "3-0000000g",
        "x-00000000",
    ] {
        assert_eq!(TreeVersion::parse(text), None, "{text}");
    }
}

#[test]
fn each_fault_of_a_draft_is_reported() {
    let with = |change: &dyn Fn(&mut Vec<ProposedNode>)| {
        let mut nodes = valid_nodes();
        change(&mut nodes);
        Tree::validate(&draft(nodes))
            .map(|t| t.version())
            .unwrap_err()
    };
    let with_parents = |index: usize, parents: &'static [&'static str]| {
        with(&move |n: &mut Vec<ProposedNode>| {
            n[index].parents = parents.iter().map(|p| p.to_string()).collect()
        })
    };
    let s = |text: &str| text.to_string();
    assert_eq!(
        with_parents(3, &["west"]),
        [TreeFault::UnknownParent(s("porvoo"), s("west"))]
    );
    assert_eq!(
        with_parents(3, &[]),
        [TreeFault::NoParent(s("porvoo"), NodeKind::Location)]
    );
    assert_eq!(
        with_parents(3, &["archive"]),
        [TreeFault::SkipsHubs(s("porvoo"))]
    );
    assert_eq!(
        with_parents(3, &["east", "east"]),
        [TreeFault::DuplicateParent(s("porvoo"), s("east"))]
    );
    assert_eq!(
        with_parents(2, &["archive", "south"]),
        [TreeFault::ArchiveNotLast(s("east"))]
    );
    assert_eq!(
        with_parents(2, &["porvoo"]),
        [TreeFault::ParentIsLocation(s("east"), s("porvoo"))]
    );
    assert_eq!(
        with_parents(0, &["east"]),
        [TreeFault::ArchiveHasParents(s("archive"))]
    );
    assert_eq!(
        with_parents(1, &["east", "archive"]),
        [TreeFault::Cycle(vec![s("east"), s("south"), s("east")])]
    );
    assert_eq!(
        with_parents(2, &["east", "archive"]),
        [TreeFault::Cycle(vec![s("east"), s("east")])]
    );
    assert_eq!(
        with(&|n| n[0].kind = NodeKind::Hub).last(),
        Some(&TreeFault::NotOneArchive(vec![]))
    );
    assert_eq!(
        with(&|n| n.push(n[3].clone())),
        [TreeFault::DuplicateName(s("porvoo"))]
    );
    assert_eq!(
        with(&|n| n[3].name = s("Porvoo")),
        [TreeFault::InvalidName(s("Porvoo"))]
    );
    let many = vec![node("archive", NodeKind::Archive, &[]); MAX_NODES + 1];
    assert_eq!(
        Tree::validate(&draft(many)).unwrap_err(),
        [TreeFault::TooManyNodes(MAX_NODES + 1)]
    );
    let epoch_zero = TreeDraft {
        skip_tiers: true,
        nodes: valid_nodes(),
        epoch: 0,
        instead_of: None,
    };
    assert_eq!(
        Tree::validate(&epoch_zero).unwrap_err(),
        [TreeFault::EpochZero]
    );
    assert!(TreeFault::SkipsHubs(s("a"))
        .to_string()
        .contains("skip_tiers"));
}

#[test]
fn a_chain_as_long_as_the_tree_is_checked_without_recursion() {
    let mut nodes = vec![node("archive", NodeKind::Archive, &[])];
    for n in 0..MAX_NODES - 1 {
        let parent = if n == 0 {
            "archive".to_string()
        } else {
            format!("h{}", n - 1)
        };
        nodes.push(node(&format!("h{n}"), NodeKind::Hub, &[&parent]));
    }
    assert_eq!(Tree::validate(&draft(nodes)).unwrap().top_hubs().len(), 1);
}
