// Tracks one table of the store: reads all rows once, then watches for changes
// by long polls.

#ifndef MANGOYOKE_GATEWAY_CONTROL_TABLE_WATCHER_H_
#define MANGOYOKE_GATEWAY_CONTROL_TABLE_WATCHER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/observers.h"
#include "gateway/control/store_client.h"
#include "gateway/core/codecs.h"
#include "gateway/core/store_era_tracker.h"

namespace mangoyoke {

struct TableWatcherOptions {
  std::string table;  // Name of the table.
  // How long the store may hold a long poll for changes.
  Millis watch_timeout{};
  // A long poll fails if no response came this long after that time.
  Millis response_margin{};
  // Longest delay before a retry; see SetMaxBackoff.
  Duration max_backoff{};
  // Delay of the next watch after changes came, so that one response carries
  // many changes.
  Duration batch_interval{};
};

// Reads the table page by page and then watches it from the version of the
// first page on. If the store no longer keeps the history from the watched
// version, or is in another era, the table is read again. Failed calls are
// retried without limit, with exponential backoff and jitter; a failed read
// restarts at the first page. A changed row whose key cannot be read may have
// replaced any row, so that the table is read again.
class TableWatcher {
 public:
  // Receives all rows or the changed rows, and the store version up to which
  // they are complete.
  using RowsCallback = std::function<void(const std::vector<StoreRow>& rows,
                                          const StoreVersion& version)>;
  // Receives the era that an answer states, and when its call was sent. Returns
  // what to do with the answer.
  using EraCallback =
      std::function<EraVerdict(StoreEra era, TimePoint sent_at)>;

  // `on_snapshot` gets all rows after each full read, `on_changes` the changed
  // rows. References must outlive the watcher.
  TableWatcher(boost::asio::io_context& io,
               StoreClient& store,
               const StoreCodec& codec,
               TableWatcherOptions options,
               EraCallback on_era,
               RowsCallback on_snapshot,
               RowsCallback on_changes);

  // Notified after each successful long poll, when its changes were passed on.
  Observers<> on_confirmed;

  // Starts with a full read. No effect while the watcher runs.
  void Start();
  // Ends the call in progress. The watcher can be started again.
  void Stop();
  // Sets the longest delay before a retry.
  void SetMaxBackoff(Duration max_backoff) { max_backoff_ = max_backoff; }
  // Reads the table again, if the watcher runs.
  void ReadAgain();
  // Cancels the long poll in progress if it was sent before `time`, and sends a
  // new one. For use after an outage of the store, which may never respond to
  // the old one.
  void RestartWatchSentBefore(TimePoint time);
  // When the rows were last known to be complete: the end of the last
  // successful long poll. A full read does not count, since it may be old.
  TimePoint confirmed_at() const { return confirmed_at_; }

 private:
  // Reads the rows from key `from` on; an empty key starts a new full read.
  void ReadPage(const std::string& from);
  // Runs a handler of a call's end. If it throws, the table is read again,
  // since changes may be lost.
  template <typename Handler>
  void Run(std::string_view call, const Handler& handler);
  void OnReadEnd(ExchangeOutcome outcome);
  void Watch();
  void OnWatchEnd(ExchangeOutcome outcome);
  // The era of an answer to a call sent at `sent_at`; nothing if the answer may
  // not be used.
  std::optional<StoreEra> AcceptEra(const http::response_header<>& head,
                                    TimePoint sent_at);
  // Logs that rows were left out, if any were.
  void LogRowsWithoutKey(std::string_view call, const StoreRows& rows) const;
  bool running() const { return generation_ % 2 == 1; }
  // Calls `action` after `delay`, unless the watcher is stopped before.
  void RunAfter(Duration delay, std::function<void()> action);
  // Logs that a call of the kind `call` failed, and calls `retry` after the
  // backoff.
  void RetryAfterFailure(std::string_view call,
                         const ExchangeOutcome& outcome,
                         std::function<void()> retry);
  // Returns the delay before the next retry and counts the failure.
  Duration NextBackoff();

  StoreClient& store_;
  const StoreCodec& codec_;
  TableWatcherOptions options_;
  EraCallback on_era_;
  RowsCallback on_snapshot_;
  RowsCallback on_changes_;
  boost::asio::steady_timer timer_;
  std::minstd_rand random_{std::random_device{}()};
  std::vector<StoreRow> snapshot_rows_;  // Rows of the full read in progress.
  StoreVersion first_page_version_;
  StoreVersion version_;  // All changes up to here were passed on.
  // Failures since the last successful long poll. A full read does not end
  // them: what it returns may be too old for a long poll.
  int consecutive_failures_ = 0;
  Duration max_backoff_;
  // Whether a long poll succeeded since the last failure or full read. If not,
  // the next one returns at once, in order to confirm the rows.
  bool confirmed_ = false;
  TimePoint confirmed_at_{};
  TimePoint read_sent_at_{};
  TimePoint watch_sent_at_{};
  // Raised by each start and stop, so that actions scheduled before have no
  // effect. Odd while the watcher runs.
  uint64_t generation_ = 0;
  uint64_t read_call_ = 0;   // Id of the read in progress; 0: none.
  uint64_t watch_call_ = 0;  // Id of the long poll in progress; 0: none.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_TABLE_WATCHER_H_
