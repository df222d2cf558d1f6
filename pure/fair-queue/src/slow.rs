//! Prediction of a request's slot time, and of whether it is slow: by its class, size and source, corrected by how
//! its tenant's requests compared with their predictions. Learns from each request that ends.
//!
//! A request is *slow* if it holds a slot for longer than the shortest latency objective among the classes: one such
//! request ahead of a quick one is enough to make the quick one late. The threshold does not depend on observed
//! times, as a tenant that floods the pool with slow requests would move it.

use crate::Time;

/// Size buckets, by powers of two from 1 KB; the last one has no upper bound.
const SIZE_BUCKETS: usize = 21;
/// Buckets of sources, which share one by their number modulo this.
const SOURCE_BUCKETS: usize = 256;
/// How much a prediction error moves each estimate, on a logarithmic scale, as the factors multiply. The tenant's
/// factor moves fastest: a tenant whose requests take long is recognised before the estimate of its class changes.
const LEARNING_RATES: LearningRates = LearningRates {
    tenant: 1.0 / 8.0,
    source: 1.0 / 32.0,
    class: 1.0 / 32.0,
};
/// Limit of the factor of a source or a tenant: eight times, as a natural logarithm.
const MAX_LOG_FACTOR: f64 = 2.08;

struct LearningRates {
    tenant: f64,
    source: f64,
    class: f64,
}

/// What is known of a request before it runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestShape {
    pub class: usize,
    /// 0 if the size is unknown.
    pub size_kb: f64,
    /// The source of a fill, else the cache.
    pub source: u64,
    pub tenant: u32,
}

/// A predicted slot time (us), and whether it counts as slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CostPrediction {
    pub cost: Time,
    pub slow: bool,
}

/// Estimates of slot time. Their size is bounded by the number of classes and of the queue's flows.
#[derive(Debug)]
pub struct CostModel {
    slow_threshold: Time,
    max_slot_time: Time,
    /// Logarithms: of the smoothed slot time (us) for each class and size, once one was observed; and of the factors
    /// of sources and tenants.
    classes: Vec<[Option<f64>; SIZE_BUCKETS]>,
    sources: Vec<f64>,
    tenants: Vec<f64>,
}

impl CostModel {
    pub fn new(classes: usize, slow_threshold: Time, max_slot_time: Time) -> CostModel {
        let classes = vec![[None; SIZE_BUCKETS]; classes.max(1)];
        CostModel {
            slow_threshold,
            max_slot_time,
            classes,
            sources: vec![0.0; SOURCE_BUCKETS],
            tenants: Vec::new(),
        }
    }

    fn size_bucket(size_kb: f64) -> usize {
        (size_kb.max(1.0).log2() as usize).min(SIZE_BUCKETS - 1)
    }

    fn class_index(&self, class: usize) -> usize {
        class.min(self.classes.len() - 1)
    }

    /// The estimate by class and size alone. For a size without an observation, the nearest size that has one, larger
    /// or smaller, scaled in proportion. For a class without any, the longest time that still counts as quick: a new
    /// class is not held back.
    fn base_estimate(&self, shape: &RequestShape) -> f64 {
        let sizes = &self.classes[self.class_index(shape.class)];
        let bucket = Self::size_bucket(shape.size_kb);
        let seen = (0..SIZE_BUCKETS).filter_map(|size| sizes[size].map(|time| (size, time)));
        match seen.min_by_key(|(size, _)| size.abs_diff(bucket)) {
            Some((nearest, time)) => {
                time + (bucket as f64 - nearest as f64) * std::f64::consts::LN_2
            }
            None => (self.slow_threshold.clamp(1, self.max_slot_time.max(1)) as f64).ln(),
        }
    }

    /// Sum of the logarithmic factors of the source and the tenant.
    fn log_factors(&self, shape: &RequestShape) -> f64 {
        let tenant = self
            .tenants
            .get(shape.tenant as usize)
            .copied()
            .unwrap_or_default();
        self.sources[shape.source as usize % SOURCE_BUCKETS] + tenant
    }

    pub fn predict(&self, shape: &RequestShape) -> CostPrediction {
        let time = (self.base_estimate(shape) + self.log_factors(shape)).exp();
        // The added fraction keeps rounding from turning a new class's estimate into less than the threshold.
        let cost = (time * (1.0 + 1e-9)).clamp(1.0, self.max_slot_time.max(1) as f64) as Time;
        CostPrediction {
            cost,
            slow: cost > self.slow_threshold,
        }
    }

    /// Learns from a request that held its slot for `took` (us).
    pub fn observe(&mut self, shape: &RequestShape, took: Time) {
        let took = (took.clamp(1, self.max_slot_time.max(1)) as f64).ln();
        let error = took - self.base_estimate(shape) - self.log_factors(shape);
        let class = self.class_index(shape.class);
        let estimate = &mut self.classes[class][Self::size_bucket(shape.size_kb)];
        // The first observation of a class and size says nothing about the tenant or the source.
        let Some(time) = estimate else {
            *estimate = Some(took);
            return;
        };
        *time += error * LEARNING_RATES.class;
        let source = &mut self.sources[shape.source as usize % SOURCE_BUCKETS];
        *source = (*source + error * LEARNING_RATES.source).clamp(-MAX_LOG_FACTOR, MAX_LOG_FACTOR);
        let tenant = shape.tenant as usize;
        if self.tenants.len() <= tenant {
            self.tenants.resize(tenant + 1, 0.0);
        }
        self.tenants[tenant] = (self.tenants[tenant] + error * LEARNING_RATES.tenant)
            .clamp(-MAX_LOG_FACTOR, MAX_LOG_FACTOR);
    }
}

#[cfg(test)]
mod tests;
