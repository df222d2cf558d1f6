//! The fronts: each turns bytes into asks and answers into bytes, and all use the same core.
//!
//! Owns: the platform's MessagePack-RPC ([`msgpack`]), DNS request routing ([`dns`]), the connections of a listener
//! ([`connection_table`]), how they are closed ([`closing`]) and the threads that take them ([`listen`]).
//!
//! May not: decide for a request, keep one after its answer, or know another front. A front depends on the core, its
//! wire's library, and for its set-up on the operator's values.

pub mod closing;
pub mod connection_table;
pub mod dns;
pub mod listen;
pub mod msgpack;
