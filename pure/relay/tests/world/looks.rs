//! Readers that come and go, and what there is to see of the fleet.

use super::{Model, World};
use foldmux_relay::Ask;
use rand::RngExt;

impl World {
    pub fn subscribe(&mut self, i: usize) -> u64 {
        let (ticket, after) = (self.next_reader, self.draws.random_range(0..50));
        self.next_reader += 1;
        self.readers.insert(
            ticket,
            (i, Model::new(&self.stream, after, &self.log, self.now)),
        );
        self.ask(
            i,
            Ask::Subscribe {
                ticket,
                stream: self.stream.name.clone(),
                after,
                place: None,
            },
        );
        ticket
    }

    pub fn cancel(&mut self, reader: u64) {
        if let Some((i, _)) = self.readers.remove(&reader) {
            self.ask(i, Ask::Cancel { reader });
        }
    }

    /// Streams that are open at the source.
    pub fn streams(&self) -> usize {
        self.processes
            .iter()
            .filter(|process| process.open && process.relay.is_some())
            .count()
    }

    pub fn entries(&self) -> usize {
        self.processes
            .iter()
            .filter_map(|p| p.relay.as_ref())
            .map(|relay| relay.entries())
            .sum()
    }

    /// Who relays, by lease.
    pub fn relays(&self) -> Vec<usize> {
        let holds = |i: &usize| {
            self.processes[*i]
                .relay
                .as_ref()
                .is_some_and(|r| r.relays(self.now, "s"))
        };
        (0..self.processes.len()).filter(holds).collect()
    }
}
