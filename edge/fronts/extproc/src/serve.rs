//! The front's sockets and its runtime: started by the operator's file alone, with bounds on threads, connections,
//! handshakes, streams and bytes.

use crate::life::{self, Counts, Front};
use crate::pb::external_processor_server::{ExternalProcessor, ExternalProcessorServer};
use crate::pb::{ProcessingRequest, ProcessingResponse};
use crate::reflect;
use connections::accept;
use foldmux_identity::Identity;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::Stream;
use tonic::transport::server::Server;
use tonic::{Request, Response, Status, Streaming};

pub use bound::Bound;
pub use connections::Caller;

mod bound;
mod connections;

/// Longest message that is read: the heads of requests and responses, and no bodies.
const MESSAGE_MOST: usize = 256 * 1024;
/// Longest list of headers of the gRPC calls themselves.
const HEADERS_MOST: u32 = 16 * 1024;
/// What a peer may send ahead on one stream, and on all of a connection's.
const STREAM_WINDOW: u32 = 64 * 1024;
const CONNECTION_WINDOW: u32 = 1024 * 1024;
/// A peer that answers no ping for so long is gone, with all its streams.
const PING_EVERY: Duration = Duration::from_secs(10);
const PING_WAIT: Duration = Duration::from_secs(5);
/// How often ways that nobody came for are let go.
const SWEEP: Duration = Duration::from_millis(20);

/// A front that serves; dropped, it ends at once.
pub struct Serving {
    runtime: Option<Runtime>,
    leave: Option<oneshot::Sender<()>>,
    ended: Option<tokio::task::JoinHandle<()>>,
    pub front: Arc<Front>,
}

impl Serving {
    /// Takes no more connections, tells callers to go elsewhere (GOAWAY), and ends the streams that are open in their
    /// order, for so long at the most. Whether all of them ended.
    pub fn leave(&mut self, longest: Duration) -> bool {
        if let Some(leave) = self.leave.take() {
            let _ = leave.send(());
        }
        let (Some(runtime), Some(ended)) = (&self.runtime, self.ended.take()) else {
            return true;
        };
        runtime.block_on(async { timeout(longest, ended).await.is_ok() })
    }

    /// One line with what was counted since the start.
    pub fn line(&self) -> String {
        let Counts {
            placed,
            refused,
            given_up,
            unusable,
            unmatched,
            again,
            faults,
            observed,
        } = &self.front.counts;
        let all = [
            ("placed", placed),
            ("refused", refused),
            ("given up", given_up),
            ("unusable", unusable),
            ("unmatched", unmatched),
            ("to be tried again", again),
            ("faults", faults),
            ("observed", observed),
        ];
        let told: Vec<String> = all
            .iter()
            .map(|(name, n)| format!("{name} {}", n.load(Ordering::Relaxed)))
            .filter(|t| !t.ends_with(" 0"))
            .collect();
        let [keys, asked] = self.front.keeper.sizes();
        let open = self.front.open.load(Ordering::SeqCst);
        format!(
            "{}; {open} streams, {keys} keys, {asked} being placed; {}",
            told.join(", "),
            self.front.keeper.counts
        )
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(Duration::from_millis(200));
        }
    }
}

struct Service(Arc<Front>);

#[tonic::async_trait]
impl ExternalProcessor for Service {
    type ProcessStream = Pin<Box<dyn Stream<Item = Result<ProcessingResponse, Status>> + Send>>;

    async fn process(
        &self,
        request: Request<Streaming<ProcessingRequest>>,
    ) -> Result<Response<Self::ProcessStream>, Status> {
        let caller = request
            .extensions()
            .get::<Caller>()
            .cloned()
            .unwrap_or_default();
        Ok(Response::new(Box::pin(life::stream(
            self.0.clone(),
            request.into_inner(),
            caller.0,
        ))))
    }
}

async fn run(
    front: Arc<Front>,
    listener: TcpListener,
    identity: Option<Identity>,
    connections: usize,
    listed: Arc<AtomicBool>,
    leave: oneshot::Receiver<()>,
) {
    let (reporter, health) = tonic_health::server::health_reporter();
    reporter
        .set_not_serving::<ExternalProcessorServer<Service>>()
        .await;
    let (ready, known) = (reporter.clone(), listed);
    tokio::spawn(async move {
        while !known.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(20)).await;
        }
        ready
            .set_serving::<ExternalProcessorServer<Service>>()
            .await;
    });
    let swept = front.clone();
    tokio::spawn(async move {
        let mut tick = interval(SWEEP);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            swept.parked.sweep(swept.good_for);
        }
    });
    let (taken, incoming) = mpsc::channel(16);
    let accepting = tokio::spawn(accept(listener, identity.map(Arc::new), connections, taken));
    let streams = front.streams;
    let service =
        ExternalProcessorServer::new(Service(front)).max_decoding_message_size(MESSAGE_MOST);
    let leaving = async move {
        let _ = leave.await;
        reporter
            .set_not_serving::<ExternalProcessorServer<Service>>()
            .await;
        accepting.abort();
    };
    let mut server = Server::builder()
        .max_concurrent_streams(Some(2 * streams as u32))
        .initial_stream_window_size(Some(STREAM_WINDOW))
        .initial_connection_window_size(Some(CONNECTION_WINDOW))
        .http2_max_header_list_size(Some(HEADERS_MOST))
        .http2_keepalive_interval(Some(PING_EVERY))
        .http2_keepalive_timeout(Some(PING_WAIT))
        .add_service(health)
        .add_service(service);
    if let Some(reflection) = reflect::service() {
        server = server.add_service(reflection);
    }
    if let Err(e) = server
        .serve_with_incoming_shutdown(ReceiverStream::new(incoming), leaving)
        .await
    {
        tracing::error!("external processor: {e}");
    }
}

/// Runs a future to its end on a small runtime of this thread, as the commands of the program do.
pub fn block_on<T>(future: impl Future<Output = T>) -> Result<T, String> {
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(|e| e.to_string())?;
    Ok(runtime.block_on(future))
}
