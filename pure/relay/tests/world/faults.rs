//! What goes wrong, and the end: all is healed, and everyone has all.

use super::{Process, What, World, LEASE, MS, SOURCE};
use foldmux_relay::{Ask, Place, Relay, Setup};
use foldmux_replicas::{ClockDrift, Peer, ReplicaSet, StateMachine, Time};

impl World {
    /// kill -9: its readers go with it.
    pub fn kill(&mut self, i: usize) {
        self.processes[i].relay = None;
        self.processes[i].open = false;
        self.waiting.remove(&i);
        self.readers.retain(|_, (at, _)| *at != i);
    }

    pub fn restart(&mut self, i: usize) {
        self.kill(i);
        let life = self.processes[i].life + 1;
        let relay = Some(self.made(i, life));
        let tail = Place {
            epoch: 0,
            number: 0,
        };
        let (paused, held, open, first) = (false, Vec::new(), false, false);
        self.processes[i] = Process {
            leaves: false,
            relay,
            life,
            paused,
            held,
            open,
            first,
            tail,
            poll: 0,
            tick_at: Time::MAX,
        };
    }

    pub fn pause(&mut self, i: usize) {
        self.processes[i].paused = true;
    }

    pub fn wake(&mut self, i: usize) {
        self.processes[i].paused = false;
        for what in std::mem::take(&mut self.processes[i].held) {
            self.happen(what);
        }
        let life = self.processes[i].life;
        self.processes[i].tick_at = self.now;
        self.at(self.now, What::Tick(i, life));
    }

    /// SIGTERM, and the end of the process once its readers have gone.
    pub fn leave(&mut self, i: usize) {
        self.processes[i].leaves |= !self.processes[i].paused;
        self.ask(i, Ask::Leave);
    }

    pub fn members_say(&mut self, peer: usize, alive: bool) {
        for i in 0..self.processes.len() {
            let mut out = Vec::new();
            let name = self.places[peer].0.clone();
            if let Some(relay) = self.processes[i].relay.as_mut() {
                relay.on_peer_status(self.now, &name, alive, &mut out);
                self.done(i, out);
            }
        }
    }

    pub fn cut_source(&mut self, site: &str) {
        for i in 0..self.places.len() {
            if &*self.places[i].1[0] == site {
                self.cut.insert((SOURCE, i));
            }
        }
    }

    /// Heals all, waits until it is quiet, and looks at what every reader has.
    pub fn settle(&mut self) {
        self.cut.clear();
        self.loss = 0.0;
        for i in 0..self.processes.len() {
            // One that leaves ends.
            if self.processes[i].relay.is_none() || self.processes[i].leaves {
                self.restart(i);
            } else if self.processes[i].paused {
                self.wake(i);
            }
        }
        for _ in 0..160 {
            self.publish(None, false);
            self.pass(500 * MS);
        }
        self.pass(5_000 * MS);
        for (name, (i, model)) in &self.readers {
            if !self.slow.contains_key(name) && !model.ended {
                model.has_all(&self.log, &format!("reader {name} of n{i}"));
            }
        }
        let mut sites: Vec<_> = self
            .readers
            .values()
            .filter(|(_, model)| !model.ended)
            .map(|(i, _)| &self.places[*i].1[0])
            .collect();
        sites.sort();
        sites.dedup();
        assert_eq!(
            self.streams(),
            sites.len(),
            "streams at the source, by {:?}",
            self.relays()
        );
    }

    pub(super) fn made(&self, i: usize, life: u64) -> Relay {
        let seats = ReplicaSet::new((0..self.seats).map(|n| Peer::new(&format!("n{n}")))).unwrap();
        let setup = Setup {
            me: self.places[i].0.clone(),
            life: life << 32,
            places: self.places.clone(),
            replicas: seats,
            drift: ClockDrift::default(),
            lease: LEASE,
            streams: vec![self.stream.clone()],
            readers: 100_000,
            fed: 10_000,
            hold: 10_000 * MS,
            seed: (i as u64) << 32 | life,
        };
        Relay::new(setup, self.now)
    }

    /// The process's epoch for what the source tells.
    pub(super) fn epoch(&self, i: usize) -> u64 {
        match self.stream.shared {
            true => self.log.epoch,
            false => (i as u64 + 1) << 40 | self.processes[i].life << 20 | self.log.epoch,
        }
    }
}
