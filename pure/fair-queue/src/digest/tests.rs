//! Usage digests between processes: charged once, bounded, and complete again after a loss.

use super::*;

fn digest(incarnation: u64, used: Time) -> Digest {
    Digest {
        incarnation,
        held: 4,
        usage: vec![TenantUsage {
            tenant: 7,
            used,
            wanted: 3_000,
        }],
    }
}

#[test]
fn remote_usage_is_charged_once_and_lost_digests_are_made_up() {
    let (mut peers, n1) = (PeerUsage::default(), Peer::new("n1"));
    assert_eq!(
        peers.on_digest(0, &n1, digest(1, 500_000), 8),
        [],
        "the first digest is the baseline"
    );
    assert_eq!(
        peers.on_digest(300_000, &n1, digest(1, 900_000), 8),
        [(7, 400_000)]
    );
    assert_eq!(
        peers.on_digest(400_000, &n1, digest(1, 900_000), 8),
        [],
        "unchanged totals"
    );
    assert_eq!(
        peers.on_digest(500_000, &n1, digest(1, 100), 8),
        [],
        "a digest that was overtaken"
    );
    assert_eq!(
        peers.on_digest(600_000, &n1, digest(2, 5_000), 8),
        [],
        "a new incarnation"
    );
    assert_eq!(peers.recent(600_000)[0].wanted, [(7, 3_000)]);
    assert_eq!(peers.recent(600_000 + PEER_EXPIRY), []);
}

#[test]
fn a_false_digest_is_charged_no_more_than_the_pool_could_give() {
    let (mut peers, n1) = (PeerUsage::default(), Peer::new("n1"));
    peers.on_digest(0, &n1, digest(1, 0), 8);
    let charged = peers.on_digest(100_000, &n1, digest(1, Time::MAX), 8);
    assert_eq!(charged, [(7, 800_000)]);
    assert_eq!(
        peers.on_digest(100_000, &n1, digest(1, 5), 8),
        [],
        "no time has passed"
    );
}
