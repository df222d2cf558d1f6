//! Weights of tenants.

use foldmux_fair_queue::tenants::{name_hash, Weight};
use foldmux_operator::Fleet as FleetConfig;
use std::collections::BTreeMap;
use std::sync::Arc;

pub type Weights = BTreeMap<Arc<str>, Weight>;

/// Weights by tenant: those of the settings override those of the file.
pub fn weights(config: &FleetConfig, tenants: &[(String, f64)]) -> Weights {
    let merged = config.weights.iter().chain(tenants);
    merged
        .map(|(name, weight)| (name.as_str().into(), Weight::from_f64(*weight)))
        .collect()
}

/// Weights by the hash of the tenant's name, as the fleet exchanges them.
pub fn by_name_hash(weights: &Weights) -> impl Iterator<Item = (u64, u64)> + '_ {
    weights
        .iter()
        .map(|(name, weight)| (name_hash(name), weight.0))
}
