//! The table of fetches, against a plain model beside it.

use foldmux_hierarchy::in_flight::{
    Admission, CollapseScope, FetchId, FetchKey, FetchLimits, FetchRequest, FetchTable,
    FillContext, WaiterId,
};
use foldmux_hierarchy::tree::TreeVersion;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(std::env::var("PROPTEST_CASES").map_or(400, |n| n.parse().unwrap_or(400))))]

    /// The table against a plain list of fetches, searched from the front.
    #[test]
    fn the_table_behaves_as_a_plain_model(
        ops in proptest::collection::vec((0u8..6, 0u64..3, 0u8..4, 0u64..3), 1..200)
    ) {
        let stamp = |n: u8| TreeVersion { epoch: n as u64 + 1, digest: n as u32 };
        let mut table = FetchTable::new(FetchLimits { fetches: 6, waiters: 12, lease_us: 4_000, attempts: 6 });
        // Fetch, key, scope, bound, waits, joinable.
        let mut plain: Vec<(FetchId, FetchKey, CollapseScope, u64, Vec<WaiterId>, bool)> = Vec::new();
        for (op, object, how, bound) in ops {
            let key = FetchKey { class: 0, object, part: 0 };
            match op {
                0..=3 => {
                    let context = match how {
                        0 => FillContext::LOCAL,
                        1 | 2 => FillContext { version: Some(stamp(how - 1)), uncollapsed: false },
                        _ => FillContext { version: Some(stamp(0)), uncollapsed: true },
                    };
                    let request = FetchRequest { key, context, version: stamp(0), min_birth: bound, deadline: 1_000_000 };
                    let scope = if context.uncollapsed || how == 2 { CollapseScope::Uncollapsed } else { CollapseScope::Version(stamp(0)) };
                    let joins = |l: CollapseScope| plain.iter().position(|p| p.5 && p.1 == key && p.2 == l && p.3 >= bound);
                    let expected = joins(scope).or_else(|| joins(CollapseScope::Uncollapsed)).filter(|_| !context.uncollapsed);
                    let waits: usize = plain.iter().map(|p| p.4.len()).sum();
                    match table.request(0, request) {
                        Admission::Rejected => prop_assert!(waits >= 12 || (expected.is_none() && plain.len() >= 6)),
                        Admission::Follow(id, wait) => {
                            let at = expected.expect("the model would have led");
                            prop_assert_eq!(plain[at].0, id);
                            plain[at].4.push(wait);
                        }
                        Admission::Lead(id, wait) => {
                            prop_assert!(expected.is_none() && plain.len() < 6);
                            plain.iter_mut().filter(|p| p.1 == key && p.2 == scope).for_each(|p| p.5 = false);
                            plain.push((id, key, scope, bound, vec![wait], true));
                        }
                    }
                }
                4 => {
                    if let Some(at) = plain.iter().position(|p| p.1 == key) {
                        let wait = plain[at].4.pop().expect("somebody waits");
                        let over = plain[at].4.is_empty();
                        prop_assert_eq!(table.leave(wait), over.then_some(plain[at].0));
                        if over {
                            plain.remove(at);
                        }
                    }
                }
                _ => {
                    if let Some(at) = plain.iter().position(|p| p.1 == key) {
                        let (id, _, _, _, waits, _) = plain.remove(at);
                        let attempt = table.attempt(id).expect("under way");
                        prop_assert!(table.complete(id, attempt) && !table.complete(id, attempt));
                        waits.into_iter().for_each(|wait| assert_eq!(table.leave(wait), None));
                    }
                }
            }
            prop_assert_eq!(table.sizes(), (plain.len(), plain.iter().map(|p| p.4.len()).sum()));
        }
    }
}
