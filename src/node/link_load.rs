//! Whether a node's own link is full, as seen in its calls to workers and other nodes.
//!
//! All calls of a node share its link.  If the link is full, most calls are answered late or not at
//! all, whichever worker or node they go to.  Workers or nodes that are cut off or slow do not show
//! that: the answers of the others come in time.  Few bytes do not show the contrary either, since
//! other processes may use the link as well, so only the times of answers count.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::cell::WorkerKey;
use crate::clock::Millis;

/// How much longer than the shortest call to the same worker or node a call may take, in
/// milliseconds, before it counts as late.  Calls take a few milliseconds, and a transaction of the
/// store, by which the cell is released, must still be answered in time.
pub const LATE_AFTER: Millis = 50;
/// The most that counts as the usual time of a call, in milliseconds, in case all calls to a worker
/// were late.
pub const MAX_USUAL: Millis = 100;
/// How many of this node's own turns a call may have to wait for.
const TURNS: Millis = 2;
/// How long evidence is gathered before it is judged, in milliseconds.  Most workers are polled
/// once in this time.
pub const WINDOW: Millis = 500;
/// The link is full once this many windows in a row show it, so that a burst of calls, as after a
/// claim, does not count.
pub const FULL_WINDOWS: u32 = 3;
/// The link is no longer full once this many windows in a row show that.
pub const CLEAR_WINDOWS: u32 = 4;
/// A window with calls to fewer workers than this shows nothing.
pub const MIN_WORKERS: usize = 8;
/// A worker that was not called in so many windows is forgotten: a life of it may be over.
pub const MAX_IDLE_WINDOWS: u32 = 20;
/// How long a node that lost the cell while its link was full remembers that, in milliseconds.
pub const MEMORY: Millis = 60_000;

/// Whom a call goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Peer {
    /// A worker.
    Worker(WorkerKey),
    /// Another node, by the address at which it answers.
    Node(SocketAddr),
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The answer came.
    Answered,
    /// No answer came in time, or no connection.
    Unanswered,
    /// The call was not made, so it shows nothing.
    NotMade,
}

/// A call that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// How long it took, in milliseconds.
    pub took: Millis,
    /// For how long the answer may have been held back on purpose, in milliseconds.
    pub wait: Millis,
    /// How it ended.
    pub ending: Ending,
}

/// What a call shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    InTime,
    Late,
    Unanswered,
}

impl Call {
    /// Returns what the call shows, if anything: an answer that may have been held back for just as
    /// long as it took shows nothing.
    fn evidence(self, usual: Millis) -> Option<Evidence> {
        let limit = usual + LATE_AFTER;
        match self.ending {
            Ending::NotMade => None,
            Ending::Unanswered => Some(Evidence::Unanswered),
            Ending::Answered if self.took <= limit => Some(Evidence::InTime),
            Ending::Answered if self.took > self.wait + limit => Some(Evidence::Late),
            Ending::Answered => (self.took >= self.wait).then_some(Evidence::InTime),
        }
    }
}

/// What the calls of a window to one worker or node show.
#[derive(Debug, Clone, Copy, Default)]
struct Record {
    /// The shortest answered call so far, in milliseconds, beyond its wait.
    shortest: Option<Millis>,
    in_time: u32,
    late: u32,
    unanswered: u32,
    /// How many windows have passed since the last call.
    idle: u32,
}

impl Record {
    /// Notes a call of a node whose turns come `delay` milliseconds late.
    fn note(&mut self, call: Call, delay: Millis) {
        if call.ending == Ending::Answered && call.took >= call.wait {
            let time = call.took - call.wait;
            self.shortest = Some(self.shortest.map_or(time, |shortest| shortest.min(time)));
        }
        let shortest = self.shortest.unwrap_or_default().min(MAX_USUAL);
        match call.evidence(shortest + TURNS * delay) {
            Some(Evidence::InTime) => self.in_time += 1,
            Some(Evidence::Late) => self.late += 1,
            Some(Evidence::Unanswered) => self.unanswered += 1,
            None => {}
        }
    }

    fn is_called(&self) -> bool {
        self.in_time + self.late + self.unanswered > 0
    }

    fn is_answered(&self) -> bool {
        self.in_time + self.late > 0
    }

    /// Most calls were late or not answered.
    fn is_slow(&self) -> bool {
        self.is_called() && self.late + self.unanswered > self.in_time
    }

    /// Of the answers, at least half were late.
    fn answers_late(&self) -> bool {
        self.is_answered() && self.late >= self.in_time
    }

