//! A library for LD_PRELOAD that makes system calls of the process under test fail by a [`schedule`].
//!
//! `FOLDMUX_FAULTS` names the schedule's file; without it every call passes. `FOLDMUX_FAULT_TRACE` names a file to which
//! each injected fault is appended as one line.
//!
//! Unsafe code: the [`hooks`] take the place of functions of the C library, with its raw pointers, and pass them on as they
//! came. Nothing else here dereferences a pointer.

pub mod hooks;
mod roles;
pub mod schedule;
mod state;
