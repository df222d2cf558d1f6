//! What a request will cost, and whether it is slow: foretold by its class, size and source, and by what its tenant's took
//! beside what was foretold; seen when it ended.
//!
//! *Slow* is what holds a slot for longer than the shortest aim among the classes: one such in front of a quick request is
//! enough to make it late. It is not a part of what is seen: who floods with slow requests would move it.

use crate::Time;

/// Sizes by powers of two, from 1 KB; all above the last are as the last.
const SIZES: usize = 21;
/// Sources told apart; others share a place, by their number.
const SOURCES: usize = 256;
/// What an error moves: mostly the tenant's figure, so that one whose requests take long is taken for what it is before its
/// class is. In logarithms, as the factors multiply.
const FADE: Fade = Fade {
    tenant: 1.0 / 8.0,
    source: 1.0 / 32.0,
    class: 1.0 / 32.0,
};
/// How far a source or a tenant may move what is foretold: eight times.
const FAR: f64 = 2.08;

struct Fade {
    tenant: f64,
    source: f64,
    class: f64,
}

/// What is known of a request before it runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shape {
    pub class: usize,
    /// 0 where it is not told.
    pub size_kb: f64,
    /// Where it comes from: the source of a fill, else the cache.
    pub source: u64,
    pub tenant: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Foretold {
    pub cost: Time,
    pub slow: bool,
}

/// Bounded by the classes, and by the tenants that a queue has.
#[derive(Debug)]
pub struct Figures {
    slow_over: Time,
    longest: Time,
    /// The logarithm of the faded time, once one was seen; and factors beside it.
    classes: Vec<[Option<f64>; SIZES]>,
    sources: Vec<f64>,
    tenants: Vec<f64>,
}

impl Figures {
    pub fn new(classes: usize, slow_over: Time, longest: Time) -> Figures {
        let classes = vec![[None; SIZES]; classes.max(1)];
        Figures {
            slow_over,
            longest,
            classes,
            sources: vec![0.0; SOURCES],
            tenants: Vec::new(),
        }
    }

    fn size(size_kb: f64) -> usize {
        (size_kb.max(1.0).log2() as usize).min(SIZES - 1)
    }

    fn class(&self, class: usize) -> usize {
        class.min(self.classes.len() - 1)
    }

    /// By class and size alone. Of a size that was not seen, the next that was, larger or smaller, in proportion; of a class
    /// that was never seen, as long as is still quick: it is not held back for being new.
    fn base(&self, shape: &Shape) -> f64 {
        let sizes = &self.classes[self.class(shape.class)];
        let own = Self::size(shape.size_kb);
        let seen = (0..SIZES).filter_map(|at| sizes[at].map(|time| (at, time)));
        match seen.min_by_key(|(at, _)| at.abs_diff(own)) {
            Some((near, time)) => time + (own as f64 - near as f64) * std::f64::consts::LN_2,
            None => (self.slow_over.clamp(1, self.longest.max(1)) as f64).ln(),
        }
    }

    fn factors(&self, shape: &Shape) -> f64 {
        let tenant = self
            .tenants
            .get(shape.tenant as usize)
            .copied()
            .unwrap_or_default();
        self.sources[shape.source as usize % SOURCES] + tenant
    }

    pub fn foretell(&self, shape: &Shape) -> Foretold {
        let time = (self.base(shape) + self.factors(shape)).exp();
        // A new class may take just as long as is still quick.
        let cost = (time * (1.0 + 1e-9)).clamp(1.0, self.longest.max(1) as f64) as Time;
        Foretold {
            cost,
            slow: cost > self.slow_over,
        }
    }

    /// How long it took.
    pub fn see(&mut self, shape: &Shape, took: Time) {
        let took = (took.clamp(1, self.longest.max(1)) as f64).ln();
        let error = took - self.base(shape) - self.factors(shape);
        let own = self.class(shape.class);
        let own = &mut self.classes[own][Self::size(shape.size_kb)];
        // What was never seen says nothing of tenant and source.
        let Some(time) = own else {
            *own = Some(took);
            return;
        };
        *time += error * FADE.class;
        let source = &mut self.sources[shape.source as usize % SOURCES];
        *source = (*source + error * FADE.source).clamp(-FAR, FAR);
        let tenant = shape.tenant as usize;
        if self.tenants.len() <= tenant {
            self.tenants.resize(tenant + 1, 0.0);
        }
        self.tenants[tenant] = (self.tenants[tenant] + error * FADE.tenant).clamp(-FAR, FAR);
    }
}

#[cfg(test)]
mod tests;
