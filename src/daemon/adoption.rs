//! Reading the durable record of shards that this instance has come to own.

use crate::backend::StoreError;
use crate::backend::store::Row;
use crate::daemon::instance::Instance;
use crate::daemon::shards;
use crate::placement::Part;
use crate::placement::part::INCOMING_PREFIX;

impl Instance {
    /// Reads the records of shards that have been claimed and not yet read.
    pub async fn load_records(&self) {
        let unread: Vec<String> = {
            let state = self.lock();
            let unread = state.held.iter().filter(|(_, held)| !held.loaded);
            unread.map(|(shard, _)| shard.clone()).collect()
        };
        for shard in unread {
            if let Err(err) = self.load(&shard).await {
                tracing::warn!(shard, %err, "the record of a claimed shard could not be read");
                self.metrics.retry("load_record");
            }
        }
    }

    async fn load(&self, shard: &str) -> Result<(), StoreError> {
        let parts = self.platform.store.scan(Part::prefix(shard)).await?;
        let incoming = self.platform.store.scan(incoming_prefix(shard)).await?;
        let now = self.now();
        let mut state = self.lock();
        if !state.held.contains_key(shard) {
            return Ok(());
        }
        for part in parts.iter().filter_map(|row| self.read_part(row)) {
            state.cell.adopt(shard, &part, true, now);
        }
        drop(state);
        self.take_in_rows(shard, &incoming, true);
        let mut state = self.lock();
        if let Some(held) = state.held.get_mut(shard) {
            held.loaded = true;
        }
        self.refresh_listed(&mut state);
        drop(state);
        self.wake_workers.notify_one();
        Ok(())
    }

    fn read_part(&self, row: &Row) -> Option<Part> {
        let part = serde_json::from_str(&row.value);
        if part.is_err() {
            tracing::error!(key = row.key, "a record cannot be read");
            self.metrics.violation("unreadable_record");
        }
        part.ok()
    }

    /// Takes in work that another instance has moved to a shard of ours.
    pub async fn take_in(&self, shard: &str) {
        if !self.lock().held.get(shard).is_some_and(|held| held.loaded) {
            return;
        }
        // A row that was read before a write of ours deleted it must not be taken in after.
        let _turn = self.record_turn.lock().await;
        if self.lock().writer.in_doubt() {
            return;
        }
        match self.platform.store.scan(incoming_prefix(shard)).await {
            Ok(rows) => self.take_in_rows(shard, &rows, false),
            Err(_) => self.metrics.retry("take_in"),
        }
    }

    /// Takes in every incoming row of our shards, in case a notice was lost.
    pub async fn take_in_all(&self) {
        let _turn = self.record_turn.lock().await;
        if self.lock().writer.in_doubt() {
            return;
        }
        let Ok(rows) = self.platform.store.scan(INCOMING_PREFIX.to_owned()).await else {
            return;
        };
        let mut shards: Vec<&str> = rows.iter().filter_map(|row| shard_of(&row.key)).collect();
        shards.dedup();
        for shard in shards {
            let ours = self.lock().held.get(shard).is_some_and(|held| held.loaded);
            if ours && shards::is_rack(shard) {
                let rows: Vec<Row> = rows
                    .iter()
                    .filter(|row| shard_of(&row.key) == Some(shard))
                    .cloned()
                    .collect();
                self.take_in_rows(shard, &rows, false);
            }
        }
    }

    /// Takes in incoming rows once; they are deleted with the next write of the part.
    ///
    /// A former owner may have taken in the same rows, so until it can act no
    /// more the tasks count as inherited.
    fn take_in_rows(&self, shard: &str, rows: &[Row], loading: bool) {
        let now = self.now();
        let mut state = self.lock();
        let Some(held) = state.held.get(shard) else {
            return;
        };
        let inherited = loading || !held.tenure.may_start_inherited(now);
        for row in rows {
            let Some(part) = self.read_part(row) else {
                continue;
            };
            let taken = state
                .taken_in
                .entry((shard.to_owned(), part.job.clone()))
                .or_default();
            if taken.contains(&row.key) {
                continue;
            }
            taken.push(row.key.clone());
            state.cell.adopt(shard, &part, inherited, now);
            state.cell.touch(shard, &part.job);
            self.metrics.event("taken_in");
        }
        drop(state);
        self.wake_records.notify_one();
        self.wake_workers.notify_one();
    }
}

fn incoming_prefix(shard: &str) -> String {
    format!("{INCOMING_PREFIX}{shard}/")
}

fn shard_of(key: &str) -> Option<&str> {
    key.strip_prefix(INCOMING_PREFIX)?.split('/').next()
}
