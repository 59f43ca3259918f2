@0xb5f0a1d2c3e49687;

# Values of the claim log in the key-value service.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wagtailwind::requests::schema");

struct ClaimEntry {
  keyHashHigh @0 :UInt64;
  keyHashLow @1 :UInt64;
  # 128-bit hash of organisation and request key.
  attemptHigh @2 :UInt64;
  attemptLow @3 :UInt64;
  claimedAt @4 :UInt32;
  # Seconds since the Unix epoch.
  abandoned @5 :Bool;
  # The claimant will never send the call, so the key may be claimed again.
}

struct ClaimSegment {
  entries @0 :List(ClaimEntry);
}

struct SegmentReference {
  id @0 :UInt64;
  entryCount @1 :UInt32;
  newestClaim @2 :UInt32;
  # Seconds since the Unix epoch.
}

struct ClaimHead {
  entries @0 :List(ClaimEntry);
  segments @1 :List(SegmentReference);
}
