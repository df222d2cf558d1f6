//! Named tenants, shared buckets and weights.

use super::*;

#[test]
fn a_name_has_its_flow_and_any_number_of_others_share_the_buckets() {
    let mut tenants = Tenants::new(64, Weight::ONE);
    tenants.add("mill".into(), 64);
    assert_eq!(
        (tenants.find("mill"), tenants.find_key(key("mill"))),
        (64, 64)
    );
    let flows: Vec<u32> = (0..100_000)
        .map(|n| tenants.find(&format!("t{n}")))
        .collect();
    assert!(flows.iter().all(|flow| *flow < 64));
    let most = (0..64)
        .map(|b| flows.iter().filter(|f| **f == b).count())
        .max()
        .unwrap();
    assert!(most < 2 * 100_000 / 64, "spread by a hash: {most}");
    assert_eq!((tenants.find_key(5), tenants.remove("mill")), (5, Some(64)));
    assert!(tenants.find("mill") < 64);
}

#[test]
fn weights_are_bounded_whatever_a_file_says() {
    let of = |w: f64| Weight::of(w).0;
    assert_eq!(
        [of(0.0), of(-3.0), of(f64::NAN), of(1e-9), of(2.5)],
        [0, 0, 0, 1, 2_500]
    );
    assert_eq!(of(f64::INFINITY), HEAVIEST as u64);
    assert_eq!(
        [By::Tenant, By::Caller, By::Class].map(|by| by.name(None, "", "card")),
        ["card"; 3]
    );
    assert_eq!(By::Tenant.name(None, "spiffe://a", "card"), "spiffe://a");
}