    fn restart(&mut self) {
        *self = Self {
            shortest: self.shortest,
            idle: if self.is_called() { 0 } else { self.idle + 1 },
            ..Self::default()
        };
    }
}

/// What the calls of a window show, in numbers of workers and nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Figures {
    /// Workers that were called.
    pub workers: usize,
    /// Workers of which most calls were late or not answered.
    pub slow_workers: usize,
    /// Workers that answered.
    pub answering_workers: usize,
    /// Workers whose answers were late.
    pub late_workers: usize,
    /// Nodes that answered.
    pub answering_nodes: usize,
    /// Nodes whose answers were late.
    pub late_nodes: usize,
}

impl Figures {
    /// Returns whether there were calls to enough workers to judge by.
    fn is_enough(&self) -> bool {
        self.workers >= MIN_WORKERS
    }

    /// Returns whether the link is full: at least half of the workers are slow or silent, and of
    /// those workers, and of those nodes, that did answer, at least half answered late.
    ///
    /// Workers that are cut off say nothing about the others, and an owner that is cut off from
    /// everything has no answers at all.
    fn is_full(&self) -> bool {
        let most = |part: usize, all: usize| 2 * part >= all;
        self.is_enough()
            && most(self.slow_workers, self.workers)
            && self.answering_workers > 0
            && most(self.late_workers, self.answering_workers)
            && most(self.late_nodes, self.answering_nodes)
    }
}

/// Gathers the evidence of whether the own link is full, and remembers it.
#[derive(Debug, Default)]
pub struct LinkWatch {
    records: HashMap<Peer, Record>,
    window_began: Millis,
    /// When this was last brought up to date.
    now: Millis,
    figures: Figures,
    /// How many windows in a row have shown the contrary of `full`.
    contrary: u32,
    full: bool,
    /// The cell was lost while the link was full; it is remembered until then.
    remembered_until: Millis,
}

impl LinkWatch {
    /// Notes a call that has ended, while this node's own turns come `delay` milliseconds late.
    pub fn note(&mut self, peer: Peer, call: Call, delay: Millis) {
        self.records.entry(peer).or_default().note(call, delay);
    }

    /// Judges the calls of the present window once it is over.  Calls that ended while this node's
    /// own turns came late (`is_behind`) show nothing about the link.
    pub fn review(&mut self, now: Millis, is_behind: bool) {
        self.now = now;
        if now.saturating_sub(self.window_began) < WINDOW {
            return;
        }
        self.window_began = now;
        self.figures = self.count();
        self.records.values_mut().for_each(Record::restart);
        self.records
            .retain(|_, record| record.idle < MAX_IDLE_WINDOWS);
        if is_behind || !self.figures.is_enough() {
            return;
        }
        self.apply(self.figures.is_full());
    }

    fn apply(&mut self, shows_full: bool) {
        if shows_full == self.full {
            self.contrary = 0;
            return;
        }
        self.contrary += 1;
        let needed = if self.full {
            CLEAR_WINDOWS
        } else {
            FULL_WINDOWS
        };
        if self.contrary >= needed {
            self.full = shows_full;
            self.contrary = 0;
        }
    }

    fn count(&self) -> Figures {
        let mut figures = Figures::default();
        for (peer, record) in &self.records {
            match peer {
                Peer::Worker(_) => {
                    figures.workers += usize::from(record.is_called());
                    figures.slow_workers += usize::from(record.is_slow());
                    figures.answering_workers += usize::from(record.is_answered());
                    figures.late_workers += usize::from(record.answers_late());
                }
                Peer::Node(_) => {
                    figures.answering_nodes += usize::from(record.is_answered());
                    figures.late_nodes += usize::from(record.answers_late());
                }
            }
        }
        figures
    }

    /// Notes that this node does not own the cell, so that its link carries no calls to workers any
    /// more.  If the link was full until now, that is remembered.
    pub fn end_ownership(&mut self, now: Millis) {
        self.now = now;
        if self.full {
            self.remembered_until = now + MEMORY;
        }
        self.records.clear();
        self.full = false;
        self.contrary = 0;
    }

    /// Returns whether the link is full now.
    pub fn is_full(&self) -> bool {
        self.full
    }

    /// Returns whether this node remembers that it lost the cell while its link was full.
    pub fn remembers_full(&self) -> bool {
        self.now < self.remembered_until
    }

    /// Returns what the calls of the last window have shown.
    pub fn figures(&self) -> Figures {
        self.figures
    }
}
