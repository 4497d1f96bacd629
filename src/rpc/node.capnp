@0xb7d35be0f4a1c6d2;
# The protocol between nodes of one cell.  Generated code is committed as node_capnp.rs:
#   capnp compile -orust:src/rpc --src-prefix=src/rpc src/rpc/node.capnp

annotation parentModule @0xabee386cd1450364 (file) :Text;
$parentModule("rpc");

interface Node {
  call @0 (request :Request) -> (reply :Reply);
}

struct Request {
  union {
    # A heartbeat, from the owner or from a node that looks for the owner.
    beat @0 :Beat;
    # Announces a job whose row is stored durably: JSON of cell::record::JobRow.
    accepted @1 :Data;
    # Asks for the state of the job with this id; from a node of a version without workspaces.
    state @2 :UInt64;
    # Cancels the job with this id; from a node of a version without workspaces.
    cancel @3 :UInt64;
    # Asks the receiver to call the advice service about where a step may run.
    advise @4 :Advise;
    # Asks for the configuration if it is newer than this version; from a node of a version without
    # pieces.
    configuration @5 :UInt64;
    # Asks the receiver to make a store call for the sender: JSON of store::StoreCall.
    relay @6 :Data;
    # Asks for the details of the job with this id; from a node of a version without workspaces.
    explain @7 :UInt64;
    # Job rows that the receiver writes to the store together with its own.
    write @8 :List(JobRow);
    # Asks for the state of a job on behalf of a caller.
    stateFor @9 :Question;
    # Cancels a job on behalf of a caller.
    cancelFor @10 :Question;
    # Asks for the details of a job on behalf of a caller.
    explainFor @11 :Question;
    # Asks the owner about a job that the sender may refuse because of load.
    intake @12 :Intake;
    # Asks for a piece of the configuration.
    configurationPiece @13 :PieceRequest;
  }
}

struct PieceRequest {
  # The version in force at the sender; only a newer one is sent.
  above @0 :UInt64;
  # The digest of the encoded configuration of which the sender has a part; 0 if it has none.
  digest @1 :UInt64;
  # How many bytes of it the sender has.
  offset @2 :UInt32;
}

struct Piece {
  version @0 :UInt64;
  # The digest of the whole encoded configuration.
  digest @1 :UInt64;
  # Its size in bytes.
  size @2 :UInt32;
  # Where this piece begins.
  offset @3 :UInt32;
  bytes @4 :Data;
}

struct Intake {
  job @0 :UInt64;
  # The sender refuses the job unless the owner knows it, and the refusal counts against the job's
  # limit for this long, in milliseconds; 0 if the sender does not refuse it.
  refusedFor @1 :UInt32;
  # The priority number of its queue.
  priority @2 :UInt32;
  # How many tasks it has; 0 from a node that doesn't ask how long their starts wait.
  tasks @3 :UInt64;
  # How long its starts may wait, in milliseconds.
  spare @4 :UInt64;
}

struct Question {
  job @0 :UInt64;
  caller :union {
    anonymous @1 :Void;
    # The name of the workspace whose key the caller has sent.
    workspace @2 :Text;
    operator @3 :Void;
  }
}

struct Reply {
  union {
    beat @0 :Beat;
    # The receiver does not own the cell.
    notOwner @1 :Void;
    taken @2 :Void;
    state @3 :UInt16;
    unknownJob @4 :Void;
    # The cancellation is recorded.
    cancelled @5 :Void;
    # The call could not be served now; it may be repeated.
    unavailable @6 :Void;
    tickets @7 :List(Ticket);
    # JSON of queue::Configuration.
    configuration @8 :Data;
    # JSON of Result<store::StoreReply, store::StoreError>.
    relayed @9 :Data;
    # JSON of cell::view::JobView.
    explained @10 :Data;
    # The outcome of each row, in the order of the request; `rpc::node` defines the numbers.
    written @11 :List(UInt16);
    # The owner does not know the job, and a node refused it first so many milliseconds ago.
    firstRefused @12 :UInt64;
    # Of the configuration: compressed JSON of queue::Configuration.
    configurationPiece @13 :Piece;
    # The receiver has no newer configuration than the sender.
    nothingNewer @14 :Void;
    # The owner does not know the job, and its starts would wait for so many milliseconds, which is
    # longer than they may.
    startsWait @15 :UInt64;
  }
}

