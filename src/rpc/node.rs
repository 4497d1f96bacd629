//! Calls between the nodes of a cell: the messages, the client and the server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::TcpListener;

use crate::cell::expected_wait::ExpectedWait;
use crate::cell::job::JobState;
use crate::cell::spec::JobId;
use crate::cell::start_wait::{StartDemand, StartWaits};
use crate::clock::Millis;
use crate::node::consent::{Consent, Standing, StandingId};
use crate::node::intake::SubmitOutcome;
use crate::rpc::node_capnp as wire;
use crate::rpc::{PeerError, transport};
use crate::traffic::Counter;
use crate::workspace::Caller;

/// The size of a Cap'n Proto word, the unit of encoded messages.
const BYTES_PER_WORD: usize = 8;

/// A heartbeat: what a node reports about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender's name.
    pub name: String,
    /// A random number drawn at each start of its process, which tells one start from the next.
    pub boot: u64,
    /// The address at which it serves other nodes.
    pub address: String,
    /// The highest epoch that it knows.
    pub epoch: u64,
    /// It owns the cell under `epoch`.
    pub owns: bool,
    /// Its process is shutting down.
    pub leaving: bool,
    /// The version of the configuration in force on it; zero if it has none.
    pub configuration: u64,
    /// Milliseconds since that version was last known to be the newest, the maximum if it never was;
    /// none if the sender is of a version that does not report it.
    pub configuration_age: Option<u32>,
    /// The version of the store up to which no row of the operator has a newer configuration; zero
    /// if that is not known.
    pub operator_rows: u64,
    /// It reaches the store directly.
    pub reaches_store: bool,
    /// Milliseconds since it last heard the owner of `epoch`; zero if it is the owner.
    pub owner_silence: Millis,
    /// A digest of the list of nodes that it knows, with which two nodes compare their lists.
    pub membership: u64,
    /// Changes of that list that the receiver may not know; a heartbeat carries a bounded number.
    pub changes: Vec<MemberChange>,
    /// The address at which the owner of `epoch` serves other nodes; empty if it is not known.
    pub owner: String,
    /// Milliseconds since it last heard of a node that is claiming the cell; zero if it is claiming
    /// the cell itself, none if it knows of no claimant.
    pub claim_age: Option<u32>,
    /// Set by the owner only: milliseconds until its next heartbeat to the receiver.
    pub interval: u32,
    /// The CPU capacity of its VM, in thousandths of a core.
    pub millicores: u32,
    /// Set by the owner only: the number of jobs that have not begun, by queue.
    pub pending: Vec<(String, u32)>,
    /// The CPU capacity that it can spend on owning the cell, in thousandths of a core; zero while
    /// it is overloaded.
    pub strength: u32,
    /// Set by the owner only: the longest expected waits of new jobs, without those that are zero.
    pub waits: Vec<ExpectedWait>,
    /// Set by the owner only: how long new jobs wait since it can send no more starts.
    pub start_waits: StartWaits,
    /// Set by the owner only: how it stands without the store.
    pub standing: Standing,
    /// Rises each time `standing` changes under `epoch`.
    pub standing_number: u32,
    /// The start of the receiver's process that the owner knew when it determined `standing`; zero
    /// if the heartbeat is meant for no certain one.
    pub receiver_boot: u64,
    /// Whether the sender has consented to an owner's going on without it.
    pub consent: Consent,
}

/// What a node reports about a third node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// The node is a member of the cell.
    Known {
        /// Its name.
        name: String,
        /// The address at which it serves other nodes.
        address: String,
        /// The CPU capacity of its VM, in thousandths of a core.
        millicores: u32,
    },
    /// The node of this name is no longer a member of the cell.
    Gone(String),
}

/// A caller's request about one job: for its state, for its details or to cancel it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRequest {
    /// The job.
    pub job: JobId,
    /// The caller, who may see only some jobs.
    pub caller: Caller,
}

impl JobRequest {
    /// Builds a request from a node of a version without workspaces.  Such a node does not identify
    /// its callers and lets each of them see every job, so the request counts as an operator's.
    fn from_older_node(job: u64) -> Self {
        Self {
            job: JobId(job),
            caller: Caller::Operator,
        }
    }
}

