//! A soak of the program: it runs under system calls that fail by a schedule drawn from a seed ([`plan`]), between stand-in
//! caches and clients that go on to the kill ([`client`], [`traffic`]). Everything is recorded by request id ([`record`]) and
//! checked against the operators' rules ([`check`]). One seed is one run ([`run`]).

pub mod check;
pub mod client;
pub mod config;
pub mod plan;
pub mod process;
pub mod record;
pub mod run;
pub mod traffic;
