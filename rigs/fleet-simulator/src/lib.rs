//! A fleet of up to some thousands of instances in virtual time: members, takeover, relay and fair as they are in the
//! program, on links that lose, double, delay, reorder and are cut one way, with instances that are killed, paused, restarted
//! and told to leave in the middle of what they say.
//!
//! Owns: the hosts of the parts ([`work`], [`news`], [`pools`]), the links ([`net`]), the faults and how a list of them that
//! breaks an invariant is made short ([`plan`], [`shrink`]). May not: judge: what happens is written as the rig writes it,
//! and `foldmux_harness::check` reads it. All chance is from one seed, and no clock is read: a plan gives the same run each time.

pub mod command;
mod happen;
pub mod net;
pub mod news;
pub mod node;
pub mod plan;
pub mod pools;
pub mod shrink;
pub mod work;

pub use plan::{Breaks, Fault, Plan, Rates, What};

use foldmux_harness::check::{self, Verdict};

/// What became of a run.
#[derive(Debug)]
pub struct Report {
    pub verdict: Verdict,
    /// The faults that there were, with their messages' numbers.
    pub fired: Vec<Fault>,
    pub messages: u64,
    pub ends: Ends,
}

/// What is not as it should be once all is healed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ends {
    /// Readers that are not where the source is.
    pub behind: Vec<String>,
    /// Works that somebody owns still, or waits for.
    pub works: usize,
    /// Pools of which slots did not come back.
    pub short: Vec<String>,
    /// Asks that were answered twice, or never.
    pub tickets: usize,
    /// Instances that don't see the fleet as it is; told, and judged by nobody: members are hints.
    pub astray: usize,
}

impl Report {
    /// The first thing that is broken.
    pub fn broken(&self) -> Option<&'static str> {
        let breaks = self
            .verdict
            .breaks()
            .into_iter()
            .find(|(_, count)| *count > 0)
            .map(|(name, _)| name);
        let ends = [
            ("readers behind at the end", self.ends.behind.len()),
            ("works left at the end", self.ends.works),
            ("slots that did not come back", self.ends.short.len()),
            ("asks answered twice or never", self.ends.tickets),
        ];
        breaks.or(ends
            .into_iter()
            .find(|(_, count)| *count > 0)
            .map(|(name, _)| name))
    }
}

pub fn run(plan: &Plan) -> Report {
    let world = net::World::played(plan);
    let (ends, messages) = (world.ends(), world.messages);
    Report {
        verdict: check::read(&world.lines),
        fired: world.fired,
        messages,
        ends,
    }
}

/// Keeps the report's words in one place for the command and the tests.
pub fn told(report: &Report) -> String {
    let Report {
        verdict,
        fired,
        messages,
        ends,
    } = report;
    let mut text = format!(
        "{:<36} {messages:>9}\n{:<36} {:>9}\n",
        "messages",
        "faults",
        fired.len()
    );
    text += &verdict.to_string();
    for (what, names) in [
        ("readers behind at the end", &ends.behind),
        ("slots that did not come back", &ends.short),
    ] {
        let word = if names.is_empty() { "kept  " } else { "BROKEN" };
        text += &format!("{word} {what:<29} {:>9}\n", names.len());
        names
            .iter()
            .take(5)
            .for_each(|name| text += &format!("            {name}\n"));
    }
    for (what, count) in [
        ("works left at the end", ends.works),
        ("asks answered twice or never", ends.tickets),
    ] {
        let word = if count == 0 { "kept  " } else { "BROKEN" };
        text += &format!("{word} {what:<29} {count:>9}\n");
    }
    text + &format!("{:<36} {:>9}\n", "instances astray at the end", ends.astray)
}
