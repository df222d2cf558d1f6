//! Whatever the settings say, the rules hold: tenants or none, any classes and effects, short deadlines, costs of 0.
#[path = "../common/mod.rs"]
mod common;
mod drawn;
mod extreme;
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
    fn whatever_the_settings_say_the_rules_hold(
        drawn in drawn::drawn(), own in 0u32..6, others in 0u32..5, parents in 0u32..4,
        steps in prop::collection::vec(steps(), 50..400),
    ) {
        let choice = drawn.settings();
        let mut list = members_of(own, others, if choice.parent_kind.is_some() { parents } else { 0 });
        list.iter_mut().for_each(|m| m.cell = (m.cache.0 % 2) as u16);
        let mut model = Model::new(choice, list.clone());
        let bare = foldmux_settings::parse(&drawn.bare).expect("no tenants, no costs").settings;
        let mut plain = Model::new(bare, list);
        for (wait, step) in steps {
            let [actions, same] = [&mut model, &mut plain].map(|m| m.step(wait, step.clone()).unwrap_or_default());
            model.check(&actions)?;
            plain.check(&same)?;
            prop_assert_eq!(actions, same, "tenants and costs change no choice of server");
        }
        model.end()?;
    }
}
