//! The core of the proxy, between its fronts and its upstream client. It is independent of wire protocols.
//!
//! A front reads a request from its client and hands the core a [`ClientRequest`] with a [`Responder`]. The request is served
//! on a thread of its own, which gets the router's decisions from the event loop, has the [`UpstreamClient`] make the
//! attempts, and responds exactly once. A front whose caller makes the attempts itself uses a
//! [`DelegatedRequest`](delegated::DelegatedRequest) instead.
//!
//! ```text
//! front -- Core::start --> worker thread -- Command::Request --> event loop (Router)
//!                                        <-- Directive -------
//!                          lifecycle::run -- Attempt --> UpstreamClient
//!                                        -- Command::Outcome -->
//! front <-- Responder::respond ---
//! ```
//!
//! # Modules
//!
//! A module depends only on modules of the rows above its own and on those to its left in its own row; there are no cycles.
//!
//! | layer | modules |
//! | --- | --- |
//! | basics | [`clock`], [`buffers`], [`cancellation`], [`servers`], [`reason`], [`retry_after`], [`log_throttle`], `attempt_history`, `open_requests` |
//! | a request and its messages | [`request`], [`messages`], [`metrics`] |
//! | stages of a request | [`event_loop`], [`limits`], [`permits`], [`records`], [`attempt`], `admission`, `rejection`, `in_flight`, `request_end`, `workers` |
//! | the life of a request | `services`, `lifecycle`, `replicated` |
//! | public interface | [`core`], [`delegated`] |
//!
//! Two rules are each implemented in one place: `rejection` decides whether a request that the core gives up is rejected or
//! failed, and [`retry_after`] computes the Retry-After of the core's own rejections.
//!
//! # Scope
//!
//! The core opens, reads and writes no sockets. In this workspace it depends only on the router and on the state machines of
//! limits and load reports.
#![warn(missing_docs)]

mod admission;
pub mod attempt;
mod attempt_history;
pub mod buffers;
pub mod cancellation;
pub mod clock;
pub mod core;
pub mod delegated;
pub mod event_loop;
pub mod event_loop_handle;
mod in_flight;
mod lifecycle;
pub mod limits;
pub mod log_throttle;
pub mod messages;
pub mod metrics;
mod open_requests;
pub mod permits;
pub mod purges;
pub mod reason;
pub mod records;
mod rejection;
mod replicated;
pub mod request;
mod request_end;
pub mod retry_after;
pub mod servers;
mod services;
mod workers;

pub use crate::core::{Core, CoreSetup};
pub use attempt::{Attempt, Payload, UpstreamClient};
pub use cancellation::CancelHandle;
pub use event_loop::EventLoop;
pub use event_loop_handle::EventLoopHandle;
pub use request::{ClientRequest, Responder, Response, ResponseBody};
