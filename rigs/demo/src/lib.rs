//! What the demos share, and the scenarios of the external processor, which tests and measurements play too.

pub mod day;
pub mod extproc;
