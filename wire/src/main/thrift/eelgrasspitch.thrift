// Messages between nodes. Each frame contains one WireMessage in the Thrift compact protocol.
// Fields named channel (the published document that a message concerns), purposes and reasons are
// ordinals of Java enums, so the order of their constants is part of the wire format.
// Fields named call: number of a call, unique on the connection of its requester; replies and
// WireCancel repeat it.
// Generate with: thrift --gen java:generated_annotations=suppress -out <java root> eelgrasspitch.thrift
namespace java org.eelgrasspitch.wire.generated

struct WireVersion {
  1: required i64 revision
  2: required binary digest
}

// First message on a connection, in both directions.
struct WireHello {
  1: required string vm
  2: required string failureDomain
  3: required string address
  4: required i64 incarnation
  // Ordinal of Purpose. 0: published documents; 1: requests
  5: required i32 purpose
}

// text, vms: absent before the first. evidenceAgeMillis: -1 without fresh evidence.
// rejectedRevision: 0 if none. nonce: of the WireQuery answered, 0 if none.
struct WireStatus {
  1: optional WireVersion text
  2: optional WireVersion vms
  3: required i64 evidenceAgeMillis
  4: required i64 rejectedRevision
  5: required bool leaving
  6: required i64 nonce
}

struct WireQuery {
  1: required i64 nonce
}

// The state of the sender equals its last WireStatus except for the evidence age. Revisions are 0 if
// that status has none.
struct WireHeartbeat {
  1: required i64 evidenceAgeMillis
  2: required i64 textRevision
  3: required i64 vmsRevision
}

struct WirePull {
  // Ordinal of Channel. 0: configuration text; 1: VM list
  1: required i32 channel
  2: required list<binary> held
  // Digest of the document that the sender holds; the base for deltas.
  3: optional binary base
}

struct WireBaseUnknown {
  // Ordinal of Channel. 0: configuration text; 1: VM list
  1: required i32 channel
}

// Either a part (name and digest) or a run of parts of the base (kept is the index of the first
// one, count their number).
struct WireManifestEntry {
  1: optional string name
  2: optional binary digest
  3: optional i32 kept
  4: optional i32 count
}

struct WirePart {
  1: required string name
  2: required binary digest
  // Length of the uncompressed content, in bytes.
  3: required i32 length
  // Content in zlib format.
  4: required binary content
}

// A part as a delta against another part that the receiver holds.
struct WireDelta {
  1: required string name
  // Digest of the resulting part.
  2: required binary digest
  // Digest of the part that the receiver holds.
  3: required binary base
  // Number of bytes copied from the beginning (kept) and from the end (keptEnd) of the base part;
  // middle is inserted between them.
  4: required i32 kept
  5: required i32 keptEnd
  6: required binary middle
}

struct WireParts {
  // Ordinal of Channel. 0: configuration text; 1: VM list
  1: required i32 channel
  // Absent if the sender holds no version of the document.
  2: optional WireVersion version
  3: required list<WireManifestEntry> manifest
  4: required list<WirePart> parts
  5: required list<WireDelta> deltas
}

struct WireHeader {
  1: required string name
  2: required string value
}

struct WireRequest {
  1: required i64 call
  2: required string requestId
  3: required string serviceName
  4: required string operationName
  5: required i32 remainingMillis
  6: optional string ticket
  7: required list<WireHeader> headers
  8: required binary body
  // Revision of the configuration text that the sender used.
  9: required i64 revision
  10: optional binary fingerprint
}

struct WireReply {
  1: required i64 call
  // 0: answered (status, headers, body); 1: not run (reason; afterMillis is the delay before a
  // resend, 0 if none is needed or a resend cannot succeed); 2: unknown (reason); 3: late
  // (afterMillis is the delay before the outcome query, 0 if it may be made at once)
  2: required i32 outcome
  3: optional i32 status
  4: optional list<WireHeader> headers
  5: optional binary body
  // Ordinal of Reason.
  6: optional i32 reason
  7: optional i64 afterMillis
  // Revision of the configuration text that the sender holds.
  8: required i64 revision
}

struct WireCancel {
  1: required i64 call
}

struct WireTicketQuery {
  1: required i64 call
  2: required string serviceName
  3: required string operationName
  4: required i32 count
}

struct WireTickets {
  1: required i64 call
  2: required list<string> tickets
  // Ordinal of Reason; absent if tickets were issued.
  3: optional i32 refusal
}

struct WireOutcomeQuery {
  1: required i64 call
  2: required string ticket
}

struct WireDeathNotice {
  1: required i64 call
  2: required binary fingerprint
  3: required string target
}

struct WireNoted {
  1: required i64 call
  // VMs whose targets died while they ran the request, as far as the sender knows; absent: none.
  2: optional list<string> targets
}

union WireMessage {
  1: WireHello hello
  2: WireStatus status
  3: WireQuery query
  4: WirePull pull
  5: WireParts parts
  6: WireRequest request
  7: WireReply reply
  8: WireCancel cancel
  9: WireTicketQuery ticketQuery
  10: WireTickets tickets
  11: WireOutcomeQuery outcomeQuery
  12: WireDeathNotice deathNotice
  13: WireNoted noted
  14: WireHeartbeat heartbeat
  15: WireBaseUnknown baseUnknown
}
