@0xd3a1f0b52c6e4987;

# Frames sent between the system's processes. The fields of a struct are
# numbered in the order of the data class in message.py. Enumerations are sent
# as the position of the member in its Python enumeration. Durations are in
# seconds unless the field's name ends in Ms.

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
    sealReply @9 :Report;
    heartbeat @10 :Heartbeat;
    heartbeatReply @11 :HeartbeatReply;
    entryState @12 :EntryState;
    ask @13 :Ask;
    askReply @14 :AskReply;
    cancelJob @15 :CancelJob;
    look @16 :Look;
    serverFacts @17 :ServerFacts;
    agentBeat @18 :AgentBeat;
    entryBeat @19 :EntryBeat;
    startRuns @20 :StartRuns;
    stopRuns @21 :StopRuns;
    runReports @22 :RunReports;
    liveRuns @23 :LiveRuns;
    entryHello @24 :EntryHello;
    operatorRecord @25 :OperatorRecord;
    heldEnds @26 :HeldEnds;
    settleEnds @27 :SettleEnds;
    jobQuestion @28 :JobQuestion;
    jobReply @29 :JobReply;
    serverCrash @30 :ServerCrash;
    crashSummary @31 :CrashSummary;
    entryLoad @32 :EntryLoad;
    forwardJob @33 :ForwardJob;
    forwardReply @34 :ForwardReply;
    forwardEnd @35 :ForwardEnd;
    forwardCancel @36 :ForwardCancel;
  }
}

# Frames exchanged before both ends have proved that they hold the shared key.
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

# Used by both Claim and Accept.
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

# Assign, Report and SealReply carry the tasks. Their job, ballot and tasks are
# flattened into the struct, because each access to a nested struct or list is
# costly in pycapnp.
#
# Assign.numbers holds the index and attempt of each task.

struct Assign {
  organisation @0 :Text;
  key @1 :Text;
  service @2 :Text;
  generation @3 :Int64;
  coordinator @4 :Text;
  agent @5 :Text;
  numbers @6 :List(Int64);
  payloads @7 :List(Text);
  timeouts @8 :List(Float64);
  want @9 :Int64;
  urgentS @10 :Float64;
  mayQueue @11 :Bool;
}

# Report.numbers holds the index, attempt and code of each task report. The
# code is state + 16 * outcome kind + 256 * refusal; outcome kinds count from 1
# and 0 means that there is no outcome. Report.texts holds the result and the
# reason of each outcome, Report.runs the run time of each task report.

struct Report {
  organisation @0 :Text;
  key @1 :Text;
  generation @2 :Int64;
  coordinator @3 :Text;
  agent @4 :Text;
  numbers @5 :List(Int64);
  texts @6 :List(Text);
  # Unused in a SealReply.
  free @7 :Int64;
  received @8 :Int64;
  runs @9 :List(Float64);
}

struct Want {
  entry @0 :Text;
  service @1 :Text;
  count @2 :Int64;
  urgentS @3 :Float64;
  mayQueue @4 :Bool;
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
  holdsLease @7 :Bool;
}

struct Ask {
  job @0 :JobRef;
  entry @1 :Text;
  digest @2 :Text;
}

