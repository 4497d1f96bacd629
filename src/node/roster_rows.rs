//! The layout of the roster in the store: rows of bounded size, of which only changed ones are
//! written.
//!
//! A row holds the workers whose hashed ids begin with the bits that its key names.  A row that
//! grows too long is split into two with one more bit, and two short ones are merged into one.  So
//! a change of one worker writes one short row, however many workers there are ("What is kept in
//! the store" in `docs/DESIGN.md`).
//!
//! Rows need not change in one transaction: if a worker is in two rows, its entries are merged so
//! that every job of either entry counts as possibly running there.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use xxhash_rust::xxh3::xxh3_64;

use crate::cell::lost::LostLife;
use crate::cell::roster::{RosterChange, RosterEntry};
use crate::node::shared::CELL_PARTITION;
use crate::store::{self, Row, RowKey, Table};

/// A row longer than this is split.  The store accepts 64 KB, and each change rewrites a whole row.
const SPLIT_BYTES: usize = 16_000;
/// Two sibling rows that are together no longer than this are merged.
const MERGE_BYTES: usize = SPLIT_BYTES / 4;
/// A longer entry is written without its list of jobs.  A successor then makes all jobs wait for
/// that worker, which is slower and as safe.
const MAX_ENTRY_BYTES: usize = 2_000;
/// The least number of bits in a row's key: it leaves some workers to each row in a small cell.
const MIN_DEPTH: u8 = 4;
/// The most bits in a row's key: enough to tell any number of workers apart that a cell may have.
const MAX_DEPTH: u8 = 32;
/// The most bytes of rows in one transaction.  The store accepts 1 MB in its own encoding.
const MAX_WRITE_BYTES: usize = 500_000;
/// The prefix of the rows' keys.
const KEY_PREFIX: &str = "workers-";

/// The leading bits that the hashed ids in a row have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Prefix {
    /// The bits, left-aligned; the others are zero.
    bits: u64,
    /// The number of bits.
    depth: u8,
}

impl Prefix {
    fn of(hash: u64, depth: u8) -> Self {
        let bits = hash & !(u64::MAX >> depth);
        Self { bits, depth }
    }

    fn children(self) -> [Self; 2] {
        let depth = self.depth + 1;
        [0, 1 << (64 - depth)].map(|bit| Self {
            bits: self.bits | bit,
            depth,
        })
    }

    fn parent(self) -> Option<Self> {
        (self.depth > MIN_DEPTH).then(|| Self::of(self.bits, self.depth - 1))
    }

    fn hashes(self) -> RangeInclusive<u64> {
        self.bits..=self.bits | u64::MAX >> self.depth
    }

    fn key(self) -> RowKey {
        let width = usize::from(self.depth);
        let bits = self.bits >> (64 - width);
        RowKey::new(
            Table::Cells,
            CELL_PARTITION,
            &format!("{KEY_PREFIX}{bits:0width$b}"),
        )
    }

    /// Parses the bits from a key; none for the key of the former layout, which had two digits.
    fn parse_key(key: &str) -> Option<Self> {
        let text = key.strip_prefix(KEY_PREFIX)?;
        let depth = u8::try_from(text.len()).ok()?;
        if !(MIN_DEPTH..=MAX_DEPTH).contains(&depth) {
            return None;
        }
        let bits = u64::from_str_radix(text, 2).ok()? << (64 - depth);
        Some(Self { bits, depth })
    }
}

/// The rows of the roster, and which of them still have to be written.
#[derive(Debug, Default)]
pub struct RosterRows {
    /// The encoded entries, by the workers' hashed ids and ids.
    entries: BTreeMap<(u64, String), String>,
    /// Prefixes whose row was split in two.
    split: BTreeSet<Prefix>,
    /// Rows that have changed and are to be written.
    changed: BTreeSet<Prefix>,
    /// The keys of the rows that are in the store.
    stored: BTreeSet<String>,
    /// The keys of rows that are in the store and have to be dropped.
    obsolete: BTreeSet<String>,
    /// A row could not be parsed.
    has_unreadable_rows: bool,
}

