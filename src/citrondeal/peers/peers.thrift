// Messages between the daemons of citrondeal.
// gen/ is generated with: thrift \
//   --gen py:dynamic,slots,package_prefix=citrondeal.peers.gen. \
//   -out gen peers.thrift

// First frame on each connection, in both directions.
struct Hello {
  1: i32 version
  2: string process
  3: string incarnation
  4: string zone
  5: string role
}

// A failure; kind is the value of a citrondeal.errors.Kind.
struct Fault {
  1: string kind
  2: string message
  3: optional double retry_after_s
}

// One claim of an id by one incarnation of a process.
struct ClaimRef {
  1: string process
  2: string incarnation
  3: i64 number
  4: i32 attempt
}

// The part of an intent or a forward that decides its acceptance.
struct Permit {
  1: string process
  2: string incarnation
  3: i32 attempt
  4: i64 claim
  5: list<ClaimRef> over
  6: double age_s
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
  11: i64 number
  12: Permit permit
}

struct Reply {
  1: i32 status
  2: map<string, string> headers
  3: binary body
}

// Asks the receiver to record that an id is about to be dispatched.
struct Intent {
  1: string request_id
  2: Permit permit
}

// verdict: accepted, barred, seen, young
struct IntentReply {
  1: string verdict
  2: i32 attempt
}

// Asks what is known of an id and bars every other attempt of it.
struct Claim {
  1: string request_id
  2: string process
  3: string incarnation
  4: i64 number
  5: i32 attempt
  6: i64 fence
}

// state: running, done, unknown, witnessed, refused
struct SeenBy {
  1: string process
  2: string incarnation
  3: string state
}

struct Inherited {
  1: string process
  2: string incarnation
  3: double complete_for_s
}

struct ClaimReply {
  1: string process
  2: string incarnation
  3: double up_for_s
  4: i64 claims_over
  5: i32 refused
  6: list<SeenBy> seen
  7: list<ClaimRef> claims
  8: list<string> known
  9: list<Inherited> inherited
  10: optional Reply answer
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
  2: string incarnation
}

// Free capacity of one gateway by service; no reply.
struct Load {
  1: map<string, i32> free
  2: map<string, i32> queued
  3: bool draining
}

// Asks for records of a log stream that the receiver has read. Earlier versions
// do not say that they accept compressed data.
struct Records {
  1: string stream
  2: i64 start
  3: i32 limit
  4: optional bool accepts_zlib
}

// age_s is the time since the records were known to be the newest ones; earlier
// versions give none. If zlib is true, each item of data is compressed.
struct RecordsReply {
  1: i64 first
  2: i64 next
  3: list<i64> offsets
  4: list<binary> data
  5: optional double age_s
  6: optional bool zlib
}

// Records of a gateway that shuts down, for the gateway that keeps them.
struct Handover {
  1: i32 part
  2: i32 parts
  3: binary state
}

// Asks the owner of a pool for the state of a job.
struct JobQuery {
  1: string job_id
}

// JSON text of an answer that the receiver forwards unchanged.
struct Document {
  1: binary text
}

// Asks whether the receiver owns the cell and reaches the store.
struct Probe {
  1: i64 epoch
}

// store_age_s is infinite while calls to the store fail.
struct ProbeReply {
  1: i64 epoch
  2: bool owner
  3: double store_age_s
  4: double owner_age_s
  // Of the claim of this epoch; members that the store rejects query it.
  5: optional string owner_address
}

// Asks the receiver to fetch placement tickets for one step of a job.
struct TicketQuery {
  1: string step
  2: list<string> workers
  3: double timeout_s
}

struct Ticket {
  1: string worker
  2: string value
}

struct TicketReply {
  1: list<Ticket> tickets
  2: double valid_s
}

// Asks the owner of the cell for the state of one job.
// account is empty if the call needs none.
struct JobStateQuery {
  1: string queue
  2: string job_id
  3: string account
}

// state is empty if there is no such job.
struct JobState {
  1: string state
}

// Asks the owner of the cell how many jobs of a queue wait.
struct BacklogQuery {
  1: string queue
}

struct Backlog {
  1: i32 waiting
}

// Records that the receiver appends for a daemon that the store rejects, or
// together with others while the store is slow. within_s is the time that the
// callers have left; earlier versions give none.
struct Relay {
  1: list<binary> keys
  2: list<binary> values
  3: optional double within_s
}

// The answer to a Relay tells how long the append took and whether the
// receiver believes that the store is slow; earlier versions tell neither.
struct Ok {
  1: optional double append_s
  2: optional bool store_slow
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
  14: IntentReply intent_reply
  15: Handover handover
  16: JobQuery job_query
  17: Document document
  18: Probe probe
  19: ProbeReply probe_reply
  20: TicketQuery ticket_query
  21: TicketReply ticket_reply
  22: JobStateQuery job_state_query
  23: JobState job_state
  24: BacklogQuery backlog_query
  25: Backlog backlog
  26: Relay relay
}

// call pairs a reply with its request; 0 needs no reply.
struct Message {
  1: i64 call
  2: bool is_reply
  3: Body body
}
