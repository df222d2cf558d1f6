//! A stand-in archive for keyed requests: it runs each key once, drops its repeats for a window within one group, and
//! counts whatever would have been a second run, or came while the first was running.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

struct Run {
    first: Instant,
    group: u32,
    open: u32,
}

pub struct Guarded {
    window: Duration,
    runs: Mutex<HashMap<String, Run>>,
    /// Keys that ran; repeats that were dropped, as the class allows.
    pub ran: AtomicU64,
    pub dropped: AtomicU64,
    /// Runs beyond a key's first: outside its group, or after its window.
    pub doubles: AtomicU64,
    /// Requests that came while another under their key was running.
    pub together: AtomicU64,
}

/// A request that is running; it ends with this.
pub struct Running(Arc<Guarded>, String);

impl Guarded {
    pub fn new(window: Duration) -> Arc<Guarded> {
        Arc::new(Guarded {
            window,
            runs: Mutex::default(),
            ran: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            doubles: AtomicU64::new(0),
            together: AtomicU64::new(0),
        })
    }

    /// A request under this key has come to a cache of this group.
    pub fn arrive(self: &Arc<Guarded>, key: &str, group: u32) -> Running {
        let (mut runs, now) = (self.runs.lock().unwrap(), Instant::now());
        match runs.get_mut(key) {
            None => {
                runs.insert(
                    key.to_string(),
                    Run {
                        first: now,
                        group,
                        open: 1,
                    },
                );
                self.ran.fetch_add(1, Ordering::SeqCst);
            }
            Some(run) => {
                if run.open > 0 {
                    self.together.fetch_add(1, Ordering::SeqCst);
                }
                let count = match now < run.first + self.window && run.group == group {
                    true => &self.dropped,
                    false => &self.doubles,
                };
                count.fetch_add(1, Ordering::SeqCst);
                run.open += 1;
            }
        }
        Running(self.clone(), key.to_string())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(run) = self.0.runs.lock().unwrap().get_mut(&self.1) {
            run.open -= 1;
        }
    }
}
