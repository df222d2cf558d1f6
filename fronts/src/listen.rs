//! Threads that take connections, each to a thread of its own, within the places that there are.

use crate::places::{Place, Places};
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Stack of a thread that reads a connection.
pub const READER_STACK: usize = 96 * 1024;

pub fn named(
    name: &str,
    stack: usize,
    body: impl FnOnce() + Send + 'static,
) -> Result<thread::JoinHandle<()>, String> {
    let thread = thread::Builder::new().name(name.to_string()).stack_size(stack);
    thread.spawn(body).map_err(|e| format!("thread {name}: {e}"))
}

/// Takes connections, each to a thread of its own, while there are places; those beyond are closed at once.
pub fn accept(
    listener: &TcpListener,
    places: &Arc<Places>,
    stack: usize,
    serve: Arc<dyn Fn(Place) + Send + Sync>,
) {
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                let Some(place) = places.take(stream) else { continue };
                let serve = serve.clone();
                let spawned = named("connection", stack, move || serve(place));
                spawned.err().iter().for_each(|e| tracing::warn!("{e}"));
            }
            Err(e) => thread::sleep(pause(&e)),
        }
    }
}

/// How long to leave the listener alone after an error. A connection that ended while it waited is no reason
/// to wait. Guards against spinning where there are no descriptors: the error stays until one is given back.
fn pause(error: &io::Error) -> Duration {
    match error.kind() {
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => Duration::ZERO,
        _ => Duration::from_millis(20),
    }
}

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
}
