//! The signals that the program hears: SIGHUP, and SIGTERM or SIGINT.
//!
//! Each sets a flag and writes to a pipe that wakes the one thread that waits. The flags alone tell what came: a read of the
//! pipe that fails is no reason to miss a signal, or to end.

use foldmux_sockets::verdict::on_stream;
use foldmux_sockets::Pauses;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: the configuration is read again.
    Reload,
    /// SIGTERM or SIGINT: the process leaves.
    End,
}

/// The signals that have come and were not taken yet.
pub struct Signals {
    woken: UnixStream,
    reload: Arc<AtomicBool>,
    end: Arc<AtomicBool>,
}

impl Signals {
    /// From here on the signals are kept until they are taken, and no longer end the process by themselves.
    pub fn new() -> io::Result<Signals> {
        let (woken, wakes) = UnixStream::pair()?;
        let (reload, end) = (Arc::default(), Arc::default());
        for (signal, told) in [(SIGHUP, &reload), (SIGTERM, &end), (SIGINT, &end)] {
            // The flag first: whoever is woken finds it set.
            flag::register(signal, Arc::clone(told))?;
            pipe::register(signal, wakes.try_clone()?)?;
        }
        Ok(Signals { woken, reload, end })
    }

    /// Waits for the next signal; an end comes before a reload.
    pub fn wait(&self) -> Signal {
        let mut pauses = Pauses::default();
        loop {
            if self.end.swap(false, Ordering::SeqCst) {
                return Signal::End;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return Signal::Reload;
            }
            match (&self.woken).read(&mut [0; 64]) {
                Ok(count) if count > 0 => pauses = Pauses::default(),
                // The other end is held by the handlers, and stays.
                Ok(_) => thread::sleep(pauses.lengthen()),
                Err(error) => thread::sleep(pauses.before_next(on_stream(&error))),
            }
        }
    }
}
