//! Whose each descriptor is, by the call that made it.

use crate::schedule::Role;
use std::sync::atomic::{AtomicU8, Ordering};

/// Descriptors that are told apart; those above count as `Role::Other`.
const MOST: usize = 1 << 16;

static ROLES: [AtomicU8; MOST] = [const { AtomicU8::new(Role::Other as u8) }; MOST];

/// Keeps the role of a descriptor that a call gave out.
pub(crate) fn set(descriptor: i32, role: Role) {
    let place = usize::try_from(descriptor)
        .ok()
        .and_then(|place| ROLES.get(place));
    if let Some(place) = place {
        place.store(role as u8, Ordering::Relaxed);
    }
}

/// The role of a descriptor.
pub(crate) fn of(descriptor: i32) -> Role {
    let place = usize::try_from(descriptor)
        .ok()
        .and_then(|place| ROLES.get(place));
    let role = place.map_or(Role::Other as u8, |place| place.load(Ordering::Relaxed));
    match role {
        role if role == Role::Client as u8 => Role::Client,
        role if role == Role::Server as u8 => Role::Server,
        _ => Role::Other,
    }
}
