//! The faults, and the check at the end: everything is healed, and every reader must be up to date.

use super::{Process, Scheduled, World, LEASE, MS, SOURCE};
use foldmux_relay::{Command, Position, Relay, RelayConfig};
use foldmux_replicas::{ClockDrift, Peer, ReplicaSet, StateMachine, Time};

impl World {
    /// Ends the process like `kill -9`; its readers end with it.
    pub fn kill(&mut self, i: usize) {
        self.processes[i].relay = None;
        self.processes[i].reads_source = false;
        self.waiting.remove(&i);
        self.readers.retain(|_, (at, _)| *at != i);
    }

    pub fn restart(&mut self, i: usize) {
        self.kill(i);
        let incarnation = self.processes[i].incarnation + 1;
        let relay = Some(self.new_relay(i, incarnation));
        let source_position = Position {
            epoch: 0,
            number: 0,
        };
        let (paused, deferred, reads_source, answer_at_once) = (false, Vec::new(), false, false);
        self.processes[i] = Process {
            draining: false,
            relay,
            incarnation,
            paused,
            deferred,
            reads_source,
            answer_at_once,
            source_position,
            poll: 0,
            tick_at: Time::MAX,
        };
    }

    pub fn pause(&mut self, i: usize) {
        self.processes[i].paused = true;
    }

    pub fn resume(&mut self, i: usize) {
        self.processes[i].paused = false;
        for event in std::mem::take(&mut self.processes[i].deferred) {
            self.handle(event);
        }
        let incarnation = self.processes[i].incarnation;
        self.processes[i].tick_at = self.now;
        self.schedule(self.now, Scheduled::Tick(i, incarnation));
    }

    /// SIGTERM. The process ends once its readers have gone.
    pub fn drain(&mut self, i: usize) {
        self.processes[i].draining |= !self.processes[i].paused;
        self.command(i, Command::Drain);
    }

    pub fn report_peer_status(&mut self, peer: usize, alive: bool) {
        for i in 0..self.processes.len() {
            let mut effects = Vec::new();
            let name = self.locations[peer].0.clone();
            if let Some(relay) = self.processes[i].relay.as_mut() {
                relay.on_peer_status(self.now, &name, alive, &mut effects);
                self.carry_out(i, effects);
            }
        }
    }

    pub fn cut_source(&mut self, site: &str) {
        for i in 0..self.locations.len() {
            if &*self.locations[i].1[0] == site {
                self.cut_links.insert((SOURCE, i));
            }
        }
    }

    /// Heals all faults, waits until the fleet is quiet, and checks what each reader received.
    pub fn heal_and_check(&mut self) {
        self.cut_links.clear();
        self.loss_probability = 0.0;
        for i in 0..self.processes.len() {
            // A draining process ends here.
            if self.processes[i].relay.is_none() || self.processes[i].draining {
                self.restart(i);
            } else if self.processes[i].paused {
                self.resume(i);
            }
        }
        for _ in 0..160 {
            self.publish(None, false);
            self.advance(500 * MS);
        }
        self.advance(5_000 * MS);
        for (name, (i, model)) in &self.readers {
            if !self.slow_readers.contains_key(name) && !model.ended {
                model.assert_complete(&self.log, &format!("reader {name} of n{i}"));
            }
        }
        let mut sites: Vec<_> = self
            .readers
            .values()
            .filter(|(_, model)| !model.ended)
            .map(|(i, _)| &self.locations[*i].1[0])
            .collect();
        sites.sort();
        sites.dedup();
        assert_eq!(
            self.open_sources(),
            sites.len(),
            "streams at the source, by {:?}",
            self.lease_holders()
        );
    }

    pub(super) fn new_relay(&self, i: usize, incarnation: u64) -> Relay {
        let replicas =
            ReplicaSet::new((0..self.replica_count).map(|n| Peer::new(&format!("n{n}")))).unwrap();
        let config = RelayConfig {
            own: self.locations[i].0.clone(),
            incarnation: incarnation << 32,
            locations: self.locations.clone(),
            replicas,
            drift: ClockDrift::default(),
            lease: LEASE,
            streams: vec![self.stream.clone()],
            max_readers: 100_000,
            max_followers: 10_000,
            min_tenure: 10_000 * MS,
            seed: (i as u64) << 32 | incarnation,
        };
        Relay::new(config, self.now)
    }

    /// The epoch under which a process numbers the source's items.
    pub(super) fn epoch(&self, i: usize) -> u64 {
        match self.stream.shared_numbering {
            true => self.log.epoch,
            false => (i as u64 + 1) << 40 | self.processes[i].incarnation << 20 | self.log.epoch,
        }
    }
}
