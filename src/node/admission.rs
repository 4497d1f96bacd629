//! Whether a submitted job is refused because of load.
//!
//! A job that ends long after its granted time is worth nothing to its caller, and takes capacity
//! from jobs that can still be in time.  Under lasting overload a node therefore refuses a job at
//! once if it is expected to take too long with its expected wait (`cell::expected_wait`), and tells
//! the caller when to retry.
//!
//! A refused job must not run, and a job must not be refused for a load that is over.  A node
//! therefore refuses only by a recent value of the present owner, and accepts in case of doubt.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::cell::expected_wait::{ExpectedWait, NO_WORKSPACE};
use crate::cell::options::Options;
use crate::cell::spec::{JobId, JobSpec};
use crate::cell::start_wait::{StartDemand, StartWaits};
use crate::cell::urgency::critical_path;
use crate::clock::Millis;
use crate::queue::Queue;
use crate::rpc::node::Heartbeat;

/// Waits heard longer ago than this, in milliseconds, are not used: three intervals of heartbeats
/// to nodes that are no watchers, so two may be lost.
pub const MAX_AGE: Millis = 1_500;
/// After a refusal the limit is reduced to this share of itself, in percent.  Otherwise equal jobs
/// would be accepted and refused in turn while the wait stays near the limit.
const REDUCED_LIMIT_PERCENT: Millis = 80;
/// How long the reduced limit counts without another refusal, in milliseconds: each node hears the
/// waits a few times in it.
const REDUCED_FOR: Millis = 2_000;
/// The shortest pause before a refused job is submitted again, in milliseconds, as for all other
/// refusals.
const MIN_PAUSE: Millis = 1_000;
/// The longest pause, in milliseconds: callers should learn soon that the load is over.
const MAX_PAUSE: Millis = 30_000;
/// The longest pause before it is lengthened by up to half of itself, in milliseconds.  Longer ones
/// would be cut to [`MAX_PAUSE`], and those callers would return together.
const MAX_BASE_PAUSE: Millis = MAX_PAUSE * 2 / 3;
/// The owner is asked about earlier refusals of a job if its expected wait is above this share of
/// the accepted one, in percent.
const ASKED_WAIT_PERCENT: Millis = 50;
/// How many refused jobs a node remembers, some 0.5 MB: at 50 refusals a second, those of 200 s.
const MAX_REMEMBERED: usize = 10_000;
/// How long a job counts as possibly accepted after its submission had a doubtful outcome, in
/// milliseconds: writes are retried for 2 s, and the owner looks for new rows once a second.
const DOUBT_WINDOW: Millis = 5_000;

/// A job that was let in is known to the owner, and counted in its waits, after this time, in
/// milliseconds: it is written to the store and announced meanwhile.
const KNOWN_AFTER: Millis = 300;

/// The expected waits of new jobs as a node knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeardWaits {
    /// The epoch of the owner that computed them.
    pub epoch: u64,
    /// When they arrived, or were computed here; none if they are not known.
    pub heard_at: Option<Millis>,
    /// The waits for room above zero.
    pub waits: Vec<ExpectedWait>,
    /// The waits for the owner's starts.
    pub start_waits: StartWaits,
}

impl HeardWaits {
    /// The waits in a heartbeat of an owner.
    pub fn heard(beat: &Heartbeat, now: Millis) -> Self {
        Self {
            epoch: beat.epoch,
            heard_at: Some(now),
            waits: beat.waits.clone(),
            start_waits: beat.start_waits.clone(),
        }
    }

    /// Returns the age of the waits in milliseconds; none if they are not to be used any more, or
    /// come from another epoch than the present one.
    pub fn age(&self, epoch: u64, now: Millis) -> Option<Millis> {
        let age = now.saturating_sub(self.heard_at?);
        (self.epoch == epoch && age <= MAX_AGE).then_some(age)
    }

    /// Returns the longest wait; none if the waits are not to be used.
    pub fn longest(&self, epoch: u64, now: Millis) -> Option<Millis> {
        self.age(epoch, now)?;
        let waits = self.waits.iter().map(|entry| entry.wait);
        let for_starts = self.start_waits.by_priority.iter().map(|entry| entry.1);
        Some(waits.chain(for_starts).max().unwrap_or_default())
    }

