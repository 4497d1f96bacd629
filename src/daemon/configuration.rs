//! The configuration in force: it only goes up, and its freshness is known.

use std::sync::Arc;

use crate::backend::StoreError;
use crate::backend::store::{Op, Row};
use crate::clock::Millis;
use crate::daemon::instance::{Instance, State};
use crate::model::JobSpec;
use crate::placement::part::Ordering;
use crate::policy::bundle::{self, BundleError, CONFIG_ROW};
use crate::policy::program::BUILT_IN;
use crate::policy::{Bundle, Program, VersionRow};
use crate::rpc::message::PeerCall;

/// How long another instance may take to note a new version.
const PUSH_TIMEOUT: Millis = 1_000;

/// The configuration in force at this instance.
pub struct Configuration {
    row: Option<VersionRow>,
    bundle: Bundle,
    program: Option<Arc<Program>>,
    built_in: Option<Arc<Program>>,
    confirmed_at: Millis,
}

impl Default for Configuration {
    fn default() -> Self {
        let built_in = Program::parse(BUILT_IN).ok().map(Arc::new);
        Self {
            row: None,
            bundle: Bundle::default(),
            program: built_in.clone(),
            built_in,
            confirmed_at: 0,
        }
    }
}

impl Configuration {
    /// Returns the number of the version in force; zero before any was set.
    pub fn version(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.version)
    }

    /// Returns what is in force.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Returns the row of what is in force.
    pub fn row(&self) -> Option<&VersionRow> {
        self.row.as_ref()
    }

    /// Returns when the store last confirmed the version.
    pub fn confirmed_at(&self) -> Millis {
        self.confirmed_at
    }

    /// Puts a version in force unless it is older than the present one.
    ///
    /// Returns whether it is in force now.
    fn enforce(&mut self, row: VersionRow, bundle: Bundle, program: Program) -> bool {
        if row.version <= self.version() {
            return false;
        }
        self.row = Some(row);
        self.bundle = bundle;
        self.program = Some(Arc::new(program));
        true
    }
}

/// Why a change of the configuration was refused.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// It is at fault.
    #[error(transparent)]
    Bundle(#[from] BundleError),
    /// Another version is in force than the operator had read.
    #[error("version {present} is in force, and the change was made to another")]
    Conflict {
        /// The version that won.
        present: u64,
    },
    /// Most instances cannot be heard, so the change could not be in force everywhere.
    #[error("only {heard} of {known} instances can be heard")]
    Isolated {
        /// How many instances are heard, this one included.
        heard: usize,
        /// How many are known.
        known: usize,
    },
    /// The store refused; nothing has changed.
    #[error("the store is unavailable; nothing has changed")]
    Unavailable,
    /// The store did not answer; the change may be in force.
    #[error("the store did not answer; ask for the version before trying again")]
    Unconfirmed,
}

impl Instance {
    /// Sets a new configuration if `expected` is the version in force.
    ///
    /// # Errors
    /// See [`ChangeError`].
    pub async fn change_configuration(
        &self,
        bundle: Bundle,
        expected: u64,
        note: String,
    ) -> Result<u64, ChangeError> {
        bundle.check()?;
        let now = self.now();
        let (known, heard) = self.lock().members.heard(now);
        if 2 * heard <= known {
            return Err(ChangeError::Isolated { heard, known });
        }
        let row = VersionRow {
            version: expected + 1,
            claim: self.draw(),
            note,
        };
        let body = serde_json::to_vec(&bundle).unwrap_or_default();
        match self.platform.store.put_object(row.object(), body).await {
            Ok(()) | Err(StoreError::Unanswered) => {}
            Err(_) => return Err(ChangeError::Unavailable),
        }
        self.write_version(&row, expected).await?;
        self.fetch_version(row.clone()).await;
        self.push_version(&row).await;
        Ok(row.version)
    }

    async fn write_version(&self, row: &VersionRow, expected: u64) -> Result<(), ChangeError> {
        let present = self
            .read_version()
            .await
            .map_err(|_| ChangeError::Unavailable)?;
        let (store_version, in_force) = match &present {
            Some((version, row)) => (Some(*version), row.version),
            None => (None, 0),
        };
        if in_force != expected {
            return Err(ChangeError::Conflict { present: in_force });
        }
        let value = serde_json::to_string(row).unwrap_or_default();
        let op = match store_version {
            Some(version) => Op::replace(CONFIG_ROW, version, value),
            None => Op::create(CONFIG_ROW, value),
        };
        match self.platform.store.transact(vec![op]).await {
            Ok(_) => Ok(()),
            Err(StoreError::Unavailable) => Err(ChangeError::Unavailable),
            Err(StoreError::Conflict { .. } | StoreError::Unanswered) => {
                self.confirm_version(row).await
            }
        }
    }

