//! Threads that accept connections, each to a thread of its own, within the bound of the connection table.

use crate::closing::{drain, stop_writing, LINGER_TIME};
use crate::connection_table::{ConnectionSlot, ConnectionTable};
use foldmux_sockets::stream::set_nodelay;
use foldmux_sockets::verdict::{is_passing_on_spawn, on_accept, OnAccept, OnStream};
use foldmux_sockets::watch::{Call, Watch};
use foldmux_sockets::Pauses;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[cfg(test)]
mod spawn_tests;
#[cfg(test)]
mod tests;

/// Longest that an acceptor sleeps in `accept` before it looks whether it is to close.
pub const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Refused connections that linger at once, without a thread; beyond, the one that has for longest is closed.
const MOST_REFUSED: usize = 8;
/// Connections that the kernel holds for a listener before they are taken.
const BACKLOG: i32 = 1024;

/// How long a thread is asked for where the machine has none left, and the pause between two tries. Nothing can be done for
/// a connection without one, and it is not closed without a word while its client may still wait: clients wait for 5 s at
/// most, and a process may take 10 s to be ready.
const THREADS_BACK: Duration = Duration::from_secs(8);
const THREADS_AGAIN: Duration = Duration::from_millis(10);

/// How often in a row a closing listener's queue must be empty before it is.
const QUIET_ENOUGH: u32 = 3;

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
        let thread = thread::Builder::new()
            .name(name.to_string())
            .stack_size(stack);
        thread.spawn(move || run_once(&body))
    };
    again_while_none_are_left(THREADS_BACK, spawn).map_err(|e| format!("thread {name}: {e}"))
}

/// Runs what a failed spawn would have dropped, a connection's slot and stream among it.
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
            Err(e) if is_passing_on_spawn(&e) && Instant::now() < until => {
                thread::sleep(THREADS_AGAIN);
            }
            done => return done,
        }
    }
}

/// A listener that another process may hold on the same address at once (SO_REUSEPORT): a new version starts
/// beside the old one, and the kernel spreads new connections over both. Its `accept` wakes at least every
/// `LOOK_EVERY`, so that its thread can see that it is to close. `send_buffer`: bytes that the system may hold for each of its
/// connections.
///
/// # Errors
///
/// Returns an error if a call fails that it can't do without.
pub fn shared(address: SocketAddr, send_buffer: usize) -> io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    // Its connections inherit it. Without it they work all the same.
    let _ = socket.set_send_buffer_size(send_buffer);
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_read_timeout(Some(LOOK_EVERY))?;
    Ok(socket.into())
}

/// Accepts connections, each to a thread of its own, while the table has slots; those beyond are refused.
pub fn accept(
    listener: &TcpListener,
    table: &Arc<ConnectionTable>,
    stack: usize,
    serve: Arc<dyn Fn(ConnectionSlot) + Send + Sync>,
) {
    accept_until(listener, table, stack, serve, &AtomicBool::new(false))
}

/// As `accept`, until `closing` is set: then it takes what is queued without waiting, and returns, so that the
/// listener can be closed with nobody in its queue to be reset.
pub fn accept_until(
    listener: &TcpListener,
    table: &Arc<ConnectionTable>,
    stack: usize,
    serve: Arc<dyn Fn(ConnectionSlot) + Send + Sync>,
    closing: &AtomicBool,
) {
    let mut draining = false;
    let mut refused = Refused::default();
    let mut swept = Instant::now();
    let mut watch = Watch::new(swept);
    let (mut pauses, mut quiet) = (Pauses::default(), 0);
    loop {
        if swept.elapsed() >= LOOK_EVERY {
            swept = Instant::now();
            table.sweep();
            refused.close_old();
        }
        if !draining && closing.load(Ordering::SeqCst) {
            draining = true;
            // Where it can't be set, the last accept waits for as long as any: the queue is taken all the same.
            let _ = listener.set_nonblocking(true);
        }
        let began = Instant::now();
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                // Guards against small answers that the system holds back until the peer acknowledges.
                set_nodelay(&stream);
                (pauses, quiet) = (Pauses::default(), 0);
                watch.over(looked(began, false));
                let mut slot = match table.admit(stream) {
                    Ok(slot) => slot,
                    Err(stream) => {
                        refused.push(stream);
                        continue;
                    }
                };
                slot.opened = watch.earliest();
                let serve = serve.clone();
                let spawned = named("connection", stack, move || serve(slot));
                spawned.err().iter().for_each(|e| tracing::warn!("{e}"));
            }
            Err(e) => match on_accept(&e) {
                // A signal's worth of doubt: an empty queue says so again.
                OnAccept::Quiet if draining && quiet >= QUIET_ENOUGH => return,
                OnAccept::Quiet => {
                    watch.over(looked(began, true));
                    quiet += 1;
                }
                OnAccept::Next => thread::sleep(pauses.before_next(OnStream::Again)),
                OnAccept::Later => thread::sleep(pause(&e)),
            },
        }
    }
}

/// A look at the listener's queue that is over now.
fn looked(began: Instant, drained: bool) -> Call {
    Call {
        began,
        failing_since: None,
        drained,
        over: Instant::now(),
    }
}

/// Connections without a slot: this side has ended, and the peer has a while to see that before they are closed.
#[derive(Default)]
struct Refused(VecDeque<(Instant, TcpStream)>);

impl Refused {
    fn push(&mut self, stream: TcpStream) {
        stop_writing(&stream);
        self.0.push_back((Instant::now(), stream));
        if self.0.len() > MOST_REFUSED {
            self.close_oldest();
        }
    }

    fn close_old(&mut self) {
        while self
            .0
            .front()
            .is_some_and(|(since, _)| since.elapsed() >= LINGER_TIME)
        {
            self.close_oldest();
        }
    }

    fn close_oldest(&mut self) {
        self.0
            .pop_front()
            .iter()
            .for_each(|(_, stream)| drain(stream));
    }
}

impl Drop for Refused {
    fn drop(&mut self) {
        while !self.0.is_empty() {
            self.close_oldest();
        }
    }
}

/// How long to leave the listener alone after an error. A connection that ended while it waited is no reason
/// to wait. Guards against spinning where there are no descriptors: the error stays until one is given back.
pub fn pause(error: &io::Error) -> Duration {
    match on_accept(error) {
        OnAccept::Next => Duration::ZERO,
        OnAccept::Quiet | OnAccept::Later => Duration::from_millis(20),
    }
}
