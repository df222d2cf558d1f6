//! The pop caches out by hand, as they are told to the desk.

use super::maintenance_file::MaintenanceFile;
use foldmux::interface::State;
use foldmux_core::desk::{DeskHandle, Notice};
use foldmux_core::members::Listed;
use foldmux_operations::maintenance::{Maintenance, Refused};
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The pop caches out by hand, and the last line of each as the journal service told it. One lock over both and
/// over telling the desk, so that what the journal says and what the operator says reach the desk in one order.
pub struct MaintenanceRegistry {
    held: Mutex<Held>,
    desk: DeskHandle,
    /// Where the set is kept: `$TMPDIR`, shared with a new version started beside this one.
    kept: Option<MaintenanceFile>,
}

struct Held {
    out: Maintenance,
    told: HashMap<Arc<str>, Listed>,
}

impl MaintenanceRegistry {
    /// With what an earlier process of this place kept, where there is a file.
    pub fn new(desk: DeskHandle, file: Option<PathBuf>) -> MaintenanceRegistry {
        let kept = file.map(MaintenanceFile::new);
        let out = kept
            .as_ref()
            .and_then(MaintenanceFile::read)
            .unwrap_or_default();
        if !out.is_empty() {
            tracing::info!("maintenance: {} pop caches out by hand, as kept", out.len());
        }
        MaintenanceRegistry {
            held: Mutex::new(Held {
                out,
                told: HashMap::new(),
            }),
            desk,
            kept,
        }
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the desk what the journal service listed, with those out by hand as draining.
    pub fn members(&self, full: bool, listed: Vec<Listed>) {
        let mut held = self.held();
        if full {
            held.told.clear();
        }
        let mut told = Vec::with_capacity(listed.len());
        for line in listed {
            match line.member.state {
                State::Gone => held.told.remove(&line.name),
                _ => held.told.insert(line.name.clone(), line.clone()),
            };
            told.push(out_by_hand(&held.out, line));
        }
        self.desk.tell(Notice::Members { full, listed: told });
    }

    /// `maint-on` and `maint-off`: `Ok(true)` where the set changed.
    pub fn set(&self, id: &str, out: bool) -> Result<bool, Refused> {
        let mut held = self.held();
        let known = held.told.contains_key(id);
        let one = |set: &mut Maintenance| {
            if out {
                set.on(id, known)
            } else {
                set.off(id, known)
            }
        };
        let (set, changed) = match &self.kept {
            Some(kept) => kept.change(&held.out, one),
            None => {
                let mut set = held.out.clone();
                let changed = one(&mut set);
                (set, changed)
            }
        };
        self.take(&mut held, set);
        changed
    }

    /// Goes by another set from now on; how many listed pop caches that concerns.
    fn take(&self, held: &mut Held, set: Maintenance) -> usize {
        let differs = |line: &&Listed| set.holds(&line.name) != held.out.holds(&line.name);
        let changed: Vec<Listed> = held
            .told
            .values()
            .filter(differs)
            .map(|line| out_by_hand(&set, line.clone()))
            .collect();
        held.out = set;
        let count = changed.len();
        if count > 0 {
            self.desk.tell(Notice::Members {
                full: false,
                listed: changed,
            });
        }
        count
    }

    /// How many are listed, and how many of them are not ready or are out by hand: as told here, which the desk may be about
    /// to take.
    pub fn census(&self) -> (usize, usize) {
        let held = self.held();
        let unready = |l: &&Listed| l.member.state != State::Ready || held.out.holds(&l.name);
        (held.told.len(), held.told.values().filter(unready).count())
    }

    /// Takes what another process of this place (a version beside this one) wrote, where it differs: both count
    /// as one edge proxy, and a pop cache that one of them takes out is out for both.
    pub fn sync(&self) {
        let Some(kept) = &self.kept else { return };
        // Read under the lock: a call here may change it between the reading and the taking.
        let mut held = self.held();
        let Some(set) = kept.read().filter(|set| *set != held.out) else {
            return;
        };
        let changed = self.take(&mut held, set);
        if changed > 0 {
            tracing::info!(
                "maintenance: {changed} pop caches changed by the process beside this one"
            );
        }
    }

    /// Whether the set is shared with another process through a file.
    pub fn shared(&self) -> bool {
        self.kept.is_some()
    }
}

fn out_by_hand(out: &Maintenance, mut line: Listed) -> Listed {
    if line.member.state == State::Ready && out.holds(&line.name) {
        line.member.state = State::Draining;
    }
    line
}
