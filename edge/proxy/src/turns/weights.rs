//! What tenants weigh.

use foldmux_fair_queue::tenants::{key, Weight};
use foldmux_operator::Fleet as Said;
use std::collections::BTreeMap;
use std::sync::Arc;

pub type Weights = BTreeMap<Arc<str>, Weight>;

/// What the settings tell of a tenant comes before what the file says.
pub fn weights(said: &Said, tenants: &[(String, f64)]) -> Weights {
    let told = said.weights.iter().chain(tenants);
    told.map(|(name, weight)| (name.as_str().into(), Weight::of(*weight)))
        .collect()
}

/// As the fleet knows them.
pub fn keyed(weights: &Weights) -> impl Iterator<Item = (u64, u64)> + '_ {
    weights.iter().map(|(name, weight)| (key(name), weight.0))
}
