//! Reflection (`grpc.reflection.v1`) of this service and of health. The descriptors of `envoy.service.ext_proc.v3` are
//! written here, by the published protocol, as the types' library brings none: the service, its messages, and of the
//! messages that they name those fields that this front reads or writes. Fields that are left out are read over by
//! whoever goes by them, as unknown fields are.

use tonic_reflection::server::v1::{ServerReflection, ServerReflectionServer};
use tonic_reflection::server::Builder;

mod describe;
mod published;

/// None where the descriptors don't fit together, which a test looks at.
pub fn service() -> Option<ServerReflectionServer<impl ServerReflection>> {
    let built = Builder::configure()
        .register_encoded_file_descriptor_set(tonic_health::pb::FILE_DESCRIPTOR_SET)
        .register_file_descriptor_set(published::files())
        .build_v1();
    built
        .inspect_err(|e| tracing::warn!("external processor: no reflection: {e}"))
        .ok()
}

#[cfg(test)]
mod tests;
