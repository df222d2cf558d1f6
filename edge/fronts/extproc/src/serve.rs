//! The front's sockets and its runtime: started by the operator's file alone, with bounds on threads, connections,
//! handshakes, streams and bytes.

use crate::keyed::Keeper;
use crate::life::{self, us, Class, Counts, Front};
use crate::mapping::Map;
use crate::parked::Parked;
use crate::pb::external_processor_server::{ExternalProcessor, ExternalProcessorServer};
use crate::pb::{ProcessingRequest, ProcessingResponse};
use crate::reflect;
use foldmux::interface::Repeat;
use foldmux_core::Core;
use foldmux_identity::{Files, Identity};
use foldmux_operator::{Durable, ExtProc};
use foldmux_store::{Commit, Opener};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener as Listener};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};
use tokio_rustls::server::TlsStream;
use tokio_rustls::TlsAcceptor;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::Stream;
use tonic::transport::server::{Connected, Server};
use tonic::{Request, Response, Status, Streaming};

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
const HANDSHAKE: Duration = Duration::from_secs(5);
/// How often ways that nobody came for are let go.
const SWEEP: Duration = Duration::from_millis(20);
const STACK: usize = 512 * 1024;

/// What the operator's file sets, bound and read: what is wrong shows before anything serves.
pub struct Bound {
    setup: ExtProc,
    listener: Listener,
    identity: Option<Identity>,
    map: Map,
    classes: Vec<Class>,
    keeper: Arc<Keeper>,
}

/// For how long after a key's last attempt its repeat may come (ms).
fn remember(setup: &ExtProc) -> u64 {
    setup.ledger.as_ref().map_or(60_000, |ledger| ledger.remember_ms)
}

/// The store under the ledger, as the file sets it.
fn opener(setup: &ExtProc) -> Option<(Opener, Commit)> {
    let ledger = setup.ledger.as_ref()?;
    let commit = match ledger.durable {
        Durable::Each => Commit::Each,
        Durable::Group => Commit::Group,
        Durable::Behind => Commit::Behind,
    };
    Some((foldmux_store::file(Path::new(&ledger.file)), commit))
}

impl Bound {
    pub fn new(setup: ExtProc, classes: Vec<Class>) -> Result<Bound, String> {
        let store = opener(&setup);
        Bound::on(setup, classes, store)
    }

    /// With another store than the file's, for tests of a disk that fails.
    pub fn on(setup: ExtProc, classes: Vec<Class>, store: Option<(Opener, Commit)>) -> Result<Bound, String> {
        let told = |e: String| format!("external processor: {e}");
        let keyed = |class: &Class| matches!(class.repeat, Repeat::Keyed(_));
        let names: Vec<(&str, bool)> = classes.iter().map(|c| (&*c.name, keyed(c))).collect();
        let map = Map::new(&setup.asks, &names).map_err(told)?;
        let asked = |class: &&Class| keyed(class) && setup.asks.iter().any(|a| a.class == *class.name);
        if let Some(class) = classes.iter().find(asked).filter(|_| store.is_none()) {
            return Err(told(format!("{} is keyed, and there is no ledger", class.name)));
        }
        let listener =
            Listener::bind(setup.listen).map_err(|e| told(format!("listening on {}: {e}", setup.listen)))?;
        let identity = setup.tls.as_ref().map(|tls| {
            let [svid, key, bundle] = [&tls.svid, &tls.key, &tls.bundle].map(PathBuf::from);
            Identity::load(Files { svid, key, bundle }, tls.allowed.clone(), b"h2")
        });
        let identity = identity.transpose().map_err(told)?;
        let secrets: Vec<(u8, &[u8])> =
            setup.keys.iter().map(|key| (key.number, key.secret.as_bytes())).collect();
        let most = setup.ledger.as_ref().map_or(0, |ledger| ledger.entries as usize);
        let remember = remember(&setup);
        let keeper = Keeper::start(store, most, &secrets, setup.overlap_ms, remember);
        let keeper = Arc::new(keeper.map_err(|e| told(format!("ledger: {e}")))?);
        Ok(Bound { setup, listener, identity, map, classes, keeper })
    }

    pub fn address(&self) -> Result<SocketAddr, String> {
        self.listener.local_addr().map_err(|e| e.to_string())
    }

