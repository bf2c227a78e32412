// Messages between entry nodes on the cooperative platform. Generated code is
// committed under transport/gen; regenerate it with scripts/generate.
include "suspect.thrift"
namespace cpp peridotspar.entry_wire

// A part of a prompt, as an engine's prefix cache may hold it.
struct prompt_part {
  1: i64 key
  2: i32 tokens
}
// A request that was sent to a server.
struct sent_request {
  1: string server
  2: list<prompt_part> parts
  3: i32 reading_us       // engine time for prefill
  4: i64 tokens           // expected use of engine memory
  5: i32 pause_ms         // longest acceptable pause of its stream
}
// The requests of a node that run at a server.
struct running {
  1: i32 all_requests
  3: i64 tokens           // expected use of engine memory
  2: map<i32, i32> streams // count by longest acceptable pause, in ms
  4: i64 unread_us        // engine time for pending prefill
}
// Requests in a node's queue with the same service, priority and target.
struct waiting_work {
  1: string at_service
  2: i32 priority
  3: i32 target_ms        // time to the first part of the answer
  4: i64 reading_us       // engine time for their prefill
}
// Prompt parts that an engine reported as cached.
struct cached_parts {
  1: string server
  2: list<prompt_part> parts
}
// What a server said to the sender of the requests a second that it takes.
struct server_limit {
  1: string server        // key of the server's run
  2: double per_s = -1    // negative if it names no limit any more
  3: i32 age_ms
}
// What a brittle server said to the sender, and turned away from it.
struct brittle_server {
  1: string server        // key of the server's run
  2: double max_rejected_per_s = -1 // negative if it isn't brittle any more
  3: i32 age_ms
  4: i32 rejected         // since the sender's last report
}
// Asks the server's home, or answers as the home.
struct permit {
  1: string server
  2: i32 priority         // of the request that asks
  3: i32 permits          // issued
}
// Requests of a client account that servers began in a window, as counted by
// the sender since its start.
struct usage_count {
  1: i64 window
  2: string account
  3: i64 requests
}
// What the sender's requests ask of a service's engines.
struct service_demand {
  1: string at_service
  2: i64 reading_us       // engine time for prefill, since the sender's start
  3: i32 streams          // that run or wait
}
// Answers of a server in its slow start, as counted by the sender.
struct server_pace {
  1: string server        // key of the server's run
  2: i32 good
  3: i32 bad
}
// A part of the retry budget of a service, as asked for or lent.
struct resend_loan {
  1: string at_service
  2: i64 asked_at_us      // by the borrower's clock; returned unchanged
  3: i32 thousandths      // of a resend
}
// A node's state, sent to each peer several times a second as a datagram.
struct digest {
  1: string node
  2: i64 started_ms       // Unix time of the node's start
  3: i64 sequence
  4: string callers       // IP:PORT that callers connect to
  5: string peers         // IP:PORT of the sender
  6: string domain
  7: bool ready
  8: bool leaving
  9: i64 config_version
  10: i64 servers_revision
  11: map<string, running> running_at // requests at each server
  12: list<sent_request> sent
  13: list<suspect.suspect> suspects
  14: list<string> known  // some peers' addresses
  15: bool in_contact     // the node follows the store and gets answers
  16: bool whole          // a full digest, not only newly sent requests
  17: list<waiting_work> waiting
  18: i32 live            // nodes that the sender counts as live, with itself
  19: list<cached_parts> cached // engines that the sender has just asked
  20: i32 interval_ms     // longest time until the sender's next digest
  21: i32 store_age_ms    // since the store's last responses to the sender
  22: list<server_limit> limits
  23: list<permit> permit_requests
  24: list<permit> permits
  25: list<string> leaving_servers // keys of runs that said so to the sender
  26: list<string> lost_services // whose servers the sender can't reach
  27: list<brittle_server> brittle
  28: optional i32 store_failed_ms // since a call of the sender failed; -1: none
  29: optional i64 clock_ms // Unix time by the sender's clock
  30: optional bool collects_usage // peers send it their counts and demand
  31: optional i64 duty_token // the highest fencing token that the sender knows
  32: optional list<usage_count> usage
  33: optional list<service_demand> demand
  34: optional list<server_pace> paces
  // Thousandths of a resend that the sender may lend, by service; in full
  // digests only.
  35: optional map<string, i32> lendable_resends
  36: optional list<resend_loan> resends_asked
  37: optional list<resend_loan> resends_lent
  38: optional i64 servers_hash // of all servers' documents at that revision
}
// The part of a node's routing state that is newer than a peer's.
struct beliefs {
  1: i64 config_version
  2: string config       // empty if the peer's is as new
  3: i64 servers_revision
  4: map<string, string> servers // changed documents by id
  5: list<string> removed // ids of removed servers
  6: bool all_servers     // `servers` has all; others were removed
  7: list<string> nodes   // peer addresses of live nodes, for a joining node
  // No change after the asked revision is missing, also of servers that came and
  // went.
  8: optional bool continuous
}
