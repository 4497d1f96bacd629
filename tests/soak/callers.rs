//! Callers: they submit jobs, retry as the responses say, ask for states and cancel some jobs.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use volo_http::http::Method;

use super::client::{Answer, Client};
use super::jobs::{Job, SharedLedger};

/// The share of jobs that are cancelled.
const CANCELLED: f64 = 0.08;
/// The share of jobs that are submitted again after they were accepted.
const SUBMITTED_AGAIN: f64 = 0.05;
/// The most refusals after which a caller gives a job up.
const MAX_REFUSALS: u32 = 4;

/// Submits jobs of one workspace until the load is over, and returns when all of them have ended.
pub async fn submit_jobs(
    seed: u64,
    workspace: usize,
    window: usize,
    client: Client,
    ledger: SharedLedger,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let free = Arc::new(Semaphore::new(window));
    let mut callers = JoinSet::new();
    while ledger.lock().expect("no panic").calm_since.is_none() {
        let permit = Arc::clone(&free).acquire_owned().await;
        let permit = permit.expect("the semaphore is never closed");
        let id = rng.random();
        let job = Job::draw(&mut rng, workspace);
        let mut caller = Caller {
            id,
            queue: job.queue,
            body: job.body(),
            rng: StdRng::seed_from_u64(rng.random()),
            client: client.clone(),
            ledger: ledger.clone(),
        };
        ledger.lock().expect("no panic").jobs.insert(id, job);
        callers.spawn(async move {
            if caller.submit().await {
                caller.follow().await;
            }
            drop(permit);
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..=30))).await;
    }
    while callers.join_next().await.is_some() {}
}

/// The caller of one job.
struct Caller {
    id: u64,
    queue: &'static str,
    body: String,
    rng: StdRng,
    client: Client,
    ledger: SharedLedger,
}

impl Caller {
    async fn sleep(&mut self, millis: std::ops::RangeInclusive<u64>) {
        let time = Duration::from_millis(self.rng.random_range(millis));
        tokio::time::sleep(time).await;
    }

    /// Calls any node that has been started.
    async fn call(&mut self, method: Method) -> Answer {
        let is_submission = method == Method::POST;
        let body = if is_submission { &*self.body } else { "" };
        let path = format!("/{}/{:016x}", self.queue, self.id);
        self.client.call(method, &path, body, &mut self.rng).await
    }

    fn report(&self, what: &str, answer: &Answer) {
        let violation = format!("job {:016x}: {what}: {answer:?}", self.id);
        self.ledger.lock().expect("no panic").report(violation);
    }

    /// Submits the job until it is accepted, and returns whether it is.
    async fn submit(&mut self) -> bool {
        let give_up_after = self.rng.random_range(1..=MAX_REFUSALS);
        loop {
            {
                let mut ledger = self.ledger.lock().expect("no panic");
                let job = ledger.job(self.id);
                job.submissions += 1;
                job.in_flight = true;
            }
            let answer = self.call(Method::POST).await;
            match self.note_answer(&answer, give_up_after) {
                ControlFlow::Break(accepted) => return accepted,
                ControlFlow::Continue(pause) => tokio::time::sleep(pause).await,
            }
        }
    }

    /// Notes the answer to a submission, and returns whether the job is accepted, or after what
    /// time to submit it again.
    fn note_answer(&mut self, answer: &Answer, give_up_after: u32) -> ControlFlow<bool, Duration> {
        let pause = Duration::from_millis(self.rng.random_range(50..=400));
        let mut ledger = self.ledger.lock().expect("no panic");
        let calm = ledger.calm_since.is_some();
        let job = ledger.job(self.id);
        job.in_flight = false;
        match answer.status {
            Some(200) => {
                job.accepted = true;
                return ControlFlow::Break(true);
            }
            Some(429 | 503) => {
                job.refusals += 1;
                let gives_up = calm || (!job.doubtful && job.refusals >= give_up_after);
                return match answer.retry_after.filter(|_| !gives_up) {
                    Some(seconds) => ControlFlow::Continue(pause + Duration::from_secs(seconds)),
                    None => ControlFlow::Break(false),
                };
            }
            None | Some(504) => job.doubtful |= !answer.not_sent,
            Some(_) => {
                drop(ledger);
                self.report("unexpected answer to a submission", answer);
                return ControlFlow::Break(false);
            }
        }
        ControlFlow::Continue(pause)
    }

    /// Asks for the state of the accepted job until it is final.
    async fn follow(&mut self) {
        let accepted_at = Instant::now();
        let mut draw = |share: f64, millis: u64| {
            let is_drawn = self.rng.random_bool(share);
            let after = Duration::from_millis(self.rng.random_range(0..=millis));
            is_drawn.then_some(after)
        };
        let mut cancel_after = draw(CANCELLED, 1_500);
        let mut submit_after = draw(SUBMITTED_AGAIN, 4_000);
        loop {
            self.sleep(300..=1_200).await;
            if submit_after.is_some_and(|after| accepted_at.elapsed() >= after) {
                submit_after = None;
                self.submit_again().await;
            }
            if cancel_after.is_some_and(|after| accepted_at.elapsed() >= after)
                && self.cancel().await
            {
                cancel_after = None;
            }
            let Some(state) = self.ask().await else {
                continue;
            };
            if ["succeeded", "failed", "canceled"].contains(&state.as_str()) {
                self.note_end(state);
                break;
            }
        }
        if submit_after.is_some() {
            self.submit_again().await;
        }
        if self.rng.random_bool(0.2) {
            self.sleep(500..=3_000).await;
            if let Some(state) = self.ask().await {
                self.note_end(state);
            }
        }
    }

    fn note_end(&self, state: String) {
        let mut ledger = self.ledger.lock().expect("no panic");
        let job = ledger.job(self.id);
        match job.end.clone() {
            None => {
                job.end = Some(state);
                job.ended_at = Some(Instant::now());
            }
            Some(before) if before == state => {}
            Some(before) => {
                let id = self.id;
                ledger.report(format!("job {id:016x}: was {before}, is {state}"));
            }
        }
    }

    /// Submits the job again, as a caller may that has missed the answer.
    async fn submit_again(&mut self) {
        let answer = self.call(Method::POST).await;
        let is_expected = matches!(answer.status, None | Some(200 | 503 | 504));
        if !is_expected || answer.body["reason"] == "overloaded" {
            self.report("unexpected answer to an accepted job", &answer);
        }
    }

    /// Cancels the job, and returns whether that is confirmed.
    async fn cancel(&mut self) -> bool {
        {
            let mut ledger = self.ledger.lock().expect("no panic");
            ledger.job(self.id).cancel_asked = true;
        }
        self.call_about(Method::DELETE).await.is_some()
    }

    /// Asks for the job's state; returns none if the node cannot tell it.
    async fn ask(&mut self) -> Option<String> {
        let body = self.call_about(Method::GET).await?;
        body["state"].as_str().map(str::to_owned)
    }

    /// Makes a call about the accepted job, and returns the body of a positive answer.
    async fn call_about(&mut self, method: Method) -> Option<Value> {
        let answer = self.call(method).await;
        match answer.status {
            Some(200) => return Some(answer.body),
            None | Some(503 | 504) => {}
            Some(_) => self.report("unexpected answer about an accepted job", &answer),
        }
        None
    }
}
