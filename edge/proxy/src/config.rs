//! The configuration of an edge proxy: one JSON document, decoded once to the values that the program uses.

use foldmux_event_stream::journal::EventBatch;
use foldmux_settings::Decoded;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

pub use bounds::{Bounds, Limits};
pub use document::parse;
pub use document_shape::DocumentShape;

mod bounds;
mod document;
mod document_shape;
mod unique_keys;

/// Environment variable that overrides the configuration's `listen`.
const LISTEN_VARIABLE: &str = "GW_LISTEN";
/// Environment variable that overrides the configuration's `operator`.
const ADMIN_VARIABLE: &str = "GW_OPERATOR";
/// Environment variable that overrides the configuration's `name`.
const NAME_VARIABLE: &str = "GW_NAME";

/// Separates the faults of an error: the program prints each on a line of its own, after its name.
pub(crate) const NEXT_LINE: &str = "\nfoldmux: ";

/// The files that the process was started with; it reads them again on SIGHUP.
#[derive(Clone, Copy)]
pub struct ConfigFiles<'a> {
    /// The platform's configuration.
    pub config: &'a Path,
    /// The operator's file, if there is one.
    pub operator: Option<&'a Path>,
}

/// A valid configuration, with the environment's overrides applied.
pub struct Config {
    /// The name of this proxy.
    pub name: String,
    /// The address of the client listener.
    pub listen: SocketAddr,
    /// The seed of every random choice.
    pub seed: u64,
    /// The address of the journal service, if there is one (`journal`).
    pub journal_address: Option<SocketAddr>,
    /// The address of the admin interface, if there is one (`operator`, or `$GW_OPERATOR`).
    pub admin_address: Option<SocketAddr>,
    /// The events that are applied before the journal service is polled (`known`).
    pub known_events: EventBatch,
    /// The bounds that follow from `limits`.
    pub bounds: Bounds,
    /// The limits on the process.
    pub limits: Limits,
    /// The router's settings, and the names that they refer to by number.
    pub decoded: Decoded,
    /// Which keys the document has; a later one must have them, too.
    pub shape: DocumentShape,
    /// The keys that are missing, or null, and for which defaults stand in; not those that may be left out at any time.
    pub defaulted_keys: Vec<String>,
}

impl Config {
    /// A line that names the keys for which defaults stand in, if there are any.
    pub fn defaults_line(&self) -> Option<String> {
        let keys = &self.defaulted_keys;
        (!keys.is_empty()).then(|| format!("defaults stand in for {}", keys.join(", ")))
    }
}

/// Everything that is wrong with a configuration, one line for each fault.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    faults: Vec<String>,
}

impl ConfigError {
    /// `faults`: one line for each.
    pub fn new(faults: Vec<String>) -> ConfigError {
        ConfigError { faults }
    }

    fn single(fault: String) -> ConfigError {
        ConfigError::new(vec![fault])
    }

    /// The faults, one line for each.
    pub fn faults(&self) -> &[String] {
        &self.faults
    }
}

/// In the form of the program's errors: one line for each fault, each after the program's name.
impl fmt::Display for ConfigError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.faults.join(NEXT_LINE))
    }
}

impl std::error::Error for ConfigError {}

/// Reads a configuration file, and applies the environment's overrides.
///
/// # Errors
///
/// Returns an error if the file can't be read or is invalid, or if a variable is not an address.
pub fn read(file: &Path) -> Result<Config, ConfigError> {
    read_after(file, None)
}

/// As [`read`], while the configuration with the keys of `in_service` is in service.
///
/// # Errors
///
/// As [`read`]; also if a key is missing that is in service, or its value is of another type.
pub fn read_after(file: &Path, in_service: Option<&DocumentShape>) -> Result<Config, ConfigError> {
    let bytes = std::fs::read(file)
        .map_err(|error| ConfigError::single(format!("{}: {error}", file.display())))?;
    let mut config = parse(bytes, in_service)?;
    if let Some(listen) = address_variable(LISTEN_VARIABLE)? {
        config.listen = listen;
    }
    if let Some(admin_address) = address_variable(ADMIN_VARIABLE)? {
        config.admin_address = Some(admin_address);
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
        .map_err(|_| ConfigError::single(format!("{variable} {text:?} is not an address")))?;
    Ok(Some(address))
}
