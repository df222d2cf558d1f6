//! The replicas of keys, their votes, and changes of the replica set, against simple implementations of the rules.

use foldmux_replicas::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashSet};

fn set_of(names: &[usize]) -> Result<ReplicaSet, ReplicaSetError> {
    ReplicaSet::new(names.iter().map(|n| Peer::new(&format!("n{n}"))))
}

#[test]
fn an_invalid_list_of_members_is_an_error() {
    assert_eq!(
        set_of(&[1, 2]).unwrap_err().to_string(),
        "2 seats are listed, at least 3 are needed"
    );
    assert_eq!(
        set_of(&[1, 2, 3, 2]).unwrap_err().to_string(),
        "seat n2 is listed twice"
    );
    assert_eq!(
        set_of(&Vec::from_iter(0..300)),
        Err(ReplicaSetError::TooMany(257))
    );
    assert_eq!(
        ReplicaSet::new(["a", "", "b"].map(Peer::new)),
        Err(ReplicaSetError::EmptyName)
    );
}

/// Processes of two versions must find the same replicas: these never change.
#[test]
fn the_replicas_of_a_key_never_change() {
    let set = set_of(&[1, 2, 3, 4, 5, 6, 7]).unwrap();
    let of = |key: &[u8]| set.replicas_of(key).map(|peer| peer.to_string());
    assert_eq!(of(b"mix-17"), ["n2", "n6", "n7"]);
    assert_eq!(of(b""), ["n2", "n5", "n7"]);
    assert_eq!(
        rendezvous::ranked(b"mix-17", set.members())
            .iter()
            .map(|p| p.as_str())
            .collect::<String>(),
        "n2n1n4n5n3n7n6"
    );
    assert_eq!(set.fingerprint(), 5912309194392226398);
}

#[test]
fn keys_are_spread_evenly_and_the_first_in_line_is_a_replica_as_often_as_any() {
    let set = set_of(&Vec::from_iter(0..12)).unwrap();
    let mut held: BTreeMap<&Peer, u32> = BTreeMap::new();
    let mut first_is_replica = 0;
    for key in 0..20_000_u32 {
        let key = key.to_le_bytes();
        set.replicas_of(&key)
            .into_iter()
            .for_each(|peer| *held.entry(peer).or_default() += 1);
        first_is_replica +=
            u32::from(set.is_replica(&key, rendezvous::first(&key, set.members()).unwrap()));
    }
    // 5,000 each expected, with a standard deviation of 61.
    assert!(
        held.len() == 12 && held.values().all(|n| (4_700..5_300).contains(n)),
        "{held:?}"
    );
    assert!(
        (4_700..5_300).contains(&first_is_replica),
        "{first_is_replica}"
    );
}

#[test]
fn one_change_of_the_replica_set_at_a_time() {
    let (old, new) = (set_of(&[1, 2, 3]).unwrap(), set_of(&[1, 2, 4]).unwrap());
    let mut configuration = ReplicaConfiguration::stable(old.clone());
    configuration
        .change(old.clone(), 0, 1_000, ClockDrift::default())
        .unwrap();
    assert_eq!(configuration.changing_until(0), None);
    configuration
        .change(new.clone(), 0, 1_000, ClockDrift::default())
        .unwrap();
    assert_eq!(
        configuration.change(old.clone(), 1_030, 1_000, ClockDrift::default()),
        Err(ReconfigurationInProgress { until: 1_031 })
    );
    assert!(
        configuration.is_replica(1_030, b"k", &Peer::new("n3"))
            && configuration.is_replica(1_030, b"k", &Peer::new("n4"))
    );
    assert!(!configuration.is_replica(1_031, b"k", &Peer::new("n3")));
    configuration
        .change(old, 1_031, 1_000, ClockDrift::default())
        .unwrap();
}

fn names() -> impl Strategy<Value = Vec<usize>> {
    proptest::sample::subsequence(Vec::from_iter(0..9), 3..=9).prop_shuffle()
}

