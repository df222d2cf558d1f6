//! The cache hierarchy as versioned state, and what follows from it.
//!
//! - [`tree`]: the fill tree, its validation, and where a fill goes next ([`route`]);
//! - [`versions`]: how one node goes from one version of the tree to the next;
//! - [`in_flight`]: request collapsing, who leads a fetch and who follows it;
//! - [`health`]: outlier detection of sources;
//! - [`slow_start`]: how much work a hub that started lately may be given;
//! - [`freshness_fence`]: how old a copy may be after invalidations;
//! - [`fill_path`]: the nodes that a fill has passed (`CDN-Loop`);
//! - [`node`]: all decisions of one hub together;
//! - [`plan`]: what a change of the tree would move.
//!
//! The crate does no I/O, reads no clock (times are passed in) and draws no random numbers; it knows no addresses and no
//! wire formats but that of `CDN-Loop`. It depends on no other crate of foldmux.

#![warn(missing_docs)]

pub mod fill_path;
pub mod freshness_fence;
pub mod health;
pub mod in_flight;
pub mod node;
pub mod plan;
pub mod route;
pub mod slow_start;
pub mod tree;
pub mod versions;

/// A time in microseconds of a clock that never goes back; its start is arbitrary.
pub type TimestampUs = u64;

/// Mixes the bits of a number (the finalizer of SplitMix64). Nodes of all versions must agree on it.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
