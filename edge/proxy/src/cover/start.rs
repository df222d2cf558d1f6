//! Cover's start and end.

use super::keep::Keeping;
use super::line::{Ears, Line};
use super::rules::{setup, Classes};
use super::taken::{begin, Taken};
use super::Covering;
use crossbeam_channel::{bounded, Receiver};
use foldmux_core::Core;
use foldmux_fleet::{Builder, Port};
use foldmux_fronts::listen::named;
use foldmux_operator::Fleet as Said;
use foldmux_settings::Decoded;
use foldmux_takeover::{Command, Setup};
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// The byte of the part's frames.
const PART: u8 = 1;
const STACK: usize = 128 * 1024;

/// Checked, and not started yet.
pub struct Ready {
    setup: Setup,
    classes: Arc<Classes>,
    line: Arc<Line>,
    taken: Receiver<Taken>,
    /// Where its seat's promises outlive it.
    folder: Option<PathBuf>,
}

/// In service.
pub struct Covered {
    line: Arc<Line>,
}

impl Ready {
    /// None where the file covers no class; all the same this process's seat may be needed by others, so that only a file
    /// with no cover at all gives none. `places`: the classes as the fronts serve them.
    pub fn new<'a>(
        said: &Said,
        name: &str,
        decoded: &Decoded,
        places: impl Iterator<Item = (&'a Arc<str>, &'a Arc<usize>)>,
        (open, memory_mb, seed): (usize, u64, u64),
    ) -> Result<Option<Ready>, String> {
        if said.covers.is_empty() {
            return Ok(None);
        }
        let setup = setup(said, name, decoded, open, memory_mb, seed)?;
        let classes = Arc::new(Classes::new(said, decoded, places));
        let (sender, taken) = bounded(open);
        // Where the platform gives this place a folder of its own, which a new version beside this one shares.
        let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
        let folder = folder.map(|own| own.join(format!("foldmux-seat-{}", said.listen.port())));
        Ok(Some(Ready {
            setup,
            classes,
            line: Line::new(sender),
            taken,
            folder,
        }))
    }

    /// Puts the part among the fleet's; the fleet is not started yet.
    pub fn add(&self, builder: &mut Builder) -> Port<Command> {
        let part = Keeping::new(self.setup.clone(), self.folder.as_deref());
        builder.add(PART, part, Ears(self.line.clone()))
    }

    /// The fleet runs; `began`: its clock's start.
    pub fn start(
        self,
        core: &Arc<Core>,
        port: Port<Command>,
        began: Instant,
    ) -> Result<Covered, String> {
        let Ready {
            classes,
            line,
            taken,
            ..
        } = self;
        line.open(port, began);
        let (on, own_line, own_classes) = (core.clone(), line.clone(), classes.clone());
        named("taken", STACK, move || {
            for one in taken {
                let begun = begin(&on, &own_classes, &own_line, one);
                let count = if begun {
                    &own_line.counts.taken
                } else {
                    &own_line.counts.passed_on
                };
                count.fetch_add(1, Ordering::Relaxed);
            }
        })?;
        let retry_after = core.retry_after();
        let _ = core.records.set(Arc::new(Covering {
            classes,
            line: line.clone(),
            retry_after,
        }));
        Ok(Covered { line })
    }
}

impl Covered {
    /// This process leaves: what another can go on with is handed over at once.
    pub fn leave(&self) {
        self.line.say(Command::ReleaseAll);
    }

    pub fn report(&self) -> String {
        self.line.report()
    }
}
