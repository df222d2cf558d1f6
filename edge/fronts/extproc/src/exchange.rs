//! The order of one stream's messages: pure, and told of each as it comes. Whatever comes out of order, or is of a
//! kind that is not known, is one clear fault that ends the stream.

use crate::pb::{BodySendMode, HttpHeaders, ProcessingRequest, Request};
use std::fmt;

/// Why a stream can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No message of the kinds that are known here.
    Unknown,
    /// It comes too early, too late, or twice.
    OutOfOrder(&'static str),
    /// Asked to stand in for the body's way, which it does not.
    Unsupported(&'static str),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Unknown => f.write_str("a message of a kind that is not known here"),
            Fault::OutOfOrder(what) => write!(f, "out of order: {what}"),
            Fault::Unsupported(what) => write!(f, "not supported: {what}"),
        }
    }
}

/// What a message means.
#[derive(Debug, PartialEq)]
pub enum Heard {
    RequestHeaders(HttpHeaders),
    RequestBody,
    RequestTrailers,
    ResponseHeaders(HttpHeaders),
    /// Whether the response is whole with it.
    ResponseBody {
        whole: bool,
    },
    ResponseTrailers,
}

/// How far one direction has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Side {
    #[default]
    Nothing,
    Headers,
    Body,
    /// All of the body, and trailers may follow.
    Whole,
    Over,
}

impl Side {
    fn headers(&mut self, whole: bool, what: &'static str) -> Result<(), Fault> {
        if *self != Side::Nothing {
            return Err(Fault::OutOfOrder(what));
        }
        *self = if whole { Side::Over } else { Side::Headers };
        Ok(())
    }

    fn body(&mut self, whole: bool, what: &'static str) -> Result<(), Fault> {
        if !matches!(self, Side::Headers | Side::Body) {
            return Err(Fault::OutOfOrder(what));
        }
        *self = if whole { Side::Whole } else { Side::Body };
        Ok(())
    }

    /// After the headers, whether or not bodies are sent here.
    fn trailers(&mut self, what: &'static str) -> Result<(), Fault> {
        if !matches!(self, Side::Headers | Side::Body | Side::Whole) {
            return Err(Fault::OutOfOrder(what));
        }
        *self = Side::Over;
        Ok(())
    }
}

#[derive(Debug, Default)]
pub struct Exchange {
    request: Side,
    response: Side,
    /// The caller only tells, and waits for no answer; as its first message said.
    observed: Option<bool>,
}

impl Exchange {
    /// Whether answers are wanted.
    pub fn observed(&self) -> bool {
        self.observed == Some(true)
    }

    pub fn hear(&mut self, message: ProcessingRequest) -> Result<Heard, Fault> {
        if let Some(config) = &message.protocol_config {
            let streamed = |mode: i32| {
                mode == BodySendMode::FullDuplexStreamed as i32 || mode == BodySendMode::Grpc as i32
            };
            if streamed(config.request_body_mode) || streamed(config.response_body_mode) {
                // Guards against a body that would be lost: in these modes the caller sends on only what it is sent.
                return Err(Fault::Unsupported(
                    "a body mode in which the body comes from the processor",
                ));
            }
        }
        let observed = message.observability_mode;
        if *self.observed.get_or_insert(observed) != observed {
            return Err(Fault::OutOfOrder(
                "observability_mode changed within a stream",
            ));
        }
        match message.request.ok_or(Fault::Unknown)? {
            Request::RequestHeaders(headers) => {
                if self.response != Side::Nothing {
                    return Err(Fault::OutOfOrder("request headers after the response"));
                }
                self.request
                    .headers(headers.end_of_stream, "request headers twice")?;
                Ok(Heard::RequestHeaders(headers))
            }
            Request::RequestBody(body) => {
                self.request.body(
                    body.end_of_stream,
                    "a request body without headers, or after its end",
                )?;
                Ok(Heard::RequestBody)
            }
            Request::RequestTrailers(_) => {
                self.request
                    .trailers("request trailers without headers, or after the end")?;
                Ok(Heard::RequestTrailers)
            }
            Request::ResponseHeaders(headers) => {
                self.response
                    .headers(headers.end_of_stream, "response headers twice")?;
                Ok(Heard::ResponseHeaders(headers))
            }
            Request::ResponseBody(body) => {
                self.response.body(
                    body.end_of_stream,
                    "a response body without headers, or after its end",
                )?;
                Ok(Heard::ResponseBody {
                    whole: body.end_of_stream,
                })
            }
            Request::ResponseTrailers(_) => {
                self.response
                    .trailers("response trailers without headers, or after the end")?;
                Ok(Heard::ResponseTrailers)
            }
        }
    }
}

#[cfg(test)]
mod tests;
