//! The hub's parts put together, its threads, and its end.

use crate::book::Book;
use crate::links::Links;
use crate::purges;
use crate::serve;
use crate::state::{Bytes, Hub};
use crate::tally::{add, Tally};
use crate::threads::{self, STACK};
use foldmux_hierarchy::fill_path::PathSigner;
use foldmux_hierarchy::in_flight::FetchLimits;
use foldmux_hierarchy::versions::Applied;
use foldmux_operator::Operator;
use quick_cache::sync::Cache;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often leases and former trees are looked at.
const SWEEP: Duration = Duration::from_millis(25);

/// A hub that serves.
pub struct Running {
    pub hub: Arc<Hub>,
    pub address: SocketAddr,
}

/// Serves on this listener as the node `name` of the operator's tree.
pub fn start(name: &str, operator: Operator, listener: TcpListener) -> Result<Running, String> {
    let hierarchy = operator
        .hierarchy
        .ok_or("the operator's file has no hierarchy")?;
    let relay = operator.relay.unwrap_or_default();
    let steps = hierarchy.tree.max_height() as u64 + 2;
    let lease = Duration::from_millis(relay.lease_ms);
    let limits = FetchLimits {
        fetches: relay.fetches as usize,
        waiters: relay.waits as usize,
        // Sockets have their own time; this one is for threads that died or hang.
        lease_us: relay.lease_ms * 1_000 * steps * 2,
        attempts: relay.attempts as u32,
    };
    let domain = hierarchy.domain.clone();
    let signer = PathSigner::new(name, &domain, &rand::random::<[u8; 32]>());
    let bytes = relay.memory_mb * 1024 * 1024;
    let copies = Cache::with_weighter((bytes / 16_384).max(16) as usize, bytes, Bytes);
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let since_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64);
    let hub = Arc::new(Hub {
        name: name.to_string(),
        domain,
        since_ms,
        lease,
        signer,
        book: Book::new(name, hierarchy, limits).map_err(|refused| refused.to_string())?,
        links: Links::new(relay.fetches as usize),
        tally: Tally::default(),
        leaving: AtomicBool::new(false),
        copies,
        classes: Mutex::default(),
        fences: Mutex::default(),
        started: Instant::now(),
        open: AtomicUsize::new(0),
        idle: Mutex::default(),
        fills: Mutex::default(),
        sockets: Mutex::default(),
        relay,
    });
    let accepting = hub.clone();
    spawn("accept", move || accept(&accepting, &listener))?;
    if let Some(journal) = hub.relay.journal {
        let followed = Arc::downgrade(&hub);
        spawn("journal", move || purges::follow(&followed, journal))?;
    }
    // Ends with the hub: it holds no more than a look at it.
    let watched = Arc::downgrade(&hub);
    spawn("sweep", move || {
        while let Some(hub) = watched.upgrade() {
            if hub.leaving.load(Ordering::SeqCst) && hub.open.load(Ordering::SeqCst) == 0 {
                return;
            }
            threads::sweep(&hub);
            drop(hub);
            thread::sleep(SWEEP);
        }
    })?;
    Ok(Running { hub, address })
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = thread::Builder::new()
        .name(name.to_string())
        .stack_size(STACK);
    thread
        .spawn(body)
        .map(drop)
        .map_err(|e| format!("thread {name}: {e}"))
}

/// One connection's place, given back however its thread ends.
struct Place(Arc<Hub>, u64);

impl Drop for Place {
    fn drop(&mut self) {
        self.0
            .sockets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.1);
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

fn accept(hub: &Arc<Hub>, listener: &TcpListener) {
    for number in 0u64.. {
        let stream = match listener.accept() {
            Ok((stream, _)) => Arc::new(stream),
            Err(_) => {
                // Guards against spinning where there are no descriptors.
                thread::sleep(Duration::from_millis(20));
                continue;
            }
        };
        if hub.leaving.load(Ordering::SeqCst) {
            return;
        }
        let open = hub.open.fetch_add(1, Ordering::SeqCst);
        let place = Place(hub.clone(), number);
        if open >= hub.relay.connections as usize {
            add(&hub.tally.connections_refused);
            let full = "HTTP/1.1 503 Service Unavailable\r\nSrv-Untouched: 1\r\nRetry-After: 1\r\n\
                        Content-Length: 0\r\nConnection: close\r\n\r\n";
            let _ =
                foldmux_http1::io::write_all(&stream, &[full.as_bytes()], Instant::now() + SWEEP);
            continue;
        }
        hub.sockets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(number, stream.clone());
        let own = hub.clone();
        let _ = spawn("connection", move || {
            let _place = place;
            serve::connection(&own, &stream);
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
}

impl Running {
    /// Takes no more connections, and waits until what is open has its answer, `most` at the longest.
    pub fn stop(&self, most: Duration) {
        let until = Instant::now() + most;
        self.hub.leaving.store(true, Ordering::SeqCst);
        // The listener's thread sees it with the next connection: this one.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        while self.hub.open.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            let (fetches, waits) = (self.hub.book.sizes()[1], self.hub.book.sizes()[2]);
            if fetches + waits == 0 {
                // Only idle ones are left.
                let sockets = self
                    .hub
                    .sockets
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                sockets
                    .values()
                    .for_each(|socket| drop(socket.shutdown(Shutdown::Read)));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Ends at once, as a process that dies: what is open is reset or closed.
    pub fn kill(&self) {
        self.hub.leaving.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        let sockets = self
            .hub
            .sockets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        sockets
            .values()
            .for_each(|socket| drop(socket.shutdown(Shutdown::Both)));
    }
}

/// `foldmux hub`: serves until a signal ends it; SIGHUP reads the operator's file again.
pub fn run(name: &str, file: &Path) -> Result<(), String> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|e| e.to_string())?;
    let operator = foldmux_operator::load(file).map_err(|faults| faults.join("; "))?;
    let place = operator
        .hierarchy
        .as_ref()
        .and_then(|h| h.nodes.get(name))
        .copied();
    let at = place
        .and_then(|p| p.address)
        .ok_or(format!("{name} has no address in {}", file.display()))?;
    let listener = TcpListener::bind(at).map_err(|e| format!("listening on {at}: {e}"))?;
    let running = start(name, operator, listener)?;
    tracing::info!(node = name, address = %running.address, tree = %running.hub.book.stamp(), "hub serves");
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        let taken = foldmux_operator::load(file)
            .map_err(|faults| faults.join("; "))
            .and_then(|o| {
                o.hierarchy
                    .ok_or_else(|| "the file has no hierarchy".to_string())
            })
            .and_then(|hierarchy| running.hub.rewire(hierarchy));
        match taken {
            Ok(Applied::New) => {
                tracing::info!(tree = %running.hub.book.stamp(), "a new tree is in service")
            }
            Ok(Applied::Same) => {
                tracing::info!(tree = %running.hub.book.stamp(), "the tree stays as it is")
            }
            Err(why) => tracing::error!(%why, "the tree can't be taken; all stays as it was"),
        }
    }
    running.stop(Duration::from_millis(running.hub.relay.wait_ms));
    tracing::info!("hub left");
    Ok(())
}
