//! The core: it knows no wire. One desk owns the module; each request is one function on a thread of its own.

pub mod buffers;
pub mod desk;
pub mod members;
pub mod request;

pub use desk::{Desk, DeskHandle};
pub use request::{Answer, Core, Inquiry, Reply, Served};
