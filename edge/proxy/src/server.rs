//! The life cycle of the process: start, reloads and graceful shutdown.
//!
//! [`run`] goes through these phases:
//!
//! 1. [`checked`] checks the configuration and binds the sockets of the DNS front and the external processor;
//! 2. [`running_core`] builds the core and starts the event loop;
//! 3. [`endpoints`] binds the client listener and follows the journal service;
//! 4. [`serving`] starts the fronts, the fleet and the admin interface;
//! 5. [`crate::reload`] applies the configuration again on each SIGHUP;
//! 6. on SIGTERM or SIGINT the process drains and exits.
//!
//! # From SIGTERM to exit
//!
//! | after SIGTERM | what happens |
//! | --- | --- |
//! | 0 | The process reports that it is not ready. Idle client connections are closed, the others after their last response. The fleet's peers and the external processor's callers are told to use other processes. |
//! | 0.5 s | The listener accepts the connections that are already queued, then it is closed. |
//! | 0.8 s | Connections that never sent a request are closed. |
//! | deadline - 0.05 s | The event loop has ended the requests that are still in flight, so that clients can read the responses before the deadline. |
//! | deadline | The process no longer waits for clients that keep an idle connection open. |
//! | 6 s | The process exits even with requests in flight, if it was not killed. |
//!
//! The deadline is the longest request deadline in service, at most 3 s, plus 0.45 s: the platform sends SIGKILL 0.7 s
//! after that request deadline, and 0.25 s are reserved for writing the last responses. The process exits as soon as
//! nothing is in flight and no client is connected, so these times are upper bounds.

use crate::config::{Config, ConfigFiles};
use crate::signals::{Signal, Signals};
use checked::CheckedSetup;
use foldmux_operator::Operator;
use serving::Server;

pub use error::StartError;

mod checked;
mod endpoints;
mod error;
mod outcome_log;
mod running_core;
mod serving;

/// Serves until SIGTERM or SIGINT, then drains. `config` and `operator` are the contents of `files`.
///
/// # Errors
///
/// Returns an error if the configuration can't be used, or a socket or a thread can't be created at the start.
pub fn run(config: Config, operator: Operator, files: ConfigFiles) -> Result<(), StartError> {
    // First of all, so that no signal is lost that arrives during the start.
    let signals = Signals::new().map_err(StartError::Signals)?;
    let checked = CheckedSetup::new(config, operator)?;
    let mut server = Server::start(checked, files)?;
    while signals.wait() == Signal::Reload {
        server.reload();
    }
    server.shut_down();
    Ok(())
}
