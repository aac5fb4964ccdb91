// Finds parts of prompts that crash the model servers which respond to them,
// and says which requests must be kept away from servers because of such a
// part.
//
// A part is to blame if servers end one after the other while they respond to
// prompts with it, and no prompt with it is ever served, while others are.
// Everything else that is present at those ends is acquitted: callers and other
// parts by the requests that are served meanwhile, servers and instances
// because only parts are looked at. The rules:
//
// - Only ends of servers count, not responses that merely break off.
// - Ends at the same moment count once: servers that fail together do so for a
//   reason outside the prompts.
// - A success with a part voids all ends before it.
// - The ends must come from prompts that differ in their own part, so that what
//   one request has besides the part does not look like the cause.
// - A prompt that comes again after an end is looked at as a whole, too. Its
//   parts are acquitted by the verdict on the whole, which explains their ends.
// - The ends must be unlikely for a part that is not to blame. An end counts
//   the more, the sooner it came after the request did, and the fewer requests
//   are cut off at other ends.
// - Where no request at all succeeds there is nothing to compare with, and no
//   part is blamed.
//
// Instances exchange what they know. Records are merged so that order, loss,
// delay and repetition of messages do not matter: ends are a set, of the times
// of successes and verdicts the last one counts.

#ifndef MANGOYOKE_GATEWAY_CORE_PROMPT_QUARANTINE_H_
#define MANGOYOKE_GATEWAY_CORE_PROMPT_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/core/prompt_parts.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// The end of a server while a prompt with the part was in progress there.
struct ServerEnd {
  uint64_t server = 0;  // Hash of the incarnation.
  uint64_t prompt = 0;  // Hash of the prompt's own part.
  TimePoint at;
  // How long the request had been at the server; the longest time of several.
  Duration after{};

  bool operator==(const ServerEnd&) const = default;
};

// Requests with the part must not reach servers.
struct QuarantineVerdict {
  TimePoint first_end;  // The oldest end that it rests on.
  TimePoint until;
  // How often the part was blamed, this verdict included.
  int count = 1;

  bool operator==(const QuarantineVerdict&) const = default;
};

// What is known of one part. Exchanged between instances.
struct PartRecord {
  PromptPartId part;
  std::optional<TimePoint> last_success;
  std::vector<ServerEnd> ends;  // After the last success, oldest first.
  std::optional<QuarantineVerdict> verdict;

  bool operator==(const PartRecord&) const = default;
};

// What changed for one part, for logs.
struct QuarantineChange {
  PromptPartId part;
  std::optional<QuarantineVerdict> verdict;  // Absent: the part was released.
  size_t ends = 0;                           // That a new verdict rests on.
  size_t prompts = 0;                        // Of these ends.
  bool decided_here = false;  // Else taken over from another instance.
};

// A verdict that applies to a request.
struct QuarantinedPart {
  PromptPartId part;
  TimePoint until;
};

// The evidence of one instance and of those that report to it, and the
// verdicts. Not thread-safe.
class PromptQuarantine {
 public:
  // Ends and verdicts are kept for this long at least.
  static constexpr Duration kMemory = std::chrono::minutes(10);
  // Length of a first verdict. Each further one is twice as long, up to
  // kMaxVerdict.
  static constexpr Duration kFirstVerdict = std::chrono::minutes(15);
  static constexpr Duration kMaxVerdict = std::chrono::hours(24);

  // A request with these parts was served whole, in `time`.
  void RecordSuccess(const PromptParts& prompt, Duration time, TimePoint now);
  // The server `incarnation` ended at `now`, `after` it got a request with
  // these parts, which was in progress there.
  void RecordServerEnd(std::string_view incarnation,
                       const PromptParts& prompt,
                       Duration after,
                       TimePoint now);
  // Takes over what another instance knows.
  void Merge(const PartRecord& other, TimePoint now);
  // Passes the verdicts that the evidence calls for. Returns all changes since
  // the last call.
  std::vector<QuarantineChange> Decide(TimePoint now);
  // Whether any part is under suspicion or quarantined.
  bool HasRecords() const { return !records_.empty(); }

  // The first part of `prompt` that is quarantined.
  std::optional<QuarantinedPart> Find(const PromptParts& prompt,
                                      TimePoint now) const;
  // Whether a request with these parts must not be repeated, since it may be
  // what ended the servers: a part is suspect but not yet blamed.
  bool IsSuspect(const PromptParts& prompt) const;

  // Up to `limit` records that changed and were not returned before, for the
  // other instances.
  std::vector<PartRecord> TakeChanges(size_t limit);
  // All records. Drops outdated ones.
  std::vector<PartRecord> Records(TimePoint now);
  // Number of verdicts in force.
  size_t VerdictCount(TimePoint now) const;

 private:
  // How a request of this instance ended.
  struct Outcome {
    TimePoint at;
    Duration time{};            // That it took.
    uint64_t ended_server = 0;  // That cut it off; 0: it was served.
  };
  struct Candidate {
    PartRecord* record;
    std::vector<ServerEnd> ends;  // Not explained by another verdict.
    size_t moments;               // Of these ends.
  };

  // The record of `part`, created if there is none. Null if there are too many
  // records and none can be dropped.
  PartRecord* FindOrAdd(const PromptPartId& part, TimePoint now);
  PartRecord* Find(const PromptPartId& part);
  void AddEnd(PartRecord& record, const ServerEnd& end);
  // Keeps the ends of `prompt` (ServerEnd::prompt) in `record`, which is one of
  // a part, in a record of the whole prompt as well, if there are several.
  void RecordRepeatedPrompt(const PartRecord& record, uint64_t prompt);
  // A success with the part at `at`: voids older ends and verdicts.
  void ApplySuccess(PartRecord& record, TimePoint at);
  void RememberSuccess(const PromptPartId& part, TimePoint at);
  std::optional<TimePoint> KnownSuccess(const PromptPartId& part) const;
  void TakeOverVerdict(PartRecord& record, const QuarantineVerdict& verdict);
  std::vector<Candidate> Candidates(TimePoint now);
  bool IsToBlame(const Candidate& candidate) const;
  void PassVerdict(const Candidate& candidate, TimePoint now);
  // How likely it is that a part which is not to blame was present at `ends`.
  double ChanceOf(const std::vector<ServerEnd>& ends, bool is_whole) const;
  // How often a request of this instance is cut off by another end than `ends`,
  // per millisecond that it is in progress.
  double CutOffRate(const std::vector<ServerEnd>& ends) const;
  void AddOutcome(const Outcome& outcome);
  // Whether enough requests were served since `from`.
  bool OthersServedSince(TimePoint from) const;
  void DropOutdated(TimePoint now);

  // Parts with an end after their last success, or with a verdict.
  std::map<PromptPartId, PartRecord> records_;
  std::set<PromptPartId> changed_;
  std::vector<QuarantineChange> unreported_;  // Not yet returned by Decide.
  // When requests with a part last succeeded, at this instance or as reported.
  std::map<PromptPartId, TimePoint> successes_;
  std::deque<PromptPartId> success_order_;  // Of successes_, oldest first.
  std::deque<Outcome> outcomes_;            // Recent ones, oldest first.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_PROMPT_QUARANTINE_H_
