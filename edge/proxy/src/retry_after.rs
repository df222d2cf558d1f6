//! How long a client that is turned away for lack of room is told to stay away.

use foldmux::interface::{Settings, Time};

/// The longest (us): what is full frees its places at request speed.
pub const MAX_RETRY_AFTER: Time = 300_000;
/// It takes so small a part of the shortest deadline, which leaves a client the time to come again.
const PART: Time = 10;

/// Advised with a refusal of the core's own (us), as far as the settings let clients be told a wait.
pub fn refusal_wait(settings: &Settings) -> Time {
    let shortest = settings
        .classes
        .iter()
        .map(|class| class.deadline)
        .min()
        .unwrap_or(0);
    let wait = MAX_RETRY_AFTER.min(shortest / PART);
    settings.retry_after.map_or(0, |most| wait.min(most))
}