    /// Serves on a runtime of its own, until it is told to leave. `listed`: whether the members are known.
    pub fn serve(self, core: Arc<Core>, attempts: u32, listed: Arc<AtomicBool>) -> Result<Serving, String> {
        let Bound { setup, listener, identity, map, classes, keeper } = self;
        let mut salt = [0; 8];
        getrandom::fill(&mut salt).map_err(|e| format!("external processor: {e}"))?;
        let streams = setup.streams as usize;
        let front = Arc::new(Front {
            core,
            classes,
            map,
            keeper,
            parked: Parked::new(streams),
            name: setup.name.clone(),
            patience: us(setup.patience_ms),
            slow_after: us(setup.message_timeout_ms / 2),
            good_for: us(setup.good_for_ms),
            idle: us(setup.idle_ms),
            again: setup.again,
            strict: setup.strict,
            remember: remember(&setup),
            attempts: attempts.max(1),
            streams,
            open: AtomicUsize::new(0),
            salt: u64::from_le_bytes(salt),
            serial: AtomicU64::new(0),
            counts: Counts::default(),
        });
        let runtime = Builder::new_multi_thread()
            .worker_threads(setup.threads as usize)
            .max_blocking_threads(1)
            .thread_stack_size(STACK)
            .thread_name("extproc")
            .enable_io()
            .enable_time()
            .build()
            .map_err(|e| format!("external processor: its threads: {e}"))?;
        let (leave, told) = oneshot::channel();
        let ended = {
            let _inside = runtime.enter();
            listener.set_nonblocking(true).map_err(|e| e.to_string())?;
            let listener = TcpListener::from_std(listener).map_err(|e| e.to_string())?;
            let front = front.clone();
            let connections = setup.connections as usize;
            runtime.spawn(run(front, listener, identity, connections, listed, told))
        };
        Ok(Serving { runtime: Some(runtime), leave: Some(leave), ended: Some(ended), front })
    }
}

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
        let (Some(runtime), Some(ended)) = (&self.runtime, self.ended.take()) else { return true };
        runtime.block_on(async { timeout(longest, ended).await.is_ok() })
    }

    /// One line with what was counted since the start.
    pub fn line(&self) -> String {
        let Counts { placed, refused, given_up, unusable, unmatched, again, faults, observed } =
            &self.front.counts;
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
        let caller = request.extensions().get::<Caller>().cloned().unwrap_or_default();
        Ok(Response::new(Box::pin(life::stream(self.0.clone(), request.into_inner(), caller.0))))
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
    reporter.set_not_serving::<ExternalProcessorServer<Service>>().await;
    let (ready, known) = (reporter.clone(), listed);
    tokio::spawn(async move {
        while !known.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(20)).await;
        }
        ready.set_serving::<ExternalProcessorServer<Service>>().await;
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
    let service = ExternalProcessorServer::new(Service(front)).max_decoding_message_size(MESSAGE_MOST);
    let leaving = async move {
        let _ = leave.await;
        reporter.set_not_serving::<ExternalProcessorServer<Service>>().await;
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
    if let Err(e) = server.serve_with_incoming_shutdown(ReceiverStream::new(incoming), leaving).await {
        tracing::error!("external processor: {e}");
    }
}

/// Takes connections while there are places; those beyond are closed at once. Handshakes run beside each other, each
/// in its connection's place and within its time.
async fn accept(
    listener: TcpListener,
    identity: Option<Arc<Identity>>,
    most: usize,
    taken: mpsc::Sender<Result<Link, io::Error>>,
) {
    let places = Arc::new(Semaphore::new(most));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Guards against spinning where there are no descriptors.
                let aborted = e.kind() == io::ErrorKind::ConnectionAborted;
                sleep(Duration::from_millis(if aborted { 0 } else { 20 })).await;
                continue;
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else { continue };
        let _ = stream.set_nodelay(true);
        let (identity, taken) = (identity.clone(), taken.clone());
        tokio::spawn(async move {
            let (io, caller) = match identity {
                None => (Io::Plain(stream), Caller::default()),
                Some(identity) => match timeout(HANDSHAKE, shake(&identity, stream)).await {
                    Ok(Some((stream, id))) => (Io::Tls(Box::new(stream)), Caller(id.into())),
                    _ => return,
                },
            };
            let _ = taken.send(Ok(Link { io, caller, _place: place })).await;
        });
    }
}

/// A connection whose peer has proved an identity that may call, or none.
async fn shake(identity: &Identity, stream: TcpStream) -> Option<(TlsStream<TcpStream>, String)> {
    let stream = match TlsAcceptor::from(identity.current()).accept(stream).await {
        Ok(stream) => stream,
        Err(e) => {
            tracing::debug!("external processor: handshake: {e}");
            return None;
        }
    };
    let connection = stream.get_ref().1;
    let Some(id) = identity.allowed_id(connection.peer_certificates()) else {
        tracing::warn!("external processor: a caller whose identity is not allowed");
        return None;
    };
    Some((stream, id))
}

enum Io {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

/// A connection in its place, which is given back with it.
struct Link {
    io: Io,
    caller: Caller,
    _place: OwnedSemaphorePermit,
}

/// Who a connection's peer proved to be; nobody without TLS.
#[derive(Clone)]
pub struct Caller(pub Arc<str>);

impl Default for Caller {
    fn default() -> Caller {
        Caller("".into())
    }
}

impl Connected for Link {
    type ConnectInfo = Caller;
    fn connect_info(&self) -> Caller {
        self.caller.clone()
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            Io::Tls(stream) => Pin::new(&mut **stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Link {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_write(context, bytes),
            Io::Tls(stream) => Pin::new(&mut **stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_flush(context),
            Io::Tls(stream) => Pin::new(&mut **stream).poll_flush(context),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            Io::Tls(stream) => Pin::new(&mut **stream).poll_shutdown(context),
        }
    }
}

/// Runs a future to its end on a small runtime of this thread, as the commands of the program do.
pub fn block_on<T>(future: impl Future<Output = T>) -> Result<T, String> {
    let runtime =
        Builder::new_current_thread().enable_io().enable_time().build().map_err(|e| e.to_string())?;
    Ok(runtime.block_on(future))
}
