//! Starts and stops replicated request records.

use super::class_policies::{setup, ReplicatedClasses};
use super::client::{EventSink, TakenOverRequest, TakeoverClient};
use super::persistent::PersistentTakeover;
use super::records::ReplicatedRecords;
use super::take_over::start_request;
use crate::shared_directory::shared_directory;
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
/// Of the thread that starts requests that were taken over, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Replicated request records, configured and not started yet.
pub struct PreparedCover {
    setup: Setup,
    classes: Arc<ReplicatedClasses>,
    client: Arc<TakeoverClient>,
    taken_over: Receiver<TakenOverRequest>,
    /// Where the replica's log files are. Without a folder nothing is persisted.
    folder: Option<PathBuf>,
}

/// Replicated request records in service.
pub struct RunningCover {
    client: Arc<TakeoverClient>,
}

impl PreparedCover {
    /// None if the operator's file covers no class. Where it covers any, a process is a replica for others even if it serves
    /// none of the covered classes itself.
    ///
    /// `indices`: the classes that the fronts serve, with their indices in the router's list. The tuple holds the most
    /// requests that are open at once, the memory that the process may use (MB), and the seed of random backoffs.
    ///
    /// # Errors
    ///
    /// When the operator's file lists no valid replica set, or a clock drift that is out of range.
    pub fn new<'a>(
        config: &FleetConfig,
        name: &str,
        decoded: &Decoded,
        indices: impl Iterator<Item = (&'a Arc<str>, &'a Arc<usize>)>,
        (max_requests, memory_mb, seed): (usize, u64, u64),
    ) -> Result<Option<PreparedCover>, String> {
        if config.covers.is_empty() {
            return Ok(None);
        }
        let setup = setup(config, name, decoded, max_requests, memory_mb, seed)?;
        let classes = Arc::new(ReplicatedClasses::new(config, decoded, indices));
        let (sender, taken_over) = bounded(max_requests);
        let folder = shared_directory()
            .map(|parent| parent.join(format!("foldmux-seat-{}", config.listen.port())));
        Ok(Some(PreparedCover {
            setup,
            classes,
            client: TakeoverClient::new(sender),
            taken_over,
            folder,
        }))
    }

    /// Adds the state machine to the fleet's thread, which is not started yet.
    pub fn add(&self, builder: &mut Builder) -> Port<Command> {
        let takeover = PersistentTakeover::new(self.setup.clone(), self.folder.as_deref());
        builder.add(PART, takeover, EventSink(self.client.clone()))
    }

    /// Starts replicating requests and taking them over. `started_at`: the start of the fleet's clock.
    ///
    /// # Errors
    ///
    /// When the thread can't be started.
    pub fn start(
        self,
        core: &Arc<Core>,
        port: Port<Command>,
        started_at: Instant,
    ) -> Result<RunningCover, String> {
        let PreparedCover {
            classes,
            client,
            taken_over,
            ..
        } = self;
        client.open(port, started_at);
        let (thread_core, thread_client, thread_classes) =
            (core.clone(), client.clone(), classes.clone());
        named("taken", STACK_BYTES, move || {
            for request in taken_over {
                let started = start_request(&thread_core, &thread_classes, &thread_client, request);
                let count = if started {
                    &thread_client.counts.taken_over
                } else {
                    &thread_client.counts.passed_on
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
    /// Releases at once every request that another process can continue.
    pub fn release_all(&self) {
        self.client.send(Command::ReleaseAll);
    }

    /// The counters, for the log.
    pub fn report(&self) -> String {
        self.client.report()
    }
}
