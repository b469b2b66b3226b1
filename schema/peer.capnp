@0xb3f1c6a0d5e24917;

# Protocol between the instances of almondroad.

struct Member {
  instance @0 :Text;
  incarnation @1 :UInt64;
  peerAddress @2 :Text;
  httpAddress @3 :Text;
  zone @4 :Text;
  region @5 :Text;
  leaving @6 :Bool;
  # Grows with each heartbeat that the member itself sends; the higher counter is the newer state.
  heartbeatCounter @7 :UInt64;
  # Share of the member's request slots in use.
  loadPermille @8 :UInt32;
}

struct Holding {
  shard @0 :Text;
  holder @1 :Text;
  incarnation @2 :UInt64;
  fencing @3 :UInt64;
}

# What the sender knows of the configuration and of the store.
struct Confirmation {
  version @0 :UInt64;
  # Whether the sender read the head row in the last second.
  hasStore @1 :Bool;
  # Time since the sender last confirmed that no newer version exists.
  confirmedAgeMs @2 :UInt64;
}

struct Heartbeat {
  # Without addresses, zone and region when the receiver knows them.
  sender @0 :Member;
  # Members that changed recently, at most 2, and members asked for, at most 32.
  members @1 :List(Member);
  # Shard holders that changed recently, at most 32.
  holdings @2 :List(Holding);
  confirmation @3 :Confirmation;
  # Suspicions that are new, and the others in turn, at most 32.
  suspects @4 :List(Suspect);
  # Live members by the low bits of their heartbeat counters. They are divided into 16 groups by
  # key % 16; a key is a hash of instance and incarnation. Consecutive groups from the first one:
  # the hash of the keys, the number of members, and the counters in the order of keys.
  firstGroup @5 :UInt8;
  groupHashes @6 :List(UInt32);
  groupSizes @7 :Data;
  counters @8 :Data;
  # Live members of one group by key, with three bytes for each: low bits of the counter, counter
  # steps since the load was measured, and the load in parts of 4 permille.
  namedKeys @9 :List(UInt32);
  namedStates @10 :Data;
  # Keys whose records the sender asks for.
  wanted @11 :List(UInt32);
  # Asks for all live members by key and for all known holders.
  wantsAll @12 :Bool;
}

# A request that ran on an endpoint when the endpoint died.
struct Suspect {
  fingerprint @0 :UInt64;
  crashes @1 :UInt32;
  remainingMs @2 :UInt64;
  # Output that the request had when an endpoint died under it.
  outputTokens @3 :UInt64;
}

struct LeaseClaim {
  holding @0 :Holding;
  # Incarnation under which the witness is named in the lease row.
  witnessIncarnation @1 :UInt64;
}

struct Refund {
  # Owner's time of the grant that the tokens came from.
  grantedAtMs @0 :UInt64;
  tokens @1 :UInt64;
}

struct DrawRequest {
  organisation @0 :Text;
  instance @1 :Text;
  incarnation @2 :UInt64;
  # Tokens that waiting requests need now.
  needTokens @3 :UInt64;
  # Tokens wanted on top for the next requests.
  wantTokens @4 :UInt64;
  # Spent since the last acknowledged draw, from live grants.
  spentTokens @5 :UInt64;
  # Unspent tokens given back from live grants.
  returnedTokens @6 :UInt64;
  refunds @7 :List(Refund);
  # Number of this draw; a repeated number repeats the answer.
  sequence @8 :UInt64;
}

struct DrawAnswer {
  union {
    granted :group {
      tokens @0 :UInt64;
      grantedAtMs @1 :UInt64;
      # Time to live, counted by the receiver from the moment it sent the draw.
      timeToLiveMs @2 :UInt64;
      # When more tokens are expected, if fewer were granted than needed.
      retryAfterMs @3 :UInt64;
    }
    notHolder @4 :Holding;
    unknownOrganisation @5 :Void;
  }
}

struct HeldPart {
  organisation @0 :Text;
  # Millionths of rate and burst: the part in force, and what outstanding grants take up.
  share @1 :UInt32;
  used @2 :UInt32;
  # Tokens a second.
  demand @3 :UInt64;
  # Largest draw since the last request.
  needTokens @4 :UInt64;
}

# Asks for a region's parts of a budget shard. Names all parts that the region has.
struct PartRequest {
  region @0 :Text;
  # Fencing number of the holder that the request is made for.
  holderFencing @1 :UInt64;
  # Fencing number of the region's own lease.
  fencing @2 :UInt64;
  sequence @3 :UInt64;
  held @4 :List(HeldPart);
}

struct PartShare {
  organisation @0 :Text;
  share @1 :UInt32;
}

struct PartAnswer {
  union {
    parts :group {
      fencing @0 :UInt64;
      # Counted by the receiver from the moment it made the request.
      timeToLiveMs @1 :UInt64;
      shares @2 :List(PartShare);
    }
    notHolder @3 :Holding;
    # A later request of the region was answered already.
    stale @4 :Void;
  }
}

