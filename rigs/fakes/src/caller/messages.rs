//! The messages between a caller and a processor.

use super::Request;
use crate::client::Answer;
use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3::{
    processing_request::Request as Kind, HeaderMutation, HttpHeaders, ProcessingRequest,
};
use envoy_types::pb::google::protobuf::{value, Struct, Value};
use std::collections::{BTreeMap, HashMap};

/// The fields that a mutation sets.
pub(super) fn set(
    mutation: Option<&HeaderMutation>,
) -> impl Iterator<Item = (String, String)> + '_ {
    let all = mutation
        .into_iter()
        .flat_map(|m| &m.set_headers)
        .filter_map(|option| option.header.as_ref());
    all.map(|h| {
        (
            h.key.to_ascii_lowercase(),
            String::from_utf8_lossy(&h.raw_value).into_owned(),
        )
    })
}

fn header(key: &str, value: &str) -> HeaderValue {
    HeaderValue {
        key: key.into(),
        raw_value: value.as_bytes().to_vec(),
        ..HeaderValue::default()
    }
}

/// A request's head, as the processor is shown it.
pub(super) fn heads(request: &Request, fields: &BTreeMap<String, String>) -> ProcessingRequest {
    let mut headers = vec![
        header(":method", &request.method),
        header(":path", &request.path),
        header(":scheme", "http"),
        header(":authority", "standin"),
    ];
    headers.extend(fields.iter().map(|(name, value)| header(name, value)));
    let (headers, end_of_stream) = (Some(HeaderMap { headers }), request.body.is_empty());
    let heads = HttpHeaders {
        headers,
        end_of_stream,
        ..HttpHeaders::default()
    };
    ProcessingRequest {
        request: Some(Kind::RequestHeaders(heads)),
        ..ProcessingRequest::default()
    }
}

/// A response's head, as the processor is shown it.
pub(super) fn response_heads(answer: &Answer) -> HttpHeaders {
    let mut headers = vec![header(":status", &answer.status.to_string())];
    headers.extend(
        answer
            .fields
            .iter()
            .map(|(name, value)| header(name, value)),
    );
    HttpHeaders {
        headers: Some(HeaderMap { headers }),
        end_of_stream: answer.length == 0,
        ..HttpHeaders::default()
    }
}

/// What callers that are told to send attributes say of how an answer came about.
pub(super) fn attribute(message: &mut ProcessingRequest, details: &str) {
    let text = Value {
        kind: Some(value::Kind::StringValue(details.to_string())),
    };
    let fields = HashMap::from([("response.code_details".to_string(), text)]);
    message
        .attributes
        .insert("envoy.filters.http.ext_proc".to_string(), Struct { fields });
}
