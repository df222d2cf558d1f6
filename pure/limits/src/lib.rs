//! Limits by class and route: timeouts, attempts, backoff, retry budgets, concurrency, queues and staleness.
//!
//! Each limit is a policy in a module of its own, apart from the mechanism that enforces it:
//!
//! - the values that an operator may set, [`overrides`], and the resulting values of a request, [`effective`];
//! - how defaults, classes and routes are combined, [`resolve`] and [`route_match`], and how a request finds its
//!   limits, [`lookup`];
//! - the policies: [`timeout`], [`backoff`], [`retry_budget`], [`concurrency`] (with [`gradient`]) and [`queue`];
//! - the state that enforces all of them, [`admission`];
//! - the rules of the account, [`account`], and every check against them, [`validation`], with a bounded search where
//!   arithmetic does not settle a rule, [`duplicate_search`];
//! - the printed and exported forms, [`export`].
//!
//! The crate does no I/O, reads no clock and draws no random numbers; times and random numbers are passed in. It neither
//! selects a server nor starts an attempt: the router decides on both, within these limits.
//!
//! # Examples
//!
//! ```
//! use foldmux_limits::{Account, LimitSet, LimitsFile};
//!
//! let limits = LimitSet::new(&Account::default(), &LimitsFile::default());
//! let resolved = limits.find(0, "zone-a", "", "msgpack").expect("class 0 has limits");
//! assert_eq!(resolved.values.max_attempts, 8);
//! ```

#![warn(missing_docs)]

pub mod account;
pub mod admission;
pub mod backoff;
pub mod concurrency;
pub mod duplicate_search;
pub mod effective;
pub mod export;
pub mod gradient;
pub mod lookup;
pub mod overrides;
pub mod queue;
pub mod resolve;
pub mod retry_budget;
pub mod route_match;
pub mod timeout;
pub mod validation;

/// A time on a monotonic clock, in microseconds.
pub type TimestampUs = u64;

pub use account::Account;
pub use effective::EffectiveLimits;
pub use overrides::LimitOverrides;
pub use resolve::{LimitSet, LimitsFile};
