//! The admin interface: a line protocol on a listener of its own. Each line is a command; each response starts with
//! `done` or `error`.
//!
//! [`commands`] executes a command, [`MaintenanceRegistry`] has the pop caches that operators took out of service. Each
//! connection has a thread with a small stack, and their number is bounded: a connection beyond the bound gets an error
//! and is closed at once. A response never waits for requests of clients or for the event loop, because it is made from
//! shared counters.

use foldmux_fronts::listen::{named, pause};
use foldmux_http1::io::write_all;
use foldmux_operations::command::{Command, CommandReader};
use foldmux_sockets::stream;
use maintenance::SYNC_INTERVAL;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub use commands::Admin;
pub use maintenance::MaintenanceRegistry;

mod commands;
mod maintenance;
mod maintenance_file;

/// Stack of a thread of the admin interface (bytes).
const STACK_SIZE: usize = 64 * 1024;
/// Most bytes read from a connection at once.
const READ_BUFFER_SIZE: usize = 1024;
/// A connection that sends no complete command for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A connection whose client doesn't read a response for this long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves the admin interface on `address` until the process ends, with at most `max_connections` at once. Returns the
/// bound address.
///
/// # Errors
///
/// Returns an error if the address can't be bound, or no thread can be created.
pub fn serve(
    address: SocketAddr,
    admin: Arc<Admin>,
    max_connections: usize,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind(address)
        .map_err(|error| format!("admin interface on {address}: {error}"))?;
    let bound = listener.local_addr().map_err(|error| error.to_string())?;
    if admin.maintenance.is_shared() {
        let registry = admin.maintenance.clone();
        named("maintenance", STACK_SIZE, move || loop {
            thread::sleep(SYNC_INTERVAL);
            registry.sync();
        })?;
    }
    named("admin", STACK_SIZE, move || {
        accept(&listener, &admin, max_connections)
    })?;
    Ok(bound)
}

fn accept(listener: &TcpListener, admin: &Arc<Admin>, max_connections: usize) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) => {
                thread::sleep(pause(&error));
                continue;
            }
        };
        match ConnectionPermit::acquire(&open, max_connections) {
            Some(permit) => spawn_connection(stream, admin.clone(), permit),
            None => {
                let busy = "error busy: too many connections to the operator line\n";
                respond(&stream, busy);
            }
        }
    }
}

fn spawn_connection(stream: TcpStream, admin: Arc<Admin>, permit: ConnectionPermit) {
    let spawned = named("admin-client", STACK_SIZE, move || {
        let _permit = permit;
        serve_connection(&stream, IDLE_TIMEOUT, |command| admin.execute(command));
    });
    if let Err(error) = spawned {
        tracing::warn!("admin interface: {error}");
    }
}

/// The right to have one of the connections that may be open at once. Dropping it releases the right, also when the
/// connection's thread was never started.
struct ConnectionPermit(Arc<AtomicUsize>);

impl ConnectionPermit {
    fn acquire(open: &Arc<AtomicUsize>, max_connections: usize) -> Option<ConnectionPermit> {
        if open.fetch_add(1, Ordering::SeqCst) >= max_connections {
            open.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        Some(ConnectionPermit(open.clone()))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Executes each command when its line is complete, in order, until the client closes or completes no command for `idle_timeout`.
fn serve_connection(
    stream: &TcpStream,
    idle_timeout: Duration,
    execute: impl Fn(Command) -> String,
) {
    stream::set_nodelay(stream);
    let mut commands = CommandReader::default();
    let mut buffer = [0; READ_BUFFER_SIZE];
    let mut last_command = Instant::now();
    loop {
        let read = match stream::read(stream, &mut buffer, last_command + idle_timeout) {
            Ok(0) | Err(_) => return end_partial_line(stream, &commands),
            Ok(read) => read,
        };
        for command in commands.read(&buffer[..read]) {
            last_command = Instant::now();
            let response = match command {
                Ok(command) => execute(command),
                Err(error) => format!("error {error}\n"),
            };
            if !respond(stream, &response) {
                return;
            }
        }
    }
}

/// Tells a client whose line did not arrive completely that it is not executed.
fn end_partial_line(stream: &TcpStream, commands: &CommandReader) {
    if commands.has_partial_line() {
        respond(stream, "error call cut off\n");
    }
}

/// Writes a response. Returns whether it was written completely before the timeout.
fn respond(stream: &TcpStream, response: &str) -> bool {
    let deadline = Instant::now() + WRITE_TIMEOUT;
    write_all(stream, &[response.as_bytes()], deadline).is_ok()
}

#[cfg(test)]
mod tests;
