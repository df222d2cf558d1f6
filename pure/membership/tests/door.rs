//! What comes from a peer that is mad: it costs a count, and never more room than was given.

use foca::{Codec, Header, Member, Message, PostcardCodec};
use foldmux_membership::*;
use foldmux_replicas::{Effect, Effects, Peer, StateMachine};
use proptest::prelude::*;

fn who(name: &str, born: u64) -> NodeIdentity {
    NodeIdentity::new(
        Peer::new(name),
        "east",
        "127.0.0.1:7000".parse().unwrap(),
        born,
    )
}

fn members(most: usize) -> Members {
    Members::new(Setup {
        me: who("me", 100),
        pace: Pace {
            rtt: 1_000,
            size: 6,
        },
        most,
        seed: 1,
    })
    .unwrap()
}

fn packet(src: NodeIdentity, of: &[NodeIdentity]) -> Packet {
    let header = Header {
        src,
        src_incarnation: 0,
        dst: who("me", 100),
        message: Message::Gossip,
    };
    let mut bytes = Vec::new();
    PostcardCodec.encode_header(&header, &mut bytes).unwrap();
    bytes.extend((of.len() as u16).to_be_bytes());
    for (i, who) in of.iter().enumerate() {
        let state = if i % 2 == 0 {
            foca::State::Alive
        } else {
            foca::State::Down
        };
        PostcardCodec
            .encode_member(&Member::new(who.clone(), i as u16, state), &mut bytes)
            .unwrap();
    }
    Packet(bytes)
}

fn hear(members: &mut Members, from: &str, packet: Packet) -> Effects<Members> {
    let mut out = Vec::new();
    members.on_message(0, &Peer::new(from), packet, &mut out);
    out
}

#[test]
fn a_flood_of_names_and_lives_takes_the_room_that_was_given() {
    let mut members = members(10);
    hear(&mut members, "p", packet(who("p", 1), &[who("known", 1)]));
    for round in 0..2_000_u64 {
        let of: Vec<NodeIdentity> = (0..8)
            .map(|i| who(&format!("x{}", round * 8 + i), round))
            .collect();
        hear(&mut members, "p", packet(who("p", round), &of));
        hear(
            &mut members,
            "p",
            packet(who("p", round), &[who("known", round), who("known", round)]),
        );
    }
    assert_eq!(members.seen().len(), 10);
    assert!(members.waiting() <= 2 * 10 + 6, "{}", members.waiting());
    assert_eq!(
        members
            .seen()
            .iter()
            .find(|seen| seen.peer.as_str() == "known")
            .unwrap()
            .generation,
        1_999
    );
    hear(&mut members, "late", packet(who("late", 1), &[]));
    assert_eq!(
        members.counts(),
        Counts {
            full: 1,
            ..Counts::default()
        }
    );
}

#[test]
fn a_peer_speaks_for_itself_only() {
    let mut members = members(10);
    assert!(hear(&mut members, "p", packet(who("q", 1), &[])).is_empty());
    assert_eq!(
        members.counts(),
        Counts {
            forged: 1,
            ..Counts::default()
        }
    );
}

#[test]
fn a_name_without_measure_is_no_member() {
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let mut inside = members(10);
    hear(
        &mut inside,
        "p",
        packet(who("p", 1), &[who(&long, 1), who("", 1), who("q", 1)]),
    );
    assert_eq!(
        inside
            .seen()
            .iter()
            .map(|seen| seen.peer.as_str().len())
            .max(),
        Some(1)
    );
    let setup = Setup {
        me: who(&long, 1),
        pace: Pace { rtt: 1, size: 1 },
        most: 1,
        seed: 1,
    };
    assert_eq!(
        Members::new(setup).err(),
        Some(BadMembers::Name(Peer::new(&long)))
    );
}

#[test]
fn another_under_this_name_is_told_once_and_never_declared_dead() {
    let mut members = members(10);
    let told = |out: Effects<Members>| {
        out.into_iter()
            .filter(|act| matches!(act, Effect::Emit(Event::Rival(_))))
            .count()
    };
    assert_eq!(
        told(hear(
            &mut members,
            "p",
            packet(who("p", 1), &[who("me", 50)])
        )),
        0,
        "an older life"
    );
    assert_eq!(
        told(hear(
            &mut members,
            "p",
            packet(who("p", 1), &[who("me", 900)])
        )),
        1
    );
    assert_eq!(
        told(hear(
            &mut members,
            "p",
            packet(who("p", 1), &[who("me", 900)])
        )),
        0
    );
    assert!(members.seen().iter().all(|seen| seen.peer.as_str() != "me"));
    assert_eq!(members.me().generation, 100);
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_counted(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        flips in prop::collection::vec((0..400_usize, any::<u8>()), 0..4),
    ) {
        let mut members = members(10);
        hear(&mut members, "p", Packet(bytes));
        let Packet(mut good) = packet(who("p", 1), &[who("q", 1), who("r", 2), who("me", 100)]);
        for (at, byte) in flips {
            let at = at % good.len();
            good[at] = byte;
        }
        for end in 0..=good.len() {
            hear(&mut members, "p", Packet(good[..end].to_vec()));
        }
        prop_assert!(members.seen().len() <= 10 && members.waiting() <= 26);
        prop_assert!(members.me().generation >= 100);
    }
}
