//! The cache hierarchy as versioned state, and the decisions that are made from it.
//!
//! - [`tree`]: the fill tree and its validation; [`route`] adds the next hops of a fill;
//! - [`versions`]: the change of one node from one version of the tree to the next;
//! - [`in_flight`]: request collapsing: which request leads a fetch, and which ones follow it;
//! - [`health`]: outlier detection of sources;
//! - [`slow_start`]: limits on the work that is sent to a recently started hub;
//! - [`freshness_fence`]: lower bounds on the age of copies, from invalidations;
//! - [`fill_path`]: the nodes that a fill has passed (`CDN-Loop`);
//! - [`node`]: all decisions of one hub together;
//! - [`plan`]: the effects of a proposed change of the tree.
//!
//! The crate does no I/O, reads no clock (times are passed in) and draws no random numbers. It handles no addresses, and
//! no wire format except that of `CDN-Loop`. It depends on no other crate of foldmux.

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

/// A time in microseconds on a monotonic clock with an arbitrary origin.
pub type TimestampUs = u64;

/// Mixes the bits of a number (the finalizer of SplitMix64). All nodes must compute the same result, whatever their
/// software version: shields and digests of trees are derived from it.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
