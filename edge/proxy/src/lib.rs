//! The edge proxy: combines the event loop, the fronts and the upstream client to one process.
//!
//! | concern | module |
//! | --- | --- |
//! | start, serving and shutdown | [`server`], [`signals`], [`drain`], [`log`] |
//! | configuration and reloads | [`config`], [`reload`], [`startup_settings`], [`check_config`], [`operator_file`], [`plan`] |
//! | the journal service's endpoint list and purges | [`journal`], [`backoff`], [`journal_relay`] |
//! | the admin interface and maintenance | [`admin`] |
//! | the fill hierarchy in service | [`hierarchy`] |
//! | load reports and health checks | [`load_reports`] |
//! | limits by class and route | [`limits`] |
//! | the fleet, and the services that its peers share | [`fleet`], [`cover`], [`pool_permits`] |
//!
//! This crate neither routes requests nor reads them.
#![warn(missing_docs)]

pub mod admin;
pub mod check_config;
pub mod config;
pub mod cover;
pub mod drain;
pub mod fleet;
pub mod hierarchy;
pub mod journal;
pub mod journal_relay;
pub mod limits;
pub mod load_reports;
pub mod log;
pub mod memory_share;
pub mod operator_file;
pub mod plan;
pub mod pool_permits;
pub mod reload;
pub mod server;
mod shared_directory;
pub mod signals;
pub mod startup_settings;

pub use foldmux_event_stream::backoff;
