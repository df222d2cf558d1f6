//! Who a tenant is, and what it weighs. Those named by the settings or the operator's file have a flow of their own; all
//! others fold into a fixed number of buckets, which together weigh what one number says: memory is bounded for any number
//! of names, and whoever invents names takes from the unnamed alone.

use std::collections::HashMap;
use std::sync::Arc;

/// Weights in thousandths; 0 is served where nothing else waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Weight(pub u64);

/// The largest weight that is told apart, in thousandths: keeps sums and products within their types.
const HEAVIEST: f64 = 1e9;

impl Weight {
    pub const ONE: Weight = Weight(1_000);

    /// What is no number, or below 0, weighs nothing; the least above 0 is a thousandth.
    pub fn of(weight: f64) -> Weight {
        match weight > 0.0 {
            true => Weight((weight * 1_000.0).clamp(1.0, HEAVIEST) as u64),
            false => Weight(0),
        }
    }
}

/// What a pool's tenants go by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum By {
    #[default]
    Tenant,
    Class,
    Caller,
}

impl By {
    /// A request's tenant; where the wire tells none, the caller that it proved to be, else its class.
    pub fn name<'a>(self, tenant: Option<&'a str>, caller: &'a str, class: &'a str) -> &'a str {
        let caller = Some(caller).filter(|caller| !caller.is_empty());
        match self {
            By::Tenant => tenant.or(caller).unwrap_or(class),
            By::Caller => caller.unwrap_or(class),
            By::Class => class,
        }
    }
}

/// A name as digests carry it: the same in every process.
pub fn key(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    hash.as_bytes()
        .iter()
        .take(8)
        .fold(0, |key, byte| key << 8 | *byte as u64)
}

/// The flow of a name: those of the buckets come first, and stay.
#[derive(Debug)]
pub struct Tenants {
    buckets: u32,
    named: HashMap<Arc<str>, u32>,
    keys: HashMap<u64, u32>,
    pub unnamed: Weight,
}

impl Tenants {
    /// `buckets`: at least one.
    pub fn new(buckets: u32, unnamed: Weight) -> Tenants {
        Tenants {
            buckets: buckets.max(1),
            named: HashMap::new(),
            keys: HashMap::new(),
            unnamed,
        }
    }

    pub fn buckets(&self) -> u32 {
        self.buckets
    }

    pub fn find(&self, name: &str) -> u32 {
        self.named
            .get(name)
            .copied()
            .unwrap_or_else(|| self.bucket(key(name)))
    }

    /// By which virtual time the unnamed go together: one of no weight is served where nothing else waits.
    pub fn group_class(&self) -> usize {
        (self.unnamed.0 == 0) as usize
    }

    fn bucket(&self, key: u64) -> u32 {
        (key % self.buckets as u64) as u32
    }

    /// As [`Tenants::find`], of a digest's key: that of a name, or of a bucket ([`Tenants::key_of`]).
    pub fn find_key(&self, key: u64) -> u32 {
        self.keys
            .get(&key)
            .copied()
            .unwrap_or_else(|| self.bucket(key))
    }

    pub fn named(&self) -> impl Iterator<Item = (&Arc<str>, u32)> {
        self.named.iter().map(|(name, flow)| (name, *flow))
    }

    pub fn add(&mut self, name: Arc<str>, flow: u32) {
        self.keys.insert(key(&name), flow);
        self.named.insert(name, flow);
    }

    pub fn remove(&mut self, name: &str) -> Option<u32> {
        self.keys.remove(&key(name));
        self.named.remove(name)
    }
}

#[cfg(test)]
mod tests;
