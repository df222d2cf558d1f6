//! The bounds on what is read, and how reading ends before its time.

pub(crate) const MOST_HEADERS: usize = 32;
/// Longest head: guards against one that never ends filling the buffer.
pub const MOST_HEAD: usize = 16 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Nothing more came in time.
    TimedOut,
    /// The connection ended or broke before the answer was whole.
    Reset,
    /// What came is no answer that can be used.
    Unreadable,
    /// There was no memory for the answer in time.
    NoMemory,
}
