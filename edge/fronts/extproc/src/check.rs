//! `foldmux extproc-check`: asks a running front for one decision, as a calling proxy would, and prints it.

use crate::pb::external_processor_client::ExternalProcessorClient;
use crate::pb::{
    HeaderMap, HeaderValue, HttpHeaders, ProcessingRequest, ProcessingResponse, Request, Response,
};
use crate::serve::block_on;
use std::fmt::Write as _;
use std::time::Duration;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(5);

/// The first message of a stream.
pub fn asks(method: &str, path: &str, fields: &[(String, String)]) -> ProcessingRequest {
    let one = |key: &str, value: &str| HeaderValue {
        key: key.to_string(),
        raw_value: value.as_bytes().to_vec(),
        ..HeaderValue::default()
    };
    let mut headers = vec![
        one(":method", method),
        one(":path", path),
        one(":scheme", "http"),
        one(":authority", "check"),
    ];
    headers.extend(
        fields
            .iter()
            .map(|(key, value)| one(&key.to_ascii_lowercase(), value)),
    );
    let headers = HttpHeaders {
        headers: Some(HeaderMap { headers }),
        end_of_stream: true,
        ..HttpHeaders::default()
    };
    ProcessingRequest {
        request: Some(Request::RequestHeaders(headers)),
        ..ProcessingRequest::default()
    }
}

/// One decision, as lines; an error is one plain line.
pub fn check(
    address: &str,
    method: &str,
    path: &str,
    fields: &[(String, String)],
) -> Result<String, String> {
    let first = asks(method, path, fields);
    let decision = async {
        let client = ExternalProcessorClient::connect(format!("http://{address}")).await;
        let mut client = client.map_err(|e| format!("{address}: {e}"))?;
        let answers = client.process(tokio_stream::once(first)).await;
        let mut answers = answers.map_err(|e| told(address, &e))?.into_inner();
        loop {
            let answer = answers.message().await.map_err(|e| told(address, &e))?;
            let answer = answer.ok_or_else(|| format!("{address}: it ended without a decision"))?;
            // A front that is slow asks for more time first; the decision follows.
            if answer.response.is_some() || answer.override_message_timeout.is_none() {
                return Ok::<_, String>(answer);
            }
        }
    };
    let decision = block_on(async { timeout(PATIENCE, decision).await });
    let response =
        decision?.map_err(|_| format!("{address}: no decision within {PATIENCE:?}"))??;
    Ok(lines(&response))
}

fn told(address: &str, status: &tonic::Status) -> String {
    format!("{address}: {:?}: {}", status.code(), status.message())
}

fn lines(response: &ProcessingResponse) -> String {
    let mut out = String::new();
    let fields = |mutation: Option<&crate::pb::HeaderMutation>| {
        let mut lines = String::new();
        for header in mutation
            .iter()
            .flat_map(|m| &m.set_headers)
            .filter_map(|f| f.header.as_ref())
        {
            let _ = writeln!(
                lines,
                "  {}: {}",
                header.key,
                String::from_utf8_lossy(&header.raw_value)
            );
        }
        lines
    };
    match &response.response {
        Some(Response::RequestHeaders(headers)) => {
            let common = headers.response.as_ref();
            let set = fields(common.and_then(|c| c.header_mutation.as_ref()));
            out += if set.is_empty() {
                "passed on unplaced\n"
            } else {
                "placed\n"
            };
            out += &set;
            if common.is_some_and(|c| c.clear_route_cache) {
                out += "  (its route is chosen anew)\n";
            }
        }
        Some(Response::ImmediateResponse(now)) => {
            let _ = writeln!(
                out,
                "answered {}",
                now.status.as_ref().map_or(0, |s| s.code)
            );
            out += &fields(now.headers.as_ref());
        }
        other => {
            let _ = writeln!(out, "an unexpected answer: {other:?}");
        }
    }
    out
}
