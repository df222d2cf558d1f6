//! The configuration of an edge proxy: one JSON document, decoded once into the values that the program uses.

use foldmux_event_stream::journal::EventBatch;
use foldmux_settings::Decoded;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

pub use bounds::{Bounds, Limits};
pub use document::parse;

mod bounds;
mod document;
mod unique_keys;

/// Environment variable in place of the configuration's `listen`.
const LISTEN_VARIABLE: &str = "GW_LISTEN";
/// Environment variable in place of the configuration's `operator`.
const OPERATOR_VARIABLE: &str = "GW_OPERATOR";
/// Environment variable in place of the configuration's `name`.
const NAME_VARIABLE: &str = "GW_NAME";

/// Separates several faults: the program prints each on a line of its own, after its name.
pub(crate) const NEXT_LINE: &str = "\nfoldmux: ";

/// The files that the process was started with, and reads again on SIGHUP.
#[derive(Clone, Copy)]
pub struct ConfigFiles<'a> {
    /// The platform's configuration.
    pub config: &'a Path,
    /// The operator's file, where there is one.
    pub operator: Option<&'a Path>,
}

/// A configuration that holds all that the program needs.
pub struct Config {
    /// The name of this proxy.
    pub name: String,
    /// Where clients are served.
    pub listen: SocketAddr,
    /// The seed of every random choice.
    pub seed: u64,
    /// The journal service, where there is one.
    pub journal: Option<SocketAddr>,
    /// The admin interface's address, where there is one (`operator`, or `$GW_OPERATOR`).
    pub operator: Option<SocketAddr>,
    /// The events that are known before the journal service is asked.
    pub known: EventBatch,
    /// What follows from `limits`.
    pub bounds: Bounds,
    /// The limits on the process.
    pub limits: Limits,
    /// The settings of the router, and names that go with them.
    pub decoded: Decoded,
}

/// Everything that is wrong with a configuration, a line each.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    faults: Vec<String>,
}

impl ConfigError {
    /// One line for each fault.
    pub fn new(faults: Vec<String>) -> ConfigError {
        ConfigError { faults }
    }

    fn one(fault: String) -> ConfigError {
        ConfigError::new(vec![fault])
    }

    /// A line for each fault.
    pub fn faults(&self) -> &[String] {
        &self.faults
    }
}

/// As the program prints what ends it: a line for each fault, each after the program's name.
impl fmt::Display for ConfigError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.faults.join(NEXT_LINE))
    }
}

impl std::error::Error for ConfigError {}

/// Reads the configuration in a file, with what the environment sets in place of its values.
///
/// # Errors
///
/// Where the file can't be read or used, or a variable is no address.
pub fn read(file: &Path) -> Result<Config, ConfigError> {
    let bytes = std::fs::read(file)
        .map_err(|error| ConfigError::one(format!("{}: {error}", file.display())))?;
    let mut config = parse(bytes)?;
    if let Some(listen) = address_variable(LISTEN_VARIABLE)? {
        config.listen = listen;
    }
    if let Some(operator) = address_variable(OPERATOR_VARIABLE)? {
        config.operator = Some(operator);
    }
    if let Ok(name) = std::env::var(NAME_VARIABLE) {
        config.name = name;
    }
    Ok(config)
}

fn address_variable(variable: &str) -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(text) = std::env::var(variable) else {
        return Ok(None);
    };
    let address = text
        .parse()
        .map_err(|_| ConfigError::one(format!("{variable} {text:?} is no address")))?;
    Ok(Some(address))
}
