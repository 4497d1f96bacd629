//! Calls between the nodes of a cell: messages, client and server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::TcpListener;

use crate::cell::job::JobState;
use crate::cell::spec::JobId;
use crate::clock::Millis;
use crate::node::intake::SubmitOutcome;
use crate::rpc::node_capnp as wire;
use crate::rpc::{PeerError, transport};
use crate::workspace::Caller;

/// The unit of the messages' encoding.
const BYTES_PER_WORD: usize = 8;

/// What a node says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Its name.
    pub name: String,
    /// Names this start of its process.
    pub boot: u64,
    /// Where it answers other nodes.
    pub address: String,
    /// The highest epoch that it knows.
    pub epoch: u64,
    /// It owns the cell under that epoch.
    pub owns: bool,
    /// It is about to end.
    pub leaving: bool,
    /// The version of the configuration in force there.
    pub configuration: u64,
    /// Its own way to the store works.
    pub reaches_store: bool,
    /// Milliseconds since it last heard the owner.
    pub owner_silence: Millis,
    /// A digest of all nodes that it knows.
    pub membership: u64,
    /// What the receiver may not know of other nodes.
    pub changes: Vec<MemberChange>,
    /// Where the owner of the epoch answers, as far as it knows; empty if it does not.
    pub owner: String,
    /// Milliseconds since it heard a node that is claiming the cell, or zero if it is one; none
    /// if it knows of no such node.
    pub claim_age: Option<u32>,
    /// From the owner: milliseconds until its next heartbeat to the receiver.
    pub interval: u32,
    /// Thousandths of a core that its VM gives.
    pub millicores: u32,
    /// From the owner: jobs of which nothing has begun, by queue.
    pub pending: Vec<(String, u32)>,
    /// Thousandths of a core that it can spend on owning the cell; zero while it is behind.
    pub strength: u32,
    /// Jobs that have ended and whose end could not be recorded yet.
    pub ends: Vec<(JobId, JobState)>,
    /// Whose those jobs are, of those that belong to a workspace.
    pub workspaces: Vec<(JobId, String)>,
}

/// What a node says of a third one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// It is there.
    Known {
        /// Its name.
        name: String,
        /// Where it answers other nodes.
        address: String,
        /// Thousandths of a core that its VM gives.
        millicores: u32,
    },
    /// The node of this name is not there any more.
    Gone(String),
}

/// A question about a job, or its cancelling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRequest {
    /// The job.
    pub job: JobId,
    /// Who asks.
    pub caller: Caller,
}

impl JobRequest {
    /// A node of a version without workspaces asks: it has let everybody in.
    fn of_older_node(job: u64) -> Self {
        Self {
            job: JobId(job),
            caller: Caller::Operator,
        }
    }
}

/// A call to another node.
#[derive(Debug, Clone)]
pub enum NodeCall {
    /// Tells how the sender is.
    Beat(Heartbeat),
    /// A job whose row is durable: JSON of [`crate::cell::record::JobRow`].
    Accepted(Vec<u8>),
    /// Asks for a job's state.
    State(JobRequest),
    /// Cancels a job.
    Cancel(JobRequest),
    /// Asks the receiver to make a call to the advice service.
    Advise {
        /// The step's name.
        step: String,
        /// The workers' ids.
        workers: Vec<String>,
    },
    /// Asks for the configuration if it is newer than this version.
    Configuration(u64),
    /// JSON of a [`crate::store::StoreCall`] to make for the sender.
    Relay(Vec<u8>),
    /// Asks how a job stands, in detail.
    Explain(JobRequest),
    /// Rows of accepted jobs, by key, to be written together with the receiver's own.
    Write(Vec<(String, String)>),
}

