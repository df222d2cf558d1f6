//! foldmux on real sockets: a core that knows no wire, fronts that turn bytes into asks and answers into
//! bytes, and the HTTP/1.1 that is spoken to pop caches and to the journal service.

pub mod clock;
pub mod config;
pub mod core;
pub mod fronts;
pub mod http;
pub mod journal;
pub mod places;
pub mod server;
pub mod tally;
pub mod upstream;