struct JobRow {
  key @0 :Text;
  value @1 :Text;
}

struct Beat {
  name @0 :Text;
  boot @1 :UInt64;
  address @2 :Text;
  epoch @3 :UInt64;
  owns @4 :Bool;
  leaving @5 :Bool;
  configuration @6 :UInt64;
  reachesStore @7 :Bool;
  # Milliseconds since the sender last heard the owner of `epoch`; zero if it is the owner.
  ownerSilence @8 :UInt64;
  # Changes of the list of nodes that the receiver may not know; their number is bounded.
  changes @9 :List(MemberChange);
  pending @10 :List(Pending);
  # Not used: nodes of the previous version send jobs here whose end is not recorded.
  unrecordedEnds @11 :List(End);
  # The CPU capacity that the sender can spend on owning the cell, in thousandths of a core.
  strength @12 :UInt32;
  # A digest of the list of nodes that the sender knows.
  membership @13 :UInt64;
  # The address at which the owner of `epoch` serves other nodes; empty if it is not known.
  owner @14 :Text;
  # Set by the owner only: milliseconds until its next heartbeat to the receiver.
  interval @15 :UInt32;
  # The CPU capacity of the sender's VM, in thousandths of a core.
  millicores @16 :UInt32;
  # One more than the milliseconds since a node that claims the cell was last heard of; 0 if the
  # sender knows of no such node.
  claimAge @17 :UInt32;
  # Set by the owner only: the longest expected waits of new jobs, without those that are zero.
  waits @18 :List(Wait);
  # One more than the milliseconds since the sender last knew that no newer configuration existed; 0
  # if it does not report that.
  configurationAge @19 :UInt32;
  # The version of the store up to which no row of the operator has a newer configuration; 0 if that
  # is not known.
  operatorRows @20 :UInt64;
  # Set by the owner only: how it stands without the store; `rpc::node` defines the numbers.
  standing @21 :UInt16;
  # Rises each time that changes under one epoch.
  standingNumber @22 :UInt32;
  # The start of the receiver's process that the sender knew when it determined its standing.
  receiverBoot @23 :UInt64;
  # Whether the sender has consented to an owner's going on without it; `rpc::node` defines the
  # numbers.
  consent @24 :UInt16;
  # The owner and its standing to which the sender has consented.
  consentEpoch @25 :UInt64;
  consentNumber @26 :UInt32;
  # Set by the owner only: how long new jobs wait since it can send no more starts, by priority.
  startWaits @27 :StartWaits;
}

struct End {
  job @0 :UInt64;
  state @1 :UInt16;
  # The name of the job's workspace; empty if it has none or the sender does not know it.
  workspace @2 :Text;
}

struct MemberChange {
  name @0 :Text;
  address @1 :Text;
  millicores @2 :UInt32;
  # The node is no longer a member of the cell.
  gone @3 :Bool;
}

struct Pending {
  queue @0 :Text;
  jobs @1 :UInt32;
}

struct Wait {
  queue @0 :Text;
  # The workspace for whose jobs this counts, or a control character for jobs without one; empty for
  # all others.
  workspace @1 :Text;
  # How long the first task of a new job is expected to wait, in milliseconds.
  millis @2 :UInt32;
}

struct StartWaits {
  # How many starts a second the owner carries for jobs in time; 0 if it holds nothing back.
  rate @0 :UInt32;
  byPriority @1 :List(StartWait);
}

struct StartWait {
  priority @0 :UInt32;
  # For jobs of this priority and of all greater numbers up to the next entry.
  millis @1 :UInt32;
}

struct Advise {
  step @0 :Text;
  workers @1 :List(Text);
}

struct Ticket {
  worker @0 :Text;
  ticket @1 :Text;
}