struct CancelJob {
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

# Messages of the scheduler for multi-step jobs; see scheduling/runmessage.py.

struct Room {
  cpu @0 :Int64;
  memoryMb @1 :Int64;
  gpu @2 :Int64;
}

struct ServerFacts {
  agent @0 :Text;
  server @1 :Text;
  service @2 :Text;
  zone @3 :Text;
  labels @4 :List(Text);
  capacity @5 :Room;
}

struct AgentBeat {
  clockMs @0 :Int64;
  state @1 :UInt8;
  freeCpu @2 :Int64;
  freeMemoryMb @3 :Int64;
  freeGpu @4 :Int64;
  speed @5 :Float64;
  received @6 :Int64;
}

struct EntryBeat {
  echoMs @0 :Int64;
  operatorOffset @1 :Int64;
  withdrawn @2 :Bool;
  isNear @3 :Bool;
  entries @4 :List(Text);
  keptJobs @5 :Bool;
  services @6 :List(Text);
}

struct RunOrder {
  step @0 :Int64;
  index @1 :Int64;
  attempt @2 :Int64;
}

struct StartRuns {
  job @0 :Text;
  payload @1 :Text;
  cpu @2 :Int64;
  memoryMb @3 :Int64;
  gpu @4 :Int64;
  expectedMs @5 :Int64;
  priority @6 :Int64;
  echoMs @7 :Int64;
  waitMs @8 :Int64;
  orders @9 :List(RunOrder);
  kept @10 :Bool;
  route @11 :Text;
  exclusive @12 :Bool;
  echoAgeMs @13 :Int64;
}

struct LostRun {
  job @0 :Text;
  step @1 :Int64;
  index @2 :Int64;
  route @3 :Text;
  entry @4 :Text;
  ageMs @5 :Int64;
}

struct ServerCrash {
  agent @0 :Text;
  server @1 :Text;
  startedUnixMs @2 :Int64;
  ageMs @3 :Int64;
  certain @4 :Bool;
  rows @5 :List(LostRun);
}

struct ConfinedRoute {
  route @0 :Text;
  forMs @1 :Int64;
}

struct CrashedAgent {
  agent @0 :Text;
  ageMs @1 :Int64;
}

struct CrashSummary {
  confined @0 :List(ConfinedRoute);
  blamedJobs @1 :List(Text);
  agents @2 :List(CrashedAgent);
  utilisation @3 :Float64;
}

struct StopRuns {
  job @0 :Text;
  attempts @1 :List(Int64);
}

struct RunReport {
  job @0 :Text;
  attempt @1 :Int64;
  end @2 :UInt8;
  runMs @3 :Int64;
  percent @4 :Int64;
}

struct RunReports {
  rows @0 :List(RunReport);
}

struct LiveRun {
  job @0 :Text;
  attempt @1 :Int64;
}

struct LiveRuns {
  rows @0 :List(LiveRun);
}

struct HeldEnd {
  job @0 :Text;
  step @1 :Int64;
  index @2 :Int64;
  sequence @3 :Int64;
  entry @4 :Text;
  attempt @5 :Int64;
  end @6 :UInt8;
  runMs @7 :Int64;
}

struct HeldEnds {
  server @0 :Text;
  rows @1 :List(HeldEnd);
}

struct SettleEnds {
  server @0 :Text;
  taken @1 :List(Int64);
  void @2 :List(Int64);
}

struct PendingJobs {
  route @0 :Text;
  jobs @1 :Int64;
}

struct EntryHello {
  address @0 :Text;
  operatorOffset @1 :Int64;
  parts @2 :List(Int64);
  pending @3 :List(PendingJobs);
  keptJobs @4 :Bool;
  acceptsJobs @5 :Bool;
}

struct JobQuestion {
  number @0 :Int64;
  job @1 :Text;
}

struct JobReply {
  number @0 :Int64;
  state @1 :Text;
  isKnown @2 :Bool;
}

struct OperatorRecord {
  offset @0 :Int64;
  text @1 :Text;
}

struct ServiceLoad {
  service @0 :Text;
  usableCpu @1 :Int64;
  freeCpu @2 :List(Int64);
}

struct EntryLoad {
  number @0 :Int64;
  isQuestion @1 :Bool;
  forwarded @2 :List(Int64);
  rows @3 :List(ServiceLoad);
  clockMs @4 :Int64;
}

struct StepSpec {
  count @0 :Int64;
  room @1 :Room;
  estimatedS @2 :Float64;
  after @3 :List(Int64);
  requiredLabel @4 :Text;
  dataRack @5 :Text;
  maxPerServer @6 :Int64;
  unsupported @7 :List(Text);
}

struct JobSpec {
  job @0 :Text;
  payload @1 :Text;
  steps @2 :List(StepSpec);
  kept @3 :Bool;
  times @4 :Int64;
}

struct ForwardJob {
  number @0 :Int64;
  spec @1 :JobSpec;
  route @2 :Text;
  leftMs @3 :Int64;
  objectiveLeftMs @4 :Int64;
  echoMs @5 :Int64;
}

struct ForwardReply {
  number @0 :Int64;
  accepted @1 :Bool;
  reason @2 :Text;
}

struct ForwardEnd {
  number @0 :Int64;
  outcome @1 :Text;
  reason @2 :Text;
  retryAfterMs @3 :Int64;
}

struct ForwardCancel {
  number @0 :Int64;
}
