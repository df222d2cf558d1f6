//! The lists of waiting requests, compared with a plain list.

use super::*;
use proptest::prelude::*;
use std::collections::VecDeque;

proptest! {
    /// Whichever request is removed, from any position, the others keep their order.
    #[test]
    fn behaves_like_a_plain_list(steps in proptest::collection::vec((0..3u8, any::<prop::sample::Index>()), 0..200)) {
        let (mut lanes, mut lane) = (Lanes::default(), Lane::default());
        let mut plain: VecDeque<(u64, Ticket)> = VecDeque::new();
        for (id, (step, which)) in steps.into_iter().enumerate() {
            let id = id as u64;
            match step {
                0 => plain.push_back((id, lanes.push(&mut lane, (id, 0, false), id, 0, 0, false))),
                1 => {
                    let first = plain.pop_front().map(|p| p.0);
                    prop_assert_eq!(lanes.pop(&mut lane).map(|w| w.id), first);
                }
                _ if plain.is_empty() => {}
                _ => {
                    let (id, ticket) = plain.remove(which.index(plain.len())).unwrap();
                    prop_assert_eq!(lanes.remove(&mut lane, ticket).map(|w| w.id), Some(id));
                    prop_assert!(lanes.remove(&mut lane, ticket).is_none(), "once");
                }
            }
            prop_assert_eq!((lane.len, lanes.len()), (plain.len(), plain.len()));
            prop_assert_eq!(lane.cost, plain.iter().map(|p| p.0).sum::<u64>());
        }
    }
}
