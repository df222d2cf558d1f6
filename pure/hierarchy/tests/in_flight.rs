//! The table of fetches, compared with a simple model.

use foldmux_hierarchy::in_flight::{
    Admission, CollapseScope, FetchId, FetchKey, FetchLimits, FetchRequest, FetchTable,
    FillContext, WaiterId,
};
use foldmux_hierarchy::tree::TreeVersion;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(std::env::var("PROPTEST_CASES").map_or(400, |n| n.parse().unwrap_or(400))))]

    /// The model is a list of fetches that is searched from the front.
    #[test]
    fn the_table_behaves_like_a_simple_model(
        ops in proptest::collection::vec((0u8..6, 0u64..3, 0u8..4, 0u64..3), 1..200)
    ) {
        let version = |n: u8| TreeVersion { epoch: n as u64 + 1, digest: n as u32 };
        let mut table = FetchTable::new(FetchLimits { fetches: 6, waiters: 12, lease_us: 4_000, attempts: 6 });
        // Fetch, key, scope, freshness bound, waiters, and whether other requests may follow it.
        let mut model: Vec<(FetchId, FetchKey, CollapseScope, u64, Vec<WaiterId>, bool)> = Vec::new();
        for (op, object, sender, bound) in ops {
            let key = FetchKey { class: 0, object, part: 0 };
            match op {
                0..=3 => {
                    let context = match sender {
                        0 => FillContext::LOCAL,
                        1 | 2 => FillContext { version: Some(version(sender - 1)), uncollapsed: false },
                        _ => FillContext { version: Some(version(0)), uncollapsed: true },
                    };
                    let request = FetchRequest { key, context, version: version(0), min_birth: bound, deadline: 1_000_000 };
                    let scope = if context.uncollapsed || sender == 2 { CollapseScope::Uncollapsed } else { CollapseScope::Version(version(0)) };
                    let followed = |scope: CollapseScope| model.iter().position(|p| p.5 && p.1 == key && p.2 == scope && p.3 >= bound);
                    let expected = followed(scope).or_else(|| followed(CollapseScope::Uncollapsed)).filter(|_| !context.uncollapsed);
                    let waiters: usize = model.iter().map(|p| p.4.len()).sum();
                    match table.request(0, request) {
                        Admission::Rejected => prop_assert!(waiters >= 12 || (expected.is_none() && model.len() >= 6)),
                        Admission::Follow(id, waiter) => {
                            let at = expected.expect("the model starts a fetch here");
                            prop_assert_eq!(model[at].0, id);
                            model[at].4.push(waiter);
                        }
                        Admission::Lead(id, waiter) => {
                            prop_assert!(expected.is_none() && model.len() < 6);
                            model.iter_mut().filter(|p| p.1 == key && p.2 == scope).for_each(|p| p.5 = false);
                            model.push((id, key, scope, bound, vec![waiter], true));
                        }
                    }
                }
                4 => {
                    if let Some(at) = model.iter().position(|p| p.1 == key) {
                        let waiter = model[at].4.pop().expect("a fetch has a waiter");
                        let cancelled = model[at].4.is_empty();
                        prop_assert_eq!(table.leave(waiter), cancelled.then_some(model[at].0));
                        if cancelled {
                            model.remove(at);
                        }
                    }
                }
                _ => {
                    if let Some(at) = model.iter().position(|p| p.1 == key) {
                        let (id, _, _, _, waiters, _) = model.remove(at);
                        let attempt = table.attempt(id).expect("the fetch is in flight");
                        prop_assert!(table.complete(id, attempt) && !table.complete(id, attempt));
                        waiters.into_iter().for_each(|waiter| assert_eq!(table.leave(waiter), None));
                    }
                }
            }
            prop_assert_eq!(table.sizes(), (model.len(), model.iter().map(|p| p.4.len()).sum()));
        }
    }
}
