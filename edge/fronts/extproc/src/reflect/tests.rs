//! The descriptors fit together.

use super::{published, service};

#[test]
fn the_descriptors_fit_together_and_name_the_service() {
    assert!(service().is_some());
    let set = published::files();
    // Every type that a field names is described, under the name that it has.
    let mut known = Vec::new();
    for file in &set.file {
        for message in &file.message_type {
            let name = format!(".{}.{}", file.package(), message.name());
            known.extend(
                message
                    .enum_type
                    .iter()
                    .map(|e| format!("{name}.{}", e.name())),
            );
            known.push(name);
        }
    }
    let named = set
        .file
        .iter()
        .flat_map(|f| &f.message_type)
        .flat_map(|m| &m.field);
    for name in named.filter_map(|f| f.type_name.as_ref()) {
        assert!(known.contains(name), "{name}");
    }
    assert_eq!(set.file[3].service[0].name(), "ExternalProcessor");
}
