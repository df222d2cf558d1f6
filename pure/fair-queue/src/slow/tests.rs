//! Predicted cost of a request.

use super::*;

fn shape(size_kb: f64, tenant: u32, source: u64) -> RequestShape {
    RequestShape {
        class: 0,
        size_kb,
        source,
        tenant,
    }
}

#[test]
fn predicts_large_objects_and_heavy_tenants_as_slow() {
    let mut model = CostModel::new(1, 100_000, 3_000_000);
    assert!(
        !model.predict(&shape(64.0, 0, 0)).slow,
        "a new class is not slow"
    );
    (0..50).for_each(|_| model.observe(&shape(64.0, 0, 0), 20_000));
    let own = model.predict(&shape(64.0, 0, 0));
    assert!(own.cost.abs_diff(20_000) < 10 && !own.slow, "{own:?}");
    assert!(
        model.predict(&shape(1_024.0, 0, 0)).slow,
        "in proportion to the observed size"
    );
    (0..50).for_each(|_| model.observe(&shape(64.0, 1, 0), 160_000));
    assert!(
        model.predict(&shape(64.0, 1, 0)).slow,
        "the tenant's requests take longer"
    );
    let others = model.predict(&shape(64.0, 0, 0));
    assert!(
        others.cost < 40_000,
        "other tenants are not affected: {others:?}"
    );
}

#[test]
fn predictions_stay_within_bounds_for_any_input() {
    let mut model = CostModel::new(2, 100_000, 3_000_000);
    for (size, took) in [
        (0.0, 0),
        (f64::NAN, 1),
        (f64::INFINITY, Time::MAX),
        (-5.0, 7),
    ] {
        (0..40).for_each(|n| model.observe(&shape(size, n, n as u64), took));
        let cost = model.predict(&shape(size, 3, 9)).cost;
        assert!((1..=3_000_000).contains(&cost), "{size} {took}: {cost}");
    }
}
