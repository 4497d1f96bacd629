//! Plays one seed.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossweir::http::client::HttpClient;
use tokio::task::JoinSet;
use volo_http::http::Method;

use super::callers;
use super::checks::{self, RunList, Runs};
use super::client::Client;
use super::jobs::{Ledger, SharedLedger};
use super::plan::{Link, LinkFault, Plan, Trouble};
use super::processes::{Addresses, Node, NodeLinks, StandIn};
use super::proxy::Proxy;

/// How long jobs may take after the trouble; those that are not done by then count as lost.  The
/// backlog of a run takes less than 20 s.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(180);
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// One node with the proxies around it.
struct Site {
    node: tokio::sync::Mutex<Node>,
    links: NodeLinks,
}

/// Everything that runs.
struct Cell {
    sites: Vec<Site>,
    platform: StandIn,
    addresses: Addresses,
    ledger: SharedLedger,
    http: HttpClient,
}

/// Plays a seed, and returns what went wrong.
pub async fn play(plan: &Plan) -> Vec<String> {
    let folder = log_folder(plan.seed);
    let cell = match start(plan, &folder).await {
        Ok(cell) => Arc::new(cell),
        Err(err) => return vec![err],
    };
    let mut callers = JoinSet::new();
    for (index, workspace) in plan.workspaces.iter().enumerate() {
        let client = Client::new(&workspace.key, Arc::clone(&cell.addresses));
        let (seed, window) = (plan.seed << 8 | index as u64, workspace.window);
        let ledger = Arc::clone(&cell.ledger);
        callers.spawn(callers::submit_jobs(seed, index, window, client, ledger));
    }
    let mut runs = Runs::default();
    let mut trouble = tokio::spawn(disturb(Arc::clone(&cell), plan.trouble.clone(), plan.span));
    while !trouble.is_finished() && !has_failed(&cell) {
        check(&cell, plan, &mut runs).await;
        let _ = tokio::time::timeout(CHECK_INTERVAL, &mut trouble).await;
    }
    let calm_since = Instant::now();
    cell.ledger.lock().expect("no panic").calm_since = Some(calm_since);
    while !callers.is_empty() && !has_failed(&cell) && calm_since.elapsed() < DRAIN_TIMEOUT {
        check(&cell, plan, &mut runs).await;
        let joined = async { while callers.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(CHECK_INTERVAL, joined).await;
    }
    check(&cell, plan, &mut runs).await;
    trouble.abort();
    let mut ledger = cell.ledger.lock().expect("no panic");
    // The ends are complete only if the run was not broken off.
    if ledger.violations.is_empty() {
        runs.check_ends(&mut ledger);
        checks::check_starvation(plan, &mut ledger);
    }
    summarize(plan, &ledger, &runs, calm_since.elapsed());
    // The logs are kept only of a failed run.
    if ledger.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    ledger.violations.iter().cloned().collect()
}

fn log_folder(seed: u64) -> PathBuf {
    let name = format!("soak-{seed}-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("a folder for logs");
    folder
}

async fn start(plan: &Plan, folder: &Path) -> Result<Cell, String> {
    let platform = StandIn::start(plan, folder).await;
    let addresses = Addresses::default();
    let mut sites = Vec::new();
    for number in 0..plan.nodes {
        let links = NodeLinks::start(&platform).await;
        let mut node = Node::new(number, &links, Arc::clone(&addresses), folder);
        node.start(&links).await?;
        let node = tokio::sync::Mutex::new(node);
        sites.push(Site { node, links });
    }
    Ok(Cell {
        sites,
        platform,
        addresses,
        ledger: SharedLedger::default(),
        http: HttpClient::new(),
    })
}

fn has_failed(cell: &Cell) -> bool {
    !cell.ledger.lock().expect("no panic").violations.is_empty()
}

/// Carries out the trouble, and returns when all of it is over and `span` has passed.
async fn disturb(cell: Arc<Cell>, trouble: Vec<(Duration, Trouble)>, span: Duration) {
    let began = tokio::time::Instant::now();
    let mut events = JoinSet::new();
    for (at, event) in trouble {
        tokio::time::sleep_until(began + at).await;
        let cell = Arc::clone(&cell);
        events.spawn(async move {
            match event {
                Trouble::Process(node, fault) => {
                    let site = &cell.sites[node];
                    // A node suffers one fault at a time; the next one follows.
                    let suffered = site.node.lock().await.suffer(fault, &site.links).await;
                    if let Err(err) = suffered {
                        cell.ledger.lock().expect("no panic").report(err);
                    }
                }
                Trouble::Link(link, fault, lasts) => {
                    let proxy = cell.proxy(link);
                    proxy.disturb(fault);
                    tokio::time::sleep(lasts).await;
                    proxy.disturb(LinkFault::None);
                }
            }
        });
    }
    while events.join_next().await.is_some() {}
    tokio::time::sleep_until(began + span).await;
}

impl Cell {
    fn proxy(&self, link: Link) -> &Proxy {
        match link {
            Link::Store(node) => &self.sites[node].links.store,
            Link::Advice(node) => &self.sites[node].links.advice,
            Link::Peer(node) => &self.sites[node].links.peer,
            Link::Worker(worker) => &self.platform.workers[worker],
        }
    }

    async fn fetch_runs(&self, since: u64) -> Option<RunList> {
        let url = format!("http://{}/runs?since={since}", self.platform.runs);
        let http = &self.http;
        let answer = http.call(Method::GET, &url, &[], Vec::new(), CALL_TIMEOUT);
        answer.await.ok()?.json().ok()
    }
}

/// Checks what has run so far, and that no process has ended by itself.
async fn check(cell: &Cell, plan: &Plan, runs: &mut Runs) {
    let refused: BTreeMap<u64, u32> = {
        let ledger = cell.ledger.lock().expect("no panic");
        let refused = ledger.jobs.iter().filter(|(_, job)| job.must_not_run());
        refused.map(|(id, job)| (*id, job.submissions)).collect()
    };
    let asked_at = Instant::now();
    let listed = cell.fetch_runs(runs.listed_until).await;
    let mut ended = Vec::new();
    for site in &cell.sites {
        // A node that suffers a fault is locked, and may be down.
        if let Ok(mut node) = site.node.try_lock() {
            ended.extend(node.unasked_end());
        }
    }
    let mut ledger = cell.ledger.lock().expect("no panic");
    for end in ended {
        ledger.report(end);
    }
    let Some(listed) = listed else {
        ledger.report(String::from("the stand-in does not list its runs"));
        return;
    };
    runs.add(listed, asked_at);
    runs.check_single(&mut ledger);
    runs.check_told_ends(&mut ledger);
    runs.check_caps(plan, &mut ledger);
    runs.check_refused(&refused, &mut ledger);
}

/// Prints what happened, to tell whether a run has shown anything.
fn summarize(plan: &Plan, ledger: &Ledger, runs: &Runs, drain: Duration) {
    let jobs = || ledger.jobs.values();
    let accepted = jobs().filter(|job| job.accepted).count();
    let never_taken = jobs().filter(|job| job.must_not_run()).count();
    let refused = jobs().filter(|job| job.refusals > 0).count();
    let doubtful = jobs().filter(|job| job.doubtful).count();
    let (seed, nodes, workers) = (plan.seed, plan.nodes, plan.slowdowns.len());
    let again = runs.by_task.values().filter(|runs| runs.len() > 1).count();
    let (faults, runs, drain) = (plan.trouble.len(), runs.all().count(), drain.as_secs());
    let done: Vec<usize> = (0..plan.workspaces.len())
        .map(|workspace| ledger.ended_in_trouble(workspace))
        .collect();
    println!(
        "seed {seed}: {nodes} nodes, {workers} workers, {faults} faults; {accepted} jobs accepted, \
         {refused} refused at times, {never_taken} never taken, {doubtful} doubtful; {runs} runs, \
         {again} tasks again; done in trouble by workspace {done:?}, the rest in {drain} s"
    );
}
