//! Many routers in one process, each fed only its own events.

use crate::wire::{decode, Incoming, Reply};
use foldmux::interface::{Action, Time};
use foldmux::Router;
use foldmux_settings as settings;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Host {
    routers: BTreeMap<u32, Router>,
    actions: Vec<Action>,
}

impl Host {
    /// Plays one batch and gives the reply's frame, or one plain line on what is wrong.
    pub fn batch(&mut self, now: Time, body: &[u8], records: u32) -> Result<Vec<u8>, String> {
        let mut reply = Reply::default();
        for (instance, incoming) in decode(body, records).map_err(|e| e.to_string())? {
            match incoming {
                Incoming::Start { seed, settings } => {
                    self.routers.insert(instance, Router::new(settings::parse(&settings)?.settings, seed));
                }
                Incoming::Stop => {
                    self.routers.remove(&instance);
                }
                Incoming::Event(event) => {
                    let Some(router) = self.routers.get_mut(&instance) else { continue };
                    router.handle(now, event, &mut self.actions);
                    for action in self.actions.drain(..) {
                        reply.push(instance, &action);
                    }
                }
            }
        }
        Ok(reply.into_frame())
    }
}
