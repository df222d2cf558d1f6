//! What a process asks of the part: readers that come and go, what the source told it, its own end.

use crate::part::{Level, Relay};
use crate::readers::Reader;
use crate::types::{Ask, Refused, Told};
use foldmux_replicas::Time;

impl Relay {
    /// The flow that has something to settle.
    pub(crate) fn asked(&mut self, now: Time, ask: Ask) -> Option<usize> {
        match ask {
            Ask::Subscribe {
                ticket,
                stream,
                after,
                place,
            } => {
                let refuse = |why| Told::Refused { ticket, why };
                let Some(f) = self
                    .flow(&stream)
                    .filter(|f| !self.flows[*f].levels.is_empty())
                else {
                    self.shared.tell(refuse(Refused::NoSuchStream));
                    return None;
                };
                if self.by_reader.contains_key(&ticket) {
                    self.shared.tell(refuse(Refused::Taken));
                    return None;
                }
                if self.by_reader.len() >= self.shared.setup.readers {
                    self.shared.tell(refuse(Refused::Full));
                    return None;
                }
                self.by_reader.insert(ticket, f);
                let ahead = self.flows[f].stream.ahead;
                self.flows[f]
                    .readers
                    .add(ticket, Reader::new(now, after, place, ahead));
                self.shared.tell(Told::Opened { ticket });
                self.settle(now, f);
                self.pump_reader(now, f, ticket);
                None
            }
            Ask::Taken { reader, number } => {
                let f = *self.by_reader.get(&reader)?;
                let held = self.flows[f].readers.get_mut(&reader)?;
                held.take(number);
                self.pump_reader(now, f, reader);
                None
            }
            Ask::Cancel { reader } => {
                let f = self.by_reader.remove(&reader)?;
                self.flows[f].readers.remove(&reader);
                self.flows[f].readers.is_empty().then_some(f)
            }
            Ask::Fed {
                stream,
                epoch,
                items,
            } => {
                let f = self.flow(&stream)?;
                self.flows[f].source.fed(now, epoch, items);
                self.flows[f].levels.first_mut()?.role.healed();
                Some(f)
            }
            Ask::Unfed { stream } => {
                let f = self.flow(&stream)?;
                self.flows[f].source.failed();
                let wait = self.shared.setup.hold;
                let Level { follower, role, .. } = self.flows[f].levels.first_mut()?;
                role.unfed |= role.open();
                role.step_aside(now, wait, &follower.candidates, &mut self.shared);
                Some(f)
            }
            Ask::Leave => {
                self.shared.leaving = true;
                for level in self.flows.iter_mut().flat_map(|flow| &mut flow.levels) {
                    level
                        .role
                        .step_aside(now, 0, &level.follower.candidates, &mut self.shared);
                }
                None
            }
        }
    }
}
