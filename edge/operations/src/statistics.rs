//! The statistics, one a line in the statsd form (`proxy.answered.C:812|c`, `proxy.current:14|g`), then `end`.

use std::fmt::Write;

/// How the requests of one class ended, and the attempts made for them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassStatistics {
    /// Name of the class.
    pub class: String,
    /// Requests that were served.
    pub answered: u64,
    /// Requests that were rejected.
    pub deferred: u64,
    /// Requests that failed.
    pub errored: u64,
    /// Attempts that were sent whole.
    pub sends: u64,
}

/// All statistics of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// By class.
    pub classes: Vec<ClassStatistics>,
    /// Requests in flight.
    pub current: u64,
    /// Pop caches that are listed.
    pub cluster_size: u64,
    /// Listed pop caches that are not ready, or out of service by hand.
    pub cluster_unhealthy: u64,
    /// Reloads that took the configuration.
    pub conf_loaded: u64,
    /// Reloads that refused it.
    pub conf_invalid: u64,
}

impl Statistics {
    /// The lines after `done` in the response to `stats`, with the `end` line.
    pub fn render(&self) -> String {
        let mut out = String::new();
        for class in &self.classes {
            class.render(&mut out);
        }
        for (name, value) in [
            ("current", self.current),
            ("cluster_size", self.cluster_size),
            ("cluster_unhealthy", self.cluster_unhealthy),
        ] {
            push_line(&mut out, format_args!("proxy.{name}:{value}|g"));
        }
        for (name, count) in [
            ("conf_loaded", self.conf_loaded),
            ("conf_invalid", self.conf_invalid),
        ] {
            push_line(&mut out, format_args!("proxy.{name}:{count}|c"));
        }
        out.push_str("end\n");
        out
    }
}

impl ClassStatistics {
    fn render(&self, out: &mut String) {
        let class = &self.class;
        for (name, count) in [
            ("answered", self.answered),
            ("deferred", self.deferred),
            ("errored", self.errored),
            ("sends", self.sends),
        ] {
            push_line(out, format_args!("proxy.{name}.{class}:{count}|c"));
        }
    }
}

fn push_line(out: &mut String, line: std::fmt::Arguments) {
    // Writing to a `String` can't fail.
    let _ = writeln!(out, "{line}");
}

#[cfg(test)]
mod tests;
