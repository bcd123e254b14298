// Messages between the nodes of the streaming proxy. Every frame is one LinkMessage in Thrift's compact protocol.
// Generate with: thrift --gen java:generated_annotations=suppress -out <java root> links.thrift
namespace java org.eelgrasspitch.proxy.generated

// First message on a link, sent by both sides.
struct LinkHello {
  1: required string vm
  2: required string failureDomain
  // Address on which the sender accepts links.
  3: required string address
  // Random number that identifies this run of the sender.
  4: required i64 incarnation
  // Capacity of the sender's link in megabits per second; 0: unknown. A sender without this field neither accepts
  // documents that it has not requested nor packed ones.
  5: optional i32 capacity
  // Whether the sender accepts LinkSurvival messages; absent: no.
  6: optional bool acceptsSurvivals
}

// Load of a target and of the queue at its home.
struct LinkLoad {
  // 0: up; 1: down; 2: leaving
  1: required i8 state
  2: required i32 running
  3: required i32 waiting
  4: required i32 slots
  // Expected wait of one more call behind all others
  5: required i32 waitMillis
  // Moving average of the service time at the target; 0: none observed yet
  6: required i32 serviceMillis
  // Moving average of the share of calls that the target failed
  7: required i32 failurePercent
  // Limit that the target has named, in requests per second from all nodes together; absent: none
  8: optional double limitPerSecond
}

// Heartbeat: revision of the last change of each document, in the order of their numbers (0: configuration; 1: targets),
// and the load of the sender's target.
struct LinkBeat {
  1: required list<i64> changes
  2: required LinkLoad load
  // 0 or absent: the sender does not read the source of documents; 1: the source answers it; 2: it does not
  3: optional i8 source
  // Era of the source to which each revision belongs, in the same order; absent: the receiver's era
  4: optional list<i64> eras
}

// Opens a call. Stream numbers are assigned by the side that opens the call.
struct LinkCall {
  1: required i64 stream
  2: required string route
  3: required string target
  4: required string requestId
  5: required string method
  6: required string uri
  // Names and values alternate.
  7: required list<string> headers
  // Time until the deadline when sent; the receiver counts from receipt.
  8: required i32 remainingMillis
  // Time until the objective when sent; negative if it has passed.
  9: required i32 objectiveMillis
  // The lowest rank goes first.
  10: required i32 rank
  11: required bool idempotent
  // -1: unknown (chunked); -2: no body
  12: required i64 bodyLength
  // Whether the call is a retry or a hedge: an earlier attempt reached, or may have reached, a target, or is still in
  // progress.
  13: required bool repeat
  // Whether the home logs the call regardless of its outcome.
  14: required bool logged
  // Limit of the target that the entry node knows from an answer, in requests per second; absent: none. The home may have
  // started after the target named it.
  15: optional double targetLimitPerSecond
}

// Chunk of a body, in either direction.
struct LinkData {
  1: required i64 stream
  2: required bool fromOpener
  3: required binary content
  4: required bool last
}

// Flow control: grants the other side more bytes of a body.
struct LinkCredit {
  1: required i64 stream
  2: required bool toOpener
  3: required i32 bytes
}

// Cancels a call. A call that was not yet sent to the target is dropped.
struct LinkCancel {
  1: required i64 stream
  // Whether a call that was sent to the target is aborted if it is idempotent; otherwise the target finishes it.
  2: required bool endsRunning
}

// The home has a slot for a non-idempotent call and asks for permission to start it.
struct LinkStartAsked {
  1: required i64 stream
}

// The entry node permits the start; from now on the call may have run.
struct LinkStart {
  1: required i64 stream
}

// Head of the target's response; the body follows in LinkData messages.
struct LinkReply {
  1: required i64 stream
  2: required i32 status
  // Names and values alternate.
  3: required list<string> headers
  // -1: unknown (chunked)
  4: required i64 bodyLength
  5: required LinkLoad load
  // Time from the moment at which the call got a slot to the start of the target's response; includes opening a
  // connection and asking for permission to start.
  6: required i32 targetMillis
}

// Ends a call without a complete response.
struct LinkFailure {
  1: required i64 stream
  // Ordinal of FailureReason
  2: required i8 reason
  3: required bool reachedTarget
  4: required bool mayHaveRun
  // Time after which the call may be retried, in milliseconds; 0: unknown
  5: required i32 returnMillis
  6: required LinkLoad load
}

// Requests the changes of a document after a revision.
struct LinkPull {
  // 0: configuration; 1: targets
  1: required i8 document
  // Revision that the sender holds; 0: the complete document is requested
  2: required i64 since
  // Whether the sender accepts a packed document.
  3: optional bool packed
  // Era of the source to which the revision belongs; absent: the receiver's era
  4: optional i64 era
}

struct LinkItem {
  1: required string key
  2: required binary value
  3: required i64 revision
}

// Changes of a document after revision since, up to revision upTo.
struct LinkDocument {
  // 0: configuration; 1: targets
  1: required i8 document
  // 0: items is the complete document
  2: required i64 since
  3: required i64 upTo
  4: required list<LinkItem> items
  5: required list<string> removed
  // Era of the source to which the revisions belong; absent: the receiver's era
  6: optional i64 era
}

// A document in a smaller form: a LinkDocument in the compact protocol, compressed in zlib format.
struct LinkPackedDocument {
  // Length of the LinkDocument before compression, in bytes
  1: required i32 length
  2: required binary content
}

// A target crashed while running a request.
struct LinkDeath {
  1: required binary fingerprint
  2: required string target
  // Distinguishes this crash from others of the target, which keeps its identifier when it starts again; absent: 0.
  3: optional i64 crash
  // Time since the crash when sent, in milliseconds; absent: 0.
  4: optional i32 ageMillis
}

// A target has answered a request that was running when another one crashed.
struct LinkSurvival {
  1: required binary fingerprint
  // Time since the answer when sent, in milliseconds; absent: 0.
  2: optional i32 ageMillis
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
  14: LinkPackedDocument packed
  15: LinkSurvival survival
}
