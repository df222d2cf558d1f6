//! `foldmux check-config`: reads the configuration and the operator's file, and prints what they hold.

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

/// Why the files can't be used. Its text is what the program prints.
#[derive(Debug)]
pub enum CheckError {
    /// No configuration is named.
    NoConfig,
    /// The configuration can't be used.
    Config(ConfigError),
    /// The operator's file can't be used.
    Operator(OperatorFileError),
    /// The hierarchy can't be used at this proxy.
    Hierarchy(HierarchyError),
    /// The fleet or the limits can't be used: every fault.
    Faults(Vec<String>),
    /// The DNS front can't be used; the text says why.
    Dns(String),
}

impl fmt::Display for CheckError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CheckError::NoConfig => write!(out, "no configuration: set {CONFIG_VARIABLE}"),
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

/// Where the configuration is: `file`, else the one that GW_CONFIG names.
///
/// # Errors
///
/// Where neither names one.
pub fn config_path(file: Option<OsString>) -> Result<PathBuf, CheckError> {
    let file = file.or_else(|| std::env::var_os(CONFIG_VARIABLE));
    Ok(file.ok_or(CheckError::NoConfig)?.into())
}

/// Prints what the files hold. The configuration is read where one is named, or where there is no operator's file.
///
/// # Errors
///
/// Where a file can't be used; what comes before the fault has been printed.
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

/// Prints the configuration, and checks that the operator's file goes with it. Returns the account's rules.
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
    println!("{bounds:?}, {} events known", config.known.entries.len());
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

/// Prints what the operator's file sets, a line or more for each part.
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
        Some(draft) => check_limits(draft, account)?,
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

fn check_limits(draft: &LimitsFile, account: &Account) -> Result<(), CheckError> {
    let table = limits::table(account, draft).map_err(CheckError::Faults)?;
    let own = limits::own_sets(&table);
    println!("  limits: {own} sets, {} budgets", table.budgets.len());
    Ok(())
}

/// The fleet, and a line for each thing that it shares.
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
