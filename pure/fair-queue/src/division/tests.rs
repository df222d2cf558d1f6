//! Division of a pool's slots between processes.

use super::*;
use foldmux_replicas::Peer;

fn process(n: usize, wanted: &[(u64, u32)]) -> ProcessDemand {
    let wanted = wanted
        .iter()
        .map(|(tenant, n)| (*tenant, n * 1_000))
        .collect();
    ProcessDemand {
        peer: Peer::new(&format!("n{n}")),
        held: 0,
        wanted,
    }
}

#[test]
fn a_tenant_at_eight_processes_gets_one_share() {
    let wanted = |n: usize| {
        if n == 0 {
            vec![(1, 100), (2, 100)]
        } else {
            vec![(1, 100)]
        }
    };
    let fleet: Vec<ProcessDemand> = (0..8).map(|n| process(n, &wanted(n))).collect();
    let parts = targets(64, &fleet, |_| Some(1_000), 0);
    // Tenant 1 gets 32, four at each; tenant 2 gets 32, all at the first.
    assert_eq!(parts, [36, 4, 4, 4, 4, 4, 4, 4]);
}

#[test]
fn a_slot_stays_while_demands_differ_by_little() {
    let fleet = |held: [usize; 2], wanted: [u32; 2]| -> Vec<ProcessDemand> {
        let one = |n: usize| ProcessDemand {
            held: held[n],
            wanted: vec![(n as u64, wanted[n])],
            ..process(n, &[])
        };
        (0..2).map(one).collect()
    };
    let parts = |held, wanted| targets(9, &fleet(held, wanted), |_| Some(1_000), 0);
    assert_eq!(parts([4, 5], [4_500, 4_500]), [4, 5]);
    assert_eq!(parts([5, 4], [4_500, 4_500]), [5, 4]);
    assert_eq!(
        parts([5, 4], [4_300, 4_700]),
        [5, 4],
        "a difference below the bonus"
    );
    assert_eq!(
        parts([5, 4], [4_200, 4_800]),
        [4, 5],
        "a difference above the bonus"
    );
}

#[test]
fn unwanted_slots_are_spread_and_others_keep_their_guaranteed_slots() {
    assert_eq!(
        targets(
            9,
            &[process(0, &[]), process(1, &[(1, 3)])],
            |_| None,
            1_000
        ),
        [3, 6]
    );
    let fleet: Vec<ProcessDemand> = (0..4)
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
