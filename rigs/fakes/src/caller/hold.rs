//! Streams held open, for measuring what they cost.

use super::messages::heads;
use super::{channel, Request};
use envoy_types::pb::envoy::service::ext_proc::v3::{
    external_processor_client::ExternalProcessorClient, processing_response::Response as Said,
    ProcessingRequest, ProcessingResponse,
};
use std::net::SocketAddr;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

/// Streams that are held open after their placement.
pub struct Held {
    _streams: Vec<(
        mpsc::Sender<ProcessingRequest>,
        Streaming<ProcessingResponse>,
    )>,
    _runtime: Runtime,
}

/// Opens so many streams, a hundred on a connection, each as far as its placement.
pub fn hold(address: SocketAddr, streams: usize, class: &str) -> Result<Held, String> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let open = async {
        let mut all = Vec::with_capacity(streams);
        let mut client = None;
        for n in 0..streams {
            if n % 100 == 0 {
                client = Some(ExternalProcessorClient::new(channel(address)));
            }
            let client = client.as_mut().ok_or("no client")?;
            let (sender, messages) = mpsc::channel(2);
            let request = Request::get(&crate::client::path(class, n as u64, 0));
            let _ = sender.send(heads(&request, &request.fields)).await;
            let answers = client
                .process(ReceiverStream::new(messages))
                .await
                .map_err(|e| e.to_string())?;
            let mut answers = answers.into_inner();
            let answer = answers
                .message()
                .await
                .map_err(|e| e.to_string())?
                .and_then(|r| r.response);
            match answer {
                Some(Said::RequestHeaders(_)) => all.push((sender, answers)),
                other => return Err(format!("stream {n} was not placed: {other:?}")),
            }
        }
        Ok(all)
    };
    let streams = runtime.block_on(open)?;
    Ok(Held {
        _streams: streams,
        _runtime: runtime,
    })
}
