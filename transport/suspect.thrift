// What nodes tell each other of crashes of servers. Generated code is committed
// under transport/gen; regenerate it with scripts/generate.
namespace cpp peridotspar.suspect_wire

// A server's crash while it ran requests.
struct crash {
  1: i64 server           // hash of the server's run
  2: i32 age_ms
  3: i64 request          // hash of one of the requests
}
// What the sender knows of something that may make servers crash. Ages count
// when the message is sent; -1 stands for no such time.
struct suspect {
  1: i64 key
  2: i32 rank
  3: list<crash> crashes
  4: i32 cleared_age_ms = -1     // since the last answer that cleared it began
  5: i32 quarantined_age_ms = -1 // since the last crash, if it is quarantined
  6: i32 trials
  7: i32 used_age_ms             // since the last crash or refusal
  8: i32 episode                 // count of its quarantines' begins and ends
}
