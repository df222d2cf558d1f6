//! A scenario: a file that says how large the day is, what is asked for, and what is done to the tree.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    #[serde(default = "one")]
    pub seed: u64,
    pub seconds: f64,
    /// Edge proxies, one for each location; cache boxes, over all of them; hubs.
    pub edges: usize,
    pub caches: usize,
    pub hubs: usize,
    /// Hubs that stand below another, of all.
    #[serde(default)]
    pub low_hubs: usize,
    /// Objects, how unevenly they are wanted, and requests a second in all.
    pub objects: usize,
    #[serde(default = "zipf")]
    pub zipf: f64,
    pub rate: f64,
    #[serde(default)]
    pub purges_per_s: f64,
    /// Objects that one cache box holds. Hubs hold all that they fetched: what they dropped would be fetched again
    /// with any tree.
    pub cache_holds: usize,
    /// One way to the own location, to a hub, from hub to hub (ms).
    #[serde(default = "near_ms")]
    pub near_ms: f64,
    #[serde(default = "hub_ms")]
    pub hub_ms: f64,
    #[serde(default = "far_ms")]
    pub far_ms: f64,
    /// The archive: its time for a fetch (ms) and what it can do a second.
    #[serde(default = "archive_ms")]
    pub archive_ms: f64,
    pub archive_fills_per_s: f64,
    /// A hub's link out (KB a second).
    pub hub_kb_per_s: f64,
    /// Shields and wired parents by the hierarchy; off: any two parents by the object, as before it.
    #[serde(default = "yes")]
    pub shield: bool,
    /// When the tree changes (s); 0: never. Which part of the hubs then goes by another hub, and back after so long.
    #[serde(default)]
    pub rewire_at_s: f64,
    #[serde(default)]
    pub rewired_part: f64,
    #[serde(default)]
    pub back_after_s: f64,
    /// Nodes hear of a tree so long after it, each at its own moment (ms, at most).
    #[serde(default)]
    pub news_lag_ms: f64,
    #[serde(default = "overlap_ms")]
    pub overlap_ms: f64,
}

fn one() -> u64 {
    1
}
fn zipf() -> f64 {
    0.9
}
fn near_ms() -> f64 {
    0.5
}
fn hub_ms() -> f64 {
    6.0
}
fn far_ms() -> f64 {
    20.0
}
fn archive_ms() -> f64 {
    45.0
}
fn overlap_ms() -> f64 {
    20_000.0
}
fn yes() -> bool {
    true
}

impl Scenario {
    pub fn parse(name: &str, text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| format!("{name}: {e}"))?;
        scenario.check().map_err(|e| format!("{name}: {e}"))?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), String> {
        let within = |what: &str, n: usize, least, most| match (least..=most).contains(&n) {
            true => Ok(()),
            false => Err(format!("{what} = {n} is not within {least} to {most}")),
        };
        within("edges", self.edges, 1, 100)?;
        within("caches", self.caches, self.edges, 2_000)?;
        within("hubs", self.hubs, 1, 60)?;
        within("low_hubs", self.low_hubs, 0, self.hubs - 1)?;
        within("objects", self.objects, 1, 5_000_000)?;
        let sound = [
            self.seconds,
            self.rate,
            self.archive_fills_per_s,
            self.hub_kb_per_s,
            self.zipf,
        ];
        if sound.iter().any(|x| !x.is_finite() || *x <= 0.0) || self.seconds * self.rate > 20e6 {
            return Err(
                "seconds, rate, paces and zipf are above 0; 20 million requests at most"
                    .to_string(),
            );
        }
        Ok(())
    }

    /// One field set to another value, as `sweep` does.
    pub fn with(&self, field: &str, value: &str) -> Result<Scenario, String> {
        let mut table = toml::Table::try_from(self).map_err(|e| e.to_string())?;
        if !table.contains_key(field) {
            return Err(format!("a scenario has no {field}"));
        }
        let parsed: toml::Table =
            toml::from_str(&format!("v = {value}")).map_err(|e| format!("{field}: {e}"))?;
        let new = match (&table[field], parsed["v"].clone()) {
            (toml::Value::Float(_), toml::Value::Integer(n)) => toml::Value::Float(n as f64),
            (_, new) => new,
        };
        table.insert(field.to_string(), new);
        let scenario: Scenario = table.try_into().map_err(|e| format!("{field}: {e}"))?;
        scenario.check().map(|()| scenario)
    }
}
