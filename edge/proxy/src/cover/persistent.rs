//! The part for takeover with a seat that remembers: what it promises is on its file before anybody hears of it. Of two
//! processes of one name, as in an upgrade, the one that holds the file is the seat; the other is mute, and goes on with
//! the file once the first gives it up, which it does when it leaves.

use super::log::{Log, Recovered};
use foldmux_replicas::Effects;
use foldmux_replicas::{Effect, Peer, StateMachine, Time};
use foldmux_takeover::{Command, Event, Message, Setup, Takeover};
use std::io;
use std::path::{Path, PathBuf};

/// How often it looks for the other process of its name (us): far more often than the shortest silence of a seat with no
/// memory, which is over a lease.
const LOOK_INTERVAL: Time = 20_000;

/// The file, as far as this process has it.
enum LogState {
    Open(Log),
    /// Another process holds it; passed over at `until`, when a seat with no memory may speak.
    Waiting {
        until: Time,
    },
    /// Nothing outlives this process, or another is the seat by now.
    None,
}

pub struct PersistentTakeover {
    takeover: Takeover,
    log: LogState,
    folder: PathBuf,
    /// What the promises are about.
    fingerprint: String,
    window: Time,
    looked_at: Time,
    shutting_down: bool,
}

impl PersistentTakeover {
    /// Without a folder, or with one that can't be used, the seat is silent for a window after each start.
    pub fn new(setup: Setup, folder: Option<&Path>) -> PersistentTakeover {
        let window = setup.drift.stretched(setup.recovery_window());
        let fingerprint = format!("{:?} {} {window}", setup.replicas.members(), setup.lease);
        let mut takeover = PersistentTakeover {
            takeover: Takeover::new(0, setup),
            log: LogState::None,
            folder: folder.map(Path::to_path_buf).unwrap_or_default(),
            fingerprint,
            window,
            looked_at: 0,
            shutting_down: false,
        };
        if folder.is_some() {
            takeover.open(0);
        }
        takeover
    }

    /// Goes on with the file, or begins it, or waits for it.
    fn open(&mut self, now: Time) {
        match Log::open(&self.folder, &self.fingerprint, self.window) {
            Ok(Some((log, found))) => self.resume(now, log, found),
            Ok(None) => {
                if !matches!(self.log, LogState::Waiting { .. }) {
                    tracing::info!(
                        "cover: another process of this name is the seat; this one waits for it"
                    );
                    self.takeover.mute();
                    self.log = LogState::Waiting {
                        until: now + self.window,
                    };
                }
            }
            Err(e) => {
                tracing::warn!("cover: this seat forgets with its process: {e}");
                self.log = LogState::None;
            }
        }
    }

    fn resume(&mut self, now: Time, log: Log, found: Recovered) {
        let (ms, count) = (found.votes_in / 1_000, found.kept.len());
        tracing::info!("cover: this seat speaks in {ms} ms, {count} records read back");
        self.takeover
            .recover(now, found.votes_in, found.kept.into_iter());
        self.log = LogState::Open(log);
    }

    /// Behind each step, before what it said is heard.
    fn persist(&mut self, now: Time, effects: &mut Effects<Takeover>) {
        let look = now >= self.looked_at + LOOK_INTERVAL;
        if look {
            self.looked_at = now;
        }
        let changed = self.takeover.take_changed(now);
        let log = match &mut self.log {
            LogState::Open(log) => log,
            LogState::Waiting { until } if look && now >= *until => {
                if let Ok(Some(log)) = Log::supersede(&self.folder, &self.fingerprint) {
                    self.resume(
                        now,
                        log,
                        Recovered {
                            votes_in: 0,
                            kept: Default::default(),
                        },
                    );
                }
                return;
            }
            LogState::Waiting { .. } if look => return self.open(now),
            LogState::Waiting { .. } | LogState::None => return,
        };
        let kept = match (look && log.is_superseded(), changed.is_empty()) {
            (true, _) => Err(io::Error::other("another process is this seat")),
            (false, true) => Ok(()),
            (false, false) if log.needs_compaction() => log.rewrite(&self.takeover.persisted(now)),
            (false, false) => log.append(&changed),
        };
        match kept {
            Ok(()) if look && self.shutting_down && log.successor_waits() => {
                tracing::info!("cover: the next process of this name is the seat from here on");
            }
            Ok(()) => return,
            Err(why) => {
                tracing::warn!("cover: this seat says no more: {why}");
                log.invalidate();
                // Nobody hears what is not kept.
                effects.retain(|act| {
                    !matches!(
                        act,
                        Effect::Send {
                            message: Message::AcquireReply { .. } | Message::WriteReply { .. },
                            ..
                        }
                    )
                });
            }
        }
        self.log = LogState::None;
        self.takeover.mute();
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
        // It looks by itself while it waits for the other, or the other may wait for it.
        let looks = matches!(self.log, LogState::Waiting { .. }) || self.shutting_down;
        self.takeover
            .next_tick()
            .into_iter()
            .chain(looks.then_some(self.looked_at + LOOK_INTERVAL))
            .min()
    }
}