    /// Returns the wait for jobs of a workspace in a queue: its own if there is one, else that of
    /// the queue.
    fn wait(&self, queue: &str, workspace: &str) -> Millis {
        let workspace = match workspace {
            "" => NO_WORKSPACE,
            workspace => workspace,
        };
        let mut entries = self.waits.iter().filter(|entry| entry.queue == queue);
        let own = entries.clone().find(|entry| entry.workspace == workspace);
        let entry = own.or_else(|| entries.find(|entry| entry.workspace.is_empty()));
        entry.map_or(0, |entry| entry.wait)
    }
}

/// What the decision needs to know of a job.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// The id of the job.
    pub id: JobId,
    /// The name of its queue.
    pub queue: &'a str,
    /// The priority number of its queue.
    pub priority: u32,
    /// How many tasks it has.
    pub tasks: u64,
    /// The name of its workspace; empty if it has none.
    pub workspace: &'a str,
    /// The length of its critical path by its caller's estimates, in milliseconds.
    pub critical_path: Millis,
    /// The time that its queue grants, in milliseconds.
    pub granted: Millis,
}

impl<'a> Arrival<'a> {
    /// Returns what is known of a job that may be refused because of load; none for lasting jobs
    /// and scheduled ones, whose callers do not wait for an end.
    pub fn new(id: JobId, queue: &'a Queue, workspace: &'a str, spec: &JobSpec) -> Option<Self> {
        if spec.schedule.is_some() || spec.steps.iter().any(|step| step.lasting) {
            return None;
        }
        let critical_path = critical_path(&spec.clone().with_bounded_estimates(), |_| true);
        Some(Self {
            id,
            queue: &queue.name,
            priority: queue.priority,
            tasks: spec.tasks_per_occurrence(),
            workspace,
            critical_path,
            granted: queue.granted_time(critical_path),
        })
    }
}

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overload {
    /// The expected wait for its first task, in milliseconds.
    pub wait: Millis,
    /// The age of that value, in milliseconds.
    pub age: Millis,
    /// The longest time that it may be expected to take, in milliseconds.
    pub limit: Millis,
    /// The time since it was first refused, in milliseconds, which counts against the limit.
    pub since_first: Millis,
    /// When to submit it again, in milliseconds; whole seconds.
    pub pause: Millis,
}

/// The first refusal of a job.
#[derive(Debug, Clone, Copy)]
struct FirstRefusal {
    noted_at: Millis,
    /// How long before `noted_at` it was.  The time of the refusal may precede the node's clock.
    age: Millis,
    /// When it stops to count.
    until: Millis,
}

/// The first refusals of jobs that may still be submitted again.
#[derive(Debug, Default)]
pub struct FirstRefusals {
    by_job: HashMap<JobId, FirstRefusal>,
}

impl FirstRefusals {
    /// Notes a refusal `age` milliseconds ago, which counts for `lasts` from then on.  An earlier
    /// one that still counts stays.  A job that finds no room any more is not remembered.
    pub fn note(&mut self, id: JobId, age: Millis, lasts: Millis, now: Millis) {
        if self.by_job.len() >= MAX_REMEMBERED {
            self.by_job.retain(|_, first| now < first.until);
        }
        let known_age = self.since(id, now);
        let first = FirstRefusal {
            noted_at: now,
            age,
            until: now.saturating_add(lasts.saturating_sub(age)),
        };
        let has_room = self.by_job.len() < MAX_REMEMBERED;
        match self.by_job.entry(id) {
            Entry::Occupied(mut known) if known_age.is_none_or(|known| age > known) => {
                known.insert(first);
            }
            Entry::Vacant(entry) if has_room => {
                entry.insert(first);
            }
            _ => {}
        }
    }

    /// Returns the time since a job was first refused, in milliseconds; none if it was not, or so
    /// long ago that its caller starts over.
    pub fn since(&self, id: JobId, now: Millis) -> Option<Millis> {
        let first = self.by_job.get(&id).filter(|first| now < first.until)?;
        Some(first.age + now.saturating_sub(first.noted_at))
    }
}

