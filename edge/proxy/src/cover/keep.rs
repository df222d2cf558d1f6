//! The part for takeover with a seat that remembers: what it promises is on its file before anybody hears of it.

use super::log::{Found, Log};
use foldmux_seats::part::Acts;
use foldmux_seats::{Do, Part, Peer, Time};
use foldmux_takeover::{Ask, Message, Setup, Takeover, Told};
use std::io;
use std::path::Path;

/// How often it looks whether another process is this seat (us): far more often than the shortest silence of one with no
/// memory, which is over a lease.
const LOOK: Time = 50_000;

pub struct Keeping {
    part: Takeover,
    /// None: nothing outlives this process, or another is the seat by now.
    log: Option<Log>,
    looked: Time,
}

impl Keeping {
    /// Without a folder, or one that can be used, the seat is silent for a window after each start.
    pub fn new(setup: Setup, folder: Option<&Path>) -> Keeping {
        let window = setup.drift.stretched(setup.window());
        let mark = format!("{:?} {} {}", setup.seats.listed(), setup.lease, window);
        let opened = folder.map(|folder| Log::open(folder, mark, window));
        let (log, found) = match opened {
            Some(Ok((log, found))) => (Some(log), found),
            Some(Err(e)) => {
                tracing::warn!("cover: this seat forgets with its process: {e}");
                (None, Found { speaks_in: window, kept: Default::default() })
            }
            None => (None, Found { speaks_in: window, kept: Default::default() }),
        };
        let (ms, count) = (found.speaks_in / 1_000, found.kept.len());
        tracing::info!("cover: this seat speaks in {ms} ms, {count} records read back");
        let mut part = Takeover::read_back(0, setup, found.speaks_in, found.kept.into_iter());
        if log.is_none() {
            part.keep_nothing();
        }
        Keeping { part, log, looked: 0 }
    }

    fn keep(&mut self, now: Time, out: &mut Acts<Takeover>) {
        let Some(log) = &mut self.log else { return };
        let passed = now >= self.looked + LOOK && log.passed();
        if now >= self.looked + LOOK {
            self.looked = now;
        }
        let changed = self.part.changed(now);
        let kept = match (passed, changed.is_empty()) {
            (true, _) => Err(io::Error::other("another process is this seat by now")),
            (false, true) => Ok(()),
            (false, false) if log.long() => log.anew(&self.part.all(now)),
            (false, false) => log.add(&changed),
        };
        let Err(why) = kept else { return };
        tracing::warn!("cover: this seat says no more: {why}");
        if !passed {
            log.spoil();
        }
        self.log = None;
        self.part.mute();
        // Nobody hears what is not kept.
        let promises = |act: &Do<Message, Told>| {
            matches!(act, Do::Send { message: Message::Claimed { .. } | Message::Noted { .. }, .. })
        };
        out.retain(|act| !promises(act));
    }
}

impl Part for Keeping {
    type Message = Message;
    type Ask = Ask;
    type Told = Told;

    fn heard(&mut self, now: Time, from: &Peer, message: Message, out: &mut Acts<Self>) {
        self.part.heard(now, from, message, out);
        self.keep(now, out);
    }

    fn ask(&mut self, now: Time, ask: Ask, out: &mut Acts<Self>) {
        self.part.ask(now, ask, out);
        self.keep(now, out);
    }

    fn peer(&mut self, now: Time, peer: &Peer, alive: bool, out: &mut Acts<Self>) {
        self.part.peer(now, peer, alive, out);
    }

    fn tick(&mut self, now: Time, out: &mut Acts<Self>) {
        self.part.tick(now, out);
        self.keep(now, out);
    }

    fn due(&self) -> Option<Time> {
        self.part.due()
    }
}
