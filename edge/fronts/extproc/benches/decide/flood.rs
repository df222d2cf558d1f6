//! A stream that is flooded with messages beside the ones that are measured.

use crate::PATH;
use foldmux_extproc::check::asks;
use foldmux_extproc::pb::external_processor_client::ExternalProcessorClient;
use foldmux_extproc::pb::{HttpBody, ProcessingRequest, Request};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// One stream after the other, each flooded with bodies that are answered until the front has had enough of them.
pub struct Flood(Arc<AtomicU64>, Arc<AtomicU64>, thread::JoinHandle<()>);

impl Flood {
    pub fn start(at: SocketAddr) -> Flood {
        let (sent, over) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (counted, told) = (sent.clone(), over.clone());
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async {
                let mut client = ExternalProcessorClient::connect(format!("http://{at}"))
                    .await
                    .unwrap();
                let (sender, messages) = mpsc::channel(16);
                let mut ask = asks("GET", PATH, &[]);
                if let Some(Request::RequestHeaders(headers)) = &mut ask.request {
                    headers.end_of_stream = false;
                }
                let _ = sender.send(ask).await;
                let mut answers = client
                    .process(ReceiverStream::new(messages))
                    .await
                    .unwrap()
                    .into_inner();
                let body = HttpBody {
                    body: vec![0; 1_000],
                    ..HttpBody::default()
                };
                let flood = async {
                    while told.load(Ordering::Relaxed) == 0 {
                        let request = Some(Request::RequestBody(body.clone()));
                        if sender
                            .send(ProcessingRequest {
                                request,
                                ..ProcessingRequest::default()
                            })
                            .await
                            .is_err()
                        {
                            return;
                        }
                        counted.fetch_add(1, Ordering::Relaxed);
                    }
                };
                let read = async { while let Ok(Some(_)) = answers.message().await {} };
                tokio::select! { () = flood => {}, () = read => {} }
            });
        });
        Flood(sent, over, thread)
    }

    pub fn end(self) -> u64 {
        self.1.store(1, Ordering::Relaxed);
        self.2.join().unwrap();
        self.0.load(Ordering::Relaxed)
    }
}
