//! Streams message by message, as a calling proxy has them.
#![allow(dead_code)]

use super::{Instance, PATIENCE};
use foldmux_extproc::check;
use foldmux_extproc::pb::external_processor_client::ExternalProcessorClient;
use foldmux_extproc::pb::{
    HeaderMap, HeaderValue, HttpHeaders, ProcessingRequest, ProcessingResponse, Request, Response,
};
use foldmux_fakes::source::{Act, Source};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

pub const LENGTH: usize = 5_000;
pub const PATH: &str = "/v2/q/sheet/00000000000000aa/0";

pub fn quick() -> Source {
    Source::start(|_| Act::give(LENGTH, Duration::ZERO))
}

pub fn message(request: Request) -> ProcessingRequest {
    ProcessingRequest {
        request: Some(request),
        ..ProcessingRequest::default()
    }
}

pub fn response(status: &str, end_of_stream: bool) -> ProcessingRequest {
    let headers = vec![HeaderValue {
        key: ":status".into(),
        value: status.into(),
        ..HeaderValue::default()
    }];
    let headers = Some(HeaderMap { headers });
    message(Request::ResponseHeaders(HttpHeaders {
        headers,
        end_of_stream,
        ..HttpHeaders::default()
    }))
}

/// One stream, message by message.
pub struct Talk {
    pub sender: mpsc::Sender<ProcessingRequest>,
    pub answers: Streaming<ProcessingResponse>,
}

impl Talk {
    pub async fn open(instance: &Instance) -> Talk {
        let mut client = client(instance).await;
        Talk::on(&mut client).await
    }

    pub async fn on(client: &mut ExternalProcessorClient<tonic::transport::Channel>) -> Talk {
        let (sender, messages) = mpsc::channel(4);
        let answers = client
            .process(ReceiverStream::new(messages))
            .await
            .unwrap()
            .into_inner();
        Talk { sender, answers }
    }

    pub async fn say(&self, message: ProcessingRequest) {
        self.sender.send(message).await.unwrap();
    }

    pub async fn hear(&mut self) -> Result<Option<ProcessingResponse>, Status> {
        tokio::time::timeout(PATIENCE, self.answers.message())
            .await
            .expect("an answer")
    }

    pub async fn ask(&mut self, path: &str) -> Response {
        self.say(check::asks("GET", path, &[])).await;
        loop {
            // On a busy machine it may ask for more time first.
            if let Some(response) = self.hear().await.unwrap().unwrap().response {
                return response;
            }
        }
    }
}

pub async fn client(instance: &Instance) -> ExternalProcessorClient<tonic::transport::Channel> {
    ExternalProcessorClient::connect(format!("http://{}", instance.address))
        .await
        .unwrap()
}

/// A field of a placement.
pub fn placed(response: &Response, name: &str) -> Option<String> {
    let Response::RequestHeaders(headers) = response else {
        panic!("no placement: {response:?}")
    };
    let mutation = headers
        .response
        .as_ref()
        .unwrap()
        .header_mutation
        .as_ref()
        .unwrap();
    let mut set = mutation
        .set_headers
        .iter()
        .filter_map(|f| f.header.as_ref());
    set.find(|h| h.key == name)
        .map(|h| String::from_utf8(h.raw_value.clone()).unwrap())
}
