//! The configuration's values that a reload can't change.
//!
//! Some of them give zones and kinds their numbers. The endpoint list and the limits refer to those numbers, so a
//! configuration that changes them is rejected as a whole. The others apply from the next start; the reload logs their
//! keys.

use crate::config::{Config, ConfigError};
use std::fmt::Debug;

/// One value of the configuration, by the path of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StartupValue {
    key: &'static str,
    value: String,
}

impl StartupValue {
    fn new(key: &'static str, value: impl Debug) -> StartupValue {
        StartupValue {
            key,
            value: format!("{value:?}"),
        }
    }
}

/// The values that the process was started with.
#[derive(Clone, Debug)]
pub struct StartupSettings {
    /// Must not differ in a later configuration.
    numbering: Vec<StartupValue>,
    /// May differ in a later configuration, and then apply from the next start.
    deferred: Vec<StartupValue>,
}

impl StartupSettings {
    /// The values of a configuration.
    pub fn of(config: &Config) -> StartupSettings {
        let decoded = &config.decoded;
        let numbering = vec![
            StartupValue::new("settings.dcs", &decoded.zones),
            StartupValue::new("settings.kinds", &decoded.kinds),
            StartupValue::new("settings.locality", decoded.settings.zone),
        ];
        let deferred = vec![
            StartupValue::new("name", &config.name),
            StartupValue::new("listen", config.listen),
            StartupValue::new("operator", config.admin_address),
            StartupValue::new("seed", config.seed),
            StartupValue::new("limits", config.limits),
            StartupValue::new("settings.limits.dialTimeout", decoded.dial_time_out),
            StartupValue::new("settings.limits.keepalive", decoded.keep_alive),
            StartupValue::new(
                "settings.report, limits.probes or charges.probe",
                load_report_settings(config),
            ),
        ];
        StartupSettings {
            numbering,
            deferred,
        }
    }

    /// Checks that `config` keeps the numbers of zones and kinds.
    ///
    /// # Errors
    ///
    /// Returns one line for each value that differs.
    pub fn check(&self, config: &Config) -> Result<(), ConfigError> {
        let other = StartupSettings::of(config).numbering;
        let faults: Vec<String> = differing(&self.numbering, &other)
            .map(|(in_service, configured)| {
                format!(
                    "configuration.{}: {} differs from {}, which is in service",
                    in_service.key, configured.value, in_service.value
                )
            })
            .collect();
        match faults.is_empty() {
            true => Ok(()),
            false => Err(ConfigError::new(faults)),
        }
    }

    /// The keys whose values in `config` apply from the next start.
    pub fn changed_keys(&self, config: &Config) -> Vec<&'static str> {
        let other = StartupSettings::of(config).deferred;
        differing(&self.deferred, &other)
            .map(|(in_service, _)| in_service.key)
            .collect()
    }
}

/// The pairs of values that differ, each in service and as configured.
fn differing<'a>(
    in_service: &'a [StartupValue],
    configured: &'a [StartupValue],
) -> impl Iterator<Item = (&'a StartupValue, &'a StartupValue)> {
    in_service
        .iter()
        .zip(configured)
        .filter(|(in_service, configured)| in_service != configured)
}

/// The settings of load reports and health checks, without those that depend on the classes.
fn load_report_settings(config: &Config) -> impl Debug {
    let reports = &config.decoded.reports;
    (
        format!("{:?}", reports.fields),
        reports.in_responses,
        reports.probes,
        reports.price.to_bits(),
    )
}