/// A request for a piece of the configuration that is in force at another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PieceRequest {
    /// The version in force at the sender; only a newer one is sent.
    pub above: u64,
    /// The digest of the encoded configuration of which the sender has a part; zero if none.
    pub digest: u64,
    /// How many bytes of it the sender has.
    pub offset: u32,
}

/// A piece of an encoded configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// The version of the configuration.
    pub version: u64,
    /// The digest of the whole encoded configuration.
    pub digest: u64,
    /// Its size in bytes.
    pub size: u32,
    /// Where this piece begins.
    pub offset: u32,
    /// The piece itself.
    pub bytes: Vec<u8>,
}

/// A call to another node.
#[derive(Debug, Clone)]
pub enum NodeCall {
    /// A heartbeat of the sender, which the receiver answers with its own.
    Beat(Box<Heartbeat>),
    /// Announces a job whose row is stored durably: JSON of [`crate::cell::record::JobRow`].
    Accepted(Vec<u8>),
    /// Asks for a job's state.
    State(JobRequest),
    /// Cancels a job.
    Cancel(JobRequest),
    /// Asks the receiver to call the advice service about where a step may run.
    Advise {
        /// The step's name.
        step: String,
        /// The workers' ids.
        workers: Vec<String>,
    },
    /// Asks for the whole configuration if it is newer than this version; from a node of a version
    /// without pieces.
    Configuration(u64),
    /// Asks for a piece of the configuration.
    ConfigurationPiece(PieceRequest),
    /// Asks the receiver to make a store call for the sender: JSON of a
    /// [`crate::store::StoreCall`].
    Relay(Vec<u8>),
    /// Asks for the details of a job.
    Explain(JobRequest),
    /// Keys and values of job rows that the receiver writes to the store together with its own.
    Write(Vec<(String, String)>),
    /// Asks the owner about a job that the sender may refuse because of load.
    Intake {
        /// The job.
        job: JobId,
        /// The sender refuses the job unless the owner knows it, and the refusal counts against the
        /// job's limit for this long, in milliseconds; 0 if the sender does not refuse it.
        refused_for: Millis,
        /// What the job asks of the owner's starts; none if the sender does not refuse jobs for these.
        starts: Option<StartDemand>,
    },
}

/// The answer of another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeReply {
    /// The receiver's heartbeat.
    Beat(Box<Heartbeat>),
    /// The receiver does not own the cell.
    NotOwner,
    /// The owner has added the announced job to its cell.
    Taken,
    /// The state of the job.
    State(JobState),
    /// There is no such job, or the caller may not see it.
    UnknownJob,
    /// The cancellation is recorded.
    Cancelled,
    /// The call could not be served now; it may be repeated.
    Unavailable,
    /// The ids of the workers that may run the step, each with its ticket.
    Tickets(Vec<(String, String)>),
    /// JSON of a [`crate::queue::Configuration`].
    Configuration(Vec<u8>),
    /// A piece of the encoded configuration.
    ConfigurationPiece(Piece),
    /// The receiver has no newer configuration.
    NothingNewer,
    /// JSON of the store's answer: a `Result<StoreReply, StoreError>`.
    Relayed(Vec<u8>),
    /// JSON of a [`crate::cell::view::JobView`].
    Explained(Vec<u8>),
    /// The outcome of each row, in the order of the call.
    Written(Vec<SubmitOutcome>),
    /// The owner does not know the job, and a node refused it first so many milliseconds ago.
    FirstRefused(Millis),
    /// The owner does not know the job, and its starts would wait for so many milliseconds, longer
    /// than they may.
    StartsWait(Millis),
}

impl NodeCall {
    /// Returns the size of the encoded message in bytes.
    pub fn wire_bytes(&self) -> usize {
        let mut message = capnp::message::Builder::new_default();
        write_call(self, message.init_root());
        capnp::serialize::compute_serialized_size_in_words(&message) * BYTES_PER_WORD
    }
}

impl NodeReply {
    /// Returns the size of the encoded message in bytes.
    pub fn wire_bytes(&self) -> usize {
        let mut message = capnp::message::Builder::new_default();
        write_reply(self, message.init_root());
        capnp::serialize::compute_serialized_size_in_words(&message) * BYTES_PER_WORD
    }
}

