// Messages between the daemons of citrondeal.
// gen/ is made with: thrift --gen py:package_prefix=citrondeal.peers.gen. \
//   -out gen peers.thrift

// First frame on each connection, in both directions.
struct Hello {
  1: i32 version
  2: string process
  3: string incarnation
  4: string zone
  5: string role
}

// A failure of the closed list of kinds.
struct Fault {
  1: string kind
  2: string message
  3: optional double retry_after_s
}

// A caller's request on its way to the gateway that holds the endpoint.
struct Forward {
  1: string request_id
  2: string service_name
  3: string path
  4: string request_class
  5: string team
  6: bool idempotent
  7: i32 deadline_ms
  8: binary body
  9: map<string, string> headers
  10: string origin
}

struct Reply {
  1: i32 status
  2: map<string, string> headers
  3: binary body
}

// Asks the receiver to record that an id is about to be dispatched.
struct Intent {
  1: string request_id
  2: string dispatcher
  3: string incarnation
}

// Asks whether an id was seen; bars it when not.
struct Claim {
  1: string request_id
  2: string claimant
  3: string incarnation
}

// state: unseen, barred, running, done, refused, lost
struct ClaimReply {
  1: string state
  2: string dispatcher
  3: string incarnation
  4: double up_for_s
  5: optional Reply answer
}

// Asks for a promise not to claim resources of the group.
struct Promise {
  1: string zone
  2: string role
  3: string holder
  4: string incarnation
  5: map<string, i64> epochs
  6: i32 ttl_ms
}

struct PromiseReply {
  1: bool granted
}

// Free capacity of one gateway by service; no reply.
struct Load {
  1: map<string, i32> free
  2: map<string, i32> queued
  3: bool draining
}

// Asks for records of a log stream that the receiver has read.
struct Records {
  1: string stream
  2: i64 start
  3: i32 limit
}

struct RecordsReply {
  1: i64 first
  2: i64 next
  3: list<i64> offsets
  4: list<binary> data
}

struct Ok {
}

union Body {
  1: Hello hello
  2: Fault fault
  3: Forward forward
  4: Reply reply
  5: Intent intent
  6: Claim claim
  7: ClaimReply claim_reply
  8: Promise promise
  9: PromiseReply promise_reply
  10: Load load
  11: Records records
  12: RecordsReply records_reply
  13: Ok ok
}

// call pairs a reply with its request; 0 needs no reply.
struct Message {
  1: i64 call
  2: bool is_reply
  3: Body body
}
