//! Decodes the configuration's JSON document, and reports every fault in it.

use super::document_shape::is_optional;
use super::unique_keys::UniqueKeys;
use super::{Bounds, Config, ConfigError, DocumentShape, Limits};
use foldmux_event_stream::journal::{Entry, EventBatch};
use foldmux_settings::section::{Faults, Section};
use foldmux_settings::{decode, Decoded};
use simd_json::{ErrorType, OwnedValue};
use std::net::SocketAddr;

/// Lowest limit on descriptors with which the program can serve.
const MIN_SOCKETS: usize = 64;
/// Lowest limit on memory with which the program can serve (MB).
const MIN_MEMORY_MB: usize = 16;
/// Highest limit: above that of any machine, and far below the values at which a bound computed from it overflows.
const MAX_LIMIT: usize = 1 << 24;
/// What the document is called in the lines about it.
pub(super) const DOCUMENT_NAME: &str = "configuration";

/// Decodes a configuration. `in_service`: the keys of the one before it, if there is one.
///
/// # Errors
///
/// Returns every fault of the document; where it has none by itself, every key that it lacks of those in service.
pub fn parse(
    mut bytes: Vec<u8>,
    in_service: Option<&DocumentShape>,
) -> Result<Config, ConfigError> {
    // The parser overwrites its input, and the document is parsed twice.
    let UniqueKeys = simd_json::serde::from_slice(&mut bytes.clone()).map_err(unreadable)?;
    let document: OwnedValue = simd_json::serde::from_slice(&mut bytes).map_err(unreadable)?;
    let faults = Faults::default();
    let shape = DocumentShape::of(&document);
    let section = Section::new(DOCUMENT_NAME, &document, &faults);
    let mut config = decode_document(&section, shape);
    config.defaulted_keys = defaulted_keys(&faults);
    let mut lines = faults.into_lines();
    if lines.is_empty() {
        lines = in_service.map_or_else(Vec::new, |shape| shape.faults_in(&document));
    }
    match lines.is_empty() {
        true => Ok(config),
        false => Err(ConfigError::new(lines)),
    }
}

fn unreadable(error: simd_json::Error) -> ConfigError {
    ConfigError::single(match error.error() {
        ErrorType::Serde(reason) => format!("configuration: {reason}"),
        _ => format!("configuration: {error}"),
    })
}

/// Decodes the document, and records its faults. The result must not be used if there is one.
fn decode_document(document: &Section, shape: DocumentShape) -> Config {
    let settings = document.section("settings");
    let decoded = decode(&settings);
    check_class_names(&settings, &decoded.classes);
    check_indices(&settings, &decoded);
    let name: String = document.optional("name").unwrap_or_default();
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let listen = document.optional("listen").unwrap_or(unspecified);
    if document.is_there() && document.get("listen").is_none() {
        document.fault("listen", "missing");
    }
    let limits = decode_limits(&document.section("limits"));
    Config {
        seed: decode_seed(document, &name, listen),
        name,
        listen,
        journal_address: document.optional("journal"),
        admin_address: document.optional("operator"),
        known_events: decode_known_events(document),
        bounds: Bounds::new(&limits),
        limits,
        decoded,
        shape,
        defaulted_keys: Vec::new(),
    }
}

/// The keys for which defaults stand in, as paths in the document.
fn defaulted_keys(faults: &Faults) -> Vec<String> {
    let paths = faults.defaulted().into_iter();
    let keys = paths.filter_map(|path| {
        let (_, last_key) = path.rsplit_once('.')?;
        let path = path.strip_prefix(DOCUMENT_NAME)?.strip_prefix('.')?;
        (!is_optional(last_key)).then(|| path.to_string())
    });
    keys.collect()
}

/// Checks that each class has a name of its own: clients refer to a class by its name.
fn check_class_names(settings: &Section, names: &[String]) {
    for (index, name) in names.iter().enumerate() {
        let key = format!("classes[{index}].name");
        if name.is_empty() {
            settings.fault(&key, "it is empty or missing");
        } else if names[..index].contains(name) {
            settings.fault(&key, format_args!("class {name:?} is defined twice"));
        }
    }
}

/// Checks that this proxy's zone and the kinds of parents and origin are among the zones and kinds that the settings
/// name, if they name any.
fn check_indices(settings: &Section, decoded: &Decoded) {
    let check = |key: &str, index: usize, list: &str, names: &[String]| {
        if !names.is_empty() && index >= names.len() {
            settings.fault(
                key,
                format_args!(
                    "{index} is not an index of {list}, which has {} entries",
                    names.len()
                ),
            );
        }
    };
    let (zones, kinds) = (&decoded.zones, &decoded.kinds);
    let router = &decoded.settings;
    check("locality", router.zone, "dcs", zones);
    check("domain.originKind", router.origin_kind, "kinds", kinds);
    if let Some(kind) = router.parent_kind {
        check("domain.midKind", kind, "kinds", kinds);
    }
}

fn decode_limits(section: &Section) -> Limits {
    Limits {
        memory_mb: decode_limit(section, "memory_mb", MIN_MEMORY_MB),
        sockets: decode_limit(section, "sockets", MIN_SOCKETS),
    }
}

fn decode_limit(section: &Section, key: &str, min: usize) -> usize {
    let limit: usize = section.required(key);
    if section.get(key).is_some() && limit < min {
        section.fault(
            key,
            format_args!("{limit} is too low; the minimum is {min}"),
        );
    }
    if limit > MAX_LIMIT {
        section.fault(
            key,
            format_args!("{limit} is too high; the maximum is {MAX_LIMIT}"),
        );
    }
    limit.min(MAX_LIMIT)
}

fn decode_seed(document: &Section, name: &str, listen: SocketAddr) -> u64 {
    let text: String = document.optional("seed").unwrap_or_default();
    if text.is_empty() {
        return default_seed(name, listen);
    }
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| {
        document.fault(
            "seed",
            format_args!("{text:?} is not a 64-bit hexadecimal number"),
        );
        0
    })
}

/// The seed if none is configured. It is computed from the proxy's name and address, because proxies must not make the
/// same random choices.
fn default_seed(name: &str, listen: SocketAddr) -> u64 {
    format!("{name} {listen}")
        .bytes()
        .fold(0, |seed, byte| foldmux_stats::mix(seed ^ byte as u64))
}

fn decode_known_events(document: &Section) -> EventBatch {
    let known = document.optional_section("known");
    EventBatch {
        pos: known.optional("pos").unwrap_or_default(),
        entries: decode_entries(&known),
    }
}

fn decode_entries(known: &Section) -> Vec<Entry> {
    let Some(list) = known.get_or_default("entries") else {
        return Vec::new();
    };
    simd_json::serde::from_refowned_value(list).unwrap_or_else(|error| {
        known.fault("entries", error);
        Vec::new()
    })
}
