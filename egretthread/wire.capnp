@0xd3a1f0b52c6e4987;

# Frames between the system's processes. Fields of a struct are numbered in
# the order of the data classes in message.py. Enumerations are sent as the
# position of the member in its Python enumeration. Durations are in seconds.

struct Batch {
  version @0 :UInt16;
  messages @1 :List(Message);
}

struct Message {
  union {
    claim @0 :RegistrationRequest;
    prepare @1 :Prepare;
    accept @2 :RegistrationRequest;
    witnessReply @3 :WitnessReply;
    assign @4 :Assign;
    report @5 :Report;
    want @6 :Want;
    credit @7 :Credit;
    seal @8 :Seal;
    sealReply @9 :SealReply;
    heartbeat @10 :Heartbeat;
    heartbeatReply @11 :HeartbeatReply;
    entryState @12 :EntryState;
    ask @13 :JobRequest;
    askReply @14 :AskReply;
    cancelJob @15 :JobRequest;
    look @16 :Look;
  }
}

# The first frames of a link, before both ends have proved the shared key.
struct Handshake {
  union {
    hello @0 :Hello;
    proof @1 :Data;
    refusal @2 :Text;
  }
}

struct Hello {
  version @0 :UInt16;
  node @1 :Text;
  role @2 :Text;
  nonce @3 :Data;
}

struct JobRef {
  organisation @0 :Text;
  key @1 :Text;
}

struct Ballot {
  generation @0 :Int64;
  coordinator @1 :Text;
}

struct Registration {
  digest @0 :Text;
  ballot @1 :Ballot;
  agents @2 :List(Text);
  closed @3 :Bool;
  notRun @4 :List(Int64);
}

# Claim and Accept.
struct RegistrationRequest {
  job @0 :JobRef;
  shard @1 :Int64;
  epoch @2 :Int64;
  registration @3 :Registration;
}

struct Prepare {
  job @0 :JobRef;
  shard @1 :Int64;
  epoch @2 :Int64;
  ballot @3 :Ballot;
}

struct Look {
  job @0 :JobRef;
  shard @1 :Int64;
  epoch @2 :Int64;
}

struct WitnessReply {
  job @0 :JobRef;
  ballot @1 :Ballot;
  request @2 :Text;
  witness @3 :Text;
  verdict @4 :UInt8;
  promised @5 :Ballot;
  registration @6 :Registration;
}

# The tasks are sent by column, which costs less to read than by row.
struct Assign {
  job @0 :JobRef;
  service @1 :Text;
  ballot @2 :Ballot;
  agent @3 :Text;
  indices @4 :List(Int64);
  attempts @5 :List(Int64);
  payloads @6 :List(Text);
  timeouts @7 :List(Float64);
}

# Task reports by column. An outcome's kind counts from 1; 0 means none. The
# texts hold result and reason of each outcome, in the order of the outcomes.
struct TaskReports {
  indices @0 :List(Int64);
  attempts @1 :List(Int64);
  states @2 :List(UInt8);
  refusals @3 :List(UInt8);
  kinds @4 :List(UInt8);
  results @5 :List(Text);
  reasons @6 :List(Text);
}

struct Report {
  job @0 :JobRef;
  ballot @1 :Ballot;
  agent @2 :Text;
  tasks @3 :TaskReports;
  free @4 :Int64;
  received @5 :Int64;
}

struct Want {
  entry @0 :Text;
  service @1 :Text;
  count @2 :Int64;
  waitedS @3 :Float64;
}

struct Credit {
  agent @0 :Text;
  free @1 :Int64;
  received @2 :Int64;
}

struct Seal {
  job @0 :JobRef;
  ballot @1 :Ballot;
  agent @2 :Text;
}

struct SealReply {
  job @0 :JobRef;
  ballot @1 :Ballot;
  agent @2 :Text;
  tasks @3 :TaskReports;
}

struct ShardView {
  shard @0 :Int64;
  epoch @1 :Int64;
  members @2 :List(Text);
  fenced @3 :Bool;
}

struct ShardEpoch {
  first @0 :Int64;
  second @1 :Int64;
}

struct Heartbeat {
  agent @0 :Text;
  zone @1 :Text;
  service @2 :Text;
  processors @3 :Int64;
  memoryBytes @4 :Int64;
  slots @5 :Int64;
  free @6 :Int64;
  healthy @7 :Bool;
  draining @8 :Bool;
  failureShare @9 :Float64;
  sentS @10 :Float64;
  received @11 :Int64;
  shardEpochs @12 :List(ShardEpoch);
}

struct HeartbeatReply {
  entry @0 :Text;
  echoS @1 :Float64;
  configOffset @2 :Int64;
  leaseS @3 :Float64;
  withdrawn @4 :Bool;
  draining @5 :Bool;
  slots @6 :Int64;
  retentionS @7 :Float64;
  clockErrorS @8 :Float64;
  entries @9 :List(Text);
  shards @10 :List(ShardView);
}

struct Demand {
  first @0 :Text;
  second @1 :Float64;
}

struct EntryState {
  entry @0 :Text;
  address @1 :Text;
  sentS @2 :Float64;
  echoS @3 :Float64;
  configOffset @4 :Int64;
  logAgeS @5 :Float64;
  demand @6 :List(Demand);
}

# Ask and CancelJob.
struct JobRequest {
  job @0 :JobRef;
  entry @1 :Text;
}

struct Outcome {
  kind @0 :UInt8;
  result @1 :Text;
  reason @2 :Text;
}

struct AskReply {
  job @0 :JobRef;
  entry @1 :Text;
  status @2 :UInt8;
  outcomes @3 :List(Outcome);
}
