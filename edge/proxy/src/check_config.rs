//! `foldmux check-config`: checks the configuration and the operator's file, and prints a summary of them.

use crate::config::{self, ConfigError, NEXT_LINE};
use crate::hierarchy::{HierarchyError, Zones};
use crate::limits;
use crate::operator_file::{self, OperatorFileError};
use foldmux_hierarchy::tree::NodeKind;
use foldmux_limits::resolve::LimitsFile;
use foldmux_limits::Account;
use foldmux_operator::{Fleet, Hierarchy, Operator};
use std::ffi::OsString;
use std::fmt;
use std::path::PathBuf;

/// Environment variable with the path of the configuration.
const CONFIG_VARIABLE: &str = "GW_CONFIG";

/// Why the files can't be used. The program prints its text.
#[derive(Debug)]
pub enum CheckError {
    /// Neither the command line nor the environment names a configuration.
    NoConfig,
    /// The configuration can't be used.
    Config(ConfigError),
    /// The operator's file can't be used.
    Operator(OperatorFileError),
    /// The hierarchy can't be used at this proxy.
    Hierarchy(HierarchyError),
    /// The fleet or the limits can't be used; one line for each fault.
    Faults(Vec<String>),
    /// The DNS front can't be used, for the given reason.
    Dns(String),
}

impl fmt::Display for CheckError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CheckError::NoConfig => write!(
                out,
                "no configuration: pass --config or set {CONFIG_VARIABLE}"
            ),
            CheckError::Config(error) => write!(out, "{error}"),
            CheckError::Operator(error) => write!(out, "{error}"),
            CheckError::Hierarchy(error) => write!(out, "{error}"),
            CheckError::Faults(faults) => write!(out, "{}", faults.join(NEXT_LINE)),
            CheckError::Dns(reason) => write!(out, "{reason}"),
        }
    }
}

impl std::error::Error for CheckError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CheckError::Config(error) => Some(error),
            CheckError::Operator(error) => Some(error),
            CheckError::Hierarchy(error) => Some(error),
            CheckError::NoConfig | CheckError::Faults(_) | CheckError::Dns(_) => None,
        }
    }
}

/// The path of the configuration: `file`, else the value of `GW_CONFIG`.
///
/// # Errors
///
/// Returns [`CheckError::NoConfig`] if neither is given.
pub fn config_path(file: Option<OsString>) -> Result<PathBuf, CheckError> {
    let file = file.or_else(|| std::env::var_os(CONFIG_VARIABLE));
    Ok(file.ok_or(CheckError::NoConfig)?.into())
}

/// Checks the files and prints a summary. The configuration is read if one is named, or if there is no operator's file.
///
/// # Errors
///
/// Returns an error if a file can't be used; the summary up to that fault has been printed then.
pub fn check(config: Option<OsString>, operator: Option<PathBuf>) -> Result<(), CheckError> {
    let operator = match operator {
        Some(file) => {
            let content = operator_file::load(&file).map_err(CheckError::Operator)?;
            Some((file, content))
        }
        None => None,
    };
    let config_is_named = config.is_some() || std::env::var_os(CONFIG_VARIABLE).is_some();
    let account = match config_is_named || operator.is_none() {
        true => check_config(config, operator.as_ref().map(|(_, content)| content))?,
        false => Account::default(),
    };
    if let Some((file, content)) = operator {
        println!("{}:", file.display());
        check_operator(&content, &account)?;
    }
    Ok(())
}

/// Prints a summary of the configuration, and checks that the operator's file fits it. Returns the account's rules.
fn check_config(
    file: Option<OsString>,
    operator: Option<&Operator>,
) -> Result<Account, CheckError> {
    let config = config::read(&config_path(file)?).map_err(CheckError::Config)?;
    let (decoded, bounds) = (&config.decoded, config.bounds);
    println!(
        "{} on {}: classes {}",
        config.name,
        config.listen,
        decoded.classes.join(", ")
    );
    println!(
        "{bounds:?}, {} events known",
        config.known_events.entries.len()
    );
    if let Some(line) = config.defaults_line() {
        println!("{line}");
    }
    if let Some(fleet) = operator.and_then(|operator| operator.fleet.as_ref()) {
        let faults: Vec<String> = fleet.unknown(&decoded.classes).collect();
        if !faults.is_empty() {
            return Err(CheckError::Faults(faults));
        }
    }
    if let Some(hierarchy) = operator.and_then(|operator| operator.hierarchy.as_ref()) {
        Zones::of(decoded)
            .topology_command(&hierarchy.tree)
            .map_err(CheckError::Hierarchy)?;
    }
    Ok(limits::account(decoded, &config.limits))
}

/// Checks the operator's file, and prints at least one line for each of its parts.
fn check_operator(operator: &Operator, account: &Account) -> Result<(), CheckError> {
    match &operator.hierarchy {
        None => println!("  hierarchy: off"),
        Some(hierarchy) => print_hierarchy(hierarchy),
    }
    if let Some(relay) = &operator.relay {
        println!("  relay: {relay:?}");
    }
    match &operator.limits {
        None => println!("  limits: off"),
        Some(file) => check_limits(file, account)?,
    }
    match &operator.ext_proc {
        None => println!("  ext_proc: off"),
        Some(setup) => println!("  ext_proc: {setup:?}"),
    }
    match &operator.dns {
        None => println!("  dns: off"),
        Some(dns) => {
            foldmux_fronts::dns::server::zone(&dns.zone).map_err(CheckError::Dns)?;
            println!("  dns: {dns:?}");
        }
    }
    match &operator.fleet {
        None => println!("  fleet: off"),
        Some(fleet) => print_fleet(fleet),
    }
    Ok(())
}

fn print_hierarchy(hierarchy: &Hierarchy) {
    let count = |kind| hierarchy.names(kind).len();
    println!(
        "  hierarchy: tree {}, {} locations, {} hubs, {} of them shields, {}",
        hierarchy.tree.version(),
        count(NodeKind::Location),
        count(NodeKind::Hub),
        hierarchy.tree.top_hubs().len(),
        hierarchy.domain
    );
}

fn check_limits(file: &LimitsFile, account: &Account) -> Result<(), CheckError> {
    let resolved = limits::resolve(account, file).map_err(CheckError::Faults)?;
    let own_sets = limits::count_own_sets(&resolved);
    println!(
        "  limits: {own_sets} sets, {} budgets",
        resolved.budgets.len()
    );
    Ok(())
}

/// Prints the fleet, and a line for each class, stream and pool that its peers share.
fn print_fleet(fleet: &Fleet) {
    println!(
        "  fleet: {} peers, seats {}, on {}, leases of {} ms, clocks within {} percent",
        fleet.peers.len(),
        fleet.seats.join(", "),
        fleet.listen,
        fleet.lease_ms,
        fleet.drift_percent
    );
    for cover in &fleet.covers {
        println!("    {:?}", cover.value);
    }
    for stream in &fleet.streams {
        println!("    {stream:?}");
    }
    for pool in &fleet.pools {
        println!("    {pool:?}");
    }
}
