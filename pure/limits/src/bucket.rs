//! Token buckets for repeats: earned by first attempts, held up to a burst, and taken from a bucket and all above it at
//! once or not at all.

use crate::values::Budget;

#[derive(Clone, Debug)]
struct Bucket {
    held: f64,
    earns: f64,
    burst: f64,
    parent: Option<usize>,
}

/// All buckets of a file; as many as it names.
#[derive(Clone, Debug, Default)]
pub struct Buckets {
    names: Vec<String>,
    buckets: Vec<Bucket>,
}

impl Buckets {
    /// A parent that is not there is none; the checks refuse such a file, and circles.
    pub fn new(budgets: &[Budget]) -> Buckets {
        let names: Vec<String> = budgets.iter().map(|b| b.name.clone()).collect();
        let bucket = |b: &Budget| Bucket {
            held: b.burst as f64,
            earns: b.percent / 100.0,
            burst: b.burst as f64,
            parent: b
                .parent
                .as_ref()
                .and_then(|p| names.iter().position(|name| name == p)),
        };
        Buckets {
            buckets: budgets.iter().map(bucket).collect(),
            names,
        }
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|own| own == name)
    }

    /// A bucket and those above it; each once, also in a circle.
    fn line(&self, bucket: usize) -> Vec<usize> {
        let mut line = Vec::new();
        let mut next = Some(bucket);
        while let Some(at) = next.filter(|at| !line.contains(at) && *at < self.buckets.len()) {
            line.push(at);
            next = self.buckets[at].parent;
        }
        line
    }

    /// A first attempt is made: what it earns.
    pub fn earn(&mut self, bucket: usize) {
        for at in self.line(bucket) {
            let own = &mut self.buckets[at];
            own.held = (own.held + own.earns).min(own.burst);
        }
    }

    /// A repeat wants to be made: whether it may.
    pub fn take(&mut self, bucket: usize) -> bool {
        let line = self.line(bucket);
        // A little under one, as what was earned in parts may not add up to it exactly.
        if line.iter().any(|at| self.buckets[*at].held < 1.0 - 1e-9) {
            return false;
        }
        line.iter().for_each(|at| self.buckets[*at].held -= 1.0);
        true
    }

    pub fn held(&self, bucket: usize) -> f64 {
        self.buckets[bucket].held
    }
}

#[cfg(test)]
mod tests;
