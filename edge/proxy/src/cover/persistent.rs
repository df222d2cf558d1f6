//! The takeover state machine with a persistent replica: what it promises is in its log file before any reply is sent.
//!
//! Of two processes of one name, as during an upgrade, the one that holds the file's lock is the replica. The other one
//! abstains until the first releases the lock, which it does when it shuts down, and then resumes the file.

use super::log::{Log, Recovered};
use foldmux_replicas::{Effect, Effects, Peer, StateMachine, Time};
use foldmux_takeover::{Command, Event, Message, Setup, Takeover};
use std::io;
use std::path::{Path, PathBuf};

/// How often it checks for another process of its name (us). Far shorter than the shortest time for which a replica without
/// its state abstains, which is over a lease.
const HANDOVER_CHECK_INTERVAL: Time = 20_000;

/// This process's access to the log file.
enum LogState {
    /// This process holds the lock, and is the replica.
    Open(Log),
    /// Another process holds the lock. From `until` on, when a replica without its state may vote, this one supersedes it.
    Waiting { until: Time },
    /// Nothing is persisted, or another process is the replica by now.
    None,
}

/// The takeover state machine, with the log file of its replica.
pub struct PersistentTakeover {
    takeover: Takeover,
    log: LogState,
    folder: PathBuf,
    /// Identifies the replica set, the lease and the recovery window that promises depend on.
    fingerprint: String,
    /// How long a replica abstains that lost its state (us).
    window: Time,
    /// When it last checked for another process of its name.
    checked_at: Time,
    shutting_down: bool,
}

impl PersistentTakeover {
    /// Without a folder, or with one that can't be used, the replica abstains for a recovery window after each start.
    pub fn new(setup: Setup, folder: Option<&Path>) -> PersistentTakeover {
        let window = setup.drift.stretched(setup.recovery_window());
        let fingerprint = format!("{:?} {} {window}", setup.replicas.members(), setup.lease);
        let mut takeover = PersistentTakeover {
            takeover: Takeover::new(0, setup),
            log: LogState::None,
            folder: folder.map(Path::to_path_buf).unwrap_or_default(),
            fingerprint,
            window,
            checked_at: 0,
            shutting_down: false,
        };
        if folder.is_some() {
            takeover.open(0);
        }
        takeover
    }

    /// Resumes or creates the file, or waits for its lock.
    fn open(&mut self, now: Time) {
        match Log::open(&self.folder, &self.fingerprint, self.window) {
            Ok(Some((log, recovered))) => self.resume(now, log, recovered),
            Ok(None) => {
                if !matches!(self.log, LogState::Waiting { .. }) {
                    tracing::info!(
                        "cover: another process of this name holds the replica's log file; waiting for its lock"
                    );
                    self.takeover.stop_voting();
                    self.log = LogState::Waiting {
                        until: now + self.window,
                    };
                }
            }
            Err(error) => {
                tracing::warn!(
                    "cover: the replica's log file can't be opened, so its state is not persisted: {error}"
                );
                self.log = LogState::None;
            }
        }
    }

    fn resume(&mut self, now: Time, log: Log, recovered: Recovered) {
        let (ms, count) = (recovered.votes_in / 1_000, recovered.entries.len());
        tracing::info!("cover: the replica votes in {ms} ms; {count} records recovered");
        self.takeover
            .recover(now, recovered.votes_in, recovered.entries.into_iter());
        self.log = LogState::Open(log);
    }

    /// Persists what a step changed. Called after each step, before its effects are carried out.
    fn persist(&mut self, now: Time, effects: &mut Effects<Takeover>) {
        let check_due = now >= self.checked_at + HANDOVER_CHECK_INTERVAL;
        if check_due {
            self.checked_at = now;
        }
        let changed = self.takeover.take_changed(now);
        let log = match &mut self.log {
            LogState::Open(log) => log,
            LogState::Waiting { until } if check_due && now >= *until => {
                if let Ok(Some(log)) = Log::supersede(&self.folder, &self.fingerprint) {
                    self.resume(
                        now,
                        log,
                        Recovered {
                            votes_in: 0,
                            entries: Default::default(),
                        },
                    );
                }
                return;
            }
            LogState::Waiting { .. } if check_due => return self.open(now),
            LogState::Waiting { .. } | LogState::None => return,
        };
        let persisted = match (check_due && log.is_superseded(), changed.is_empty()) {
            (true, _) => Err(io::Error::other("another process is this replica now")),
            (false, true) => Ok(()),
            (false, false) if log.needs_compaction() => log.rewrite(&self.takeover.persisted(now)),
            (false, false) => log.append(&changed),
        };
        match persisted {
            Ok(()) if check_due && self.shutting_down && log.successor_waits() => {
                tracing::info!("cover: the log file is released to the waiting process of this name, which is the replica from now on");
            }
            Ok(()) => return,
            Err(error) => {
                tracing::warn!("cover: the replica stops voting: {error}");
                log.invalidate();
                // No reply is sent for what was not persisted.
                effects.retain(|effect| {
                    !matches!(
                        effect,
                        Effect::Send {
                            message: Message::AcquireReply { .. } | Message::WriteReply { .. },
                            ..
                        }
                    )
                });
            }
        }
        self.log = LogState::None;
        self.takeover.stop_voting();
    }
}

impl StateMachine for PersistentTakeover {
    type Message = Message;
    type Command = Command;
    type Event = Event;

    fn on_message(
        &mut self,
        now: Time,
        from: &Peer,
        message: Message,
        effects: &mut Effects<Self>,
    ) {
        self.takeover.on_message(now, from, message, effects);
        self.persist(now, effects);
    }

    fn on_command(&mut self, now: Time, command: Command, effects: &mut Effects<Self>) {
        self.shutting_down |= matches!(command, Command::ReleaseAll);
        self.takeover.on_command(now, command, effects);
        self.persist(now, effects);
    }

    fn on_peer_status(&mut self, now: Time, peer: &Peer, alive: bool, effects: &mut Effects<Self>) {
        self.takeover.on_peer_status(now, peer, alive, effects);
    }

    fn on_tick(&mut self, now: Time, effects: &mut Effects<Self>) {
        self.takeover.on_tick(now, effects);
        self.persist(now, effects);
    }

    fn next_tick(&self) -> Option<Time> {
        // It checks for another process while it waits for that one, or that one may wait for it.
        let checks = matches!(self.log, LogState::Waiting { .. }) || self.shutting_down;
        self.takeover
            .next_tick()
            .into_iter()
            .chain(checks.then_some(self.checked_at + HANDOVER_CHECK_INTERVAL))
            .min()
    }
}
