//! The bytes of what members say to each other, against fixtures.

#[path = "../../../tests/formats/postcard.rs"]
mod fixtures;

use foldmux_membership::{Command, Members, NodeIdentity, Pace, Packet, Setup};
use foldmux_replicas::{Effect, Peer, StateMachine};

fn who() -> NodeIdentity {
    NodeIdentity::new(
        Peer::new("edge-1"),
        "helsinki",
        "10.1.0.9:7001".parse().unwrap(),
        301,
    )
}

fn path(file: &str) -> String {
    format!("{}/tests/formats/{file}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn the_bytes_of_identities_stay() {
    let ipv6 = NodeIdentity {
        address: "[2001:db8::9]:7002".parse().unwrap(),
        generation: 302,
        left: true,
        ..who()
    };
    fixtures::check(
        &path("identities.hex"),
        &[("alive", who()), ("left, by IPv6", ipv6)],
    );
}

#[test]
fn the_bytes_of_packets_stay() {
    let setup = Setup {
        me: who(),
        pace: Pace {
            rtt: 100_000,
            size: 3,
        },
        most: 3,
        seed: 1,
    };
    let mut members = Members::new(setup).unwrap();
    let mut sent = Vec::new();
    members.on_command(0, Command::Join(vec![Peer::new("edge-2")]), &mut sent);
    let packet = |acts: Vec<Effect<Packet, _>>| {
        acts.into_iter().find_map(|act| match act {
            Effect::Send { message, .. } => Some(message),
            Effect::Emit(_) => None,
        })
    };
    let announce = packet(sent).expect("a join is announced");
    fixtures::check(
        &path("packets.hex"),
        &[("bytes", Packet(vec![1, 2, 3])), ("announce", announce)],
    );
}
