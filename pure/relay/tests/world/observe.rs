//! Readers that subscribe and cancel, and observations of the fleet.

use super::{ReaderModel, World};
use foldmux_relay::Command;
use rand::RngExt;

impl World {
    pub fn subscribe(&mut self, i: usize) -> u64 {
        let (reader, after) = (self.next_reader, self.rng.random_range(0..50));
        self.next_reader += 1;
        self.readers.insert(
            reader,
            (
                i,
                ReaderModel::new(&self.stream, after, &self.log, self.now),
            ),
        );
        self.command(
            i,
            Command::Subscribe {
                reader,
                stream: self.stream.name.clone(),
                after,
                position: None,
            },
        );
        reader
    }

    pub fn cancel(&mut self, reader: u64) {
        if let Some((i, _)) = self.readers.remove(&reader) {
            self.command(i, Command::Cancel { reader });
        }
    }

    /// How many processes read the source.
    pub fn open_sources(&self) -> usize {
        self.processes
            .iter()
            .filter(|process| process.reads_source && process.relay.is_some())
            .count()
    }

    pub fn entries(&self) -> usize {
        self.processes
            .iter()
            .filter_map(|p| p.relay.as_ref())
            .map(|relay| relay.entries())
            .sum()
    }

    /// The processes that hold a lease.
    pub fn lease_holders(&self) -> Vec<usize> {
        let holds = |i: &usize| {
            self.processes[*i]
                .relay
                .as_ref()
                .is_some_and(|r| r.holds_lease(self.now, "s"))
        };
        (0..self.processes.len()).filter(holds).collect()
    }
}
