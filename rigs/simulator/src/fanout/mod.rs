//! A stream relayed by site at a size that no machine here can start: the pure part of each instance under virtual time, with
//! subscribers that come and go, instances that are killed and leave, and a source that counts what it is asked.

mod command;
mod links;
mod picture;
mod play;
mod queue;
mod subscribers;
mod world;

pub use command::command;