    /// Finds out by reading back whether our version was accepted.
    async fn confirm_version(&self, row: &VersionRow) -> Result<(), ChangeError> {
        match self.read_version().await {
            Ok(Some((_, found))) if found.claim == row.claim => Ok(()),
            // A later version can only have been made on top of ours or instead of
            // it; the object of ours tells nothing, so the operator must look.
            Ok(Some((_, found))) if found.version > row.version => Err(ChangeError::Unconfirmed),
            Ok(Some((_, found))) if found.version == row.version => Err(ChangeError::Conflict {
                present: found.version,
            }),
            _ => Err(ChangeError::Unconfirmed),
        }
    }

    async fn read_version(&self) -> Result<Option<(u64, VersionRow)>, StoreError> {
        let rows = self
            .platform
            .store
            .read(vec![CONFIG_ROW.to_owned()])
            .await?;
        let row = rows.into_iter().next().flatten();
        Ok(row.and_then(|row| Some((row.version, serde_json::from_str(&row.value).ok()?))))
    }

    async fn push_version(&self, row: &VersionRow) {
        let addrs = self
            .lock()
            .members
            .peers()
            .map(|(_, peer)| peer.rpc)
            .collect();
        let call = PeerCall::NewVersion {
            version: row.version,
        };
        self.ask_all(addrs, &call, PUSH_TIMEOUT).await;
    }

    /// Reads the configuration at once, since another instance has seen `version` accepted.
    pub async fn on_new_version(&self, version: u64) {
        if self.lock().configuration.version() >= version {
            return;
        }
        if let Ok(Some((_, row))) = self.read_version().await {
            self.fetch_version(row).await;
        }
    }

    /// Takes note of the row of the configuration, read from the store.
    pub async fn on_config_row(
        &self,
        row: Option<Row>,
        asked_at: Millis,
    ) -> Result<(), StoreError> {
        let row = row.and_then(|row| serde_json::from_str::<VersionRow>(&row.value).ok());
        let in_force = match row {
            Some(row) => self.fetch_version(row).await,
            None => true,
        };
        if in_force {
            let mut state = self.lock();
            state.configuration.confirmed_at = state.configuration.confirmed_at.max(asked_at);
        }
        Ok(())
    }

    /// Fetches and enforces a version unless it is in force or surpassed already.
    ///
    /// Returns whether this version, or a later one, is in force now.
    async fn fetch_version(&self, row: VersionRow) -> bool {
        if self.lock().configuration.version() >= row.version {
            return true;
        }
        let key = bundle::object_key(row.version, row.claim);
        let Ok(Some(body)) = self.platform.store.get_object(key).await else {
            self.metrics.retry("configuration_fetch");
            return false;
        };
        let checked = serde_json::from_slice::<Bundle>(&body)
            .ok()
            .and_then(|bundle| {
                let program = bundle.check().ok()?;
                Some((bundle, program))
            });
        let Some((bundle, program)) = checked else {
            self.metrics.violation("accepted_configuration_unreadable");
            return false;
        };
        let mut state = self.lock();
        let version = row.version;
        state.cell.set_quotas(
            bundle.default_quota,
            bundle.quotas.clone().into_iter().collect(),
        );
        if state.configuration.enforce(row, bundle, program) {
            tracing::info!(version, "configuration in force");
            self.metrics.gauge("configuration_version", version as i64);
        }
        true
    }

    /// Tells whether the configuration has been confirmed lately.
    ///
    /// The store confirms it.  While the store is away nothing can be accepted
    /// without an acceptor that hears most instances, so hearing most of them
    /// confirms it as well.
    pub fn is_fresh(&self, state: &State, now: Millis) -> bool {
        let bound = self.cfg.number("limits", "stale_ms");
        let by_store =
            state.configuration.confirmed_at > 0 && now < state.configuration.confirmed_at + bound;
        let (known, heard) = state.members.heard(now);
        let behind = state
            .members
            .alive(now)
            .any(|(_, _, beat)| beat.version > state.configuration.version());
        let loaded = state.configuration.confirmed_at > 0;
        by_store || (loaded && !behind && known > 1 && 2 * heard > known)
    }

    /// Lets the policy in force say how a job is ordered.
    ///
    /// A policy that fails is counted, and the built-in one decides for that job.
    pub fn order_job(&self, spec: &JobSpec) -> Option<Ordering> {
        let (program, built_in) = {
            let state = self.lock();
            (
                state.configuration.program.clone(),
                state.configuration.built_in.clone(),
            )
        };
        let by_policy = program?.order(spec);
        if let Err(err) = &by_policy {
            tracing::warn!(%err, "the policy failed; the built-in one decides");
            self.metrics.event("policy_fallback");
        }
        by_policy.ok().or_else(|| built_in?.order(spec).ok())
    }
}