proptest! {
    #[test]
    fn replicas_are_three_members_and_stay_when_another_member_is_removed(
        names in names(),
        key in any::<[u8; 4]>(),
        removed in 0..9_usize,
    ) {
        let set = set_of(&names).unwrap();
        let of = set.replicas_of(&key);
        prop_assert_eq!(of.iter().collect::<HashSet<_>>().len(), 3);
        prop_assert!(of.iter().all(|peer| set.members().contains(peer)));
        let mut sorted = names.clone();
        sorted.sort();
        let resorted = set_of(&sorted).unwrap();
        prop_assert_eq!(resorted.replicas_of(&key), of);
        let remaining: Vec<usize> = names.iter().copied().filter(|n| *n != removed).collect();
        if let Ok(fewer) = set_of(&remaining) {
            let remaining_replicas: Vec<&Peer> = of.into_iter().filter(|peer| peer.as_str() != format!("n{removed}")).collect();
            prop_assert_eq!(&fewer.replicas_of(&key)[..remaining_replicas.len()], &remaining_replicas[..]);
        }
        let ranked = rendezvous::ranked(&key, set.members());
        prop_assert_eq!(rendezvous::first(&key, set.members()), Some(ranked[0]));
        prop_assert_eq!(ranked.iter().collect::<BTreeSet<_>>().len(), names.len());
    }

    #[test]
    fn votes_count_each_replica_once_by_its_first_vote(
        names in names(),
        votes_cast in prop::collection::vec((0..10_usize, any::<bool>()), 0..12),
    ) {
        let set = set_of(&names).unwrap();
        let mut votes = Votes::new(set.replicas_of(b"k"));
        let mut first: BTreeMap<Peer, bool> = BTreeMap::new();
        for (who, granted) in votes_cast {
            let who = Peer::new(&format!("n{who}"));
            let counts = set.is_replica(b"k", &who) && !first.contains_key(&who);
            prop_assert_eq!(if granted { votes.grant(&who) } else { votes.reject(&who) }, counts);
            if counts {
                first.insert(who, granted);
            }
        }
        let granted: BTreeSet<&Peer> = first.iter().filter(|vote| *vote.1).map(|vote| vote.0).collect();
        prop_assert_eq!(votes.won(), granted.len() >= 2);
        prop_assert_eq!(votes.lost(), first.len() - granted.len() >= 2);
        prop_assert_eq!(votes.granted().collect::<BTreeSet<_>>(), granted);
    }

    /// A decision during a change shares a replica with any decision under the old set alone, and any under the new.
    #[test]
    fn decisions_overlap_through_a_change(
        (old, new) in (names(), names()),
        granting_alone in any::<[bool; 9]>(),
        granting_during in any::<[bool; 9]>(),
    ) {
        let (old, new) = (set_of(&old).unwrap(), set_of(&new).unwrap());
        let grants = |mut votes: Votes, who: &[bool; 9]| {
            (0..9).filter(|n| who[*n]).for_each(|n| {
                votes.grant(&Peer::new(&format!("n{n}")));
            });
            votes.won().then(|| votes.granted().cloned().collect::<BTreeSet<Peer>>())
        };
        let mut configuration = ReplicaConfiguration::stable(old.clone());
        let before = grants(configuration.votes(0, b"k"), &granting_alone);
        configuration.change(new.clone(), 0, 1_000, ClockDrift::default()).unwrap();
        let during = grants(configuration.votes(1_000, b"k"), &granting_during);
        let after = grants(configuration.votes(1_031, b"k"), &granting_alone);
        if let Some(during) = &during {
            let overlap = |set: &ReplicaSet, other: &Option<BTreeSet<Peer>>| {
                other.iter().all(|other| other.intersection(during).any(|peer| set.is_replica(b"k", peer)))
            };
            prop_assert!(overlap(&old, &before) && overlap(&new, &after));
            let replicas = configuration.replicas_of(1_000, b"k");
            prop_assert!(during.iter().all(|peer| replicas.contains(&peer)));
            prop_assert_eq!(replicas.iter().collect::<BTreeSet<_>>().len(), replicas.len());
        }
    }
}
