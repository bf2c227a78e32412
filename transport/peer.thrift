// Messages between nodes. Generated code is committed under transport/gen;
// regenerate it with scripts/generate.
include "suspect.thrift"
namespace cpp peridotspar.wire

struct backend_use {
  1: i64 backend      // hash of the backend server's name
  2: list<i16> running // by tier
  3: i16 long_work
}
struct pool_demand {
  1: i64 pool         // hash of the pool's name
  2: list<i16> waiting
}
struct crash_record {
  1: i64 backend
  2: i64 fingerprint
  3: bool quarantined
}
struct digest {
  1: i64 view         // hash of the nodes that are live for the sender
  2: list<backend_use> uses
  3: list<pool_demand> demands
  4: list<crash_record> crashes
  5: list<i64> slow
  6: list<suspect.suspect> suspects
}
struct heartbeat {
  1: string node
  2: i64 incarnation
  3: i64 counter
  4: bool leaving
  5: string address
  6: i16 http_port_bits // the unsigned port as a signed number of 16 bits
  7: i16 peer_port_bits
  8: string failure_domain
  9: i16 load_percent
}
struct load_report {
  1: i64 backend
  2: i32 running
  3: i32 waiting
  4: i32 age_ms
}
// The platform's VM list; a higher version is newer.
struct vm_list {
  1: i64 version
  2: list<string> nodes
  3: list<i64> leaving_backends
}
struct gossip {
  1: optional digest state
  2: list<heartbeat> heartbeats
  3: i64 config_revision
  4: i64 vm_version
  5: optional vm_list vms // sent only to a peer that has an older one
  6: list<load_report> loads
}
struct gossip_reply {
  1: i64 config_revision
  2: i64 vm_version
  3: optional vm_list vms
}
struct cap_claim {
  1: i64 account      // hash of the account's name
  2: double tokens_per_s
  3: i32 concurrent
}
struct cap_claims {
  1: list<cap_claim> claims
}
struct cap_grants {
  1: list<cap_claim> grants
}
struct yield_request {
  1: i64 backend
  2: i16 above
}
struct config_request {
}
struct config_reply {
  1: i64 revision
  2: string text
}

// A message with its sender and its message authentication code.
struct sealed {
  1: string sender
  2: i32 kind
  3: i64 sequence
  4: i64 unix_ms
  5: binary payload
  6: binary code
}

service peer {
  sealed call(1: sealed message)
}
