//! The encoding of the messages between processes, against fixtures.

#[path = "../../../tests/formats/postcard.rs"]
mod fixtures;

use foldmux_relay::{Branch, Event, Item, Message, Position};
use foldmux_replicas::Peer;

fn branch() -> Branch {
    Branch {
        stream: "journal".into(),
        location: "helsinki/hub1".into(),
    }
}

fn peer() -> Option<Peer> {
    Some(Peer::new("edge-1"))
}

fn position(number: u64) -> Position {
    Position { epoch: 301, number }
}

fn item(key: Option<&str>) -> Item {
    Item {
        number: 302,
        key: key.map(Into::into),
        deleted: true,
        bytes: [1, 2, 3][..].into(),
        age: 303,
    }
}

/// A new variant needs a line here and a value in [`events`].
fn is_covered(event: &Event) {
    match event {
        Event::Start { .. } | Event::Item { .. } | Event::Snapshot { .. } | Event::Gap { .. } => {}
    }
}

fn events() -> Vec<Event> {
    let events = vec![
        Event::Start {
            position: position(401),
        },
        Event::Item {
            epoch: 402,
            item: item(Some("s-1")),
        },
        Event::Snapshot {
            position: position(403),
            keyed: vec![item(Some("s-2"))],
            recent: vec![item(None)],
        },
        Event::Gap {
            epoch: 404,
            from: 405,
            to: Some(406),
        },
    ];
    events.iter().for_each(is_covered);
    events
}

/// The message's name in the fixtures. A new variant needs a name here and a fixture.
fn variant(message: &Message) -> &'static str {
    match message {
        Message::Claim { .. } => "claim",
        Message::ClaimReply { .. } => "granted",
        Message::Release { .. } => "release",
        Message::Join { .. } => "join",
        Message::Leave { .. } => "leave",
        Message::Events { .. } => "events",
        Message::Heartbeat { .. } => "heartbeat",
        Message::Acknowledge { .. } => "acknowledge",
        Message::Redirect { .. } => "redirect",
        Message::Late { .. } => "late",
    }
}

fn messages() -> Vec<Message> {
    let (branch, nonce) = (branch(), 501);
    vec![
        Message::Claim {
            branch: branch.clone(),
            request: 502,
            lease: 503,
        },
        Message::ClaimReply {
            branch: branch.clone(),
            request: 504,
            holder: peer(),
        },
        Message::Release {
            branch: branch.clone(),
        },
        Message::Join {
            branch: branch.clone(),
            nonce,
            position: Some(position(505)),
            replaces: peer(),
            last_resort: true,
        },
        Message::Leave {
            branch: branch.clone(),
            nonce,
        },
        Message::Events {
            branch: branch.clone(),
            nonce,
            first: 506,
            events: events(),
        },
        Message::Heartbeat {
            branch: branch.clone(),
            nonce,
            sent: 507,
        },
        Message::Acknowledge {
            branch: branch.clone(),
            nonce,
            received: 508,
        },
        Message::Redirect {
            branch: branch.clone(),
            nonce,
            to: peer(),
        },
        Message::Late { branch },
    ]
}

#[test]
fn the_encoding_of_messages_is_stable() {
    let named: Vec<_> = messages().into_iter().map(|m| (variant(&m), m)).collect();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/formats/messages.hex");
    fixtures::check(path, &named);
}
