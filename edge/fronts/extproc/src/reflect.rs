//! Reflection (`grpc.reflection.v1`) of this service and of health. The descriptors of `envoy.service.ext_proc.v3` are
//! written here, by the published protocol, as the types' library brings none: the service, its messages, and of the
//! messages that they name those fields that this front reads or writes. Fields that are left out are read over by
//! whoever goes by them, as unknown fields are.

use crate::pb::external_processor_server::SERVICE_NAME;
use prost_types::field_descriptor_proto::{Label, Type};
use prost_types::{
    DescriptorProto, EnumDescriptorProto, EnumValueDescriptorProto, FieldDescriptorProto,
    FileDescriptorProto, FileDescriptorSet, MethodDescriptorProto, OneofDescriptorProto,
    ServiceDescriptorProto,
};
use tonic_reflection::server::v1::{ServerReflection, ServerReflectionServer};
use tonic_reflection::server::Builder;

const SERVICE_FILE: &str = "envoy/service/ext_proc/v3/external_processor.proto";
const BASE_FILE: &str = "envoy/config/core/v3/base.proto";
const STATUS_FILE: &str = "envoy/type/v3/http_status.proto";
const MODE_FILE: &str = "envoy/extensions/filters/http/ext_proc/v3/processing_mode.proto";

/// None where the descriptors don't fit together, which a test looks at.
pub fn service() -> Option<ServerReflectionServer<impl ServerReflection>> {
    let built = Builder::configure()
        .register_encoded_file_descriptor_set(tonic_health::pb::FILE_DESCRIPTOR_SET)
        .register_file_descriptor_set(own())
        .build_v1();
    built.inspect_err(|e| tracing::warn!("external processor: no reflection: {e}")).ok()
}

/// A field: its name, number and type; `.full.Name` of a message, `enum .full.Name`, or a scalar. `one`: in the oneof.
struct Field(&'static str, i32, &'static str, Shape);

#[derive(Clone, Copy, PartialEq)]
enum Shape {
    Single,
    Repeated,
    One,
}
use Shape::{One, Repeated, Single};

fn field(Field(name, number, kind, shape): &Field) -> FieldDescriptorProto {
    let scalar = match *kind {
        "string" => Some(Type::String),
        "bytes" => Some(Type::Bytes),
        "bool" => Some(Type::Bool),
        "uint32" => Some(Type::Uint32),
        _ => None,
    };
    let (r#type, type_name) = match (scalar, kind.strip_prefix("enum ")) {
        (Some(scalar), _) => (scalar, None),
        (None, Some(name)) => (Type::Enum, Some(name.to_string())),
        (None, None) => (Type::Message, Some(kind.to_string())),
    };
    FieldDescriptorProto {
        name: Some(name.to_string()),
        number: Some(*number),
        label: Some(if *shape == Repeated { Label::Repeated } else { Label::Optional } as i32),
        r#type: Some(r#type as i32),
        type_name,
        oneof_index: (*shape == One).then_some(0),
        ..FieldDescriptorProto::default()
    }
}

fn message(name: &str, oneof: Option<&str>, fields: &[Field]) -> DescriptorProto {
    let one =
        |name: &str| OneofDescriptorProto { name: Some(name.to_string()), ..OneofDescriptorProto::default() };
    DescriptorProto {
        name: Some(name.to_string()),
        field: fields.iter().map(field).collect(),
        oneof_decl: oneof.map(one).into_iter().collect(),
        ..DescriptorProto::default()
    }
}

fn choice(name: &str, values: &[&str]) -> EnumDescriptorProto {
    let value = |(n, name): (usize, &&str)| EnumValueDescriptorProto {
        name: Some(name.to_string()),
        number: Some(n as i32),
        ..EnumValueDescriptorProto::default()
    };
    EnumDescriptorProto {
        name: Some(name.to_string()),
        value: values.iter().enumerate().map(value).collect(),
        ..EnumDescriptorProto::default()
    }
}

fn file(name: &str, package: &str, needs: &[&str], messages: Vec<DescriptorProto>) -> FileDescriptorProto {
    FileDescriptorProto {
        name: Some(name.to_string()),
        package: Some(package.to_string()),
        dependency: needs.iter().map(|need| need.to_string()).collect(),
        message_type: messages,
        syntax: Some("proto3".to_string()),
        ..FileDescriptorProto::default()
    }
}

