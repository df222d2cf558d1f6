//! A tree as it is applied to the router.

use super::*;

fn tree(text: &str) -> Tree {
    let head = "hierarchy(epoch = 1, domain = \"f.example\")\narchive(\"archive\")\n";
    foldmux_operator::script::evaluate("t.star", format!("{head}{text}"))
        .unwrap()
        .hierarchy
        .unwrap()
        .tree
}

#[test]
fn a_tree_is_applied_as_zones_or_refused_with_a_reason() {
    let names = ["south", "east", "porvoo", "kotka"]
        .map(str::to_string)
        .to_vec();
    let zones = Zones {
        names,
        own: 2,
        hub_of: vec![0, 1, 0, 1],
    };
    let hubs = "hub(\"south\", parents = [\"archive\"])\nhub(\"east\", parents = [\"archive\"])\n";
    let sound = tree(&format!(
        "{hubs}location(\"porvoo\", parents = [\"east\", \"south\"])"
    ));
    match zones.topology_command(&sound) {
        Ok(Command::Topology {
            parent_zones,
            hub_by_zone,
        }) => {
            assert_eq!((parent_zones, hub_by_zone), (vec![1, 0], vec![0, 1, 1, 1]))
        }
        _ => panic!("no command"),
    }
    let without = zones.topology_command(&tree(hubs)).err().unwrap();
    assert_eq!(
        without.to_string(),
        "porvoo, this proxy's zone, is no location of the tree"
    );
    let unknown =
        "hub(\"west\", parents = [\"archive\"])\nlocation(\"porvoo\", parents = [\"west\"])";
    assert_eq!(
        zones
            .topology_command(&tree(unknown))
            .err()
            .unwrap()
            .to_string(),
        "the hub west is no zone of the settings"
    );
}
