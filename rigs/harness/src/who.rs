//! Whose connection it is: the process that dialled, found by the kernel's tables, or told by the line that it came through.

use procfs::process::{FDTarget, Process};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

/// Looks at the kernel's table.
const TRIES: usize = 5;

#[derive(Default)]
struct Tables {
    /// Processes by their ids.
    processes: HashMap<u32, usize>,
    /// A line's own ends, while their connections last.
    passed: HashMap<SocketAddr, usize>,
}

#[derive(Clone, Default)]
pub struct Who {
    tables: Arc<Mutex<Tables>>,
}

impl Who {
    fn with<T>(&self, then: impl FnOnce(&mut Tables) -> T) -> T {
        then(&mut self.tables.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn started(&self, id: u32, process: usize) {
        self.with(|tables| tables.processes.insert(id, process));
    }

    pub fn ended(&self, id: u32) {
        self.with(|tables| tables.processes.remove(&id));
    }

    /// The end `near` of a line's connection carries what this process sends.
    pub fn passes(&self, near: SocketAddr, process: Option<usize>) {
        self.with(|tables| match process {
            Some(process) => tables.passed.insert(near, process),
            None => tables.passed.remove(&near),
        });
    }

    /// Whose the other end of an accepted connection is; none for the rig's own, and for one that is gone already.
    pub fn dialled(&self, accepted: &TcpStream) -> Option<usize> {
        let (near, far) = (accepted.local_addr().ok()?, accepted.peer_addr().ok()?);
        if let Some(process) = self.with(|tables| tables.passed.get(&far).copied()) {
            return Some(process);
        }
        // The kernel's table moves while it is read, and may pass an entry over.
        // A port may be in use toward several.
        let entry = || {
            procfs::net::tcp()
                .ok()?
                .into_iter()
                .find(|e| (e.local_address, e.remote_address) == (far, near))
        };
        let inode = (0..TRIES).find_map(|_| entry())?.inode;
        let processes: Vec<(u32, usize)> =
            self.with(|t| t.processes.iter().map(|(id, n)| (*id, *n)).collect());
        let holds = |id: u32| {
            let held = Process::new(id as i32).and_then(|process| process.fd());
            held.is_ok_and(|mut all| {
                all.any(|fd| fd.is_ok_and(|fd| fd.target == FDTarget::Socket(inode)))
            })
        };
        processes
            .into_iter()
            .find(|(id, _)| holds(*id))
            .map(|(_, process)| process)
    }
}
