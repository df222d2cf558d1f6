//! Threads that take connections, each to a thread of its own, within the places that there are.

use crate::places::{Place, Places};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Longest that an acceptor sleeps in `accept` before it looks whether it is to close.
pub const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Connections that the kernel holds for a listener before they are taken.
const BACKLOG: i32 = 1024;

/// How long a thread is asked for where the machine has none left, and the pause between two tries. Well within the time in
/// which a process must be ready, and in which a client is owed a word.
const THREADS_BACK: Duration = Duration::from_secs(1);
const THREADS_AGAIN: Duration = Duration::from_millis(10);

/// Stack of a thread that reads a connection.
pub const READER_STACK: usize = 96 * 1024;

pub fn named(
    name: &str,
    stack: usize,
    body: impl FnOnce() + Send + 'static,
) -> Result<thread::JoinHandle<()>, String> {
    let body = Arc::new(Mutex::new(Some(body)));
    let spawn = || {
        let body = body.clone();
        let thread = thread::Builder::new().name(name.to_string()).stack_size(stack);
        thread.spawn(move || run_once(&body))
    };
    again_while_none_are_left(THREADS_BACK, spawn).map_err(|e| format!("thread {name}: {e}"))
}

/// Runs what a failed spawn would have dropped, a connection's place and stream among it.
fn run_once(body: &Mutex<Option<impl FnOnce()>>) {
    let taken = body.lock().unwrap_or_else(PoisonError::into_inner).take();
    if let Some(body) = taken {
        body();
    }
}

/// Guards against a machine that has no thread left for a moment: whatever the processes beside this one do, a start must not
/// fail for it, nor a connection that was taken be closed without a word.
fn again_while_none_are_left<T>(
    patience: Duration,
    mut spawn: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let until = Instant::now() + patience;
    loop {
        match spawn() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock && Instant::now() < until => {
                thread::sleep(THREADS_AGAIN);
            }
            done => return done,
        }
    }
}

/// A listener that another process may hold on the same address at once (SO_REUSEPORT): a new version starts
/// beside the old one, and the kernel spreads new connections over both. Its `accept` wakes at least every
/// `LOOK_EVERY`, so that its thread can see that it is to close.
pub fn shared(address: SocketAddr) -> io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_read_timeout(Some(LOOK_EVERY))?;
    Ok(socket.into())
}

/// Takes connections, each to a thread of its own, while there are places; those beyond are closed at once.
pub fn accept(
    listener: &TcpListener,
    places: &Arc<Places>,
    stack: usize,
    serve: Arc<dyn Fn(Place) + Send + Sync>,
) {
    accept_until(listener, places, stack, serve, &AtomicBool::new(false))
}

/// As `accept`, until `closing` is set: then it takes what is queued without waiting, and returns, so that the
/// listener can be closed with nobody in its queue to be reset.
pub fn accept_until(
    listener: &TcpListener,
    places: &Arc<Places>,
    stack: usize,
    serve: Arc<dyn Fn(Place) + Send + Sync>,
    closing: &AtomicBool,
) {
    let mut draining = false;
    loop {
        if !draining && closing.load(Ordering::SeqCst) {
            draining = true;
            if let Err(e) = listener.set_nonblocking(true) {
                tracing::warn!("listener: {e}; it closes with what is queued");
                return;
            }
        }
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let Some(place) = places.take(stream) else { continue };
                let serve = serve.clone();
                let spawned = named("connection", stack, move || serve(place));
                spawned.err().iter().for_each(|e| tracing::warn!("{e}"));
            }
            Err(e) if is_quiet(&e) && draining => return,
            Err(e) if is_quiet(&e) => {}
            Err(e) => thread::sleep(pause(&e)),
        }
    }
}

/// Nobody came within the listener's timeout, or nobody is queued.
fn is_quiet(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// How long to leave the listener alone after an error. A connection that ended while it waited is no reason
/// to wait. Guards against spinning where there are no descriptors: the error stays until one is given back.
pub fn pause(error: &io::Error) -> Duration {
    match error.kind() {
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => Duration::ZERO,
        _ => Duration::from_millis(20),
    }
}

#[cfg(test)]
mod spawn_tests;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn accept_errors_neither_spin_nor_end_the_program() {
        for code in [23, 24, 105, 12] {
            assert!(!pause(&io::Error::from_raw_os_error(code)).is_zero(), "error {code}");
        }
        assert!(pause(&io::Error::from(io::ErrorKind::ConnectionAborted)).is_zero());
    }

    #[test]
    fn two_listeners_share_one_address_and_the_one_that_closes_leaves_none_of_its_queue_unread() {
        let first = shared("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = first.local_addr().unwrap();
        let second = shared(address).expect("a second process may listen beside the first");
        drop(second);
        // Connections queued at the first before it is told to close are all taken, then it returns.
        let dialled: Vec<_> = (0..8).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
        let places = Places::new(64);
        let (taken, told) = (Arc::new(std::sync::Mutex::new(0)), Arc::new(AtomicBool::new(true)));
        let counted = taken.clone();
        let serve: Arc<dyn Fn(Place) + Send + Sync> = Arc::new(move |_place| *counted.lock().unwrap() += 1);
        accept_until(&first, &places, READER_STACK, serve, &told);
        drop(first);
        let deadline = std::time::Instant::now() + Duration::from_secs(10);
        while *taken.lock().unwrap() < dialled.len() && std::time::Instant::now() < deadline {
            thread::yield_now();
        }
        assert_eq!(*taken.lock().unwrap(), dialled.len());
    }
}
