//! Tenants, as the settings name them.

use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Project {
    pub name: String,
    #[serde(default = "whole")]
    pub share: f64,
}

/// Where no share is told, all have the same.
fn whole() -> f64 {
    1.0
}