/// The answer of another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeReply {
    /// How the receiver is.
    Beat(Box<Heartbeat>),
    /// The receiver does not own the cell.
    NotOwner,
    /// The job is taken in.
    Taken,
    /// How far a job is.
    State(JobState),
    /// There is no such job.
    UnknownJob,
    /// The cancellation is recorded.
    Cancelled,
    /// It could not be done now; it may be tried again.
    Unavailable,
    /// The workers that may run the step, with their tickets.
    Tickets(Vec<(String, String)>),
    /// JSON of a [`crate::queue::Configuration`].
    Configuration(Vec<u8>),
    /// JSON of the store's answer: a `Result<StoreReply, StoreError>`.
    Relayed(Vec<u8>),
    /// JSON of a [`crate::cell::view::JobView`].
    Explained(Vec<u8>),
    /// What became of each of the rows.
    Written(Vec<SubmitOutcome>),
}

impl NodeCall {
    /// How many bytes the message takes between nodes.
    pub fn wire_bytes(&self) -> usize {
        let mut message = capnp::message::Builder::new_default();
        write_call(self, message.init_root());
        capnp::serialize::compute_serialized_size_in_words(&message) * BYTES_PER_WORD
    }
}

impl NodeReply {
    /// How many bytes the message takes between nodes.
    pub fn wire_bytes(&self) -> usize {
        let mut message = capnp::message::Builder::new_default();
        write_reply(self, message.init_root());
        capnp::serialize::compute_serialized_size_in_words(&message) * BYTES_PER_WORD
    }
}

/// The way to other nodes.
pub trait NodeLink: Send + Sync {
    /// Calls the node at `addr` and waits at most `timeout` milliseconds.
    fn call(
        &self,
        addr: SocketAddr,
        call: NodeCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<NodeReply, PeerError>>;
}

/// What answers other nodes.
pub trait NodeService: Send + Sync {
    /// Answers one call.
    fn serve(&self, call: NodeCall) -> BoxFuture<'_, NodeReply>;
}

/// The sending half: it may be used from any task.
pub struct RpcNodeLink {
    calls: transport::Calls<NodeCall, NodeReply>,
}

/// The half that owns the connections; it must run inside a `LocalSet`.
pub type RpcNodeDriver = transport::Driver<NodeProtocol>;

/// Makes both halves.
pub fn link() -> (RpcNodeLink, RpcNodeDriver) {
    let (calls, driver) = transport::link();
    (RpcNodeLink { calls }, driver)
}

impl NodeLink for RpcNodeLink {
    fn call(
        &self,
        addr: SocketAddr,
        call: NodeCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<NodeReply, PeerError>> {
        self.calls.call(addr, call, timeout).boxed()
    }
}

/// The protocol of this module over any connection.
pub struct NodeProtocol;

impl transport::Protocol for NodeProtocol {
    type Client = wire::node::Client;
    type Call = NodeCall;
    type Reply = NodeReply;

