//! What a process was started with and keeps: a reload can't change it. Part of that gives zones and kinds their numbers,
//! by which the list and the limits go; settings that number them otherwise would be read wrongly, and are refused as a
//! whole. The rest holds from the next start, and the reload says so.

use crate::config::{Config, ConfigError};

/// One value of the configuration, by the path of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Kept {
    key: &'static str,
    value: String,
}

/// The values in service that no reload changes.
#[derive(Clone, Debug)]
pub struct StartupSettings {
    numbering: Vec<Kept>,
    kept: Vec<Kept>,
}

fn keep(key: &'static str, value: impl std::fmt::Debug) -> Kept {
    Kept {
        key,
        value: format!("{value:?}"),
    }
}

impl StartupSettings {
    pub fn of(config: &Config) -> StartupSettings {
        let decoded = &config.decoded;
        let numbering = vec![
            keep("settings.dcs", &decoded.zones),
            keep("settings.kinds", &decoded.kinds),
            keep("settings.locality", decoded.settings.zone),
        ];
        let kept = vec![
            keep("name", &config.name),
            keep("listen", config.listen),
            keep("operator", config.operator),
            keep("seed", config.seed),
            keep("limits", config.limits),
            keep("settings.limits.dialTimeout", decoded.dial_time_out),
            keep("settings.limits.keepalive", decoded.keep_alive),
            keep(
                "settings.report, limits.probes or charges.probe",
                reports(config),
            ),
        ];
        StartupSettings { numbering, kept }
    }

    /// Whether `config` numbers zones and kinds as they are in service, or a line for each that it doesn't.
    pub fn check(&self, config: &Config) -> Result<(), ConfigError> {
        let other = StartupSettings::of(config).numbering;
        let differs = |(held, told): (&Kept, &Kept)| {
            let Kept { key, value } = held;
            let line = || {
                format!(
                    "configuration.{key}: {} is not {value}, which is in service",
                    told.value
                )
            };
            (held != told).then(line)
        };
        let lines: Vec<String> = self
            .numbering
            .iter()
            .zip(&other)
            .filter_map(differs)
            .collect();
        if lines.is_empty() {
            return Ok(());
        }
        Err(ConfigError(lines))
    }

    /// The keys whose values in `config` hold from the next start.
    pub fn later(&self, config: &Config) -> Vec<&'static str> {
        let other = StartupSettings::of(config).kept;
        self.kept
            .iter()
            .zip(&other)
            .filter(|(held, told)| held != told)
            .map(|(held, _)| held.key)
            .collect()
    }
}

/// How reports and probes are set up, but for what is derived from the classes.
fn reports(config: &Config) -> impl std::fmt::Debug {
    let reports = &config.decoded.reports;
    (
        format!("{:?}", reports.fields),
        reports.in_answers,
        reports.probes,
        reports.price.to_bits(),
    )
}
