//! The operator line: a second address, one call a line, `done` or `error` at the start of each answer.
//!
//! Owns: its listener, its connections (each a small thread, as many as the descriptors allow), and the pop caches out by hand
//! as they are told to the desk ([`MaintenanceRegistry`]). May not: wait for client work or for the desk. Every answer is made
//! of figures that are read where they are counted, so that it is owed to nothing else; what is beyond its places
//! is told so at once and closed.

use foldmux_core::Core;
use foldmux_fronts::listen::{named, pause};
use foldmux_http1::io::write_all;
use foldmux_operations::call::{Call, Lines};
use foldmux_operations::maintenance::Refused;
use foldmux_operations::stats::{ClassFigures, Figures};
use foldmux_sockets::stream::{self, Stop};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

pub use maintenance::MaintenanceRegistry;

mod maintenance;
mod maintenance_file;

/// Most connections of the operator line at once; fewer where descriptors are few.
pub const PLACES: usize = 64;
const STACK: usize = 64 * 1024;
/// A connection without a whole call for this long is closed.
const IDLE: Duration = Duration::from_secs(30);
/// How often the set kept on disk is looked at, for what a process beside this one changed.
pub const SYNC_EVERY: Duration = Duration::from_millis(50);
/// A write that the caller does not read for this long ends the connection.
const WRITE_FOR: Duration = Duration::from_millis(500);

/// What the line reads its figures from.
pub struct Sources {
    pub core: Arc<Core>,
    pub hand: Arc<MaintenanceRegistry>,
    /// A list is in and the process takes clients.
    pub listed: Arc<AtomicBool>,
    /// Set when the process begins to leave.
    pub leave_by: Arc<OnceLock<Instant>>,
    pub conf_loaded: AtomicU64,
    pub conf_invalid: AtomicU64,
}

impl Sources {
    pub fn figures(&self) -> Figures {
        let classes = self.core.tally.classes().into_iter();
        let classes = classes.map(
            |(class, [answered, deferred, errored, sends])| ClassFigures {
                class: class.to_string(),
                answered,
                deferred,
                errored,
                sends,
            },
        );
        let (size, unready) = self.hand.census();
        Figures {
            classes: classes.collect(),
            current: (self.core.open() + self.core.lent()) as u64,
            cluster_size: size as u64,
            cluster_unhealthy: unready as u64,
            conf_loaded: self.conf_loaded.load(Ordering::Relaxed),
            conf_invalid: self.conf_invalid.load(Ordering::Relaxed),
        }
    }

    /// The answer to one call, its end of line with it.
    pub fn answer(&self, call: Call) -> String {
        let ready = self.listed.load(Ordering::SeqCst) && self.leave_by.get().is_none();
        match call {
            Call::Status if ready => "done yes\n".to_string(),
            Call::Status => "done no\n".to_string(),
            Call::Stats => format!("done\n{}", self.figures().render()),
            Call::MaintOn(id) | Call::MaintOff(id) if id.len() > 128 => {
                format!("error no pop cache {:.32}...\n", id)
            }
            Call::MaintOn(id) => self.maint(&id, true),
            Call::MaintOff(id) => self.maint(&id, false),
        }
    }

    fn maint(&self, id: &str, out: bool) -> String {
        let set = self.hand.set(id, out);
        if matches!(set, Ok(true)) && self.hand.shared() {
            // The process beside this one, where there is one, takes it within its next look.
            std::thread::sleep(SYNC_EVERY * 3);
        }
        match set {
            Ok(_) if out => format!("done {id} is out\n"),
            Ok(_) => format!("done {id} is back\n"),
            Err(Refused::Unknown) => format!("error no pop cache {id}\n"),
            Err(Refused::Full) => "error too many pop caches out\n".to_string(),
        }
    }
}

/// Listens at `address` and answers there until the process ends, `places` connections at once.
pub fn serve(
    address: SocketAddr,
    sources: Arc<Sources>,
    places: usize,
) -> Result<SocketAddr, String> {
    let listener =
        TcpListener::bind(address).map_err(|e| format!("operator line on {address}: {e}"))?;
    let on = listener.local_addr().map_err(|e| e.to_string())?;
    let open = Arc::new(AtomicUsize::new(0));
    if sources.hand.shared() {
        let hand = sources.hand.clone();
        named("maintenance", STACK, move || loop {
            std::thread::sleep(SYNC_EVERY);
            hand.sync();
        })?;
    }
    named("operator", STACK, move || loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                std::thread::sleep(pause(&e));
                continue;
            }
        };
        if open.fetch_add(1, Ordering::SeqCst) >= places {
            open.fetch_sub(1, Ordering::SeqCst);
            say(
                &stream,
                b"error busy: too many connections to the operator line\n",
            );
            continue;
        }
        let (sources, place) = (sources.clone(), Place(open.clone()));
        let spawned = named("operator-call", STACK, move || {
            let _place = place;
            converse(stream, &sources);
        });
        spawned
            .err()
            .iter()
            .for_each(|e| tracing::warn!("operator line: {e}"));
    })?;
    Ok(on)
}

/// A place of the operator line, given back however its call ends, also where it never began.
struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Writes all of it, within the time that a caller has to read it; whether it was written.
fn say(stream: &TcpStream, text: &[u8]) -> bool {
    write_all(stream, &[text], Instant::now() + WRITE_FOR).is_ok()
}

/// One connection: each whole line is answered at once, in order, until the caller closes or is idle too long.
fn converse(stream: TcpStream, sources: &Sources) {
    stream::set_nodelay(&stream);
    let mut lines = Lines::default();
    let mut buffer = [0; 1024];
    let mut last = Instant::now();
    loop {
        let read = match stream::read(&stream, &mut buffer, last + IDLE) {
            Err(Stop::TimedOut | Stop::Failing(_)) => return,
            Ok(0) | Err(_) => {
                if lines.partial() {
                    say(&stream, b"error call cut off\n");
                }
                return;
            }
            Ok(read) => read,
        };
        for call in lines.feed(&buffer[..read]) {
            last = Instant::now();
            let answer = match call {
                Ok(call) => sources.answer(call),
                Err(fault) => format!("error {fault}\n"),
            };
            if !say(&stream, answer.as_bytes()) {
                return;
            }
        }
    }
}
