//! The command that applies a tree to the router, and the reasons why a tree is rejected.

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
fn a_tree_is_converted_to_zones_or_rejected_with_a_reason() {
    let names = ["south", "east", "porvoo", "kotka"]
        .map(str::to_string)
        .to_vec();
    let zones = Zones {
        names,
        own_zone: 2,
        hub_by_zone: vec![0, 1, 0, 1],
    };
    let hubs = "hub(\"south\", parents = [\"archive\"])\nhub(\"east\", parents = [\"archive\"])\n";
    let valid = tree(&format!(
        "{hubs}location(\"porvoo\", parents = [\"east\", \"south\"])"
    ));
    match zones.topology_command(&valid) {
        Ok(Command::Topology {
            parent_zones,
            hub_by_zone,
        }) => {
            assert_eq!((parent_zones, hub_by_zone), (vec![1, 0], vec![0, 1, 1, 1]))
        }
        _ => panic!("no command"),
    }
    let without_own_zone = zones.topology_command(&tree(hubs)).err().unwrap();
    assert_eq!(
        without_own_zone.to_string(),
        "this proxy's zone porvoo is not a location of the tree"
    );
    let unknown_hub =
        "hub(\"west\", parents = [\"archive\"])\nlocation(\"porvoo\", parents = [\"west\"])";
    assert_eq!(
        zones
            .topology_command(&tree(unknown_hub))
            .err()
            .unwrap()
            .to_string(),
        "hub west is not a zone of the settings"
    );
}
