//! The part for takeover with a seat that remembers: what it promises is on its file before anybody hears of it. Of two
//! processes of one name, as in an upgrade, the one that holds the file is the seat; the other is mute, and goes on with
//! the file once the first gives it up, which it does when it leaves.

use super::log::{Found, Log};
use foldmux_replicas::Effects;
use foldmux_replicas::{Effect, Peer, StateMachine, Time};
use foldmux_takeover::{Command, Event, Message, Setup, Takeover};
use std::io;
use std::path::{Path, PathBuf};

/// How often it looks for the other process of its name (us): far more often than the shortest silence of a seat with no
/// memory, which is over a lease.
const LOOK: Time = 20_000;

/// The file, as far as this process has it.
enum Own {
    Held(Log),
    /// Another process holds it; passed over at `until`, when a seat with no memory may speak.
    Waits {
        until: Time,
    },
    /// Nothing outlives this process, or another is the seat by now.
    None,
}

pub struct Keeping {
    part: Takeover,
    own: Own,
    folder: PathBuf,
    /// What the promises are about.
    mark: String,
    window: Time,
    looked: Time,
    leaving: bool,
}

impl Keeping {
    /// Without a folder, or with one that can't be used, the seat is silent for a window after each start.
    pub fn new(setup: Setup, folder: Option<&Path>) -> Keeping {
        let window = setup.drift.stretched(setup.recovery_window());
        let mark = format!("{:?} {} {window}", setup.replicas.members(), setup.lease);
        let mut keeping = Keeping {
            part: Takeover::new(0, setup),
            own: Own::None,
            folder: folder.map(Path::to_path_buf).unwrap_or_default(),
            mark,
            window,
            looked: 0,
            leaving: false,
        };
        if folder.is_some() {
            keeping.open(0);
        }
        keeping
    }

    /// Goes on with the file, or begins it, or waits for it.
    fn open(&mut self, now: Time) {
        match Log::open(&self.folder, &self.mark, self.window) {
            Ok(Some((log, found))) => self.holds(now, log, found),
            Ok(None) => {
                if !matches!(self.own, Own::Waits { .. }) {
                    tracing::info!(
                        "cover: another process of this name is the seat; this one waits for it"
                    );
                    self.part.mute();
                    self.own = Own::Waits {
                        until: now + self.window,
                    };
                }
            }
            Err(e) => {
                tracing::warn!("cover: this seat forgets with its process: {e}");
                self.own = Own::None;
            }
        }
    }

    fn holds(&mut self, now: Time, log: Log, found: Found) {
        let (ms, count) = (found.speaks_in / 1_000, found.kept.len());
        tracing::info!("cover: this seat speaks in {ms} ms, {count} records read back");
        self.part
            .recover(now, found.speaks_in, found.kept.into_iter());
        self.own = Own::Held(log);
    }

    /// Behind each step, before what it said is heard.
    fn keep(&mut self, now: Time, out: &mut Effects<Takeover>) {
        let look = now >= self.looked + LOOK;
        if look {
            self.looked = now;
        }
        let changed = self.part.take_changed(now);
        let log = match &mut self.own {
            Own::Held(log) => log,
            Own::Waits { until } if look && now >= *until => {
                if let Ok(Some(log)) = Log::pass(&self.folder, &self.mark) {
                    self.holds(
                        now,
                        log,
                        Found {
                            speaks_in: 0,
                            kept: Default::default(),
                        },
                    );
                }
                return;
            }
            Own::Waits { .. } if look => return self.open(now),
            Own::Waits { .. } | Own::None => return,
        };
        let kept = match (look && log.passed(), changed.is_empty()) {
            (true, _) => Err(io::Error::other("another process is this seat")),
            (false, true) => Ok(()),
            (false, false) if log.long() => log.anew(&self.part.persisted(now)),
            (false, false) => log.add(&changed),
        };
        match kept {
            Ok(()) if look && self.leaving && log.wanted() => {
                tracing::info!("cover: the next process of this name is the seat from here on");
            }
            Ok(()) => return,
            Err(why) => {
                tracing::warn!("cover: this seat says no more: {why}");
                log.spoil();
                // Nobody hears what is not kept.
                out.retain(|act| {
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
        self.own = Own::None;
        self.part.mute();
    }
}

impl StateMachine for Keeping {
    type Message = Message;
    type Command = Command;
    type Event = Event;

    fn on_message(&mut self, now: Time, from: &Peer, message: Message, out: &mut Effects<Self>) {
        self.part.on_message(now, from, message, out);
        self.keep(now, out);
    }

    fn on_command(&mut self, now: Time, ask: Command, out: &mut Effects<Self>) {
        self.leaving |= matches!(ask, Command::ReleaseAll);
        self.part.on_command(now, ask, out);
        self.keep(now, out);
    }

    fn on_peer_status(&mut self, now: Time, peer: &Peer, alive: bool, out: &mut Effects<Self>) {
        self.part.on_peer_status(now, peer, alive, out);
    }

    fn on_tick(&mut self, now: Time, out: &mut Effects<Self>) {
        self.part.on_tick(now, out);
        self.keep(now, out);
    }

    fn next_tick(&self) -> Option<Time> {
        // It looks by itself while it waits for the other, or the other may wait for it.
        let looks = matches!(self.own, Own::Waits { .. }) || self.leaving;
        self.part
            .next_tick()
            .into_iter()
            .chain(looks.then_some(self.looked + LOOK))
            .min()
    }
}
