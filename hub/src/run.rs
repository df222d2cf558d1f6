//! The hub's parts put together, its threads, and its end.

use crate::book::{Book, Fill};
use crate::fetch;
use crate::flight::{Copy, Verdict};
use crate::links::Links;
use crate::purges;
use crate::serve;
use crate::tally::{add, Tally};
use crossbeam_channel::{bounded, Sender};
use foldmux_hierarchy::epochs::Taken;
use foldmux_hierarchy::fence::Fences;
use foldmux_hierarchy::ledger::{Key, Limits, Next};
use foldmux_hierarchy::way::Signer;
use foldmux_hierarchy::Time;
use foldmux_operator::{Hierarchy, Operator, Relay};
use quick_cache::sync::Cache;
use quick_cache::Weighter;
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Stack of a thread that reads a connection or makes a fetch: bytes are on the heap.
const STACK: usize = 160 * 1024;
/// The hub's clock at its start: what began before has room behind it.
const ORIGIN: Time = 1 << 40;
/// Classes that are told apart.
const CLASSES_MOST: usize = 256;
/// A thread that has no fetch for so long ends.
const IDLE_THREAD: Duration = Duration::from_secs(5);
/// How often leases and former trees are looked at.
const SWEEP: Duration = Duration::from_millis(25);

/// A copy's weight: its bytes, and what keeping it costs.
#[derive(Clone)]
struct Bytes;

impl Weighter<Key, Arc<Copy>> for Bytes {
    fn weight(&self, _: &Key, copy: &Arc<Copy>) -> u64 {
        copy.meta.length as u64 + 256
    }
}

pub struct Hub {
    pub name: String,
    pub domain: String,
    /// When this start began, as all its answers say.
    pub since_ms: u64,
    pub relay: Relay,
    pub lease: Duration,
    pub signer: Signer,
    pub book: Book,
    pub links: Links,
    pub tally: Tally,
    pub leaving: AtomicBool,
    copies: Cache<Key, Arc<Copy>, Bytes>,
    classes: Mutex<HashMap<String, u32>>,
    fences: Mutex<Fences>,
    started: Instant,
    open: AtomicUsize,
    /// Threads that wait for a fetch.
    idle: Mutex<Vec<Sender<(Fill, u32)>>>,
    /// Fetches under way, by what their threads need: a successor takes over where one dies.
    fills: Mutex<HashMap<foldmux_hierarchy::ledger::FetchId, Fill>>,
    sockets: Mutex<HashMap<u64, Arc<TcpStream>>>,
}

impl Hub {
    pub fn now(&self) -> Time {
        ORIGIN + self.started.elapsed().as_micros() as Time
    }

    pub fn unix_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
    }

    /// A class's number; none where there are too many.
    pub fn class(&self, name: &str) -> Option<u32> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(class) = classes.get(name) {
            return Some(*class);
        }
        let next = classes.len();
        (next < CLASSES_MOST).then(|| {
            classes.insert(name.to_string(), next as u32);
            next as u32
        })
    }

    /// A purge that this hub was told of: no fill that comes from here on is answered from an older copy.
    pub fn purge(&self, object: Option<u64>, stamp_ms: u64) {
        self.fences.lock().unwrap_or_else(PoisonError::into_inner).purge(object, stamp_ms);
        add(&self.tally.purges);
    }

    /// When a copy must have been born at the earliest for a fill that allows so much, by the purges told here.
    pub fn bound(&self, object: u64, born_after: u64) -> u64 {
        self.fences.lock().unwrap_or_else(PoisonError::into_inner).oldest(object).max(born_after)
    }

    /// The copy that is held, if it is young enough.
    pub fn held(&self, key: Key, born_after: u64) -> Option<Arc<Copy>> {
        self.copies.get(&key).filter(|copy| copy.meta.born_ms >= born_after)
    }

    /// Keeps a copy; never an older one in a younger one's place.
    pub fn keep(&self, key: Key, born_after: u64, copy: Copy) {
        if copy.meta.born_ms >= born_after && self.held(key, copy.meta.born_ms).is_none() {
            self.copies.insert(key, Arc::new(copy));
        }
    }

    /// Gives a fetch to a thread that is idle, or to a new one; where there is none to be had, all who wait are told
    /// at once. The ledger bounds the fetches, and so the threads.
    pub fn fetch(self: &Arc<Self>, fill: Fill, attempt: u32) {
        self.fills.lock().unwrap_or_else(PoisonError::into_inner).insert(fill.id, fill.clone());
        let job = (fill.clone(), attempt);
        let idle = self.idle().pop();
        let Some(job) = idle.map_or(Some(job.clone()), |idle| idle.send(job).err().map(|back| back.0)) else {
            return;
        };
        let (hub, (sender, jobs)) = (self.clone(), bounded(1));
        let body = move || {
            let mut next = Some(job);
            while let Some((fill, attempt)) = next.take() {
                let end = Ended(&hub, fill.id);
                // Guards against a fault in one fetch ending the thread: who waits goes on by the ledger's lease.
                let _ = catch_unwind(AssertUnwindSafe(|| fetch::fetch(&hub, &fill, attempt)));
                drop(end);
                hub.idle().push(sender.clone());
                next = jobs.recv_timeout(IDLE_THREAD).ok();
                if next.is_none() {
                    let listed = hub.idle().extract_if(.., |idle| idle.same_channel(&sender)).count() > 0;
                    // Guards against a job that was on its way as the wait ended: who took this thread off the list
                    // is about to send it.
                    next = if listed { None } else { jobs.recv_timeout(IDLE_THREAD).ok() };
                }
            }
        };
        if thread::Builder::new().name("fetch".into()).stack_size(STACK).spawn(body).is_err() {
            let _ = Ended(self, fill.id);
            self.book.done(&fill, attempt, Some(Verdict::Full));
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Sender<(Fill, u32)>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Fetches whose thread died or hangs go on with another; former trees whose time is over go.
    fn sweep(self: &Arc<Self>) {
        let now = self.now();
        for (id, attempt) in self.book.lapsed(now) {
            let fill = self.fills.lock().unwrap_or_else(PoisonError::into_inner).get(&id).cloned();
            let Some(fill) = fill else { continue };
            if let Next::Again(next) = self.book.failed(now, &fill, attempt, Verdict::Late) {
                self.fetch(fill, next);
            }
        }
        self.book.look(now).into_iter().for_each(|address| self.links.close(address));
    }

    pub fn rewire(&self, hierarchy: Hierarchy) -> Result<Taken, String> {
        self.book.rewire(self.now(), hierarchy).map_err(|refused| refused.to_string())
    }

    /// What `GET /v2/state` tells.
    pub fn state(&self) -> String {
        let [former, fetches, waits, sources] = self.book.sizes();
        format!(
            "node {}\ntree {}\nformer_trees {former}\nfetches_open {fetches}\nwaits_open {waits}\nsources {sources}\n\
             connections_open {}\ncopies {}\ncopies_bytes {}\n{}",
            self.name,
            self.book.stamp(),
            self.open.load(Ordering::SeqCst),
            self.copies.len(),
            self.copies.weight(),
            self.tally.lines()
        )
    }
}

/// The end of a fetch's thread, however it ends.
struct Ended<'a>(&'a Hub, foldmux_hierarchy::ledger::FetchId);

