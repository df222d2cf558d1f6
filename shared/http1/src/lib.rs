//! The little HTTP/1.1 that foldmux speaks on plain sockets, parsed by httparse.
//!
//! Owns: reading one answer ([`answer`], and [`body`] where it is long) and one request ([`request`]) within bounds on
//! bytes and time, and writing within a time; what bounds both ([`bounds`]); when a connection may be used again ([`reuse`]). Answers count only when their length proves them whole.
//!
//! May not: hold connections, know classes, caches or trees, or decide what an answer means.

pub mod answer;
pub mod body;
pub mod bounds;
pub mod io;
pub mod request;
pub mod reuse;

pub use answer::{read_response, read_response_reserving, Response};
pub use body::BodyReader;
pub use bounds::Broken;
