@0xd5c2f94317017e26;
# Messages between routers. Fields are only added, never changed or removed, so that different versions of the
# daemon can communicate.

struct Attempt {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
}

enum Class {
  quick @0;
  long @1;
}

enum Outcome {
  answered @0;
  notRun @1;
  unreachable @2;
  broken @3;
  cancelled @4;
}

enum Reason {
  workspaceFull @0;
  queueFull @1;
  deadline @2;
  noTarget @3;
  draining @4;
  notOwner @5;
}

struct Ask {
  attempt @0 :Attempt;
  workspace @1 :Text;
  service @2 :Text;
  target @3 :Text;
  class @4 :Class;
  estimate @5 :UInt64;
  waited @6 :UInt64; # microseconds
  remaining @7 :UInt64; # microseconds
  hops @8 :UInt8;
}

struct Charge {
  attempt @0 :Attempt;
  cost @1 :UInt64;
}

struct Floor {
  service @0 :Text;
  level @1 :UInt64;
}

struct Usage {
  workspace @0 :Text;
  service @1 :Text;
  served @2 :UInt64;
  known @3 :UInt64;
  included @4 :UInt64;
  waiting @5 :UInt32;
  running @6 :UInt32;
}

struct Report {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
  usage @2 :List(Usage);
  floors @3 :List(Floor);
}

struct Level {
  workspace @0 :Text;
  service @1 :Text;
  level @2 :UInt64;
  included @3 :UInt64;
}

struct Message {
  union {
    ask @0 :Ask;
    withdraw @1 :Attempt;
    grant :group {
      attempt @2 :Attempt;
      target @3 :Text;
    }
    refuse :group {
      attempt @4 :Attempt;
      reason @5 :Reason;
      retryAfter @6 :UInt64; # microseconds
    }
    move :group {
      attempt @7 :Attempt;
      target @8 :Text;
    }
    progress @9 :List(Charge);
    done :group {
      attempt @10 :Attempt;
      target @11 :Text;
      cost @12 :UInt64;
      outcome @13 :Outcome;
    }
    held :group {
      ask @14 :Ask;
      cost @15 :UInt64;
    }
    pull :group {
      service @16 :Text;
      target @17 :Text;
      free @18 :UInt32;
    }
    report @19 :Report;
    levels @20 :List(Level);
    resync @21 :Void;
    fetch @22 :UInt64;
    delta :group {
      from @23 :UInt64;
      to @24 :UInt64;
      body @25 :Data;
    }
    keyClaim :group {
      attempt @26 :Attempt;
      key @27 :Text;
    }
    keyVerdict :group {
      attempt @28 :Attempt;
      granted @29 :Bool;
    }
    keyRelease :group {
      attempt @30 :Attempt;
      key @31 :Text;
    }
  }
}

struct Batch {
  messages @0 :List(Message);
}

struct Load {
  target @0 :Text;
  free @1 :UInt32;
  slots @2 :UInt32;
  waiting @3 :UInt64;
}

struct Run {
  router @0 :Text;
  incarnation @1 :UInt64;
}

struct Origin {
  domain @0 :Text;
  address @1 :Data; # IPv4 or IPv6 address followed by the port, in network byte order
}

struct State {
  loads @0 :List(Load);
  floors @1 :List(Floor);
  unfit @2 :List(Text);
}

struct Contact {
  router @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Data;
}

struct Heartbeat {
  router @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  heard @3 :UInt64;
  next @4 :UInt32; # milliseconds
  ask @5 :Bool;
  leaving @6 :Bool;
  version @7 :UInt64;
  origin @8 :Origin; # null if the receiver already has it
  state @9 :State; # null if the receiver already has it
  suspects @10 :List(Run);
  members @11 :List(Contact);
}

# The batch is a packed message, because the bandwidth for control traffic is limited and most words consist mainly
# of zero bytes.
interface Session {
  deliver @0 (batch :Data) -> ();
}

# Both sides prove that they have the fleet key before any message is accepted.
interface Peer {
  challenge @0 (nonce :Data) -> (nonce :Data, proof :Data);
  hello @1 (router :Text, incarnation :UInt64, address :Data, receiver :Text, proof :Data) -> (session :Session);
}