impl Drop for Ended<'_> {
    fn drop(&mut self) {
        self.0.fills.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.1);
    }
}

/// A hub that serves.
pub struct Running {
    pub hub: Arc<Hub>,
    pub address: SocketAddr,
}

/// Serves on this listener as the node `name` of the operator's tree.
pub fn start(name: &str, operator: Operator, listener: TcpListener) -> Result<Running, String> {
    let hierarchy = operator.hierarchy.ok_or("the operator's file has no hierarchy")?;
    let relay = operator.relay.unwrap_or_default();
    let steps = hierarchy.tree.tallest() as u64 + 2;
    let lease = Duration::from_millis(relay.lease_ms);
    let limits = Limits {
        fetches: relay.fetches as usize,
        waits: relay.waits as usize,
        // Sockets have their own time; this one is for threads that died or hang.
        lease: relay.lease_ms * 1_000 * steps * 2,
        attempts: relay.attempts as u32,
    };
    let domain = hierarchy.domain.clone();
    let signer = Signer::new(name, &domain, &rand::random::<[u8; 32]>());
    let bytes = relay.memory_mb * 1024 * 1024;
    let copies = Cache::with_weighter((bytes / 16_384).max(16) as usize, bytes, Bytes);
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let since_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
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
            hub.sweep();
            drop(hub);
            thread::sleep(SWEEP);
        }
    })?;
    Ok(Running { hub, address })
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = thread::Builder::new().name(name.to_string()).stack_size(STACK);
    thread.spawn(body).map(drop).map_err(|e| format!("thread {name}: {e}"))
}

/// One connection's place, given back however its thread ends.
struct Place(Arc<Hub>, u64);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.sockets.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.1);
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
            let _ = foldmux_http1::io::write_all(&stream, &[full.as_bytes()], Instant::now() + SWEEP);
            continue;
        }
        hub.sockets.lock().unwrap_or_else(PoisonError::into_inner).insert(number, stream.clone());
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
                let sockets = self.hub.sockets.lock().unwrap_or_else(PoisonError::into_inner);
                sockets.values().for_each(|socket| drop(socket.shutdown(Shutdown::Read)));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Ends at once, as a process that dies: what is open is reset or closed.
    pub fn kill(&self) {
        self.hub.leaving.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        let sockets = self.hub.sockets.lock().unwrap_or_else(PoisonError::into_inner);
        sockets.values().for_each(|socket| drop(socket.shutdown(Shutdown::Both)));
    }
}

/// `foldmux hub`: serves until a signal ends it; SIGHUP reads the operator's file again.
pub fn run(name: &str, file: &Path) -> Result<(), String> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| e.to_string())?;
    let operator = foldmux_operator::load(file).map_err(|faults| faults.join("; "))?;
    let place = operator.hierarchy.as_ref().and_then(|h| h.nodes.get(name)).copied();
    let at = place.and_then(|p| p.address).ok_or(format!("{name} has no address in {}", file.display()))?;
    let listener = TcpListener::bind(at).map_err(|e| format!("listening on {at}: {e}"))?;
    let running = start(name, operator, listener)?;
    tracing::info!(node = name, address = %running.address, tree = %running.hub.book.stamp(), "hub serves");
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        let taken = foldmux_operator::load(file)
            .map_err(|faults| faults.join("; "))
            .and_then(|o| o.hierarchy.ok_or_else(|| "the file has no hierarchy".to_string()))
            .and_then(|hierarchy| running.hub.rewire(hierarchy));
        match taken {
            Ok(Taken::New) => tracing::info!(tree = %running.hub.book.stamp(), "a new tree is in service"),
            Ok(Taken::Same) => tracing::info!(tree = %running.hub.book.stamp(), "the tree stays as it is"),
            Err(why) => tracing::error!(%why, "the tree can't be taken; all stays as it was"),
        }
    }
    running.stop(Duration::from_millis(running.hub.relay.wait_ms));
    tracing::info!("hub left");
    Ok(())
}
