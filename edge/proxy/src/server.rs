//! The life of the process: configuration to sockets, sockets to serving, and the graceful shutdown.
//!
//! [`run`] names the phases in their order; each has a module of its own under `server/`:
//!
//! 1. [`checked`] checks the configuration and binds what the operator's file asks for;
//! 2. [`decisions`] builds the core and starts the event loop;
//! 3. [`endpoints`] binds the client listener and follows the journal service;
//! 4. [`serving`] starts the fronts, the fleet and the admin interface;
//! 5. [`crate::reload`] applies the configuration again on each SIGHUP;
//! 6. on SIGTERM or SIGINT the process drains and exits.
//!
//! # From SIGTERM to exit
//!
//! | after SIGTERM | what happens |
//! | --- | --- |
//! | 0 | The process reports that it is not ready. Idle client connections end, the others with their last response. The fleet's peers and the external processor's callers are told to go elsewhere. |
//! | 0.5 s | The listener accepts no more; connections already queued are accepted, then it closes. |
//! | 0.8 s | Connections that never sent a request end. |
//! | deadline - 0.05 s | The event loop has ended what is still in flight, so that clients can read it before the deadline. |
//! | deadline | Clients that keep an idle connection open are no longer waited for. |
//! | 6 s | The process exits with whatever is in flight, where no SIGKILL came. |
//!
//! The deadline is the longest request deadline in service, at most 3 s, plus 0.45 s: the platform sends SIGKILL 0.7 s
//! after that request deadline, and 0.25 s are reserved for writing the last responses. The process exits as soon as
//! nothing is in flight and no client is connected, so these are upper bounds.

use crate::config::{Config, ConfigFiles};
use crate::signals::{Signal, Signals};
use checked::Checked;
use foldmux_operator::Operator;
use serving::Server;

pub use error::StartError;

mod checked;
mod decisions;
mod endpoints;
mod error;
mod outcome_log;
mod serving;

/// Serves until SIGTERM or SIGINT, then drains. `files` is where `config` and `operator` were read.
///
/// # Errors
///
/// Where the configuration can't be served, or a socket or a thread can't be had at the start.
pub fn run(config: Config, operator: Operator, files: ConfigFiles) -> Result<(), StartError> {
    // Before anything else: a signal that comes during the start must not be lost.
    let signals = Signals::new().map_err(StartError::Signals)?;
    let checked = Checked::new(config, operator)?;
    let mut server = Server::start(checked, files)?;
    while signals.wait() == Signal::Reload {
        server.reload();
    }
    server.shut_down();
    Ok(())
}
