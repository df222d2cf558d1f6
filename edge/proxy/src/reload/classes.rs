//! The classes in service, in the form that each front takes them.

use foldmux::interface::{Class, RetrySafety};
use foldmux_extproc::life::Class as ProcessorClass;
use foldmux_fronts::dns::Routed as DnsClass;
use foldmux_fronts::msgpack::Taken as ClientClass;
use foldmux_operations::class_table::ClassTable;
use foldmux_settings::Decoded;

/// The classes of a configuration: each name, and its rules.
pub fn configured_classes(decoded: &Decoded) -> Vec<(String, Class)> {
    let names = decoded.classes.iter().cloned();
    names
        .zip(decoded.settings.classes.iter().cloned())
        .collect()
}

/// The classes as clients of the platform's front name them.
pub fn client_classes(classes: &ClassTable<Class>) -> Vec<ClientClass> {
    classes
        .in_service()
        .map(|entry| ClientClass {
            name: entry.name.as_str().into(),
            place: entry.slot.clone(),
            keyed: matches!(entry.class.retry_safety, RetrySafety::Keyed(_)),
            longest: entry.class.deadline,
        })
        .collect()
}

/// The classes as the DNS front routes them by name.
pub fn dns_classes(classes: &ClassTable<Class>) -> Vec<DnsClass> {
    classes
        .in_service()
        .map(|entry| DnsClass {
            name: entry.name.as_str().into(),
            place: entry.slot.clone(),
            writes: entry.class.bypass_cache,
        })
        .collect()
}

/// The classes as the external processor serves them.
pub fn processor_classes(classes: &ClassTable<Class>) -> Vec<ProcessorClass> {
    classes
        .in_service()
        .map(|entry| ProcessorClass {
            name: entry.name.as_str().into(),
            place: entry.slot.clone(),
            repeat: entry.class.retry_safety,
            window: entry.class.idempotency_window,
            longest: entry.class.deadline,
        })
        .collect()
}
