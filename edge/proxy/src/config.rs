//! What an edge proxy is told: one JSON document, decoded once into the values that the program uses.

use crate::admin;
use crate::journal::Feed;
use foldmux_settings::section::{Faults, Section};
use foldmux_settings::{decode, Decoded};
use simd_json::{ErrorType, OwnedValue};
use std::net::SocketAddr;
use std::path::Path;
use unique::Unique;

mod unique;

/// Least limits that the program can serve with.
const LEAST_SOCKETS: usize = 64;
const LEAST_MEMORY_MB: usize = 16;
/// Greatest limits: beyond any machine's, and far from where a bound that follows from them leaves its type.
const MOST: usize = 1 << 24;

/// Descriptors that are neither clients', caches' nor the operator line's: the standard streams, signals, the listeners,
/// the log, the journal service's connection and the one that it moves to, files being read, a connection that is accepted
/// and has no place.
const KEPT_BACK: usize = 16;

/// The limits on the process, as the platform sets them.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// Every bound of the program, from the limits on descriptors and memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Client connections of the platform's front: the third of the descriptors that clients may hold.
    pub clients: usize,
    /// Open requests: each has a thread, a buffer and at most one socket.
    pub open: usize,
    /// Connections to pop caches, those out and those idle together.
    pub upstream: usize,
    pub buffers: usize,
    /// TCP and TLS connections of the DNS front.
    pub dns: usize,
    /// Connections of the operator line.
    pub operator: usize,
}

impl Bounds {
    pub fn new(limits: &Limits) -> Bounds {
        let sockets = limits.sockets;
        let (clients, dns) = ((sockets / 3).max(1), (sockets / 16).max(1));
        let operator = (sockets / 16).clamp(1, admin::PLACES);
        // Whoever fills the places of clients and caches leaves discovery and the operator line theirs.
        let rest = sockets.saturating_sub(clients + operator + KEPT_BACK);
        // Buffers may take 7/10 of the memory; each request needs one, and writes one more.
        let buffers =
            (limits.memory_mb * 1024 * 1024 * 7 / 10 / foldmux_core::buffers::SIZE).max(8);
        Bounds {
            clients,
            open: (sockets / 2).min(buffers * 15 / 16).max(1),
            upstream: (sockets * 37 / 64).min(rest).max(1),
            buffers,
            dns,
            operator,
        }
    }
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub journal: Option<SocketAddr>,
    /// The operator line's address, where there is one (`operator`, or `$GW_OPERATOR`).
    pub operator: Option<SocketAddr>,
    pub known: Feed,
    pub bounds: Bounds,
    /// The limits that the bounds follow from: descriptors, and memory (MB).
    pub limits: [u64; 2],
    pub decoded: Decoded,
}

/// All that is wrong with a configuration, a plain line each.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError(pub Vec<String>);

impl ConfigError {
    fn one(line: String) -> ConfigError {
        ConfigError(vec![line])
    }

    /// On one line, for the log.
    pub fn on_one_line(&self) -> String {
        self.0.join("; ")
    }
}

/// A line each, as the program prints what ends it.
impl From<ConfigError> for String {
    fn from(unusable: ConfigError) -> String {
        unusable.0.join("\nfoldmux: ")
    }
}

/// The configuration in a file, with what the environment overrides.
pub fn read(file: &Path) -> Result<Config, ConfigError> {
    let bytes =
        std::fs::read(file).map_err(|e| ConfigError::one(format!("{}: {e}", file.display())))?;
    let mut config = parse(bytes)?;
    if let Ok(listen) = std::env::var("GW_LISTEN") {
        config.listen = address("GW_LISTEN", &listen)?;
    }
    if let Ok(operator) = std::env::var("GW_OPERATOR") {
        config.operator = Some(address("GW_OPERATOR", &operator)?);
    }
    if let Ok(name) = std::env::var("GW_NAME") {
        config.name = name;
    }
    Ok(config)
}

fn address(variable: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| ConfigError::one(format!("{variable} {text:?} is no address")))
}

