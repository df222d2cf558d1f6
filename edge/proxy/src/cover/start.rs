//! Start and end of replicated request records.

use super::class_policies::{setup, ReplicatedClasses};
use super::client::{EventSink, TakenOverRequest, TakeoverClient};
use super::persistent::PersistentTakeover;
use super::records::ReplicatedRecords;
use super::take_over::begin;
use crossbeam_channel::{bounded, Receiver};
use foldmux_core::Core;
use foldmux_fleet::{Builder, Port};
use foldmux_fronts::listen::named;
use foldmux_operator::Fleet as FleetConfig;
use foldmux_settings::Decoded;
use foldmux_takeover::{Command, Setup};
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// The number of the takeover state machine in frames.
const PART: u8 = 1;
const STACK: usize = 128 * 1024;

/// Replicated request records, checked and not started yet.
pub struct PreparedCover {
    setup: Setup,
    classes: Arc<ReplicatedClasses>,
    client: Arc<TakeoverClient>,
    taken: Receiver<TakenOverRequest>,
    /// Where a replica's promises outlive the process.
    folder: Option<PathBuf>,
}

/// Replicated request records in service.
pub struct RunningCover {
    client: Arc<TakeoverClient>,
}

impl PreparedCover {
    /// `None` where the file covers no class at all; a process is a replica for others even if it covers none itself. `places`:
    /// the classes as the fronts serve them.
    ///
    /// # Errors
    ///
    /// Where the file's classes or replicas can't be used.
    pub fn new<'a>(
        config: &FleetConfig,
        name: &str,
        decoded: &Decoded,
        places: impl Iterator<Item = (&'a Arc<str>, &'a Arc<usize>)>,
        (open, memory_mb, seed): (usize, u64, u64),
    ) -> Result<Option<PreparedCover>, String> {
        if config.covers.is_empty() {
            return Ok(None);
        }
        let setup = setup(config, name, decoded, open, memory_mb, seed)?;
        let classes = Arc::new(ReplicatedClasses::new(config, decoded, places));
        let (sender, taken) = bounded(open);
        // Where the platform gives this place a folder of its own, which a new version beside this one shares.
        let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
        let folder = folder.map(|own| own.join(format!("foldmux-seat-{}", config.listen.port())));
        Ok(Some(PreparedCover {
            setup,
            classes,
            client: TakeoverClient::new(sender),
            taken,
            folder,
        }))
    }

    /// Adds the state machine to the fleet's thread, which is not started yet.
    pub fn add(&self, builder: &mut Builder) -> Port<Command> {
        let part = PersistentTakeover::new(self.setup.clone(), self.folder.as_deref());
        builder.add(PART, part, EventSink(self.client.clone()))
    }

    /// Starts taking over requests. `began`: the start of the fleet's clock.
    ///
    /// # Errors
    ///
    /// Where no thread can be had.
    pub fn start(
        self,
        core: &Arc<Core>,
        port: Port<Command>,
        began: Instant,
    ) -> Result<RunningCover, String> {
        let PreparedCover {
            classes,
            client,
            taken,
            ..
        } = self;
        client.open(port, began);
        let (on, own_client, own_classes) = (core.clone(), client.clone(), classes.clone());
        named("taken", STACK, move || {
            for one in taken {
                let begun = begin(&on, &own_classes, &own_client, one);
                let count = if begun {
                    &own_client.counts.taken
                } else {
                    &own_client.counts.passed_on
                };
                count.fetch_add(1, Ordering::Relaxed);
            }
        })?;
        let retry_after = core.retry_after();
        let _ = core.records.set(Arc::new(ReplicatedRecords {
            classes,
            client: client.clone(),
            retry_after,
        }));
        Ok(RunningCover { client })
    }
}

impl RunningCover {
    /// Hands over at once what another process can continue.
    pub fn leave(&self) {
        self.client.send(Command::ReleaseAll);
    }

    /// The counters, for the log.
    pub fn report(&self) -> String {
        self.client.report()
    }
}
