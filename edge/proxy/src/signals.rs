//! The signals that the process handles: SIGHUP reloads, SIGTERM and SIGINT shut down.
//!
//! Each handler sets a flag, then writes to a pipe that wakes the one waiting thread. Only the flags say which signal
//! was received, so a failed read of the pipe neither loses a signal nor ends the process.

use foldmux_sockets::verdict::on_stream;
use foldmux_sockets::Pauses;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

/// Most bytes read from the pipe at once; each signal writes one.
const WAKE_BUFFER_SIZE: usize = 64;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGTERM or SIGINT: drain and exit.
    Shutdown,
}

/// The signals that were received and are not handled yet.
pub struct Signals {
    wakeups: UnixStream,
    reload: Arc<AtomicBool>,
    shutdown: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the handlers. From then on these signals no longer end the process; [`Signals::wait`] returns them.
    ///
    /// # Errors
    ///
    /// Returns an error if the pipe can't be created or a handler can't be installed.
    pub fn new() -> io::Result<Signals> {
        let (wakeups, waker) = UnixStream::pair()?;
        let (reload, shutdown) = (Arc::default(), Arc::default());
        for (signal, received) in [(SIGHUP, &reload), (SIGTERM, &shutdown), (SIGINT, &shutdown)] {
            // Handlers run in the order of their registration, so the flag is set before the thread wakes.
            flag::register(signal, Arc::clone(received))?;
            pipe::register(signal, waker.try_clone()?)?;
        }
        Ok(Signals {
            wakeups,
            reload,
            shutdown,
        })
    }

    /// Blocks until the next signal. A shutdown is returned before a reload that was received earlier.
    pub fn wait(&self) -> Signal {
        let mut pauses = Pauses::default();
        loop {
            if self.shutdown.swap(false, Ordering::SeqCst) {
                return Signal::Shutdown;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return Signal::Reload;
            }
            match (&self.wakeups).read(&mut [0; WAKE_BUFFER_SIZE]) {
                Ok(count) if count > 0 => pauses = Pauses::default(),
                // End of file: not expected, because the handlers keep the other end open.
                Ok(_) => thread::sleep(pauses.lengthen()),
                Err(error) => thread::sleep(pauses.before_next(on_stream(&error))),
            }
        }
    }
}
