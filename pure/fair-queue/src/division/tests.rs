//! Division of a pool's slots between processes.

use super::*;
use foldmux_replicas::Peer;

fn process(n: usize, wants: &[(u64, u32)]) -> Process {
    let wants = wants
        .iter()
        .map(|(tenant, n)| (*tenant, n * 1_000))
        .collect();
    Process {
        peer: Peer::new(&format!("n{n}")),
        held: 0,
        wants,
    }
}

#[test]
fn a_tenant_by_eight_processes_gets_one_share_and_not_eight() {
    let wants = |n: usize| {
        if n == 0 {
            vec![(1, 100), (2, 100)]
        } else {
            vec![(1, 100)]
        }
    };
    let fleet: Vec<Process> = (0..8).map(|n| process(n, &wants(n))).collect();
    let parts = targets(64, &fleet, |_| Some(1_000), 0);
    // Tenant 1 gets 32, four at each; tenant 2 gets 32, all at the first.
    assert_eq!(parts, [36, 4, 4, 4, 4, 4, 4, 4]);
}

#[test]
fn a_slot_stays_where_it_is_while_wants_differ_by_little() {
    let fleet = |held: [usize; 2], wants: [u32; 2]| -> Vec<Process> {
        let one = |n: usize| Process {
            held: held[n],
            wants: vec![(n as u64, wants[n])],
            ..process(n, &[])
        };
        (0..2).map(one).collect()
    };
    let parts = |held, wants| targets(9, &fleet(held, wants), |_| Some(1_000), 0);
    assert_eq!(parts([4, 5], [4_500, 4_500]), [4, 5]);
    assert_eq!(parts([5, 4], [4_500, 4_500]), [5, 4]);
    assert_eq!(parts([5, 4], [4_300, 4_700]), [5, 4], "a little more");
    assert_eq!(
        parts([5, 4], [4_200, 4_800]),
        [4, 5],
        "by half a slot and more"
    );
}

#[test]
fn what_no_one_wants_is_spread_and_what_one_claims_leaves_others_their_floor() {
    assert_eq!(
        targets(
            9,
            &[process(0, &[]), process(1, &[(1, 3)])],
            |_| None,
            1_000
        ),
        [3, 6]
    );
    let fleet: Vec<Process> = (0..4)
        .map(|n| process(n, &[(1, if n == 0 { 65_000 } else { 20 })]))
        .collect();
    let parts = targets(64, &fleet, |_| Some(1_000), 0);
    assert!(parts[1..].iter().all(|part| *part >= 8), "{parts:?}");
    let weights = |tenant| Some(if tenant == 1 { 0 } else { 1_000 });
    assert_eq!(
        targets(
            8,
            &[process(0, &[(1, 9)]), process(1, &[(2, 9)])],
            weights,
            0
        ),
        [2, 8]
    );
}