struct Admission {
  attempt @0 :Text;
  organisation @1 :Text;
  shard @2 :Text;
  promptTokens @3 :UInt64;
  maxOutputTokens @4 :UInt64;
  # Hashes of the prompt's prefixes, longest last, salted with the organisation.
  prefixHashes @5 :List(UInt64);
  waiting @6 :Bool;
  # Remaining time of the caller's deadline and of the queue.
  remainingMs @7 :UInt64;
  queueMs @8 :UInt64;
  fingerprint @9 :UInt64;
  suspect @10 :Bool;
  # Endpoints that failed this request already.
  avoid @11 :List(Text);
  zone @12 :Text;
  # Output from which on the decode endpoint is not put down to this request.
  proofTokens @13 :UInt64;
}

struct Plan {
  prefill @0 :Text;
  prefillAddress @1 :Text;
  decode @2 :Text;
  decodeAddress @3 :Text;
  # Wait before the prefill starts, so that its result meets a free decode slot and link.
  startAfterMs @4 :UInt64;
  transferLimitMs @5 :UInt64;
  fencing @6 :UInt64;
  freeSlots @7 :UInt32;
}

struct AdmitAnswer {
  union {
    plan @0 :Plan;
    full :group {
      retryAfterMs @1 :UInt64;
      freeSlots @2 :UInt32;
    }
    notHolder @3 :Holding;
    noEndpoint @4 :Void;
  }
}

enum AttemptEnd {
  completed @0;
  cancelled @1;
  failed @2;
  # The endpoint's process died under the attempt.
  endpointDied @3;
  # The prefill result was lost before the decode endpoint had it.
  prefillWasted @4;
}

struct FinishedAttempt {
  attempt @0 :Text;
  end @1 :AttemptEnd;
  # Endpoint that failed, empty if none.
  endpoint @2 :Text;
  outputTokens @3 :UInt64;
  firstTokenMs @4 :UInt64;
  decodeMs @5 :UInt64;
  # The endpoint refused the connection, so the attempt did not run there.
  unreached @6 :Bool;
}

struct Progress {
  attempt @0 :Text;
  outputTokens @1 :UInt64;
  organisation @2 :Text;
  prefill @3 :Text;
  decode @4 :Text;
  pieces @5 :UInt64;
  remainingMs @6 :UInt64;
  fingerprint @7 :UInt64;
  suspect @8 :Bool;
  proofTokens @9 :UInt64;
}

# A configuration change: one splice in the document's text.
struct Change {
  version @0 :UInt64;
  section @1 :Text;
  offsetBytes @2 :UInt64;
  removedBytes @3 :UInt64;
  inserted @4 :Text;
  # Hash of the whole document after the change.
  contentHash @5 :Text;
}

# A request id that the sender answers or has answered.
struct ReportedClaim {
  organisation @0 :Text;
  request @1 :Text;
  attempt @2 :Text;
  completed @3 :Bool;
  # How much longer the id of a completed request is kept.
  keptMs @4 :UInt64;
}

struct ClaimAnswer {
  union {
    claimed @0 :Void;
    # Another live attempt answers or has answered this request.
    held :group {
      attempt @1 :Text;
      completed @2 :Bool;
    }
    notHolder @3 :Holding;
  }
}

interface Peer {
  heartbeat @0 (heartbeat :Heartbeat) -> (heartbeat :Heartbeat);
  holders @1 (shards :List(Text)) -> (holdings :List(Holding));

  extendLease @2 (claim :LeaseClaim) -> (granted :Bool);
  consentTakeover @3 (claim :LeaseClaim) -> (granted :Bool);
  # The previous holder's state, sent before it writes the successor into the lease row.
  handOver @4 (shard :Text, state :Data) -> (accepted :Bool);

  draw @5 (request :DrawRequest) -> (answer :DrawAnswer);
  claimRequest @6 (organisation :Text, request :Text, attempt :Text) -> (answer :ClaimAnswer);
  finishRequest @7 (organisation :Text, request :Text, attempt :Text, completed :Bool) -> (holder :Bool);

  admit @8 (admission :Admission) -> (answer :AdmitAnswer);
  # Returns how many endpoints died under requests with this fingerprint.
  finishAttempt @9 (shard :Text, finished :FinishedAttempt, fingerprint :UInt64) -> (crashes :UInt32);
  # The complete list of the sender's live attempts in the shard.
  reportProgress @10 (instance :Text, incarnation :UInt64, shard :Text, attempts :List(Progress)) -> (holder :Bool);

  pushChange @11 (change :Change) -> (version :UInt64);
  changesSince @12 (version :UInt64) -> (changes :List(Change), version :UInt64);
  snapshot @13 () -> (version :UInt64, text :Text);
  # Asks a configuration witness to note that `version` is about to be committed.
  noteVersion @14 (version :UInt64, witnessIncarnation :UInt64) -> (noted :Bool);
  # Asks a configuration witness for the newest version that it has noted.
  notedVersion @15 (witnessIncarnation :UInt64) -> (valid :Bool, version :UInt64);

  # All request ids of a shard's organisations that the receiver answers or has answered.
  reportClaims @16 (shard :Text) -> (claims :List(ReportedClaim));
  # Notices a silent connection that carries no heartbeats.
  ping @17 () -> ();
  renewParts @18 (shard :Text, request :PartRequest) -> (answer :PartAnswer);
}
