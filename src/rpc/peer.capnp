@0xd1c8a4f7e2b39650;
# The protocol between instances.  Generated code is committed as peer_capnp.rs:
#   capnp compile -orust:src/rpc --src-prefix=src/rpc src/rpc/peer.capnp

annotation parentModule @0xabee386cd1450364 (file) :Text;
$parentModule("rpc");

interface Peer {
  call @0 (request :Request) -> (reply :Reply);
}

struct Request {
  union {
    beat @0 :Beat;
    fence @1 :Fence;
    forward @2 :Forward;
    submit @3 :Submit;
    viewJob @4 :Text;
    cancelJob @5 :Text;
    reserve @6 :Reserve;
    adopt @7 :Adopt;
    newVersion @8 :UInt64;
    status @9 :Void;
    # The number of a reservation that will not be used.
    release @10 :UInt64;
  }
}

struct Reply {
  union {
    beat @0 :Beat;
    fence @1 :FenceReply;
    outcome @2 :Outcome;
    submitted @3 :Submitted;
    # JSON of placement::view::JobView; empty if the job is not known.
    job @4 :Data;
    cancelled @5 :Cancelled;
    reserved @6 :Reserved;
    done @7 :Void;
    # JSON of daemon::status::InstanceStatus.
    status @8 :Data;
  }
}

struct Beat {
  name @0 :Text;
  incarnation @1 :UInt64;
  hall @2 :Text;
  rpc @3 :Text;
  draining @4 :Bool;
  version @5 :UInt64;
  freeMillicores @6 :UInt64;
  freeMemoryMib @7 :UInt64;
  waitingJobs @8 :UInt32;
  ownsWorkers @9 :Bool;
  services @10 :List(ServiceLoad);
  pools @11 :List(PoolEpoch);
  # In an answer: those of the asker's pools for which a higher epoch is known.
  superseded @12 :List(PoolEpoch);
}

struct ServiceLoad {
  service @0 :Text;
  free @1 :UInt32;
  queued @2 :UInt32;
}

# A group of targets that the sender owns; a receiver that knows a higher epoch says so.
struct PoolEpoch {
  shard @0 :Text;
  epoch @1 :UInt64;
}

struct Fence {
  shard @0 :Text;
  epoch @1 :UInt64;
  # The instance whose silence is asked for.
  owner @2 :Text;
}

struct FenceReply {
  boot @0 :UInt64;
  epoch @1 :UInt64;
  ownerSilence @2 :UInt64;
}

struct Forward {
  # JSON of routing::RequestSpec; the body travels as it is.
  spec @0 :Data;
  body @1 :Data;
}

struct Outcome {
  union {
    answered @0 :Answered;
    notRun @1 :NotRun;
    unknown @2 :Text;
  }
}

struct Answered {
  status @0 :UInt16;
  target @1 :Text;
  via @2 :Text;
  body @3 :Data;
}

struct NotRun {
  reason @0 :Text;
  hasRetryAfter @1 :Bool;
  retryAfterMs @2 :UInt64;
}

struct Submit {
  job @0 :Text;
  # JSON of model::JobSpec, as in the table.
  spec @1 :Data;
}

struct Submitted {
  union {
    accepted @0 :Void;
    refused @1 :NotRun;
    unknown @2 :Void;
  }
}

struct Cancelled {
  found @0 :Bool;
  recorded @1 :Bool;
}

struct Reserve {
  millicores @0 :UInt64;
  memoryMib @1 :UInt64;
  accelerators @2 :UInt64;
  count @3 :UInt32;
  ttlMs @4 :UInt64;
}

struct Reserved {
  id @0 :UInt64;
  shards @1 :List(ShardCount);
}

struct ShardCount {
  shard @0 :Text;
  count @1 :UInt32;
}

struct Adopt {
  shard @0 :Text;
  job @1 :Text;
  reservation @2 :UInt64;
}

