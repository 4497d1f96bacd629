//! The store kept in memory, for the embedded mode, the stand-in and tests.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::FutureExt;
use futures::future::{self, BoxFuture};

use crate::backend::store::{Change, Expect, Op, Row, Store, StoreError, Version};
use crate::backend::vm::{Vm, VmList};

/// What is wrong with the store, on request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing is wrong.
    #[default]
    None,
    /// Every call is refused before it does anything.
    Down,
    /// Writes take effect and their replies are lost.
    ReplyLost,
}

#[derive(Debug, Default)]
struct Tables {
    rows: BTreeMap<String, (Version, String)>,
    objects: HashMap<String, Vec<u8>>,
    vms: Vec<Vm>,
    version: Version,
    fault: StoreFault,
    writes: u64,
    reads: u64,
}

/// The number of calls that a store has served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLoad {
    /// Transactions and object writes.
    pub writes: u64,
    /// Reads, scans, list calls and object reads.
    pub reads: u64,
}

/// A table service, object store and VM list in memory.
#[derive(Debug, Default)]
pub struct LocalStore {
    tables: Mutex<Tables>,
}

impl LocalStore {
    /// Sets what is wrong with the store.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().vms = vms;
    }

    /// Changes the list of VMs in place.
    pub fn edit_vms(&self, edit: impl FnOnce(&mut Vec<Vm>)) {
        edit(&mut self.lock().vms);
    }

    /// Returns the calls served so far.
    pub fn load(&self) -> StoreLoad {
        let tables = self.lock();
        StoreLoad {
            writes: tables.writes,
            reads: tables.reads,
        }
    }

    /// Applies a transaction without going through the trait.
    ///
    /// # Errors
    /// As [`Store::transact`].
    pub fn apply(&self, ops: &[Op]) -> Result<Version, StoreError> {
        self.lock().transact(ops)
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Tables {
    fn admit_read(&mut self) -> Result<(), StoreError> {
        if self.fault == StoreFault::Down {
            return Err(StoreError::Unavailable);
        }
        self.reads += 1;
        Ok(())
    }

    fn transact(&mut self, ops: &[Op]) -> Result<Version, StoreError> {
        if self.fault == StoreFault::Down {
            return Err(StoreError::Unavailable);
        }
        self.writes += 1;
        if let Some(index) = ops.iter().position(|op| !self.expected(op)) {
            return Err(StoreError::Conflict { index });
        }
        self.version += 1;
        let version = self.version;
        for op in ops {
            self.change(op, version);
        }
        match self.fault {
            StoreFault::ReplyLost => Err(StoreError::Unanswered),
            _ => Ok(version),
        }
    }

    fn expected(&self, op: &Op) -> bool {
        let found = self.rows.get(&op.key).map(|(version, _)| *version);
        match op.expect {
            Expect::Any => true,
            Expect::Absent => found.is_none(),
            Expect::Version(version) => found == Some(version),
        }
    }

    fn change(&mut self, op: &Op, version: Version) {
        match &op.change {
            Change::Keep => {}
            Change::Put(value) => {
                self.rows.insert(op.key.clone(), (version, value.clone()));
            }
            Change::Delete => {
                self.rows.remove(&op.key);
            }
        }
    }

    fn row(&self, key: &str) -> Option<Row> {
        self.rows.get(key).map(|(version, value)| Row {
            key: key.to_owned(),
            version: *version,
            value: value.clone(),
        })
    }

    fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, _)| self.row(key))
            .collect()
    }
}

impl Store for LocalStore {
    fn read(&self, keys: Vec<String>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        let mut tables = self.lock();
        let rows = tables
            .admit_read()
            .map(|()| keys.iter().map(|key| tables.row(key)).collect());
        future::ready(rows).boxed()
    }

    fn scan(&self, prefix: String) -> BoxFuture<'_, Result<Vec<Row>, StoreError>> {
        let mut tables = self.lock();
        let rows = tables.admit_read().map(|()| tables.scan(&prefix));
        future::ready(rows).boxed()
    }

    fn transact(&self, ops: Vec<Op>) -> BoxFuture<'_, Result<Version, StoreError>> {
        future::ready(self.apply(&ops)).boxed()
    }

    fn put_object(&self, key: String, body: Vec<u8>) -> BoxFuture<'_, Result<(), StoreError>> {
        let mut tables = self.lock();
        if tables.fault == StoreFault::Down {
            return future::ready(Err(StoreError::Unavailable)).boxed();
        }
        tables.writes += 1;
        tables.objects.insert(key, body);
        let lost = tables.fault == StoreFault::ReplyLost;
        future::ready(if lost {
            Err(StoreError::Unanswered)
        } else {
            Ok(())
        })
        .boxed()
    }

    fn get_object(&self, key: String) -> BoxFuture<'_, Result<Option<Vec<u8>>, StoreError>> {
        let mut tables = self.lock();
        let body = tables
            .admit_read()
            .map(|()| tables.objects.get(&key).cloned());
        future::ready(body).boxed()
    }
}

impl VmList for LocalStore {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, StoreError>> {
        let mut tables = self.lock();
        let vms = tables.admit_read().map(|()| tables.vms.clone());
        future::ready(vms).boxed()
    }
}
