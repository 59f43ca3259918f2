@0xd3c1f0a79b5e4c12;

# Messages between routers and agents (RPC over TCP) and between all members (RPC over TCP and gossip
# over UDP).

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wagtailwind::rpc::schema");

enum Outcome {
  result @0;
  notRun @1;
  unknown @2;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ChatCall {
  model @0 :Text;
  adapter @1 :Text;
  chat @2 :Text;
  # Empty if the request does not continue a chat.
  body @3 :Data;
  # The caller's JSON request body.
  stream @4 :Bool;
  promptTokens @5 :UInt32;
  # Estimated by the router.
  maxOutputTokens @6 :UInt32;
  prefixHash @7 :UInt64;
  # Hash of the messages before the last one; 0 if there are none.
  lastResort @8 :Bool;
  # All candidates were at their load limit; the agent admits up to its full capacity.
}

struct ServiceCall {
  service @0 :Text;
  method @1 :Text;
  path @2 :Text;
  headers @3 :List(Header);
  body @4 :Data;
  repeatable @5 :Bool;
}

struct Call {
  requestId @0 :Data;
  # 16 bytes.
  attempt @1 :UInt32;
  routerIncarnation @2 :UInt64;
  agentIncarnation @3 :UInt64;
  # The incarnation that the router addresses; any other incarnation answers notRun.
  organisation @4 :Text;
  priorityClass @5 :Text;
  deadlineMs @6 :UInt32;
  # Remaining time.
  requestKey @7 :Text;
  # Empty if there is none.
  configurationVersion @8 :UInt64;
  union {
    chat @9 :ChatCall;
    service @10 :ServiceCall;
  }
}

struct Admission {
  requestId @0 :Data;
  attempt @1 :UInt32;
  agentIncarnation @2 :UInt64;
  union {
    admitted @3 :Text;
    # The answer id, which resume() takes.
    refused @4 :Refusal;
    # The call has not run and will not run.
  }
}

struct Refusal {
  reason @0 :UInt8;
  # requests::FailureReason.
  retryAfterMs @1 :UInt32;
  redirects @2 :List(Text);
  # Endpoint names to try next, best first.
  outcome @3 :Outcome;
  # notRun; unknown if the request key was used before.
}

struct AnswerHead {
  status @0 :UInt16;
  headers @1 :List(Header);
  cachedTokens @2 :UInt32;
}

struct AnswerEnd {
  complete @0 :Bool;
  outcome @1 :Outcome;
  # Valid only if the answer is incomplete.
  reason @2 :UInt8;
  # requests::FailureReason.
  totalBytes @3 :UInt64;
  # Valid only if the answer is complete; the receiver compares it with the received length.
}

interface AnswerSink {
  head @0 (requestId :Data, attempt :UInt32, head :AnswerHead) -> ();
  chunk @1 (offset :UInt64, data :Data) -> stream;
  end @2 (end :AnswerEnd) -> ();
}

interface CallHandle {
  cancel @0 () -> ();
}

struct ChatMoved {
  organisation @0 :Text;
  chat @1 :Text;
  endpoint @2 :Text;
  # The endpoint that serves the chat now.
}

interface AgentService {
  execute @0 (call :Call, sink :AnswerSink) -> (admission :Admission, handle :CallHandle);
  # Returns as soon as the call is admitted or refused; the answer goes to the sink.
  resume @1 (answerId :Text, organisation :Text, offset :UInt64, sink :AnswerSink)
      -> (found :Bool, handle :CallHandle);
  chatMoved @2 (moved :ChatMoved) -> ();
}

struct MemberRecord {
  instance @0 :Text;
  role @1 :UInt8;
  zone @2 :Text;
  region @3 :Text;
  incarnation @4 :UInt64;
  rpcAddress @5 :Text;
  gossipAddress @6 :Text;
  state @7 :UInt8;
  stateNumber @8 :UInt32;
  endpoint @9 :EndpointRecord;
  # Null for routers.
}

struct EndpointRecord {
  endpoint @0 :Text;
  kind @1 :UInt8;
  pool @2 :Text;
  capacity @3 :UInt32;
  models @4 :List(Text);
}

struct LoadRecord {
  endpointHash @0 :UInt64;
  # StableHash of the endpoint's name.
  workTokens @1 :UInt32;
  ageMs @2 :UInt16;
}

struct ConfigurationDigest {
  version @0 :UInt64;
  confirmationAgeMs @1 :UInt32;
  # 0xffffffff if the version was never confirmed.
}

struct PoolSummary {
  zoneHash @0 :UInt64;
  poolHash @1 :UInt64;
  workTokens @2 :UInt64;
  capacity @3 :UInt64;
  ageMs @4 :UInt16;
}

struct MemberStatus {
  memberKey @0 :UInt64;
  # StableHash of the instance's name, seeded with the incarnation.
  state @1 :UInt8;
  stateNumber @2 :UInt32;
}

struct GossipDatagram {
  sender @0 :Text;
  senderIncarnation @1 :UInt64;
  sequence @2 :UInt32;
  # Sequence number of a probe; its acknowledgement repeats it.
  kind :union {
    probe @3 :Void;
    acknowledgement @4 :Void;
    probeRequest @5 :Text;
    # The member that the receiver is asked to probe for the sender.
    push @6 :Void;
  }
  configuration @7 :ConfigurationDigest;
  change @8 :Data;
  # One configuration change; empty if there is none or it is too large.
  members @9 :List(MemberRecord);
  loads @10 :List(LoadRecord);
  pools @11 :List(PoolSummary);
  membershipDigest @12 :UInt64;
  # Hash over (instance, incarnation, whether leaving) of all members that are not dead to the sender.
  statuses @13 :List(MemberStatus);
  # State changes of members whose records the receiver is expected to have.
  pullConfiguration @14 :Bool;
  # Asks the receiver to pull the document: the sender has a newer configuration, but the change does
  # not fit.
  introduce @15 :Bool;
  # Asks the receiver for its own member record.
  loadWords @16 :List(UInt64);
  # Loads of the zone's endpoints, one per word; replaces `loads`. From the highest bits: the lower 32
  # bits of StableHash of the endpoint's name, 16 bits of work tokens as a float (exponent 5 bits,
  # mantissa 11 bits), and 16 bits of age in ms.
}

interface PeerService {
  members @0 () -> (members :List(MemberRecord));
  configuration @1 (afterVersion :UInt64) -> (version :UInt64, document :Data, confirmationAgeMs :UInt32);
  # The document is empty if the peer has no newer version.
}

interface Bootstrap {
  # Interface that each process serves at its RPC address.
  agent @0 () -> (agent :AgentService);
  # Fails if the process is a router.
  peer @1 () -> (peer :PeerService);
}
