//! The seats of keys, the votes of seats, and a change of their list, against plain readings of the rules.

use foldmux_replicas::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashSet};

fn list(names: &[usize]) -> Result<Seats, BadSeats> {
    Seats::new(names.iter().map(|n| Peer::new(&format!("n{n}"))))
}

#[test]
fn a_list_that_is_none_is_told_by_one_error() {
    assert_eq!(
        list(&[1, 2]).unwrap_err().to_string(),
        "2 seats are listed, at least 3 are needed"
    );
    assert_eq!(
        list(&[1, 2, 3, 2]).unwrap_err().to_string(),
        "seat n2 is listed twice"
    );
    assert_eq!(list(&Vec::from_iter(0..300)), Err(BadSeats::TooMany(257)));
    assert_eq!(
        Seats::new(["a", "", "b"].map(Peer::new)),
        Err(BadSeats::Unnamed)
    );
}

/// Processes of two versions must find the same seats: these never change.
#[test]
fn the_seats_of_a_key_are_fixed_for_good() {
    let seats = list(&[1, 2, 3, 4, 5, 6, 7]).unwrap();
    let of = |key: &[u8]| seats.of(key).map(|peer| peer.to_string());
    assert_eq!(of(b"mix-17"), ["n2", "n6", "n7"]);
    assert_eq!(of(b""), ["n2", "n5", "n7"]);
    assert_eq!(
        order::of(b"mix-17", seats.listed())
            .iter()
            .map(|p| p.as_str())
            .collect::<String>(),
        "n2n1n4n5n3n7n6"
    );
    assert_eq!(seats.mark(), 5912309194392226398);
}

#[test]
fn keys_lie_evenly_and_the_first_in_line_is_as_often_a_seat_as_any() {
    let seats = list(&Vec::from_iter(0..12)).unwrap();
    let mut held: BTreeMap<&Peer, u32> = BTreeMap::new();
    let mut first_sits = 0;
    for key in 0..20_000_u32 {
        let key = key.to_le_bytes();
        seats
            .of(&key)
            .into_iter()
            .for_each(|peer| *held.entry(peer).or_default() += 1);
        first_sits += u32::from(seats.sits(&key, order::first(&key, seats.listed()).unwrap()));
    }
    // 5,000 each by chance, with a deviation of 61.
    assert!(
        held.len() == 12 && held.values().all(|n| (4_700..5_300).contains(n)),
        "{held:?}"
    );
    assert!((4_700..5_300).contains(&first_sits), "{first_sits}");
}

#[test]
fn one_change_of_the_list_at_a_time() {
    let (old, new) = (list(&[1, 2, 3]).unwrap(), list(&[1, 2, 4]).unwrap());
    let mut change = Change::settled(old.clone());
    change
        .change(old.clone(), 0, 1_000, Drift::default())
        .unwrap();
    assert_eq!(change.changing(0), None);
    change
        .change(new.clone(), 0, 1_000, Drift::default())
        .unwrap();
    assert_eq!(
        change.change(old.clone(), 1_030, 1_000, Drift::default()),
        Err(Changing { until: 1_031 })
    );
    assert!(
        change.sits(1_030, b"k", &Peer::new("n3")) && change.sits(1_030, b"k", &Peer::new("n4"))
    );
    assert!(!change.sits(1_031, b"k", &Peer::new("n3")));
    change.change(old, 1_031, 1_000, Drift::default()).unwrap();
}

fn names() -> impl Strategy<Value = Vec<usize>> {
    proptest::sample::subsequence(Vec::from_iter(0..9), 3..=9).prop_shuffle()
}

proptest! {
    #[test]
    fn three_of_the_listed_and_few_move(
        names in names(),
        key in any::<[u8; 4]>(),
        gone in 0..9_usize,
    ) {
        let seats = list(&names).unwrap();
        let of = seats.of(&key);
        prop_assert_eq!(of.iter().collect::<HashSet<_>>().len(), 3);
        prop_assert!(of.iter().all(|peer| seats.listed().contains(peer)));
        let mut sorted = names.clone();
        sorted.sort();
        let resorted = list(&sorted).unwrap();
        prop_assert_eq!(resorted.of(&key), of);
        let left: Vec<usize> = names.iter().copied().filter(|n| *n != gone).collect();
        if let Ok(fewer) = list(&left) {
            let stay: Vec<&Peer> = of.into_iter().filter(|peer| peer.as_str() != format!("n{gone}")).collect();
            prop_assert_eq!(&fewer.of(&key)[..stay.len()], &stay[..]);
        }
        let line = order::of(&key, seats.listed());
        prop_assert_eq!(order::first(&key, seats.listed()), Some(line[0]));
        prop_assert_eq!(line.iter().collect::<BTreeSet<_>>().len(), names.len());
    }

    #[test]
    fn votes_count_each_seat_once_by_its_first_word(
        names in names(),
        said in prop::collection::vec((0..10_usize, any::<bool>()), 0..12),
    ) {
        let seats = list(&names).unwrap();
        let mut votes = Votes::new(seats.of(b"k"));
        let mut first: BTreeMap<Peer, bool> = BTreeMap::new();
        for (who, granted) in said {
            let who = Peer::new(&format!("n{who}"));
            let counts = seats.sits(b"k", &who) && !first.contains_key(&who);
            prop_assert_eq!(if granted { votes.grant(&who) } else { votes.refuse(&who) }, counts);
            if counts {
                first.insert(who, granted);
            }
        }
        let granted: BTreeSet<&Peer> = first.iter().filter(|said| *said.1).map(|said| said.0).collect();
        prop_assert_eq!(votes.won(), granted.len() >= 2);
        prop_assert_eq!(votes.lost(), first.len() - granted.len() >= 2);
        prop_assert_eq!(votes.granted().collect::<BTreeSet<_>>(), granted);
    }

    /// A decision in the window shares a seat with each by the old list alone, and each by the new.
    #[test]
    fn decisions_meet_through_a_change(
        (old, new) in (names(), names()),
        here in any::<[bool; 9]>(),
        there in any::<[bool; 9]>(),
    ) {
        let (old, new) = (list(&old).unwrap(), list(&new).unwrap());
        let grants = |mut votes: Votes, who: &[bool; 9]| {
            (0..9).filter(|n| who[*n]).for_each(|n| {
                votes.grant(&Peer::new(&format!("n{n}")));
            });
            votes.won().then(|| votes.granted().cloned().collect::<BTreeSet<Peer>>())
        };
        let mut change = Change::settled(old.clone());
        let before = grants(change.votes(0, b"k"), &here);
        change.change(new.clone(), 0, 1_000, Drift::default()).unwrap();
        let during = grants(change.votes(1_000, b"k"), &there);
        let after = grants(change.votes(1_031, b"k"), &here);
        if let Some(during) = &during {
            let meet = |list: &Seats, other: &Option<BTreeSet<Peer>>| {
                other.iter().all(|other| other.intersection(during).any(|peer| list.sits(b"k", peer)))
            };
            prop_assert!(meet(&old, &before) && meet(&new, &after));
            let asked = change.asked(1_000, b"k");
            prop_assert!(during.iter().all(|peer| asked.contains(&peer)));
            prop_assert_eq!(asked.iter().collect::<BTreeSet<_>>().len(), asked.len());
        }
    }
}
