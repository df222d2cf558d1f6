//! Cuts of a fleet's lines, written down.

use crate::fleet::Fleet;
use crate::line::{Control, Line, Way};
use crate::record::Event;

impl Fleet {
    /// Cuts what `from` sends to its peer `to`, whoever dialled; with [`Way::Both`], what it hears as well.
    pub fn cut(&self, from: usize, to: usize, way: Way) {
        let (line, way_word) = (format!("n{from} to n{to}"), way.word().to_string());
        self.record().add(Event::Cut {
            line,
            way: way_word,
        });
        let turned = [Way::Back, Way::There, Way::Both][way as usize];
        if let (Some(there), Some(back)) = (self.line(from, to), self.line(to, from)) {
            there.cut(way);
            back.cut(turned);
        }
    }

    pub fn heal(&self, from: usize, to: usize) {
        self.record().add(Event::Healed {
            line: format!("n{from} to n{to}"),
        });
        [self.line(from, to), self.line(to, from)]
            .into_iter()
            .flatten()
            .for_each(|line| line.heal());
    }

    /// Cuts a process off from all caches and sources, or heals that.
    pub fn cut_archive(&self, process: usize, cut: Option<Way>) {
        let line = format!("n{process} to the archive");
        self.record().add(match cut {
            Some(way) => Event::Cut {
                line,
                way: way.word().to_string(),
            },
            None => Event::Healed { line },
        });
        self.caches
            .iter()
            .map(|line| line.of(process))
            .for_each(|own| match cut {
                Some(way) => own.cut(way),
                None => own.heal(),
            });
    }

    /// Between two peers, as the first dials; none where they are no fleet.
    pub fn line(&self, from: usize, to: usize) -> Option<Control<'_>> {
        self.peers.get(from)?.get(to).map(Line::all)
    }

    /// A process's line to the journal service.
    pub fn news(&self, process: usize) -> Control<'_> {
        self.news[process].all()
    }

    /// Cuts a process off from the journal service, or heals that.
    pub fn cut_news(&self, process: usize, cut: Option<Way>) {
        let line = format!("n{process} to the journal");
        let event = match cut {
            Some(way) => Event::Cut {
                line,
                way: way.word().to_string(),
            },
            None => Event::Healed { line },
        };
        self.record().add(event);
        match cut {
            Some(way) => self.news(process).cut(way),
            None => self.news(process).heal(),
        }
    }
}
