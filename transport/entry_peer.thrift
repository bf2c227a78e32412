// What entry nodes on the cooperative platform tell each other. Generated code
// is committed under transport/gen; regenerate with scripts/generate.
namespace cpp peridotspar.entry_wire

struct prompt_part {
  1: i64 key
  2: i32 tokens
}
// A request that was sent to a server.
struct sent_request {
  1: string server
  2: list<prompt_part> parts
  3: i32 reading_us
  4: i64 tokens           // of engine memory
  5: i32 pause_ms         // longest that the stream bears
}
struct crash {
  1: i64 fingerprint
  2: i32 crashes
}
struct running {
  1: i32 all_requests
  3: i64 tokens           // of engine memory
  2: map<i32, i32> streams // by the longest pause that they bear, in ms
  4: i64 unread_us        // engine time for prompts not yet read
}
// Requests that wait in a node's line, of one kind.
struct waiting_work {
  1: string at_service
  2: i32 priority
  3: i32 target_ms
  4: i64 reading_us       // engine time for their prompts
}
// Sent often to each peer, as a datagram.
struct digest {
  1: string node
  2: i64 started_ms       // Unix time; tells starts of a node apart
  3: i64 sequence
  4: string callers       // IP:PORT that callers use
  5: string peers         // IP:PORT of the sender
  6: string domain
  7: bool ready
  8: bool leaving
  9: i64 config_version
  10: i64 servers_revision
  11: map<string, running> running_at // requests at each server
  12: list<sent_request> sent
  13: list<crash> crashes
  14: list<string> known  // some peers' addresses
  15: bool in_contact     // with the store
  16: bool whole          // all that runs is told, not only what is new
  17: list<waiting_work> waiting
}
// What a peer that is behind misses of a node's beliefs.
struct beliefs {
  1: i64 config_version
  2: string config       // empty if the peer's isn't older
  3: i64 servers_revision
  4: map<string, string> servers // documents by id
  5: list<string> removed // servers that are gone
  6: bool all_servers     // the others are gone too
}
