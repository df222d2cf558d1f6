//! Identity and weight of tenants. Tenants named by the settings or the operator's file have a flow of their own. All
//! others are hashed into a fixed number of buckets that share one weight: memory is bounded for any number of names,
//! and a client that invents names takes slots from unnamed tenants alone.

use std::collections::HashMap;
use std::sync::Arc;

/// A weight in thousandths. A tenant of weight 0 is served where no other waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Weight(pub u64);

/// The largest weight, in thousandths: keeps sums and products within their types.
const MAX_WEIGHT: f64 = 1e9;

impl Weight {
    pub const ONE: Weight = Weight(1_000);

    /// Converts a weight, rounded down to thousandths. NaN and anything not above 0 give 0; the least weight above 0
    /// is a thousandth.
    pub fn from_f64(weight: f64) -> Weight {
        match weight > 0.0 {
            true => Weight((weight * 1_000.0).clamp(1.0, MAX_WEIGHT) as u64),
            false => Weight(0),
        }
    }
}

/// What identifies a pool's tenants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TenantBy {
    #[default]
    Tenant,
    Class,
    Caller,
}

impl TenantBy {
    /// The tenant of a request. Without a tenant on the wire, it is the authenticated caller, or without one the
    /// class.
    pub fn tenant_of<'a>(
        self,
        tenant: Option<&'a str>,
        caller: &'a str,
        class: &'a str,
    ) -> &'a str {
        let caller = Some(caller).filter(|caller| !caller.is_empty());
        match self {
            TenantBy::Tenant => tenant.or(caller).unwrap_or(class),
            TenantBy::Caller => caller.unwrap_or(class),
            TenantBy::Class => class,
        }
    }
}

/// Hash of a tenant's or pool's name as messages carry it; the same in every process.
pub fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    hash.as_bytes()
        .iter()
        .take(8)
        .fold(0, |key, byte| key << 8 | *byte as u64)
}

/// Maps names to the indices of flows. The buckets have the lowest indices, for good.
#[derive(Debug)]
pub struct Tenants {
    buckets: u32,
    named: HashMap<Arc<str>, u32>,
    by_hash: HashMap<u64, u32>,
    pub unnamed_weight: Weight,
}

impl Tenants {
    /// `buckets` is at least 1; 0 counts as 1.
    pub fn new(buckets: u32, unnamed_weight: Weight) -> Tenants {
        Tenants {
            buckets: buckets.max(1),
            named: HashMap::new(),
            by_hash: HashMap::new(),
            unnamed_weight,
        }
    }

    pub fn buckets(&self) -> u32 {
        self.buckets
    }

    /// The flow of a tenant: its own if it is named, else a bucket.
    pub fn flow_of(&self, name: &str) -> u32 {
        self.named
            .get(name)
            .copied()
            .unwrap_or_else(|| self.bucket_of(name_hash(name)))
    }

    /// Index of the virtual time that orders the group of unnamed tenants: 1 if their weight is 0, else 0.
    pub fn group_clock(&self) -> usize {
        (self.unnamed_weight.0 == 0) as usize
    }

    fn bucket_of(&self, key: u64) -> u32 {
        (key % self.buckets as u64) as u32
    }

    /// As [`Tenants::flow_of`], by the key in a digest: the hash of a name, or the number of a bucket.
    pub fn flow_of_hash(&self, key: u64) -> u32 {
        self.by_hash
            .get(&key)
            .copied()
            .unwrap_or_else(|| self.bucket_of(key))
    }

    pub fn named(&self) -> impl Iterator<Item = (&Arc<str>, u32)> {
        self.named.iter().map(|(name, flow)| (name, *flow))
    }

    pub fn add(&mut self, name: Arc<str>, flow: u32) {
        self.by_hash.insert(name_hash(&name), flow);
        self.named.insert(name, flow);
    }

    pub fn remove(&mut self, name: &str) -> Option<u32> {
        self.by_hash.remove(&name_hash(name));
        self.named.remove(name)
    }
}

#[cfg(test)]
mod tests;