# Load that a router puts on a target. The target is identified by a hash of its name and run.
struct TargetLoad {
  target @0 :UInt64;
  running @1 :UInt32;
  backlog @2 :UInt64; # prompt tokens sent and not yet processed
  memory @3 :UInt64; # memory that running requests take, in tokens
  suspect @4 :Bool;
}

# Tokens of a workspace's requests since the router started. The workspace is identified by a hash of its name.
struct WorkspaceUsage {
  workspace @0 :UInt64;
  asked @1 :UInt64;
  granted @2 :UInt64;
}

# Part of a prompt that was sent to a target, which therefore has it cached for a while.
struct PromptRead {
  target @0 :UInt64;
  part @1 :UInt64;
  tokens @2 :UInt32;
  prefilled @3 :Bool; # the target has finished processing it, so that others can copy it
  evicted @4 :Bool; # the target has evicted it; `target` is complemented then, which earlier releases skip as unknown
}

# Streams that began at targets of one build of a service. Service and build are identified by hashes of their names,
# streams by a hash of the workspace and the request that began them.
struct StreamOrigins {
  service @0 :UInt64;
  build @1 :UInt64;
  streams @2 :List(UInt64);
  repeated @3 :Bool; # routers that have not just started know these already
}

# What a finding says of a part: a target crashed as it began to answer a request whose prompt has it, a target of a
# software answered one, or a router is about to try one.
enum FindingKind {
  crash @0;
  pass @1;
  trial @2;
}

# Finding about a part of prompts under which targets crash. Targets and routers are identified by hashes of their names,
# software by a hash of service and build.
struct PartFinding {
  part @0 :UInt64;
  kind @1 :FindingKind;
  subject @2 :UInt64; # target that crashed, or router
  software @3 :UInt64;
  ageMillis @4 :UInt32;
  lastedMillis @5 :UInt32; # time for which the request had been at the target that crashed
  number @6 :UInt32; # number of the trial
}

# Routers whose load a summary contains. A router sends `probe` and `alive` only to routers whose list entry says that they
# answer probes.
enum Scope {
  group @0; # the sender and its followers
  follower @1; # the sender, which follows the receiver
  rest @2; # all routers but the receiver
  probe @3; # none; the receiver answers with `alive`
  alive @4; # none
}

# Lists contain absolute values, of the items that changed since the previous summary; all items are repeated from
# time to time.
struct Summary {
  router @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  version @3 :UInt64;
  leaving @4 :Bool;
  loads @5 :List(TargetLoad);
  usages @6 :List(WorkspaceUsage);
  reads @7 :List(PromptRead);
  scope @8 :Scope;
  routers @9 :UInt32; # number of routers whose load it contains
  ageMicros @10 :UInt64; # age of the oldest report that it contains, in microseconds
  origins @11 :List(StreamOrigins);
  findings @12 :List(PartFinding);
  crowdedPermille @13 :UInt16 = 65535; # thousandths of the engines that are crowded; above 1000: unknown
  limits @14 :List(TargetLimit);
  demand @15 :UInt32; # requests per second of these routers that targets are sought for
  pauses @16 :List(TargetPause);
  builds @17 :List(ServiceBuild);
}

# Build of which a target is listed.
struct ServiceBuild {
  service @0 :UInt64; # hash of its name
  build @1 :UInt64;
}

# Pause that a target asked for.
struct TargetPause {
  target @0 :UInt64; # hash of its name and start time
  remainingMillis @1 :UInt32;
}

# What the response of a target said of its limit.
struct TargetLimit {
  target @0 :UInt64; # hash of its name and start time
  ended @1 :Bool; # it named no limit, after it had named one
  milliPerS @2 :UInt32; # requests that it takes of all routers together, in thousandths per second
  sentAgeMillis @3 :UInt32; # time since the request was sent
  ageMillis @4 :UInt32; # time since the head of the response was received
  partMilliPerS @5 :UInt32; # part of the limit that the recipient may use
  slots @6 :UInt16; # number of routers that the recipient may divide it among
}
