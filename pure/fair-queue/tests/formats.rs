//! The encoding of messages between processes, compared with fixtures.

#[path = "../../../tests/formats/postcard.rs"]
mod fixtures;

use foldmux_fair_queue::digest::{Digest, TenantUsage};
use foldmux_fair_queue::message::MessageBody;
use foldmux_fair_queue::Message;

/// The name of a message in the fixtures. A new variant needs a name here and a fixture.
fn variant(body: &MessageBody) -> &'static str {
    match body {
        MessageBody::Claim { .. } => "claim",
        MessageBody::ClaimReply { .. } => "granted",
        MessageBody::Release { .. } => "release",
        MessageBody::Vacant { .. } => "vacant",
        MessageBody::Digest(_) => "digest",
    }
}

fn bodies() -> Vec<MessageBody> {
    vec![
        MessageBody::Claim {
            incarnation: 301,
            number: 302,
            slots: vec![1, 303],
            additional: 304,
        },
        MessageBody::ClaimReply {
            incarnation: 305,
            number: 306,
            granted: vec![2],
            refused: vec![3, 307],
            vacant: vec![4, 5, 308],
        },
        MessageBody::Release {
            incarnation: 309,
            number: 310,
            slots: vec![6],
        },
        MessageBody::Vacant {
            slots: vec![7, 311],
        },
        MessageBody::Digest(Digest {
            incarnation: 312,
            held: 313,
            usage: vec![TenantUsage {
                tenant: 314,
                used: 315,
                wanted: 316,
            }],
        }),
    ]
}

#[test]
fn message_encoding_is_unchanged() {
    let message = |body| Message {
        pool: 0x0102_0304_0506_0708,
        body,
    };
    let named: Vec<_> = bodies()
        .into_iter()
        .map(|body| (variant(&body), message(body)))
        .collect();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/formats/messages.hex");
    fixtures::check(path, &named);
}

#[test]
fn pool_name_hash_is_unchanged() {
    let hash = foldmux_fair_queue::tenants::name_hash("origin");
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/formats/pools.hex");
    fixtures::check(path, &[("origin", hash)]);
}
