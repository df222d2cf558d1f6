//! Checks the router's rules for generated settings: with or without tenants, any classes and retry safety, short
//! deadlines, costs of 0.
#[path = "../common/mod.rs"]
mod common;
mod extremes;
mod generated;
mod rules;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rules::{steps, Model};

fn config(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig {
        cases: 160,
        max_shrink_iters: 400,
        failure_persistence: None,
        rng_seed,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config(26))]

    #[test]
    fn the_rules_hold_for_any_settings(
        generated in generated::generated_settings(), own in 0u32..6, siblings in 0u32..5, parents in 0u32..4,
        steps in prop::collection::vec(steps(), 50..400),
    ) {
        let config = generated.settings();
        let mut list = members_of(own, siblings, if config.parent_kind.is_some() { parents } else { 0 });
        list.iter_mut().for_each(|m| m.cell = (m.cache.0 % 2) as u16);
        let mut model = Model::new(config, list.clone());
        let without_tenants = foldmux_settings::parse(&generated.without_tenants)
            .expect("settings without tenants and costs are valid")
            .settings;
        let mut plain = Model::new(without_tenants, list);
        for (wait, step) in steps {
            let [actions, plain_actions] =
                [&mut model, &mut plain].map(|m| m.step(wait, step.clone()).unwrap_or_default());
            model.check(&actions)?;
            plain.check(&plain_actions)?;
            prop_assert_eq!(actions, plain_actions, "tenants and costs change no decision");
        }
        model.end()?;
    }
}
