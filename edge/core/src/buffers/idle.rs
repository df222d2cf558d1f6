//! Buffers that are kept for reuse, so that a steady load maps no memory for each response.

use memmap2::{Advice, MmapMut};
use std::io;
use std::time::{Duration, Instant};

/// A buffer that nothing has needed for this long goes back to the system.
const UNUSED_TIME: Duration = Duration::from_secs(1);
/// Memory is taken in pages of this many bytes.
const PAGE_SIZE: usize = 4 * 1024;
/// A buffer fits that may take up this part more than is needed.
const FIT_DIVISOR: usize = 4;

/// A mapping, and how much memory it may take up.
pub(super) struct Mapping {
    pub(super) bytes: MmapMut,
    /// Bytes from its start that may have been written.
    pub(super) touched: usize,
}

impl Mapping {
    /// A new one, whose first `touched` bytes are about to be written.
    pub(super) fn new(size: usize, touched: usize) -> io::Result<Mapping> {
        let bytes = MmapMut::map_anon(size)?;
        // A huge page would take up far more than `touched`. Kernels without huge pages refuse the advice, and need none.
        let _ = bytes.advise(Advice::NoHugePage);
        Ok(Mapping { bytes, touched })
    }
}

/// The bytes of memory that `bytes` take up.
pub(super) fn whole_pages(bytes: usize) -> usize {
    bytes.next_multiple_of(PAGE_SIZE)
}

struct IdleMapping {
    mapping: Mapping,
    since: Instant,
}

/// The mappings that are not in use, in the order in which they were returned.
#[derive(Default)]
pub(super) struct IdleMappings {
    mappings: Vec<IdleMapping>,
    bytes: usize,
}

impl IdleMappings {
    /// Bytes that all of them may take up.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes the smallest one that has touched `bytes` already, if it has not touched many more.
    pub(super) fn take_fitting(&mut self, bytes: usize) -> Option<Mapping> {
        let fits = bytes..=bytes + bytes / FIT_DIVISOR;
        let sizes = self.mappings.iter().map(|idle| idle.mapping.touched);
        let (place, touched) = sizes
            .enumerate()
            .filter(|(_, touched)| fits.contains(touched))
            .min_by_key(|(_, touched)| *touched)?;
        self.bytes -= touched;
        Some(self.mappings.remove(place).mapping)
    }

    pub(super) fn put(&mut self, mapping: Mapping, now: Instant) {
        self.bytes += mapping.touched;
        self.mappings.push(IdleMapping {
            mapping,
            since: now,
        });
    }

    /// Gives memory back until `fits` holds for the bytes that are left; false if it never does.
    pub(super) fn evict_until(&mut self, fits: impl Fn(usize) -> bool) -> bool {
        let mut evicted = 0;
        let mut left = self.bytes;
        while !fits(left) && evicted < self.mappings.len() {
            left -= self.mappings[evicted].mapping.touched;
            evicted += 1;
        }
        self.mappings.drain(..evicted);
        self.bytes = left;
        fits(left)
    }

    /// Gives the memory of those back that were not needed for [`UNUSED_TIME`].
    pub(super) fn release_unused(&mut self, now: Instant) {
        let is_unused = |idle: &IdleMapping| idle.since + UNUSED_TIME <= now;
        let unused = self.mappings.partition_point(is_unused);
        let released = self.mappings.drain(..unused);
        self.bytes -= released.map(|idle| idle.mapping.touched).sum::<usize>();
    }
}
