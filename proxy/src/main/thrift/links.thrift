// Messages between the nodes of the streaming proxy. Every frame is one LinkMessage in Thrift's compact protocol.
// Generate with: thrift --gen java:generated_annotations=suppress -out <java root> links.thrift
namespace java org.eelgrasspitch.proxy.generated

// First message on a link, in both directions.
struct LinkHello {
  1: required string vm
  2: required string failureDomain
  // Where the sender listens for links.
  3: required string address
  4: required i64 incarnation
}

// What a home says of its target and queue.
struct LinkLoad {
  // 0: up; 1: down; 2: leaving
  1: required i8 state
  2: required i32 running
  3: required i32 waiting
  4: required i32 slots
  5: required i32 waitMillis
  6: required i32 serviceMillis
  7: required i32 failurePercent
}

// Revisions of the last changes of the documents, and the load of the sender's target.
struct LinkBeat {
  1: required list<i64> changes
  2: required LinkLoad load
}

// Opens a call. Streams are numbered by the side that opens them.
struct LinkCall {
  1: required i64 stream
  2: required string route
  3: required string target
  4: required string requestId
  5: required string method
  6: required string uri
  // Names and values alternate.
  7: required list<string> headers
  8: required i32 remainingMillis
  9: required i32 objectiveMillis
  10: required i32 rank
  11: required bool idempotent
  // -1: no length is known
  12: required i64 bodyLength
  13: required bool repeat
  // Whether the home is to log the call whatever becomes of it.
  14: required bool logged
}

// A piece of a body, in either direction.
struct LinkData {
  1: required i64 stream
  2: required bool fromOpener
  3: required binary content
  4: required bool last
}

// Permits the other side to send more bytes of a body.
struct LinkCredit {
  1: required i64 stream
  2: required bool toOpener
  3: required i32 bytes
}

// Gives a call up. Work that waits is dropped.
struct LinkCancel {
  1: required i64 stream
  // Whether work that runs is ended if it may be repeated; otherwise it is left to finish.
  2: required bool endsRunning
}

// The home has a slot for a call that must not run twice.
struct LinkStartAsked {
  1: required i64 stream
}

// The entry permits the start; from now on the call may have run.
struct LinkStart {
  1: required i64 stream
}

struct LinkReply {
  1: required i64 stream
  2: required i32 status
  3: required list<string> headers
  // -1: no length is known
  4: required i64 bodyLength
  5: required LinkLoad load
  6: required i32 targetMillis
}

// Ends a call without an answer.
struct LinkFailure {
  1: required i64 stream
  2: required i8 reason
  3: required bool reachedTarget
  4: required bool mayHaveRun
  5: required i32 returnMillis
  6: required LinkLoad load
}

struct LinkPull {
  1: required i8 document
  2: required i64 since
}

struct LinkItem {
  1: required string key
  2: required binary value
  3: required i64 revision
}

struct LinkDocument {
  1: required i8 document
  // 0: items is the whole document
  2: required i64 since
  3: required i64 upTo
  4: required list<LinkItem> items
  5: required list<string> removed
}

// A target died while it ran a request.
struct LinkDeath {
  1: required binary fingerprint
  2: required string target
}

union LinkMessage {
  1: LinkHello hello
  2: LinkBeat beat
  3: LinkCall call
  4: LinkData data
  5: LinkCredit credit
  6: LinkCancel cancel
  7: LinkReply reply
  8: LinkFailure failure
  9: LinkPull pull
  10: LinkDocument document
  11: LinkStartAsked startAsked
  12: LinkStart start
  13: LinkDeath death
}
