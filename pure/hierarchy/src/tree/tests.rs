//! Checks of a proposed tree.

use super::*;

fn node(name: &str, kind: Kind, parents: &[&str]) -> Proposed {
    Proposed {
        name: name.into(),
        kind,
        parents: parents.iter().map(|p| p.to_string()).collect(),
    }
}

fn draft(nodes: Vec<Proposed>) -> Draft {
    Draft {
        epoch: 3,
        nodes,
        ..Draft::default()
    }
}

fn sound() -> Vec<Proposed> {
    vec![
        node("archive", Kind::Archive, &[]),
        node("south", Kind::Hub, &["archive"]),
        node("east", Kind::Hub, &["south", "archive"]),
        node("porvoo", Kind::Location, &["east", "south"]),
    ]
}

#[test]
fn a_sound_tree_is_taken_and_is_the_same_however_it_is_written() {
    let tree = Tree::check(&draft(sound())).unwrap();
    assert_eq!(
        tree.tops()
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
    let mut turned = sound();
    turned.reverse();
    assert_eq!(Tree::check(&draft(turned)).unwrap().stamp(), tree.stamp());
    let mut other = sound();
    other[3].parents.reverse();
    assert_ne!(Tree::check(&draft(other)).unwrap().stamp(), tree.stamp());
    let stamp = tree.stamp();
    assert_eq!(Stamp::parse(&stamp.to_string()), Some(stamp));
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
        assert_eq!(Stamp::parse(text), None, "{text}");
    }
}

#[test]
fn what_is_wrong_with_a_draft_is_named() {
    let with = |change: &dyn Fn(&mut Vec<Proposed>)| {
        let mut nodes = sound();
        change(&mut nodes);
        Tree::check(&draft(nodes)).map(|t| t.stamp()).unwrap_err()
    };
    let parents = |at: usize, parents: &'static [&'static str]| {
        with(&move |n: &mut Vec<Proposed>| {
            n[at].parents = parents.iter().map(|p| p.to_string()).collect()
        })
    };
    let s = |text: &str| text.to_string();
    assert_eq!(
        parents(3, &["west"]),
        [Fault::Unknown(s("porvoo"), s("west"))]
    );
    assert_eq!(
        parents(3, &[]),
        [Fault::Parentless(s("porvoo"), Kind::Location)]
    );
    assert_eq!(parents(3, &["archive"]), [Fault::Skips(s("porvoo"))]);
    assert_eq!(
        parents(3, &["east", "east"]),
        [Fault::ParentTwice(s("porvoo"), s("east"))]
    );
    assert_eq!(
        parents(2, &["archive", "south"]),
        [Fault::ArchiveNotLast(s("east"))]
    );
    assert_eq!(
        parents(2, &["porvoo"]),
        [Fault::ParentIsLocation(s("east"), s("porvoo"))]
    );
    assert_eq!(
        parents(0, &["east"]),
        [Fault::ArchiveHasParents(s("archive"))]
    );
    assert_eq!(
        parents(1, &["east", "archive"]),
        [Fault::Cycle(vec![s("east"), s("south"), s("east")])]
    );
    assert_eq!(
        parents(2, &["east", "archive"]),
        [Fault::Cycle(vec![s("east"), s("east")])]
    );
    assert_eq!(
        with(&|n| n[0].kind = Kind::Hub).last(),
        Some(&Fault::Archives(vec![]))
    );
    assert_eq!(with(&|n| n.push(n[3].clone())), [Fault::Twice(s("porvoo"))]);
    assert_eq!(
        with(&|n| n[3].name = s("Porvoo")),
        [Fault::Name(s("Porvoo"))]
    );
    let many = vec![node("archive", Kind::Archive, &[]); NODES_MOST + 1];
    assert_eq!(
        Tree::check(&draft(many)).unwrap_err(),
        [Fault::TooManyNodes(NODES_MOST + 1)]
    );
    let skipping = Draft {
        skip: true,
        nodes: sound(),
        epoch: 0,
        instead_of: None,
    };
    assert_eq!(Tree::check(&skipping).unwrap_err(), [Fault::EpochZero]);
    assert!(Fault::Skips(s("a")).to_string().contains("skip_tiers"));
}

#[test]
fn a_chain_as_long_as_the_tree_is_checked_without_recursion() {
    let mut nodes = vec![node("archive", Kind::Archive, &[])];
    for n in 0..NODES_MOST - 1 {
        let parent = if n == 0 {
            "archive".to_string()
        } else {
            format!("h{}", n - 1)
        };
        nodes.push(node(&format!("h{n}"), Kind::Hub, &[&parent]));
    }
    assert_eq!(Tree::check(&draft(nodes)).unwrap().tops().len(), 1);
}
