//! The cache hierarchy as versioned state, and what follows from it.
//!
//! Owns: which tree may be taken ([`tree`]), how a node goes from epoch to epoch ([`epochs`]), which hub shields
//! an object and where a fill goes next ([`route`]), which sources are unwell ([`health`]), how old
//! a copy may be ([`fence`]), who fetches and who waits ([`ledger`]), how much a hub that
//! started lately may be given ([`cold`]), a fill's way ([`way`]), all of one hub's decisions
//! together ([`node`]), and what a rewiring would move ([`plan`]).
//!
//! May not: read or write anything, read a clock (every moment is passed in), draw random numbers, know an
//! address or a wire, or choose what the decision module chooses. It depends on no other crate of foldmux.

pub mod cold;
pub mod epochs;
pub mod fence;
pub mod health;
pub mod ledger;
pub mod node;
pub mod plan;
pub mod route;
pub mod tree;
pub mod way;

/// Microseconds, on a clock that only goes forward; its start is arbitrary.
pub type Time = u64;

/// Spreads the bits of a number: the same at every node, in every version of the program.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