/// Calls other nodes.
pub trait NodeLink: Send + Sync {
    /// Calls the node at `addr` and waits at most `timeout` milliseconds for the answer.
    fn call(
        &self,
        addr: SocketAddr,
        call: NodeCall,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<NodeReply, PeerError>>;
}

/// Answers the calls of other nodes.
pub trait NodeService: Send + Sync {
    /// Answers one call.
    fn serve(&self, call: NodeCall) -> BoxFuture<'_, NodeReply>;
}

/// The sending half of the link to other nodes, which any task may use.
pub struct RpcNodeLink {
    calls: transport::Calls<NodeCall, NodeReply>,
}

/// The half that owns the connections and must run inside a `LocalSet`.
pub type RpcNodeDriver = transport::Driver<NodeProtocol>;

/// Creates both halves of the link to other nodes, whose bytes are counted by `counter`.
pub fn link(counter: Arc<Counter>) -> (RpcNodeLink, RpcNodeDriver) {
    let (calls, driver) = transport::link(counter);
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

/// The protocol between nodes, as [`transport`] carries it.
pub struct NodeProtocol;

impl transport::Protocol for NodeProtocol {
    type Client = wire::node::Client;
    type Call = NodeCall;
    type Reply = NodeReply;

    async fn exchange(client: &Self::Client, call: &NodeCall) -> Result<NodeReply, PeerError> {
        let mut req = client.call_request();
        write_call(call, req.get().init_request());
        let response = req.send().promise.await.map_err(|err| match err.kind {
            // The other node has answered that it does not understand the call.
            capnp::ErrorKind::Failed | capnp::ErrorKind::Unimplemented => PeerError::Malformed,
            _ => PeerError::Unanswered,
        })?;
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

/// Serves the calls of other nodes that arrive at `listener`, until the task is dropped.
///
/// It must run inside a `LocalSet`, since Cap'n Proto's objects are bound to one thread.
pub async fn serve(listener: TcpListener, service: Arc<dyn NodeService>, counter: Arc<Counter>) {
    let node: wire::node::Client = capnp_rpc::new_client(NodeServer { service });
    transport::serve(listener, node.client, counter).await;
}

fn write_heartbeat(heartbeat: &Heartbeat, mut out: wire::beat::Builder) {
    out.set_name(&heartbeat.name);
    out.set_boot(heartbeat.boot);
    out.set_address(&heartbeat.address);
    out.set_epoch(heartbeat.epoch);
    out.set_owns(heartbeat.owns);
    out.set_leaving(heartbeat.leaving);
    out.set_configuration(heartbeat.configuration);
    let age = heartbeat.configuration_age;
    out.set_configuration_age(age.map_or(0, |age| age.saturating_add(1)));
    out.set_operator_rows(heartbeat.operator_rows);
    out.set_reaches_store(heartbeat.reaches_store);
    out.set_owner_silence(heartbeat.owner_silence);
    out.set_strength(heartbeat.strength);
    out.set_membership(heartbeat.membership);
    out.set_owner(&heartbeat.owner);
    out.set_interval(heartbeat.interval);
    out.set_millicores(heartbeat.millicores);
    out.set_claim_age(heartbeat.claim_age.map_or(0, |age| age.saturating_add(1)));
    out.set_standing(encode_standing(heartbeat.standing));
    out.set_standing_number(heartbeat.standing_number);
    out.set_receiver_boot(heartbeat.receiver_boot);
    write_consent(heartbeat.consent, out.reborrow());
    write_heartbeat_lists(heartbeat, out);
}

/// Writes the lists of a heartbeat.  Most are empty, and one that is left out takes no bytes.
fn write_heartbeat_lists(heartbeat: &Heartbeat, mut out: wire::beat::Builder) {
    if !heartbeat.changes.is_empty() {
        let mut changes = out.reborrow().init_changes(heartbeat.changes.len() as u32);
        for (index, change) in heartbeat.changes.iter().enumerate() {
            write_change(change, changes.reborrow().get(index as u32));
        }
    }
    if !heartbeat.pending.is_empty() {
        let mut pending = out.reborrow().init_pending(heartbeat.pending.len() as u32);
        for (index, (queue, jobs)) in heartbeat.pending.iter().enumerate() {
            let mut entry = pending.reborrow().get(index as u32);
            entry.set_queue(queue);
            entry.set_jobs(*jobs);
        }
    }
    if !heartbeat.waits.is_empty() {
        let mut waits = out.reborrow().init_waits(heartbeat.waits.len() as u32);
        for (index, wait) in heartbeat.waits.iter().enumerate() {
            let mut entry = waits.reborrow().get(index as u32);
            entry.set_queue(&wait.queue);
            entry.set_workspace(&wait.workspace);
            entry.set_millis(u32::try_from(wait.wait).unwrap_or(u32::MAX));
        }
    }
    if heartbeat.start_waits != StartWaits::default() {
        write_start_waits(&heartbeat.start_waits, out.init_start_waits());
    }
}

fn write_start_waits(waits: &StartWaits, mut out: wire::start_waits::Builder) {
    out.set_rate(waits.rate);
    let mut entries = out.init_by_priority(waits.by_priority.len() as u32);
    for (index, &(priority, wait)) in waits.by_priority.iter().enumerate() {
        let mut entry = entries.reborrow().get(index as u32);
        entry.set_priority(priority);
        entry.set_millis(u32::try_from(wait).unwrap_or(u32::MAX));
    }
}

fn read_start_waits(heartbeat: wire::beat::Reader) -> capnp::Result<StartWaits> {
    let waits = heartbeat.get_start_waits()?;
    let entries = waits.get_by_priority()?.iter();
    let entries = entries.map(|entry| (entry.get_priority(), Millis::from(entry.get_millis())));
    Ok(StartWaits {
        rate: waits.get_rate(),
        by_priority: entries.collect(),
    })
}

fn encode_standing(standing: Standing) -> u16 {
    match standing {
        Standing::Unstated => 0,
        Standing::WithStore => 1,
        Standing::WithoutStore => 2,
    }
}

/// Decodes a standing; one of a later version counts as none.
fn decode_standing(number: u16) -> Standing {
    match number {
        1 => Standing::WithStore,
        2 => Standing::WithoutStore,
        _ => Standing::Unstated,
    }
}

fn write_consent(consent: Consent, mut out: wire::beat::Builder) {
    match consent {
        Consent::Unknown => out.set_consent(0),
        Consent::Withheld => out.set_consent(1),
        Consent::Given(id) => {
            out.set_consent(2);
            out.set_consent_epoch(id.epoch);
            out.set_consent_number(id.number);
        }
    }
}

fn read_consent(beat: wire::beat::Reader) -> Consent {
    match beat.get_consent() {
        1 => Consent::Withheld,
        2 => Consent::Given(StandingId {
            epoch: beat.get_consent_epoch(),
            number: beat.get_consent_number(),
        }),
        _ => Consent::Unknown,
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

fn read_heartbeat(heartbeat: wire::beat::Reader) -> capnp::Result<Heartbeat> {
    let mut changes = Vec::new();
    for change in heartbeat.get_changes()? {
        changes.push(read_change(change)?);
    }
    let mut pending = Vec::new();
    for entry in heartbeat.get_pending()? {
        pending.push((entry.get_queue()?.to_string()?, entry.get_jobs()));
    }
    let mut waits = Vec::new();
    for entry in heartbeat.get_waits()? {
        waits.push(ExpectedWait {
            queue: entry.get_queue()?.to_string()?,
            workspace: entry.get_workspace()?.to_string()?,
            wait: Millis::from(entry.get_millis()),
        });
    }
    Ok(Heartbeat {
        name: heartbeat.get_name()?.to_string()?,
        boot: heartbeat.get_boot(),
        address: heartbeat.get_address()?.to_string()?,
        epoch: heartbeat.get_epoch(),
        owns: heartbeat.get_owns(),
        leaving: heartbeat.get_leaving(),
        configuration: heartbeat.get_configuration(),
        configuration_age: heartbeat.get_configuration_age().checked_sub(1),
        operator_rows: heartbeat.get_operator_rows(),
        reaches_store: heartbeat.get_reaches_store(),
        owner_silence: heartbeat.get_owner_silence(),
        strength: heartbeat.get_strength(),
        membership: heartbeat.get_membership(),
        changes,
        owner: heartbeat.get_owner()?.to_string()?,
        interval: heartbeat.get_interval(),
        claim_age: heartbeat.get_claim_age().checked_sub(1),
        millicores: heartbeat.get_millicores(),
        pending,
        waits,
        start_waits: read_start_waits(heartbeat)?,
        standing: decode_standing(heartbeat.get_standing()),
        standing_number: heartbeat.get_standing_number(),
        receiver_boot: heartbeat.get_receiver_boot(),
        consent: read_consent(heartbeat),
    })
}

fn write_job_request(request: &JobRequest, mut out: wire::question::Builder) {
    out.set_job(request.job.0);
    let mut caller = out.init_caller();
    match &request.caller {
        Caller::Anonymous => caller.set_anonymous(()),
        Caller::Workspace(name) => caller.set_workspace(name),
        Caller::Operator => caller.set_operator(()),
    }
}

fn read_job_request(request: wire::question::Reader) -> capnp::Result<JobRequest> {
    use wire::question::caller;
    let caller = match request.get_caller().which()? {
        caller::Anonymous(()) => Caller::Anonymous,
        caller::Workspace(name) => Caller::Workspace(name?.to_string()?),
        caller::Operator(()) => Caller::Operator,
    };
    Ok(JobRequest {
        job: JobId(request.get_job()),
        caller,
    })
}

fn write_call(call: &NodeCall, mut out: wire::request::Builder) {
    match call {
        NodeCall::Beat(heartbeat) => write_heartbeat(heartbeat, out.init_beat()),
        NodeCall::Accepted(row) => out.set_accepted(row),
        NodeCall::State(request) => write_job_request(request, out.init_state_for()),
        NodeCall::Cancel(request) => write_job_request(request, out.init_cancel_for()),
        NodeCall::Advise { step, workers } => {
            let mut advise = out.init_advise();
            advise.set_step(step);
            let mut list = advise.init_workers(workers.len() as u32);
            for (index, worker) in workers.iter().enumerate() {
                list.set(index as u32, worker);
            }
        }
        NodeCall::Configuration(version) => out.set_configuration(*version),
        NodeCall::ConfigurationPiece(request) => {
            let mut piece = out.init_configuration_piece();
            piece.set_above(request.above);
            piece.set_digest(request.digest);
            piece.set_offset(request.offset);
        }
        NodeCall::Relay(call) => out.set_relay(call),
        NodeCall::Explain(request) => write_job_request(request, out.init_explain_for()),
        NodeCall::Intake {
            job,
            refused_for,
            starts,
        } => {
            let mut intake = out.init_intake();
            intake.set_job(job.0);
            intake.set_refused_for(u32::try_from(*refused_for).unwrap_or(u32::MAX));
            if let Some(demand) = starts {
                intake.set_priority(demand.priority);
                intake.set_tasks(demand.tasks);
                intake.set_spare(demand.spare);
            }
        }
        NodeCall::Write(rows) => {
            let mut list = out.init_write(rows.len() as u32);
            for (index, (key, value)) in rows.iter().enumerate() {
                let mut row = list.reborrow().get(index as u32);
                row.set_key(key);
                row.set_value(value);
            }
        }
    }
}

fn read_call(call: wire::request::Reader) -> capnp::Result<NodeCall> {
    Ok(match call.which()? {
        wire::request::Beat(heartbeat) => NodeCall::Beat(Box::new(read_heartbeat(heartbeat?)?)),
        wire::request::Accepted(row) => NodeCall::Accepted(row?.to_vec()),
        wire::request::State(id) => NodeCall::State(JobRequest::from_older_node(id)),
        wire::request::Cancel(id) => NodeCall::Cancel(JobRequest::from_older_node(id)),
        wire::request::StateFor(request) => NodeCall::State(read_job_request(request?)?),
        wire::request::CancelFor(request) => NodeCall::Cancel(read_job_request(request?)?),
        wire::request::ExplainFor(request) => NodeCall::Explain(read_job_request(request?)?),
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
        wire::request::Intake(intake) => {
            let intake = intake?;
            let demand = StartDemand {
                priority: intake.get_priority(),
                tasks: intake.get_tasks(),
                spare: intake.get_spare(),
            };
            NodeCall::Intake {
                job: JobId(intake.get_job()),
                refused_for: intake.get_refused_for().into(),
                starts: (demand.tasks > 0).then_some(demand),
            }
        }
        wire::request::Configuration(version) => NodeCall::Configuration(version),
        wire::request::ConfigurationPiece(request) => {
            let request = request?;
            NodeCall::ConfigurationPiece(PieceRequest {
                above: request.get_above(),
                digest: request.get_digest(),
                offset: request.get_offset(),
            })
        }
        wire::request::Relay(call) => NodeCall::Relay(call?.to_vec()),
        wire::request::Explain(id) => NodeCall::Explain(JobRequest::from_older_node(id)),
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
        NodeReply::Beat(heartbeat) => write_heartbeat(heartbeat, out.init_beat()),
        NodeReply::NotOwner => out.set_not_owner(()),
        NodeReply::Taken => out.set_taken(()),
        NodeReply::State(state) => out.set_state(state_number(*state)),
        NodeReply::UnknownJob => out.set_unknown_job(()),
        NodeReply::FirstRefused(since) => out.set_first_refused(*since),
        NodeReply::StartsWait(wait) => out.set_starts_wait(*wait),
        NodeReply::Cancelled => out.set_cancelled(()),
        NodeReply::Unavailable => out.set_unavailable(()),
        NodeReply::Tickets(tickets) => {
            let mut list = out.init_tickets(tickets.len() as u32);
            for (index, (worker, ticket)) in tickets.iter().enumerate() {
                let mut entry = list.reborrow().get(index as u32);
                entry.set_worker(worker);
                entry.set_ticket(ticket);
            }
        }
        NodeReply::Configuration(body) => out.set_configuration(body),
        NodeReply::ConfigurationPiece(piece) => {
            let mut wire_piece = out.init_configuration_piece();
            wire_piece.set_version(piece.version);
            wire_piece.set_digest(piece.digest);
            wire_piece.set_size(piece.size);
            wire_piece.set_offset(piece.offset);
            wire_piece.set_bytes(&piece.bytes);
        }
        NodeReply::NothingNewer => out.set_nothing_newer(()),
        NodeReply::Relayed(body) => out.set_relayed(body),
        NodeReply::Explained(view) => out.set_explained(view),
        NodeReply::Written(outcomes) => {
            let mut list = out.init_written(outcomes.len() as u32);
            for (index, outcome) in outcomes.iter().enumerate() {
                list.set(index as u32, outcome_number(*outcome));
            }
        }
    }
}

fn read_reply(reply: wire::reply::Reader) -> capnp::Result<NodeReply> {
    Ok(match reply.which()? {
        wire::reply::Beat(heartbeat) => NodeReply::Beat(Box::new(read_heartbeat(heartbeat?)?)),
        wire::reply::NotOwner(()) => NodeReply::NotOwner,
        wire::reply::Taken(()) => NodeReply::Taken,
        wire::reply::State(number) => NodeReply::State(state_from_number(number)?),
        wire::reply::UnknownJob(()) => NodeReply::UnknownJob,
        wire::reply::FirstRefused(since) => NodeReply::FirstRefused(since),
        wire::reply::StartsWait(wait) => NodeReply::StartsWait(wait),
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
        wire::reply::ConfigurationPiece(piece) => {
            let piece = piece?;
            NodeReply::ConfigurationPiece(Piece {
                version: piece.get_version(),
                digest: piece.get_digest(),
                size: piece.get_size(),
                offset: piece.get_offset(),
                bytes: piece.get_bytes()?.to_vec(),
            })
        }
        wire::reply::NothingNewer(()) => NodeReply::NothingNewer,
        wire::reply::Relayed(body) => NodeReply::Relayed(body?.to_vec()),
        wire::reply::Explained(view) => NodeReply::Explained(view?.to_vec()),
        wire::reply::Written(numbers) => {
            NodeReply::Written(numbers?.iter().map(outcome_from_number).collect())
        }
    })
}

/// An outcome is encoded as its index here, so the order is part of the protocol.  Load and size are
/// judged before a row is written, so `Overloaded` and `TooLarge` are never sent.
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

/// Decodes an outcome.  A number that is not known here counts as `Doubtful`: the row may have been
/// written or not.
fn outcome_from_number(number: u16) -> SubmitOutcome {
    OUTCOMES
        .get(usize::from(number))
        .copied()
        .unwrap_or(SubmitOutcome::Doubtful)
}

/// A state is encoded as its index here, so the order is part of the protocol.
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

fn state_from_number(number: u16) -> capnp::Result<JobState> {
    STATES
        .get(usize::from(number))
        .copied()
        .ok_or_else(|| capnp::Error::failed(format!("no job state has the number {number}")))
}