    async fn exchange(client: &Self::Client, call: &NodeCall) -> Result<NodeReply, PeerError> {
        let mut req = client.call_request();
        write_call(call, req.get().init_request());
        let response = req
            .send()
            .promise
            .await
            .map_err(|_| PeerError::Unanswered)?;
        let reply = response
            .get()
            .and_then(|results| results.get_reply())
            .map_err(|_| PeerError::Malformed)?;
        read_reply(reply).map_err(|_| PeerError::Malformed)
    }
}

struct NodeServer {
    service: Arc<dyn NodeService>,
}

impl wire::node::Server for NodeServer {
    async fn call(
        self: Rc<Self>,
        params: wire::node::CallParams,
        mut results: wire::node::CallResults,
    ) -> Result<(), capnp::Error> {
        let call = read_call(params.get()?.get_request()?)?;
        let reply = self.service.serve(call).await;
        write_reply(&reply, results.get().init_reply());
        Ok(())
    }
}

/// Serves calls that arrive at `listener` for as long as the task lives.
///
/// Must run inside a `LocalSet`, as Cap'n Proto's objects stay on one thread.
pub async fn serve(listener: TcpListener, service: Arc<dyn NodeService>) {
    let node: wire::node::Client = capnp_rpc::new_client(NodeServer { service });
    transport::serve(listener, node.client).await;
}

fn write_beat(beat: &Heartbeat, mut out: wire::beat::Builder) {
    out.set_name(&beat.name);
    out.set_boot(beat.boot);
    out.set_address(&beat.address);
    out.set_epoch(beat.epoch);
    out.set_owns(beat.owns);
    out.set_leaving(beat.leaving);
    out.set_configuration(beat.configuration);
    out.set_reaches_store(beat.reaches_store);
    out.set_owner_silence(beat.owner_silence);
    out.set_strength(beat.strength);
    out.set_membership(beat.membership);
    out.set_owner(&beat.owner);
    out.set_interval(beat.interval);
    out.set_millicores(beat.millicores);
    out.set_claim_age(beat.claim_age.map_or(0, |age| age.saturating_add(1)));
    let mut changes = out.reborrow().init_changes(beat.changes.len() as u32);
    for (place, change) in beat.changes.iter().enumerate() {
        write_change(change, changes.reborrow().get(place as u32));
    }
    let mut pending = out.reborrow().init_pending(beat.pending.len() as u32);
    for (place, (queue, jobs)) in beat.pending.iter().enumerate() {
        let mut entry = pending.reborrow().get(place as u32);
        entry.set_queue(queue);
        entry.set_jobs(*jobs);
    }
    let mut ends = out.init_ends(beat.ends.len() as u32);
    for (place, (job, state)) in beat.ends.iter().enumerate() {
        let mut entry = ends.reborrow().get(place as u32);
        entry.set_job(job.0);
        entry.set_state(state_number(*state));
        let mut workspaces = beat.workspaces.iter();
        if let Some((_, workspace)) = workspaces.find(|(other, _)| other == job) {
            entry.set_workspace(workspace);
        }
    }
}

fn write_change(change: &MemberChange, mut out: wire::member_change::Builder) {
    match change {
        MemberChange::Known {
            name,
            address,
            millicores,
        } => {
            out.set_name(name);
            out.set_address(address);
            out.set_millicores(*millicores);
        }
        MemberChange::Gone(name) => {
            out.set_name(name);
            out.set_gone(true);
        }
    }
}

fn read_change(change: wire::member_change::Reader) -> capnp::Result<MemberChange> {
    let name = change.get_name()?.to_string()?;
    if change.get_gone() {
        return Ok(MemberChange::Gone(name));
    }
    Ok(MemberChange::Known {
        name,
        address: change.get_address()?.to_string()?,
        millicores: change.get_millicores(),
    })
}

fn read_beat(beat: wire::beat::Reader) -> capnp::Result<Heartbeat> {
    let mut changes = Vec::new();
    for change in beat.get_changes()? {
        changes.push(read_change(change)?);
    }
    let mut pending = Vec::new();
    for entry in beat.get_pending()? {
        pending.push((entry.get_queue()?.to_string()?, entry.get_jobs()));
    }
    let mut ends = Vec::new();
    let mut workspaces = Vec::new();
    for entry in beat.get_ends()? {
        let job = JobId(entry.get_job());
        ends.push((job, numbered_state(entry.get_state())?));
        let workspace = entry.get_workspace()?.to_string()?;
        if !workspace.is_empty() {
            workspaces.push((job, workspace));
        }
    }
    Ok(Heartbeat {
        name: beat.get_name()?.to_string()?,
        boot: beat.get_boot(),
        address: beat.get_address()?.to_string()?,
        epoch: beat.get_epoch(),
        owns: beat.get_owns(),
        leaving: beat.get_leaving(),
        configuration: beat.get_configuration(),
        reaches_store: beat.get_reaches_store(),
        owner_silence: beat.get_owner_silence(),
        strength: beat.get_strength(),
        membership: beat.get_membership(),
        changes,
        owner: beat.get_owner()?.to_string()?,
        interval: beat.get_interval(),
        claim_age: beat.get_claim_age().checked_sub(1),
        millicores: beat.get_millicores(),
        pending,
        ends,
        workspaces,
    })
}

fn write_question(question: &JobRequest, mut out: wire::question::Builder) {
    out.set_job(question.job.0);
    let mut caller = out.init_caller();
    match &question.caller {
        Caller::Anonymous => caller.set_anonymous(()),
        Caller::Workspace(name) => caller.set_workspace(name),
        Caller::Operator => caller.set_operator(()),
    }
}

fn read_question(question: wire::question::Reader) -> capnp::Result<JobRequest> {
    use wire::question::caller;
    let caller = match question.get_caller().which()? {
        caller::Anonymous(()) => Caller::Anonymous,
        caller::Workspace(name) => Caller::Workspace(name?.to_string()?),
        caller::Operator(()) => Caller::Operator,
    };
    Ok(JobRequest {
        job: JobId(question.get_job()),
        caller,
    })
}

fn write_call(call: &NodeCall, mut out: wire::request::Builder) {
    match call {
        NodeCall::Beat(beat) => write_beat(beat, out.init_beat()),
        NodeCall::Accepted(row) => out.set_accepted(row),
        NodeCall::State(question) => write_question(question, out.init_state_for()),
        NodeCall::Cancel(question) => write_question(question, out.init_cancel_for()),
        NodeCall::Advise { step, workers } => {
            let mut advise = out.init_advise();
            advise.set_step(step);
            let mut list = advise.init_workers(workers.len() as u32);
            for (place, worker) in workers.iter().enumerate() {
                list.set(place as u32, worker);
            }
        }
        NodeCall::Configuration(version) => out.set_configuration(*version),
        NodeCall::Relay(call) => out.set_relay(call),
        NodeCall::Explain(question) => write_question(question, out.init_explain_for()),
        NodeCall::Write(rows) => {
            let mut list = out.init_write(rows.len() as u32);
            for (place, (key, value)) in rows.iter().enumerate() {
                let mut row = list.reborrow().get(place as u32);
                row.set_key(key);
                row.set_value(value);
            }
        }
    }
}

fn read_call(call: wire::request::Reader) -> capnp::Result<NodeCall> {
    Ok(match call.which()? {
        wire::request::Beat(beat) => NodeCall::Beat(read_beat(beat?)?),
        wire::request::Accepted(row) => NodeCall::Accepted(row?.to_vec()),
        wire::request::State(id) => NodeCall::State(JobRequest::of_older_node(id)),
        wire::request::Cancel(id) => NodeCall::Cancel(JobRequest::of_older_node(id)),
        wire::request::StateFor(question) => NodeCall::State(read_question(question?)?),
        wire::request::CancelFor(question) => NodeCall::Cancel(read_question(question?)?),
        wire::request::ExplainFor(question) => NodeCall::Explain(read_question(question?)?),
        wire::request::Advise(advise) => {
            let advise = advise?;
            let mut workers = Vec::new();
            for worker in advise.get_workers()? {
                workers.push(worker?.to_string()?);
            }
            NodeCall::Advise {
                step: advise.get_step()?.to_string()?,
                workers,
            }
        }
        wire::request::Configuration(version) => NodeCall::Configuration(version),
        wire::request::Relay(call) => NodeCall::Relay(call?.to_vec()),
        wire::request::Explain(id) => NodeCall::Explain(JobRequest::of_older_node(id)),
        wire::request::Write(rows) => {
            let mut list = Vec::new();
            for row in rows? {
                list.push((row.get_key()?.to_string()?, row.get_value()?.to_string()?));
            }
            NodeCall::Write(list)
        }
    })
}

fn write_reply(reply: &NodeReply, mut out: wire::reply::Builder) {
    match reply {
        NodeReply::Beat(beat) => write_beat(beat, out.init_beat()),
        NodeReply::NotOwner => out.set_not_owner(()),
        NodeReply::Taken => out.set_taken(()),
        NodeReply::State(state) => out.set_state(state_number(*state)),
        NodeReply::UnknownJob => out.set_unknown_job(()),
        NodeReply::Cancelled => out.set_cancelled(()),
        NodeReply::Unavailable => out.set_unavailable(()),
        NodeReply::Tickets(tickets) => {
            let mut list = out.init_tickets(tickets.len() as u32);
            for (place, (worker, ticket)) in tickets.iter().enumerate() {
                let mut entry = list.reborrow().get(place as u32);
                entry.set_worker(worker);
                entry.set_ticket(ticket);
            }
        }
        NodeReply::Configuration(body) => out.set_configuration(body),
        NodeReply::Relayed(body) => out.set_relayed(body),
        NodeReply::Explained(view) => out.set_explained(view),
        NodeReply::Written(outcomes) => {
            let mut list = out.init_written(outcomes.len() as u32);
            for (place, outcome) in outcomes.iter().enumerate() {
                list.set(place as u32, outcome_number(*outcome));
            }
        }
    }
}

fn read_reply(reply: wire::reply::Reader) -> capnp::Result<NodeReply> {
    Ok(match reply.which()? {
        wire::reply::Beat(beat) => NodeReply::Beat(Box::new(read_beat(beat?)?)),
        wire::reply::NotOwner(()) => NodeReply::NotOwner,
        wire::reply::Taken(()) => NodeReply::Taken,
        wire::reply::State(number) => NodeReply::State(numbered_state(number)?),
        wire::reply::UnknownJob(()) => NodeReply::UnknownJob,
        wire::reply::Cancelled(()) => NodeReply::Cancelled,
        wire::reply::Unavailable(()) => NodeReply::Unavailable,
        wire::reply::Tickets(tickets) => {
            let mut list = Vec::new();
            for entry in tickets? {
                list.push((
                    entry.get_worker()?.to_string()?,
                    entry.get_ticket()?.to_string()?,
                ));
            }
            NodeReply::Tickets(list)
        }
        wire::reply::Configuration(body) => NodeReply::Configuration(body?.to_vec()),
        wire::reply::Relayed(body) => NodeReply::Relayed(body?.to_vec()),
        wire::reply::Explained(view) => NodeReply::Explained(view?.to_vec()),
        wire::reply::Written(numbers) => {
            NodeReply::Written(numbers?.iter().map(numbered_outcome).collect())
        }
    })
}

const OUTCOMES: [SubmitOutcome; 5] = [
    SubmitOutcome::Doubtful,
    SubmitOutcome::Accepted,
    SubmitOutcome::Refused,
    SubmitOutcome::BeyondCap,
    SubmitOutcome::IdInUse,
];

fn outcome_number(outcome: SubmitOutcome) -> u16 {
    OUTCOMES
        .iter()
        .position(|&other| other == outcome)
        .unwrap_or_default() as u16
}

/// An outcome that is not known here leaves it open whether the row was written.
fn numbered_outcome(number: u16) -> SubmitOutcome {
    OUTCOMES
        .get(usize::from(number))
        .copied()
        .unwrap_or(SubmitOutcome::Doubtful)
}

const STATES: [JobState; 5] = [
    JobState::Queued,
    JobState::Running,
    JobState::Succeeded,
    JobState::Failed,
    JobState::Cancelled,
];

fn state_number(state: JobState) -> u16 {
    STATES
        .iter()
        .position(|&other| other == state)
        .unwrap_or_default() as u16
}

fn numbered_state(number: u16) -> capnp::Result<JobState> {
    STATES
        .get(usize::from(number))
        .copied()
        .ok_or_else(|| capnp::Error::failed(format!("no job state has the number {number}")))
}
