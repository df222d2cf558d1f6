//! What a holder sends when it wants no more slots.

use super::*;
use foldmux_replicas::ReplicaSet;

#[test]
fn tells_replicas_once_that_it_wants_no_more() {
    let replicas = ReplicaSet::new(["a", "b", "c"].map(Peer::new)).expect("three peers");
    let replicas = ReplicaConfiguration::stable(replicas);
    let mut holder = Holder::new(
        1,
        7,
        1_000_000,
        ClockDrift::from_percent(1.0).expect("valid drift"),
    );
    let requests = |messages: &[MessageBody]| match messages {
        [MessageBody::Claim {
            slots, additional, ..
        }] => Some((slots.len(), *additional)),
        _ => None,
    };
    assert_eq!(requests(&holder.step(0, &replicas, 2)), Some((0, 2)));
    assert_eq!(holder.step(20_000, &replicas, 2), [], "already asked");
    assert_eq!(requests(&holder.step(40_000, &replicas, 0)), Some((0, 0)));
    assert_eq!(holder.step(200_000, &replicas, 0), [], "the replicas know");
}
