//! The files of `envoy.service.ext_proc.v3`, as far as this front goes by them.

use super::describe::{choice, file, message, Field, One, Repeated, Single};
use crate::pb::external_processor_server::SERVICE_NAME;
use prost_types::{
    DescriptorProto, FileDescriptorProto, FileDescriptorSet, MethodDescriptorProto,
    ServiceDescriptorProto,
};

const SERVICE_FILE: &str = "envoy/service/ext_proc/v3/external_processor.proto";
const BASE_FILE: &str = "envoy/config/core/v3/base.proto";
const STATUS_FILE: &str = "envoy/type/v3/http_status.proto";
const MODE_FILE: &str = "envoy/extensions/filters/http/ext_proc/v3/processing_mode.proto";

/// All files: what the service file needs, then itself.
#[expect(clippy::too_many_lines, reason = "a list of descriptors")]
pub(super) fn files() -> FileDescriptorSet {
    const MAP: &str = ".envoy.config.core.v3.HeaderMap";
    const BODY: &str = ".envoy.service.ext_proc.v3.HttpBody";
    const HEADERS: &str = ".envoy.service.ext_proc.v3.HttpHeaders";
    const TRAILERS: &str = ".envoy.service.ext_proc.v3.HttpTrailers";
    const MUTATION: &str = ".envoy.service.ext_proc.v3.HeaderMutation";
    const TO_HEADERS: &str = ".envoy.service.ext_proc.v3.HeadersResponse";
    const TO_BODY: &str = ".envoy.service.ext_proc.v3.BodyResponse";
    const TO_TRAILERS: &str = ".envoy.service.ext_proc.v3.TrailersResponse";
    const COMMON: &str = ".envoy.service.ext_proc.v3.CommonResponse";
    const SEND: &str =
        "enum .envoy.extensions.filters.http.ext_proc.v3.ProcessingMode.HeaderSendMode";
    const BODIES: &str =
        "enum .envoy.extensions.filters.http.ext_proc.v3.ProcessingMode.BodySendMode";
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
            message(
                "HeaderMap",
                None,
                &[Field(
                    "headers",
                    1,
                    ".envoy.config.core.v3.HeaderValue",
                    Repeated,
                )],
            ),
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
        vec![message(
            "HttpStatus",
            None,
            &[Field("code", 1, "uint32", Single)],
        )],
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
                    &[
                        "NONE",
                        "STREAMED",
                        "BUFFERED",
                        "BUFFERED_PARTIAL",
                        "FULL_DUPLEX_STREAMED",
                        "GRPC",
                    ],
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
                Field(
                    "immediate_response",
                    7,
                    ".envoy.service.ext_proc.v3.ImmediateResponse",
                    One,
                ),
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
            &[
                Field("headers", 1, MAP, Single),
                Field("end_of_stream", 3, "bool", Single),
            ],
        ),
        message(
            "HttpBody",
            None,
            &[
                Field("body", 1, "bytes", Single),
                Field("end_of_stream", 2, "bool", Single),
            ],
        ),
        message("HttpTrailers", None, &[Field("trailers", 1, MAP, Single)]),
        message(
            "HeadersResponse",
            None,
            &[Field("response", 1, COMMON, Single)],
        ),
        message(
            "BodyResponse",
            None,
            &[Field("response", 1, COMMON, Single)],
        ),
        message(
            "TrailersResponse",
            None,
            &[Field("header_mutation", 1, MUTATION, Single)],
        ),
        DescriptorProto {
            enum_type: vec![choice(
                "ResponseStatus",
                &["CONTINUE", "CONTINUE_AND_REPLACE"],
            )],
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
                Field(
                    "set_headers",
                    1,
                    ".envoy.config.core.v3.HeaderValueOption",
                    Repeated,
                ),
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
        ..file(
            SERVICE_FILE,
            package,
            &[BASE_FILE, STATUS_FILE, MODE_FILE],
            messages,
        )
    };
    FileDescriptorSet {
        file: vec![base, status, mode, service],
    }
}