/// The starts of jobs that the owner has let in and may not know yet.
///
/// Each node hears of waits a few times a second.  Without this, all of them would accept jobs by the
/// same value as soon as it falls.
#[derive(Debug, Default)]
pub struct AdmittedStarts(VecDeque<(Millis, StartDemand)>);

impl AdmittedStarts {
    /// Lets a job in if its starts wait no longer than they may, by the waits that the owner knows.
    ///
    /// # Errors
    /// Fails with the time for which they would wait, in milliseconds.
    pub fn admit(
        &mut self,
        demand: StartDemand,
        waits: &StartWaits,
        now: Millis,
    ) -> Result<(), Millis> {
        self.0
            .retain(|(at, _)| now.saturating_sub(*at) < KNOWN_AFTER);
        let before = self.0.iter().map(|(_, before)| before);
        let before = before.filter(|before| before.priority <= demand.priority);
        let before: u64 = before.map(|before| before.tasks).sum();
        let wait = waits.wait(demand.priority, before.saturating_add(demand.tasks));
        if wait > demand.spare {
            return Err(wait);
        }
        if waits.is_limited() {
            self.0.push_back((now, demand));
        }
        Ok(())
    }
}

/// The decisions of one node, and what it remembers of earlier ones.
#[derive(Debug, Default)]
pub struct Admission {
    /// The time of the last refusal by queue and workspace, while the reduced limit counts.
    refused_at: HashMap<(String, String), Millis>,
    /// When jobs were first refused, as far as this node knows.
    first_refusals: FirstRefusals,
    /// When a submission of a job at this node had a doubtful outcome.
    doubtful: HashMap<JobId, Millis>,
}

impl Admission {
    /// Decides whether a job would be refused; none if it is accepted.
    ///
    /// A job that exceeds the limit without any wait is not refused: the load is not the reason.
    /// The time that a caller has lost by an earlier refusal counts against the limit, since the
    /// granted time counts from the first submission.
    pub fn judge(
        &self,
        job: &Arrival<'_>,
        options: &Options,
        (waits, epoch): (&HeardWaits, u64),
        now: Millis,
    ) -> Option<Overload> {
        let age = waits.age(epoch, now)?;
        let since_first = self.first_refusals.since(job.id, now).unwrap_or_default();
        let overload = |expected: ExpectedTime| {
            let limit = self.reduce_limit(job, expected.limit, now);
            let accepted_wait = limit.checked_sub(job.critical_path)?;
            let accepted_wait = accepted_wait.saturating_sub(since_first);
            let excess = expected.wait.checked_sub(accepted_wait);
            let excess = excess.filter(|&excess| excess > 0)?;
            Some(Overload {
                wait: expected.wait,
                age,
                limit,
                since_first,
                pause: pause(excess, job.id),
            })
        };
        if self.is_doubtful(job.id, now) {
            return None;
        }
        let overloads = expected_times(job, options, waits).filter_map(overload);
        overloads.max_by_key(|overload| overload.pause)
    }

    /// Returns what a job asks of the owner's starts; none if it is not refused for these.
    pub fn start_demand(
        &self,
        job: &Arrival<'_>,
        options: &Options,
        now: Millis,
    ) -> Option<StartDemand> {
        if !options.reject_late {
            return None;
        }
        let limit = self.reduce_limit(job, job.granted, now);
        let since_first = self.first_refusals.since(job.id, now).unwrap_or_default();
        Some(StartDemand {
            priority: job.priority,
            tasks: job.tasks.max(1),
            spare: limit.saturating_sub(job.critical_path + since_first),
        })
    }

    fn is_limit_reduced(&self, job: &Arrival<'_>, now: Millis) -> bool {
        let refused_at = self.refused_at.get(&limit_key(job));
        refused_at.is_some_and(|&at| now.saturating_sub(at) < REDUCED_FOR)
    }

    /// The longest time that a job may be expected to take at present, of which `limit` is usual.
    /// A limit that the job could keep without any wait stays one.
    fn reduce_limit(&self, job: &Arrival<'_>, limit: Millis, now: Millis) -> Millis {
        if !self.is_limit_reduced(job, now) {
            return limit;
        }
        let reduced = limit.saturating_mul(REDUCED_LIMIT_PERCENT) / 100;
        reduced.max(job.critical_path.min(limit))
    }