/// The changes of roster rows that go into one transaction.
#[derive(Debug, Clone, Default)]
pub struct RosterWrite {
    /// Rows with their new values.
    pub puts: Vec<(RowKey, String)>,
    /// Rows that are dropped.
    pub drops: Vec<RowKey>,
    written: Vec<Prefix>,
}

impl RosterWrite {
    /// The number of rows that are written or dropped.
    pub fn rows(&self) -> usize {
        self.puts.len() + self.drops.len()
    }
}

impl RosterRows {
    /// Reads the layout and the entries of the roster from the rows of a cell; other rows are
    /// skipped.
    pub fn read(rows: &[Row]) -> (Self, Vec<RosterEntry>) {
        let mut roster = Self::default();
        let mut found: BTreeMap<String, RosterEntry> = BTreeMap::new();
        for row in rows.iter().filter(|row| row.key.starts_with(KEY_PREFIX)) {
            let prefix = roster.note_stored(&row.key);
            match serde_json::from_str::<Vec<RosterEntry>>(&row.value) {
                Ok(entries) => entries
                    .into_iter()
                    .for_each(|entry| merge(&mut found, entry)),
                Err(err) => {
                    tracing::error!(
                        %err,
                        key = row.key,
                        "cannot parse a row of the former owner's roster"
                    );
                    roster.changed.extend(prefix);
                    roster.has_unreadable_rows = true;
                }
            }
        }
        for entry in found.values() {
            let id = &entry.worker.life.id;
            roster.entries.insert((hash(id), id.clone()), encode(entry));
        }
        roster.mark_legacy_rows();
        (roster, found.into_values().collect())
    }

    /// Returns whether some row of the former owner's roster could not be parsed.
    pub fn has_unreadable_rows(&self) -> bool {
        self.has_unreadable_rows
    }

    /// Notes that a row is in the store, and returns its prefix.  A row of the former layout has
    /// none; it is dropped once all other rows are written.
    fn note_stored(&mut self, key: &str) -> Option<Prefix> {
        let prefix = Prefix::parse_key(key);
        self.stored.insert(key.to_owned());
        match prefix {
            Some(prefix) => {
                let above = std::iter::successors(prefix.parent(), |above| above.parent());
                self.split.extend(above);
            }
            None => {
                self.obsolete.insert(key.to_owned());
            }
        }
        prefix
    }

    /// Marks all rows as changed if there are rows of the former layout, so that their entries are
    /// written in the present one.
    ///
    /// A row that was split and that a former owner could not drop before it was lost is not among
    /// them.  It stays in the store until the two rows that replaced it are merged, and its entries
    /// are merged with theirs whenever the roster is read.
    fn mark_legacy_rows(&mut self) {
        if !self.obsolete.is_empty() {
            let hashes: Vec<u64> = self.entries.keys().map(|(hash, _)| *hash).collect();
            for hash in hashes {
                self.mark_changed(hash);
            }
        }
    }

    /// Applies changes of the roster.
    pub fn apply(&mut self, changes: Vec<RosterChange>) {
        for RosterChange { id, entry } in changes {
            let hash = hash(&id);
            match entry {
                Some(entry) => {
                    let text = encode(&entry);
                    let key = (hash, id);
                    if self.entries.get(&key) == Some(&text) {
                        continue;
                    }
                    self.entries.insert(key, text);
                }
                None => {
                    if self.entries.remove(&(hash, id)).is_none() {
                        continue;
                    }
                }
            }
            self.mark_changed(hash);
        }
    }

    /// Marks the row that holds ids with this hash as changed, and splits or merges it if its size
    /// requires that.
    fn mark_changed(&mut self, hash: u64) {
        let mut prefix = Prefix::of(hash, MIN_DEPTH);
        while self.split.contains(&prefix) {
            prefix = Prefix::of(hash, prefix.depth + 1);
        }
        if self.bytes(prefix) > SPLIT_BYTES {
            self.split_row(prefix);
        } else {
            self.changed.insert(prefix);
            self.merge_rows(prefix);
        }
    }

    fn split_row(&mut self, prefix: Prefix) {
        self.split.insert(prefix);
        self.drop_row(prefix);
        for child in prefix.children() {
            if child.depth < MAX_DEPTH && self.bytes(child) > SPLIT_BYTES {
                self.split_row(child);
            } else {
                self.keep_row(child);
            }
        }
    }