fn own() -> FileDescriptorSet {
    const MAP: &str = ".envoy.config.core.v3.HeaderMap";
    const BODY: &str = ".envoy.service.ext_proc.v3.HttpBody";
    const HEADERS: &str = ".envoy.service.ext_proc.v3.HttpHeaders";
    const TRAILERS: &str = ".envoy.service.ext_proc.v3.HttpTrailers";
    const MUTATION: &str = ".envoy.service.ext_proc.v3.HeaderMutation";
    const TO_HEADERS: &str = ".envoy.service.ext_proc.v3.HeadersResponse";
    const TO_BODY: &str = ".envoy.service.ext_proc.v3.BodyResponse";
    const TO_TRAILERS: &str = ".envoy.service.ext_proc.v3.TrailersResponse";
    const COMMON: &str = ".envoy.service.ext_proc.v3.CommonResponse";
    const SEND: &str = "enum .envoy.extensions.filters.http.ext_proc.v3.ProcessingMode.HeaderSendMode";
    const BODIES: &str = "enum .envoy.extensions.filters.http.ext_proc.v3.ProcessingMode.BodySendMode";
    let base = file(
        BASE_FILE,
        "envoy.config.core.v3",
        &[],
        vec![
            message(
                "HeaderValue",
                None,
                &[
                    Field("key", 1, "string", Single),
                    Field("value", 2, "string", Single),
                    Field("raw_value", 3, "bytes", Single),
                ],
            ),
            message("HeaderMap", None, &[Field("headers", 1, ".envoy.config.core.v3.HeaderValue", Repeated)]),
            DescriptorProto {
                enum_type: vec![choice(
                    "HeaderAppendAction",
                    &[
                        "APPEND_IF_EXISTS_OR_ADD",
                        "ADD_IF_ABSENT",
                        "OVERWRITE_IF_EXISTS_OR_ADD",
                        "OVERWRITE_IF_EXISTS",
                    ],
                )],
                ..message(
                    "HeaderValueOption",
                    None,
                    &[
                        Field("header", 1, ".envoy.config.core.v3.HeaderValue", Single),
                        Field(
                            "append_action",
                            3,
                            "enum .envoy.config.core.v3.HeaderValueOption.HeaderAppendAction",
                            Single,
                        ),
                    ],
                )
            },
        ],
    );
    // The published enumeration of status codes is open: a number says the same.
    let status = file(
        STATUS_FILE,
        "envoy.type.v3",
        &[],
        vec![message("HttpStatus", None, &[Field("code", 1, "uint32", Single)])],
    );
    let mode = file(
        MODE_FILE,
        "envoy.extensions.filters.http.ext_proc.v3",
        &[],
        vec![DescriptorProto {
            enum_type: vec![
                choice("HeaderSendMode", &["DEFAULT", "SEND", "SKIP"]),
                choice(
                    "BodySendMode",
                    &["NONE", "STREAMED", "BUFFERED", "BUFFERED_PARTIAL", "FULL_DUPLEX_STREAMED", "GRPC"],
                ),
            ],
            ..message(
                "ProcessingMode",
                None,
                &[
                    Field("request_header_mode", 1, SEND, Single),
                    Field("response_header_mode", 2, SEND, Single),
                    Field("request_body_mode", 3, BODIES, Single),
                    Field("response_body_mode", 4, BODIES, Single),
                    Field("request_trailer_mode", 5, SEND, Single),
                    Field("response_trailer_mode", 6, SEND, Single),
                ],
            )
        }],
    );
    let messages = vec![
        message(
            "ProcessingRequest",
            Some("request"),
            &[
                Field("request_headers", 2, HEADERS, One),
                Field("response_headers", 3, HEADERS, One),
                Field("request_body", 4, BODY, One),
                Field("response_body", 5, BODY, One),
                Field("request_trailers", 6, TRAILERS, One),
                Field("response_trailers", 7, TRAILERS, One),
                Field("observability_mode", 10, "bool", Single),
            ],
        ),
        message(
            "ProcessingResponse",
            Some("response"),
            &[
                Field("request_headers", 1, TO_HEADERS, One),
                Field("response_headers", 2, TO_HEADERS, One),
                Field("request_body", 3, TO_BODY, One),
                Field("response_body", 4, TO_BODY, One),
                Field("request_trailers", 5, TO_TRAILERS, One),
                Field("response_trailers", 6, TO_TRAILERS, One),
                Field("immediate_response", 7, ".envoy.service.ext_proc.v3.ImmediateResponse", One),
                Field(
                    "mode_override",
                    9,
                    ".envoy.extensions.filters.http.ext_proc.v3.ProcessingMode",
                    Single,
                ),
            ],
        ),
        message(
            "HttpHeaders",
            None,
            &[Field("headers", 1, MAP, Single), Field("end_of_stream", 3, "bool", Single)],
        ),
        message(
            "HttpBody",
            None,
            &[Field("body", 1, "bytes", Single), Field("end_of_stream", 2, "bool", Single)],
        ),
        message("HttpTrailers", None, &[Field("trailers", 1, MAP, Single)]),
        message("HeadersResponse", None, &[Field("response", 1, COMMON, Single)]),
        message("BodyResponse", None, &[Field("response", 1, COMMON, Single)]),
        message("TrailersResponse", None, &[Field("header_mutation", 1, MUTATION, Single)]),
        DescriptorProto {
            enum_type: vec![choice("ResponseStatus", &["CONTINUE", "CONTINUE_AND_REPLACE"])],
            ..message(
                "CommonResponse",
                None,
                &[
                    Field(
                        "status",
                        1,
                        "enum .envoy.service.ext_proc.v3.CommonResponse.ResponseStatus",
                        Single,
                    ),
                    Field("header_mutation", 2, MUTATION, Single),
                    Field("trailers", 4, MAP, Single),
                    Field("clear_route_cache", 5, "bool", Single),
                ],
            )
        },
        message(
            "HeaderMutation",
            None,
            &[
                Field("set_headers", 1, ".envoy.config.core.v3.HeaderValueOption", Repeated),
                Field("remove_headers", 2, "string", Repeated),
            ],
        ),
        message(
            "ImmediateResponse",
            None,
            &[
                Field("status", 1, ".envoy.type.v3.HttpStatus", Single),
                Field("headers", 2, MUTATION, Single),
                Field("body", 3, "bytes", Single),
                Field("details", 5, "string", Single),
            ],
        ),
    ];
    let method = MethodDescriptorProto {
        name: Some("Process".to_string()),
        input_type: Some(".envoy.service.ext_proc.v3.ProcessingRequest".to_string()),
        output_type: Some(".envoy.service.ext_proc.v3.ProcessingResponse".to_string()),
        client_streaming: Some(true),
        server_streaming: Some(true),
        ..MethodDescriptorProto::default()
    };
    let (package, name) = SERVICE_NAME.rsplit_once('.').unwrap_or_default();
    let service = ServiceDescriptorProto {
        name: Some(name.to_string()),
        method: vec![method],
        ..ServiceDescriptorProto::default()
    };
    let service = FileDescriptorProto {
        service: vec![service],
        ..file(SERVICE_FILE, package, &[BASE_FILE, STATUS_FILE, MODE_FILE], messages)
    };
    FileDescriptorSet { file: vec![base, status, mode, service] }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_descriptors_fit_together_and_name_the_service() {
        assert!(service().is_some());
        let set = own();
        // Every type that a field names is described, under the name that it has.
        let mut known = Vec::new();
        for file in &set.file {
            for message in &file.message_type {
                let name = format!(".{}.{}", file.package(), message.name());
                known.extend(message.enum_type.iter().map(|e| format!("{name}.{}", e.name())));
                known.push(name);
            }
        }
        let named = set.file.iter().flat_map(|f| &f.message_type).flat_map(|m| &m.field);
        for name in named.filter_map(|f| f.type_name.as_ref()) {
            assert!(known.contains(name), "{name}");
        }
        assert_eq!(set.file[3].service[0].name(), "ExternalProcessor");
    }
}