    /// Returns whether a job that this node would accept could be refused if another node had
    /// refused it before.  The owner is asked about such jobs.
    ///
    /// Below [`ASKED_WAIT_PERCENT`] of the accepted wait the call is saved: earlier refusals have
    /// rarely delayed such a job so much that it ends too late.
    pub fn may_have_lost_time(
        &self,
        job: &Arrival<'_>,
        options: &Options,
        (waits, epoch): (&HeardWaits, u64),
        now: Millis,
    ) -> bool {
        let is_long = |expected: ExpectedTime| {
            let limit = self.reduce_limit(job, expected.limit, now);
            let accepted_wait = limit.checked_sub(job.critical_path);
            accepted_wait.is_some_and(|accepted_wait| {
                expected.wait > accepted_wait.saturating_mul(ASKED_WAIT_PERCENT) / 100
            })
        };
        waits.age(epoch, now).is_some()
            && !self.is_doubtful(job.id, now)
            && expected_times(job, options, waits).any(is_long)
    }

    /// Notes that the owner knows of a refusal of a job `since` milliseconds ago.
    pub fn note_first_refusal(
        &mut self,
        job: &Arrival<'_>,
        options: &Options,
        since: Millis,
        now: Millis,
    ) {
        let unknown = HeardWaits::default();
        let limits = expected_times(job, options, &unknown);
        if let Some(limit) = limits.map(|expected| expected.limit).max() {
            self.first_refusals.note(job.id, since, limit, now);
        }
    }

    fn is_doubtful(&self, id: JobId, now: Millis) -> bool {
        let since = self.doubtful.get(&id);
        since.is_some_and(|&at| now.saturating_sub(at) < DOUBT_WINDOW)
    }

    /// Notes that a job was refused: the limit for further jobs like it is reduced.
    pub fn note_refused(&mut self, job: &Arrival<'_>, overload: &Overload, now: Millis) {
        self.refused_at
            .retain(|_, at| now.saturating_sub(*at) < REDUCED_FOR);
        self.refused_at.insert(limit_key(job), now);
        self.first_refusals.note(job.id, 0, overload.limit, now);
    }

    /// Notes that a job was accepted by its expected wait: the full limit counts again.
    pub fn note_accepted(&mut self, job: &Arrival<'_>) {
        if !self.refused_at.is_empty() {
            self.refused_at.remove(&limit_key(job));
        }
        if !self.first_refusals.by_job.is_empty() {
            self.first_refusals.by_job.remove(&job.id);
        }
    }

    /// Notes that it is not known whether a job was accepted.  The owner may not know it either
    /// when it is submitted again.
    pub fn note_doubtful(&mut self, id: JobId, now: Millis) {
        self.doubtful
            .retain(|_, at| now.saturating_sub(*at) < DOUBT_WINDOW);
        self.doubtful.insert(id, now);
    }
}

/// A wait that is expected, and the longest time that a job may take with it.
#[derive(Debug, Clone, Copy)]
struct ExpectedTime {
    wait: Millis,
    limit: Millis,
}

/// How long a job waits for room and for the owner's starts, as far as these count.
fn expected_times(
    job: &Arrival<'_>,
    options: &Options,
    waits: &HeardWaits,
) -> impl Iterator<Item = ExpectedTime> {
    let for_room = options.max_job_time(job.granted).map(|limit| ExpectedTime {
        wait: waits.wait(job.queue, job.workspace),
        limit,
    });
    let for_starts = options.reject_late.then(|| ExpectedTime {
        wait: waits.start_waits.wait(job.priority, job.tasks),
        limit: job.granted,
    });
    for_room.into_iter().chain(for_starts)
}

fn limit_key(job: &Arrival<'_>) -> (String, String) {
    (job.queue.to_owned(), job.workspace.to_owned())
}

/// How long the caller of a refused job should wait, in milliseconds and as whole seconds.  It is
/// the part of the expected wait above the accepted one, `excess`, lengthened by up to half of
/// itself so that callers do not return together.
fn pause(excess: Millis, id: JobId) -> Millis {
    let base = excess.clamp(MIN_PAUSE, MAX_BASE_PAUSE);
    let spread = xxh3_64(&id.0.to_be_bytes()) % (base / 2 + 1);
    (base + spread).div_ceil(1_000) * 1_000
}
