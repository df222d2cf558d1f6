//! The ledger of fetches, held against a plain model beside it.

use foldmux_hierarchy::ledger::{Arrival, FetchId, Key, Lane, Ledger, Limits, Turn, WaitId, Want};
use foldmux_hierarchy::tree::Stamp;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(std::env::var("PROPTEST_CASES").map_or(400, |n| n.parse().unwrap_or(400))))]

    /// The ledger against a plain list of fetches, searched from the front.
    #[test]
    fn the_ledger_does_as_a_plain_model(
        ops in proptest::collection::vec((0u8..6, 0u64..3, 0u8..4, 0u64..3), 1..200)
    ) {
        let stamp = |n: u8| Stamp { epoch: n as u64 + 1, digest: n as u32 };
        let mut ledger = Ledger::new(Limits { fetches: 6, waits: 12, lease: 4_000, attempts: 6 });
        // Fetch, key, lane, bound, waits, joinable.
        let mut plain: Vec<(FetchId, Key, Lane, u64, Vec<WaitId>, bool)> = Vec::new();
        for (op, object, how, bound) in ops {
            let key = Key { class: 0, object, part: 0 };
            match op {
                0..=3 => {
                    let arrival = match how {
                        0 => Arrival::BEGINS,
                        1 | 2 => Arrival { stamp: Some(stamp(how - 1)), solo: false },
                        _ => Arrival { stamp: Some(stamp(0)), solo: true },
                    };
                    let want = Want { key, arrival, present: stamp(0), born_after: bound, until: 1_000_000 };
                    let lane = if arrival.solo || how == 2 { Lane::Solo } else { Lane::Of(stamp(0)) };
                    let joins = |l: Lane| plain.iter().position(|p| p.5 && p.1 == key && p.2 == l && p.3 >= bound);
                    let expected = joins(lane).or_else(|| joins(Lane::Solo)).filter(|_| !arrival.solo);
                    let waits: usize = plain.iter().map(|p| p.4.len()).sum();
                    match ledger.want(0, want) {
                        Turn::Full => prop_assert!(waits >= 12 || (expected.is_none() && plain.len() >= 6)),
                        Turn::Join(id, wait) => {
                            let at = expected.expect("the model would have led");
                            prop_assert_eq!(plain[at].0, id);
                            plain[at].4.push(wait);
                        }
                        Turn::Lead(id, wait) => {
                            prop_assert!(expected.is_none() && plain.len() < 6);
                            plain.iter_mut().filter(|p| p.1 == key && p.2 == lane).for_each(|p| p.5 = false);
                            plain.push((id, key, lane, bound, vec![wait], true));
                        }
                    }
                }
                4 => {
                    if let Some(at) = plain.iter().position(|p| p.1 == key) {
                        let wait = plain[at].4.pop().expect("somebody waits");
                        let over = plain[at].4.is_empty();
                        prop_assert_eq!(ledger.leave(wait), over.then_some(plain[at].0));
                        if over {
                            plain.remove(at);
                        }
                    }
                }
                _ => {
                    if let Some(at) = plain.iter().position(|p| p.1 == key) {
                        let (id, _, _, _, waits, _) = plain.remove(at);
                        let attempt = ledger.attempt(id).expect("under way");
                        prop_assert!(ledger.done(id, attempt) && !ledger.done(id, attempt));
                        waits.into_iter().for_each(|wait| assert_eq!(ledger.leave(wait), None));
                    }
                }
            }
            prop_assert_eq!(ledger.size(), (plain.len(), plain.iter().map(|p| p.4.len()).sum()));
        }
    }
}
