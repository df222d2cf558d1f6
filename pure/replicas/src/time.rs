//! Units of time.

/// A point in time: microseconds on the monotonic clock of one process. Times of two processes are never
/// compared.
pub type Time = u64;

/// A span of time, in microseconds.
pub type Micros = u64;
