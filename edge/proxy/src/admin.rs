//! The admin interface: a listener of its own, one command a line, `done` or `error` at the start of each response.
//!
//! [`commands`] answers a command, [`MaintenanceRegistry`] holds the pop caches that are out of service by hand. Each
//! connection has a small thread, and there is a bound on their number. A response never waits for client work or for
//! the event loop: it is made of counts that are read where they are kept. A connection beyond the bound is told so at
//! once and closed.

use foldmux_fronts::listen::{named, pause};
use foldmux_http1::io::write_all;
use foldmux_operations::command::CommandReader;
use foldmux_sockets::stream::{self, Stop};
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
const STACK: usize = 64 * 1024;
/// What is read from a connection at once (bytes).
const READ_BUFFER: usize = 1024;
/// A connection that sends no whole command for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A response that is not read for this long ends the connection.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Listens at `address` and answers there until the process ends, at most `max_connections` at once. Returns the address
/// that was bound.
///
/// # Errors
///
/// Where the address can't be bound, or no thread can be had.
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
        named("maintenance", STACK, move || loop {
            thread::sleep(SYNC_INTERVAL);
            registry.sync();
        })?;
    }
    named("admin", STACK, move || {
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
    let spawned = named("admin-client", STACK, move || {
        let _permit = permit;
        serve_connection(stream, &admin);
    });
    if let Err(error) = spawned {
        tracing::warn!("admin interface: {error}");
    }
}

/// One of the connections that may be open at once; given back however the connection ends, also where it never began.
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

/// Answers each whole line at once, in order, until the client closes or is idle for too long.
fn serve_connection(stream: TcpStream, admin: &Admin) {
    stream::set_nodelay(&stream);
    let mut commands = CommandReader::default();
    let mut buffer = [0; READ_BUFFER];
    let mut last_command = Instant::now();
    loop {
        let read = match stream::read(&stream, &mut buffer, last_command + IDLE_TIMEOUT) {
            Err(Stop::TimedOut | Stop::Failing(_)) => return,
            Ok(0) | Err(_) => {
                if commands.has_partial_line() {
                    respond(&stream, "error call cut off\n");
                }
                return;
            }
            Ok(read) => read,
        };
        for command in commands.read(&buffer[..read]) {
            last_command = Instant::now();
            let response = match command {
                Ok(command) => admin.execute(command),
                Err(error) => format!("error {error}\n"),
            };
            if !respond(&stream, &response) {
                return;
            }
        }
    }
}

/// Whether the whole response was written in time.
fn respond(stream: &TcpStream, response: &str) -> bool {
    let deadline = Instant::now() + WRITE_TIMEOUT;
    write_all(stream, &[response.as_bytes()], deadline).is_ok()
}
