//! Predicted cost of a request.

use super::*;

fn shape(size_kb: f64, tenant: u32, source: u64) -> Shape {
    Shape {
        class: 0,
        size_kb,
        source,
        tenant,
    }
}

#[test]
fn large_objects_far_sources_and_heavy_tenants_are_foretold() {
    let mut figures = Figures::new(1, 100_000, 3_000_000);
    assert!(
        !figures.foretell(&shape(64.0, 0, 0)).slow,
        "a class that is new is not held back"
    );
    (0..50).for_each(|_| figures.see(&shape(64.0, 0, 0), 20_000));
    let own = figures.foretell(&shape(64.0, 0, 0));
    assert!(own.cost.abs_diff(20_000) < 10 && !own.slow, "{own:?}");
    assert!(
        figures.foretell(&shape(1_024.0, 0, 0)).slow,
        "in proportion to what was seen"
    );
    (0..50).for_each(|_| figures.see(&shape(64.0, 1, 0), 160_000));
    assert!(
        figures.foretell(&shape(64.0, 1, 0)).slow,
        "its tenant's take longer"
    );
    let others = figures.foretell(&shape(64.0, 0, 0));
    assert!(others.cost < 40_000, "and not those of others: {others:?}");
}

#[test]
fn nothing_told_or_seen_leaves_the_bounds() {
    let mut figures = Figures::new(2, 100_000, 3_000_000);
    for (size, took) in [
        (0.0, 0),
        (f64::NAN, 1),
        (f64::INFINITY, Time::MAX),
        (-5.0, 7),
    ] {
        (0..40).for_each(|n| figures.see(&shape(size, n, n as u64), took));
        let cost = figures.foretell(&shape(size, 3, 9)).cost;
        assert!((1..=3_000_000).contains(&cost), "{size} {took}: {cost}");
    }
}
