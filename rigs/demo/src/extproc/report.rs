//! What a run came to.

use std::collections::BTreeMap;
use std::fmt;

/// What a run came to.
#[derive(Debug, Default)]
pub struct Report {
    pub requests: u64,
    /// Clients' answers by status; those who left get none.
    pub answers: BTreeMap<u16, u64>,
    pub left: u64,
    /// Clients with neither, with several, or with the wrong bytes.
    pub lost: u64,
    pub kills: u64,
    pub attempts: u64,
    pub again: u64,
    pub stale: u64,
    /// At the archive: keys that ran, repeats that it dropped, second runs, and requests beside a running one.
    pub ran: u64,
    pub dropped: u64,
    pub doubles: u64,
    pub together: u64,
    /// Sent after their placement's time, by the caches' clock.
    pub late: u64,
    /// Fields that a processor must not set.
    pub forbidden: u64,
}

impl Report {
    /// Nothing ran twice, nobody's answer was lost; and it was put to the test.
    pub fn sound(&self) -> bool {
        let broken = self.doubles + self.together + self.lost + self.forbidden;
        broken == 0 && self.ran > 0 && self.dropped > 0 && self.kills > 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let answers: Vec<String> = self
            .answers
            .iter()
            .map(|(status, n)| format!("{n} of {status}"))
            .collect();
        writeln!(
            f,
            "requests        {:>7}   answered: {}; {} clients left",
            self.requests,
            answers.join(", "),
            self.left
        )?;
        writeln!(
            f,
            "attempts        {:>7}   {} asked for by the module, {} too late to be sent",
            self.attempts, self.again, self.stale
        )?;
        writeln!(f, "instances killed{:>7}", self.kills)?;
        writeln!(
            f,
            "keys that ran   {:>7}   {} repeats that the archive dropped",
            self.ran, self.dropped
        )?;
        writeln!(
            f,
            "double sends    {:>7}   ({} beside a running one)",
            self.doubles + self.together,
            self.together
        )?;
        write!(f, "lost answers    {:>7}", self.lost)
    }
}