    fn merge_rows(&mut self, prefix: Prefix) {
        let Some(parent) = prefix.parent() else {
            return;
        };
        let children = parent.children();
        let is_split = children.iter().any(|child| self.split.contains(child));
        if is_split || self.bytes(parent) > MERGE_BYTES {
            return;
        }
        self.split.remove(&parent);
        for child in children {
            self.drop_row(child);
        }
        self.keep_row(parent);
        self.merge_rows(parent);
    }

    /// Marks a row as changed and not to be dropped.
    fn keep_row(&mut self, prefix: Prefix) {
        self.obsolete.remove(&prefix.key().key);
        self.changed.insert(prefix);
    }

    /// Marks a row as replaced by others, and to be dropped if it is in the store.
    fn drop_row(&mut self, prefix: Prefix) {
        self.changed.remove(&prefix);
        let key = prefix.key().key;
        if self.stored.contains(&key) {
            self.obsolete.insert(key);
        }
    }

    fn entry_texts(&self, prefix: Prefix) -> impl Iterator<Item = &String> {
        let hashes = prefix.hashes();
        let from = (*hashes.start(), String::new());
        let entries = self.entries.range(from..);
        let within = entries.take_while(move |((hash, _), _)| hashes.contains(hash));
        within.map(|(_, text)| text)
    }

    fn bytes(&self, prefix: Prefix) -> usize {
        self.entry_texts(prefix).map(|text| text.len() + 1).sum()
    }

    /// Returns whether all changes that were applied are written.
    pub fn is_written(&self) -> bool {
        self.changed.is_empty() && self.obsolete.is_empty()
    }

    /// Returns what the next transaction is to write, in at most `max_rows` rows.  Obsolete rows
    /// are dropped only when the rows that replace them are written or are in the same transaction.
    pub fn next_write(&self, max_rows: usize) -> RosterWrite {
        let mut write = RosterWrite::default();
        let mut bytes = 0;
        for &prefix in &self.changed {
            let texts: Vec<&str> = self.entry_texts(prefix).map(String::as_str).collect();
            let text = format!("[{}]", texts.join(","));
            bytes += text.len();
            if write.rows() == max_rows || bytes > MAX_WRITE_BYTES {
                return write;
            }
            write.puts.push((prefix.key(), text));
            write.written.push(prefix);
        }
        let left = max_rows - write.rows();
        let obsolete = self.obsolete.iter().take(left);
        let drops = obsolete.map(|key| RowKey::new(Table::Cells, CELL_PARTITION, key));
        write.drops.extend(drops);
        write
    }

    /// Notes that these changes are durable.
    pub fn mark_written(&mut self, write: &RosterWrite) {
        for prefix in &write.written {
            self.changed.remove(prefix);
            self.stored.insert(prefix.key().key);
        }
        for row in &write.drops {
            self.obsolete.remove(&row.key);
            self.stored.remove(&row.key);
        }
    }
}

/// Adds an entry.  Two entries of one worker are merged so that more may be running there, not
/// less.
fn merge(found: &mut BTreeMap<String, RosterEntry>, entry: RosterEntry) {
    let Some(known) = found.get_mut(&entry.worker.life.id) else {
        found.insert(entry.worker.life.id.clone(), entry);
        return;
    };
    if entry.long_lease != Some(false) || entry.worker.life != known.worker.life {
        known.long_lease = Some(true);
    }
    known.lost = match (known.lost, entry.lost) {
        (known, entry) if known == entry => known,
        // One of the entries describes a life that is still in use.
        _ => Some(LostLife::Former),
    };
    known.jobs = match (known.jobs.take(), entry.jobs) {
        (Some(mut jobs), Some(others)) => {
            jobs.extend(others);
            jobs.sort_unstable();
            jobs.dedup();
            Some(jobs)
        }
        _ => None,
    };
}

fn hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

fn encode(entry: &RosterEntry) -> String {
    let text = store::encode(entry);
    if text.len() <= MAX_ENTRY_BYTES {
        return text;
    }
    store::encode(&RosterEntry {
        jobs: None,
        ..entry.clone()
    })
}
