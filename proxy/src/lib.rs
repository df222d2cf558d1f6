//! foldmux on real sockets: a core that knows no wire, fronts that turn bytes into asks and answers into
//! bytes, and the clients of pop caches and of the journal service.

pub mod clock;
pub mod config;
pub mod core;
pub mod fronts;
pub mod journal;
pub mod log;
pub mod places;
pub mod server;
pub mod tally;
pub mod upstream;
pub mod wiring;
