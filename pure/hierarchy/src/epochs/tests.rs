//! Changing from one tree to the next while fills are under way.

use super::*;
use crate::tree::{Draft, Kind, Proposed};

const OVERLAP: Time = 5_000_000;

fn tree(epoch: u64, office: &str, instead_of: Option<u64>) -> Tree {
    let node = |name: &str, kind, parents: &[&str]| Proposed {
        name: name.into(),
        kind,
        parents: parents.iter().map(|p| p.to_string()).collect(),
    };
    let nodes = vec![
        node("archive", Kind::Archive, &[]),
        node("east", Kind::Hub, &["archive"]),
        node("south", Kind::Hub, &["archive"]),
        node("office", Kind::Location, &[office]),
    ];
    Tree::check(&Draft {
        epoch,
        instead_of,
        nodes,
        skip: false,
    })
    .unwrap()
}

#[test]
fn a_fill_ends_as_it_began_while_new_ones_go_the_new_way() {
    let mut wiring = Wiring::new("office", tree(1, "east", None), OVERLAP).unwrap();
    let old = wiring.present().stamp();
    assert_eq!(wiring.take(100, tree(2, "south", None)), Ok(Taken::New));
    let new = wiring.present().stamp();
    assert!(wiring.may_use(200, old, "east") && wiring.may_use(200, old, "south"));
    assert!(!wiring.may_use(200, new, "east") && wiring.may_use(200, new, "south"));
    assert_eq!(wiring.look(100 + OVERLAP - 1), Vec::<Arc<str>>::new());
    assert_eq!(wiring.look(100 + OVERLAP), ["east".into()]);
    assert!(!wiring.may_use(100 + OVERLAP, old, "east"));
    assert_eq!(wiring.former(), 0);
}

#[test]
fn an_older_tree_is_taken_only_by_name() {
    let mut wiring = Wiring::new("office", tree(5, "east", None), OVERLAP).unwrap();
    let older = Refused::Older {
        proposed: 4,
        present: 5,
    };
    assert_eq!(wiring.take(1, tree(4, "south", None)), Err(older.clone()));
    assert_eq!(
        wiring.take(1, tree(5, "south", None)),
        Err(Refused::Clash { epoch: 5 })
    );
    let not_in_service = Refused::NotInService {
        named: 3,
        present: 5,
    };
    assert_eq!(
        wiring.take(1, tree(4, "south", Some(3))),
        Err(not_in_service)
    );
    assert_eq!(wiring.take(1, tree(5, "east", None)), Ok(Taken::Same));
    assert_eq!(wiring.present().epoch(), 5);
    assert_eq!(wiring.take(1, tree(4, "south", Some(5))), Ok(Taken::New));
    assert_eq!(wiring.present().epoch(), 4);
    assert!(older.to_string().contains("instead_of = 5"));
    assert_eq!(
        Wiring::new("west", tree(1, "east", None), OVERLAP).err(),
        Some(Refused::Without("west".into()))
    );
}

#[test]
fn rewired_back_and_forth_it_holds_a_bounded_number_of_trees() {
    let mut wiring = Wiring::new("office", tree(1, "east", None), 60_000_000).unwrap();
    for epoch in 2..200 {
        let now = epoch * 1_000;
        let office = if epoch % 2 == 0 { "south" } else { "east" };
        assert_eq!(wiring.take(now, tree(epoch, office, None)), Ok(Taken::New));
        assert!(wiring.former() <= FORMER_MOST);
    }
    assert_eq!(wiring.look(u64::MAX), ["south".into()]);
}