/// The configuration, or all that is wrong with it.
pub fn parse(mut bytes: Vec<u8>) -> Result<Config, ConfigError> {
    let unreadable = |e: simd_json::Error| match e.error() {
        ErrorType::Serde(why) => ConfigError::one(format!("configuration: {why}")),
        _ => ConfigError::one(format!("configuration: {e}")),
    };
    // The parser works in its input.
    let Unique = simd_json::serde::from_slice(&mut bytes.clone()).map_err(unreadable)?;
    let document: OwnedValue = simd_json::serde::from_slice(&mut bytes).map_err(unreadable)?;
    let faults = Faults::default();
    let config = whole(&Section::new("configuration", &document, &faults));
    match faults.into_lines() {
        lines if lines.is_empty() => Ok(config),
        lines => Err(ConfigError(lines)),
    }
}

/// Where faults are noted, what comes of it is not to be used.
fn whole(document: &Section) -> Config {
    let settings = document.section("settings");
    let decoded = decode(&settings);
    named_once(&settings, &decoded.classes);
    placed(&settings, &decoded);
    let name: String = document.optional("name").unwrap_or_default();
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let listen = document.optional("listen").unwrap_or(nowhere);
    if document.is_there() && document.get("listen").is_none() {
        document.fault("listen", "missing");
    }
    let limits = limits(&document.section("limits"));
    Config {
        seed: seed(document, &name, listen),
        name,
        listen,
        journal: document.optional("journal"),
        operator: document.optional("operator"),
        known: known(document),
        bounds: Bounds::new(&limits),
        limits: [limits.sockets as u64, limits.memory_mb as u64],
        decoded,
    }
}

/// Clients name a class by its name: each has one of its own.
fn named_once(settings: &Section, names: &[String]) {
    for (place, name) in names.iter().enumerate() {
        let key = format!("classes[{place}].name");
        if name.is_empty() {
            settings.fault(&key, "it is empty or missing");
        } else if names[..place].contains(name) {
            settings.fault(&key, format_args!("class {name:?} is named twice"));
        }
    }
}

/// Where the settings name zones and kinds, this proxy's zone and the kinds of parents and origin are among them.
fn placed(settings: &Section, decoded: &Decoded) {
    let among = |key: &str, number: usize, list: &str, names: &[String]| {
        if !names.is_empty() && number >= names.len() {
            settings.fault(
                key,
                format_args!("{number} is none of the {} in {list}", names.len()),
            );
        }
    };
    let told = &decoded.settings;
    among("locality", told.zone, "dcs", &decoded.zones);
    among(
        "domain.originKind",
        told.origin_kind,
        "kinds",
        &decoded.kinds,
    );
    told.parent_kind
        .iter()
        .for_each(|kind| among("domain.midKind", *kind, "kinds", &decoded.kinds));
}

fn limits(section: &Section) -> Limits {
    let limit = |key: &str, least: usize| {
        let limit: usize = section.required(key);
        let there = section.get(key).is_some();
        if there && limit < least {
            section.fault(
                key,
                format_args!("{limit} is too little to serve with; {least} at least"),
            );
        }
        if limit > MOST {
            section.fault(key, format_args!("{limit} is over {MOST}"));
        }
        limit.min(MOST)
    };
    Limits {
        memory_mb: limit("memory_mb", LEAST_MEMORY_MB),
        sockets: limit("sockets", LEAST_SOCKETS),
    }
}

fn seed(document: &Section, name: &str, listen: SocketAddr) -> u64 {
    let text: String = document.optional("seed").unwrap_or_default();
    if text.is_empty() {
        // Where none is told: proxies must not draw alike.
        return unlike(name, listen);
    }
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| {
        document.fault(
            "seed",
            format_args!("{text:?} is no hexadecimal number of 64 bits"),
        );
        0
    })
}

/// A seed for a proxy that is told none: its own by name and address.
fn unlike(name: &str, listen: SocketAddr) -> u64 {
    format!("{name} {listen}")
        .bytes()
        .fold(0, |seed, byte| foldmux_stats::mix(seed ^ byte as u64))
}

fn known(document: &Section) -> Feed {
    let Some(value) = document.get("known") else {
        return Feed::default();
    };
    simd_json::serde::from_refowned_value(value).unwrap_or_else(|e| {
        document.fault("known", e);
        Feed::default()
    })
}
