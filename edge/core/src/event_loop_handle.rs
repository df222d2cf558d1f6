//! [`EventLoopHandle`], by which all other threads reach the event loop.

use crate::messages::Command;
use crate::purges::RecentPurges;
use crossbeam_channel::Sender;
use std::sync::Arc;

/// Sends commands to the event loop.
#[derive(Clone)]
pub struct EventLoopHandle {
    commands: Sender<Command>,
    purges: Arc<RecentPurges>,
}

impl EventLoopHandle {
    pub(crate) fn new(commands: Sender<Command>, purges: Arc<RecentPurges>) -> EventLoopHandle {
        EventLoopHandle { commands, purges }
    }

    /// Sends a command; blocks while the channel is full. The loop ends only with the process, so a command to a loop that
    /// has ended is dropped.
    pub fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }

    /// The purges that the loop was told of.
    pub fn purges(&self) -> &Arc<RecentPurges> {
        &self.purges
    }
}
