//! Usage digests between processes: charged once, bounded, and made good after loss.

use super::*;

fn digest(life: u64, used: Time) -> Digest {
    Digest {
        life,
        held: 4,
        uses: vec![Use {
            tenant: 7,
            used,
            wants: 3_000,
        }],
    }
}

#[test]
fn what_was_used_elsewhere_is_charged_once_and_lost_digests_are_made_good() {
    let (mut heard, n1) = (Heard::default(), Peer::new("n1"));
    assert_eq!(
        heard.hear(0, &n1, digest(1, 500_000), 8),
        [],
        "before it was known"
    );
    assert_eq!(
        heard.hear(300_000, &n1, digest(1, 900_000), 8),
        [(7, 400_000)]
    );
    assert_eq!(
        heard.hear(400_000, &n1, digest(1, 900_000), 8),
        [],
        "the same again"
    );
    assert_eq!(
        heard.hear(500_000, &n1, digest(1, 100), 8),
        [],
        "an old one"
    );
    assert_eq!(
        heard.hear(600_000, &n1, digest(2, 5_000), 8),
        [],
        "it started anew"
    );
    assert_eq!(heard.fleet(600_000)[0].wants, [(7, 3_000)]);
    assert_eq!(heard.fleet(600_000 + STALE), []);
}

#[test]
fn a_liar_is_believed_no_more_than_the_pool_could_have_given() {
    let (mut heard, n1) = (Heard::default(), Peer::new("n1"));
    heard.hear(0, &n1, digest(1, 0), 8);
    let charged = heard.hear(100_000, &n1, digest(1, Time::MAX), 8);
    assert_eq!(charged, [(7, 800_000)]);
    assert_eq!(
        heard.hear(100_000, &n1, digest(1, 5), 8),
        [],
        "its clock, or ours, stands still"
    );
}
