// Keeps up with one table of the store: reads it whole once, then follows its
// changes, and reads it again when the store no longer has the history.

#ifndef MANGOYOKE_GATEWAY_CONTROL_TABLE_WATCHER_H_
#define MANGOYOKE_GATEWAY_CONTROL_TABLE_WATCHER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "gateway/control/store_client.h"
#include "gateway/core/codecs.h"

namespace mangoyoke {

struct TableWatcherOptions {
  std::string table;
  // How long the store may hold a call for changes.
  Millis wait{};
  // Pause after changes came, so that many changes share one call.
  Duration pace{};
};

class TableWatcher {
 public:
  // All rows, or changed rows, as of a version of the store.
  using RowsCallback =
      std::function<void(const std::vector<StoreRow>& rows, uint64_t version)>;

  TableWatcher(boost::asio::io_context& io,
               StoreClient& store,
               const StoreCodec& codec,
               TableWatcherOptions options,
               RowsCallback on_all,
               RowsCallback on_changes);

  void Start() { ReadPage(""); }
  // Asks for changes anew; a call under way may never be answered.
  void WatchAgain();

 private:
  void ReadPage(const std::string& from);
  void OnPage(ExchangeOutcome outcome);
  void Watch();
  void OnFollowed(ExchangeOutcome outcome);
  // Runs `action` after `pause`.
  void After(Duration pause, std::function<void()> action);
  Duration Backoff();

  StoreClient& store_;
  const StoreCodec& codec_;
  TableWatcherOptions options_;
  RowsCallback on_all_;
  RowsCallback on_changes_;
  boost::asio::steady_timer timer_;
  std::minstd_rand random_{std::random_device{}()};
  std::vector<StoreRow> pages_;  // Rows of the reading under way.
  uint64_t first_page_version_ = 0;
  uint64_t version_ = 0;      // Everything up to here was handed out.
  int failures_ = 0;          // In a row.
  uint64_t follow_call_ = 0;  // The call that waits for changes; 0: none.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_TABLE_WATCHER_H_
