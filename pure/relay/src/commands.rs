//! The commands of the process: readers that subscribe and cancel, results of the source, and shutdown.

use crate::readers::Reader;
use crate::relay::{Level, Relay};
use crate::types::{Command, Notification, SubscribeError};
use foldmux_replicas::Time;

impl Relay {
    /// Applies a command. Returns the index of the stream to propagate, if any.
    pub(crate) fn apply_command(&mut self, now: Time, command: Command) -> Option<usize> {
        match command {
            Command::Subscribe {
                reader,
                stream,
                after,
                position,
            } => {
                let refuse = |reason| Notification::Refused { reader, reason };
                let Some(s) = self
                    .stream_index(&stream)
                    .filter(|s| !self.streams[*s].levels.is_empty())
                else {
                    self.ctx.emit(refuse(SubscribeError::UnknownStream));
                    return None;
                };
                if self.reader_streams.contains_key(&reader) {
                    self.ctx.emit(refuse(SubscribeError::DuplicateReader));
                    return None;
                }
                if self.reader_streams.len() >= self.ctx.config.max_readers {
                    self.ctx.emit(refuse(SubscribeError::TooManyReaders));
                    return None;
                }
                self.reader_streams.insert(reader, s);
                let max_unacknowledged = self.streams[s].config.max_unacknowledged;
                self.streams[s].readers.insert(
                    reader,
                    Reader::new(now, after, position, max_unacknowledged),
                );
                self.ctx.emit(Notification::Opened { reader });
                self.propagate(now, s);
                self.send_to_reader(now, s, reader);
                None
            }
            Command::Acknowledge { reader, number } => {
                let s = *self.reader_streams.get(&reader)?;
                let subscriber = self.streams[s].readers.get_mut(&reader)?;
                subscriber.acknowledge(number);
                self.send_to_reader(now, s, reader);
                None
            }
            Command::Cancel { reader } => {
                let s = self.reader_streams.remove(&reader)?;
                self.streams[s].readers.remove(&reader);
                self.streams[s].readers.is_empty().then_some(s)
            }
            Command::SourceItems {
                stream,
                epoch,
                items,
            } => {
                let s = self.stream_index(&stream)?;
                self.streams[s].source.on_items(now, epoch, items);
                self.streams[s]
                    .levels
                    .first_mut()?
                    .relay
                    .on_source_recovered();
                Some(s)
            }
            Command::SourceFailed { stream } => {
                let s = self.stream_index(&stream)?;
                self.streams[s].source.on_failure();
                let min_tenure = self.ctx.config.min_tenure;
                let Level {
                    follower, relay, ..
                } = self.streams[s].levels.first_mut()?;
                relay.source_failed |= relay.is_open();
                relay.step_down(now, min_tenure, &follower.candidates, &mut self.ctx);
                Some(s)
            }
            Command::Drain => {
                self.ctx.draining = true;
                for level in self
                    .streams
                    .iter_mut()
                    .flat_map(|stream| &mut stream.levels)
                {
                    level
                        .relay
                        .step_down(now, 0, &level.follower.candidates, &mut self.ctx);
                }
                None
            }
        }
    }
}
