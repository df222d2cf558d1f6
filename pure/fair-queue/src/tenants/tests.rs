//! Named tenants, shared buckets and weights.

use super::*;

#[test]
fn named_tenants_have_a_flow_and_all_others_share_buckets() {
    let mut tenants = Tenants::new(64, Weight::ONE);
    tenants.add("mill".into(), 64);
    assert_eq!(
        (
            tenants.flow_of("mill"),
            tenants.flow_of_hash(name_hash("mill"))
        ),
        (64, 64)
    );
    let flows: Vec<u32> = (0..100_000)
        .map(|n| tenants.flow_of(&format!("t{n}")))
        .collect();
    assert!(flows.iter().all(|flow| *flow < 64));
    let largest = (0..64)
        .map(|b| flows.iter().filter(|f| **f == b).count())
        .max()
        .unwrap();
    assert!(largest < 2 * 100_000 / 64, "uneven buckets: {largest}");
    assert_eq!(
        (tenants.flow_of_hash(5), tenants.remove("mill")),
        (5, Some(64))
    );
    assert!(tenants.flow_of("mill") < 64);
}

#[test]
fn weights_are_bounded_for_any_input() {
    let of = |w: f64| Weight::from_f64(w).0;
    assert_eq!(
        [of(0.0), of(-3.0), of(f64::NAN), of(1e-9), of(2.5)],
        [0, 0, 0, 1, 2_500]
    );
    assert_eq!(of(f64::INFINITY), MAX_WEIGHT as u64);
    assert_eq!(
        [TenantBy::Tenant, TenantBy::Caller, TenantBy::Class]
            .map(|by| by.tenant_of(None, "", "card")),
        ["card"; 3]
    );
    assert_eq!(
        TenantBy::Tenant.tenant_of(None, "spiffe://a", "card"),
        "spiffe://a"
    );
}
