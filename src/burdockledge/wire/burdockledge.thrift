// Messages between entry hosts. Regenerate with:
//   thrift --gen py:slots -out src/burdockledge/wire/generated src/burdockledge/wire/burdockledge.thrift

// Asks the lead of a backend server for one of its slots. ``request`` is a
// 16-byte id; ``running`` reports a slot that is already in use.
struct Offer {
  1: binary request,
  2: string server,
  3: i32 tier,
  4: string team,
  5: double weight,
  6: i32 wait_budget_ms,
  7: i32 cost_tokens,
  8: bool running,
  9: bool resumable,
}

// Grants a slot to a request.
struct Grant {
  1: binary request,
  2: string server,
}

// Refuses an offer: the lead will not grant a slot in time.
struct Refusal {
  1: binary request,
  2: string server,
  3: i32 retry_after_ms,
}

// Asks for the slot of a request, for a higher tier; the request is to be
// resumed later.
struct Yield {
  1: binary request,
  2: string server,
}

// Withdraws an offer or releases a slot; ``tokens`` were served in it.
struct Release {
  1: binary request,
  2: string server,
  3: i32 tokens,
}

// Asks a peer for the configuration records after an offset.
struct ConfigurationPull {
  1: i64 after_offset,
}

struct ConfigurationRecord {
  1: i64 offset,
  2: i64 at_ms,
  3: string body,
}

// Newer configuration records, or the whole configuration in ``document``.
struct ConfigurationState {
  1: i64 offset,
  2: i32 version,
  3: string document,
  4: list<ConfigurationRecord> records,
}

// A batch of messages over a link. ``heartbeat`` is a time of the sender in ms,
// echoed by the receiver; ``stamp`` is its hybrid logical clock.
struct Frame {
  1: optional list<Offer> offers,
  2: optional list<Grant> grants,
  3: optional list<Refusal> refusals,
  4: optional list<Release> releases,
  5: optional ConfigurationPull pull,
  6: optional ConfigurationState state,
  7: optional i64 heartbeat,
  8: optional i64 stamp,
  9: optional list<Yield> yields,
}

// A handshake message of a link: a challenge or a proof of a shared key.
struct Hello {
  1: string host,
  2: i64 boot,
  3: binary nonce,
  4: binary proof,
}

// An entry of the member table; ``status`` is a member of ``MemberStatus``.
struct MemberUpdate {
  1: string host,
  2: string peer_address,
  3: string caller_url,
  4: string data_centre,
  5: i64 boot,
  6: i32 incarnation,
  7: i32 status,
}

// A membership datagram; ``kind`` is a member of ``ProbeKind``.
struct Probe {
  1: i32 kind,
  2: i64 sequence,
  3: MemberUpdate sender,
  4: list<MemberUpdate> updates,
  5: i64 configuration_offset,
  6: optional MemberUpdate target,
}

// The newest record of a key in a replicated stream; a removed key has no
// content.
struct StreamEntry {
  1: string key,
  2: i64 offset,
  3: optional binary content,
}

// Records of a stream from ``start`` up to ``end``, complete as of ``age_ms``
// ago. With ``is_whole`` it holds the newest record of every key instead.
// Offsets are those of an era of the store, -1 if the sender knows no eras.
struct StreamUpdate {
  1: string stream,
  2: i64 start,
  3: i64 end,
  4: i64 age_ms,
  5: list<StreamEntry> entries,
  6: bool is_whole,
  7: i32 era = -1,
}

// Asks a peer for the records of a stream from ``position`` on.
struct StreamPull {
  1: string stream,
  2: i64 position,
  // The time since the sender's stream was known to end at ``position``.
  3: i32 age_ms = 0,
  // The era of ``position``, -1 if the sender knows no eras.
  4: i32 era = -1,
}

// A call sent to a backend server. ``server`` is the hash of the server's key,
// see ``hash_server_key``.
struct CallStarted {
  1: i64 call,
  2: i64 server,
  3: i32 tier,
  4: i32 unread_tokens,
  5: list<i64> parts,
  6: list<i32> part_tokens,
  7: i32 output_tokens,
  // Unused, but hosts of versions before 0.4 reject a call without it.
  8: bool is_brisk = 0,
  // The longest pause between events that is on time; 0 if there is none.
  9: i32 pause_target_ms = 0,
}

// The end of a call; ``result`` is a member of ``CallResult``.
struct CallEnded {
  1: i64 call,
  2: i64 server,
  3: i32 result,
}

// The first response event of a call arrived: its prompt was processed.
struct CallHeard {
  1: i64 call,
  2: i64 server,
  // The time since the call was sent; 0 if it is unknown.
  3: i32 first_event_ms = 0,
  // Calls a second that the server takes from all hosts; negative if it names
  // no limit.
  4: double limit = -1,
}

// A fragment of a compressed note that does not fit into a datagram.
struct Fragment {
  1: i64 note,
  2: i32 index,
  3: i32 count,
  4: binary content,
}

// A call whose connection broke before its response had content, as its server
// crashed. ``parts`` are keys of the prompt parts that it shares with others.
struct CrashSuspect {
  1: i64 call,
  2: i64 server,
  3: list<i64> parts,
  // Whether the head of the response had arrived.
  4: bool had_head,
  // The time from the send to the break.
  5: i32 sent_before_ms,
  // The time since the break.
  6: i32 age_ms,
}

// Voids the evidence against a prompt part up to a time, or the crash of a
// server. ``subject`` is the key of the part or the hash of the server's key.
struct Clearance {
  1: i64 id,
  2: i64 subject,
  3: i32 age_ms,
}

// Calls of a host that servers began to run in a window of usage reports, by
// team.
struct UsageWindow {
  1: i64 window,
  2: list<string> teams,
  3: list<i32> counts,
}

// What a process of a host has counted. Windows from the first one that was
// asked for up to ``complete_before`` are final; one that is left out has no
// calls.
struct UsageTotals {
  1: string host,
  2: i64 process,
  3: i64 complete_before,
  4: list<UsageWindow> windows,
}

// Asks a host for its totals from ``from_window`` on or, if ``process`` is not
// its process, from ``reported_before`` on. Windows before that are reported.
struct UsagePull {
  1: i64 process,
  2: i64 from_window,
  3: i64 reported_before,
  // Whether the sender reports usage.
  4: bool is_holder,
  // The sender's process; it may lack the totals of former ones.
  5: i64 own_process,
}

// A gossip message between two hosts.
struct Note {
  1: string host,
  2: optional list<StreamUpdate> updates,
  3: optional list<StreamPull> pulls,
  4: optional list<CallStarted> started,
  5: optional list<CallEnded> ended,
  6: optional Fragment fragment,
  7: optional list<CallHeard> heard,
  // Encoded notes of other hosts, forwarded within a group.
  8: optional list<binary> passed,
  9: optional list<CrashSuspect> suspects,
  10: optional list<Clearance> clearances,
  // Asks for the evidence of crashes unless the receiver's is the same.
  11: optional i64 evidence_digest,
  // Servers that name a limit, one entry for each call sent to them.
  12: optional list<i64> limited_calls,
  // Milliseconds since the Unix epoch; only in notes that are kept in the store.
  13: optional i64 written_at_ms,
  // The sender's wall clock, in milliseconds since the Unix epoch.
  14: optional i64 sent_at_ms,
  15: optional UsagePull usage_pull,
  16: optional list<UsageTotals> usage_totals,
}
