//! Weights of tenants.

use foldmux_fair_queue::tenants::{key, Weight};
use foldmux_operator::Fleet as FleetConfig;
use std::collections::BTreeMap;
use std::sync::Arc;

pub type Weights = BTreeMap<Arc<str>, Weight>;

/// Weights by tenant: those of the settings override those of the file.
pub fn weights(config: &FleetConfig, tenants: &[(String, f64)]) -> Weights {
    let told = config.weights.iter().chain(tenants);
    told.map(|(name, weight)| (name.as_str().into(), Weight::of(*weight)))
        .collect()
}

/// Weights by the hash of the tenant's name, as the fleet exchanges them.
pub fn keyed(weights: &Weights) -> impl Iterator<Item = (u64, u64)> + '_ {
    weights.iter().map(|(name, weight)| (key(name), weight.0))
}
