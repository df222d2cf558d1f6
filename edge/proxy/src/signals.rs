//! The signals that the process handles: SIGHUP reloads, SIGTERM and SIGINT shut down.
//!
//! Each handler sets a flag, then writes to a pipe that wakes the one waiting thread. Which signal came is told by the
//! flags alone, so that a failed read of the pipe neither loses a signal nor ends the process.

use foldmux_sockets::verdict::on_stream;
use foldmux_sockets::Pauses;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

/// Bytes read from the pipe at once: one for each signal.
const WAKE_BUFFER: usize = 64;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGTERM or SIGINT: drain and exit.
    Shutdown,
}

/// The signals that came and were not handled yet.
pub struct Signals {
    wakeups: UnixStream,
    reload: Arc<AtomicBool>,
    shutdown: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the handlers. From here on signals are kept until [`Signals::wait`] returns them, and no longer end the
    /// process by themselves.
    ///
    /// # Errors
    ///
    /// Where the pipe can't be made or a handler can't be installed.
    pub fn new() -> io::Result<Signals> {
        let (wakeups, waker) = UnixStream::pair()?;
        let (reload, shutdown) = (Arc::default(), Arc::default());
        for (signal, raised) in [(SIGHUP, &reload), (SIGTERM, &shutdown), (SIGINT, &shutdown)] {
            // Handlers run in the order of their registration: whoever is woken finds the flag set.
            flag::register(signal, Arc::clone(raised))?;
            pipe::register(signal, waker.try_clone()?)?;
        }
        Ok(Signals {
            wakeups,
            reload,
            shutdown,
        })
    }

    /// Waits for the next signal; a shutdown comes before a reload.
    pub fn wait(&self) -> Signal {
        let mut pauses = Pauses::default();
        loop {
            if self.shutdown.swap(false, Ordering::SeqCst) {
                return Signal::Shutdown;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return Signal::Reload;
            }
            match (&self.wakeups).read(&mut [0; WAKE_BUFFER]) {
                Ok(count) if count > 0 => pauses = Pauses::default(),
                // The handlers hold the other end for as long as the process runs.
                Ok(_) => thread::sleep(pauses.lengthen()),
                Err(error) => thread::sleep(pauses.before_next(on_stream(&error))),
            }
        }
    }
}
