//! Converts the classes in service to the types of each front.

use foldmux::interface::{Class, RetrySafety};
use foldmux_extproc::life::Class as ProcessorClass;
use foldmux_fronts::dns::Routed as DnsClass;
use foldmux_fronts::msgpack::ClientClass;
use foldmux_operations::class_table::ClassTable;
use foldmux_settings::Decoded;

/// The name and the rules of each class of a configuration.
pub fn configured_classes(decoded: &Decoded) -> Vec<(String, Class)> {
    let names = decoded.classes.iter().cloned();
    names
        .zip(decoded.settings.classes.iter().cloned())
        .collect()
}

/// The classes in service for the MessagePack front.
pub fn client_classes(classes: &ClassTable<Class>) -> Vec<ClientClass> {
    classes
        .in_service()
        .map(|entry| ClientClass {
            name: entry.name.as_str().into(),
            slot: entry.slot.clone(),
            keyed: matches!(entry.class.retry_safety, RetrySafety::Keyed(_)),
            longest: entry.class.deadline,
        })
        .collect()
}

/// The classes in service for the DNS front.
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

/// The classes in service for the external processor.
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
