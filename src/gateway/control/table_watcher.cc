// Reading and following of a table.

#include "gateway/control/table_watcher.h"

#include <algorithm>

#include "base/log.h"

namespace mangoyoke {
namespace {

// Beyond the time that the store may hold a call, until it counts as lost.
constexpr Duration kAnswerTime = Millis(700);
constexpr Duration kReadLimit = Millis(1500);
constexpr Duration kFirstBackoff = Millis(80);
constexpr Duration kLongestBackoff = Millis(600);

}  // namespace

TableWatcher::TableWatcher(boost::asio::io_context& io,
                           StoreClient& store,
                           const StoreCodec& codec,
                           TableWatcherOptions options,
                           RowsCallback on_all,
                           RowsCallback on_changes)
    : store_(store),
      codec_(codec),
      options_(std::move(options)),
      on_all_(std::move(on_all)),
      on_changes_(std::move(on_changes)),
      timer_(io) {}

Duration TableWatcher::Backoff() {
  Duration pause =
      std::min(kFirstBackoff * (1 << std::min(failures_, 4)), kLongestBackoff);
  ++failures_;
  double spread = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
  return FromMillis(ToMillis(pause) * spread);
}

void TableWatcher::After(Duration pause, std::function<void()> action) {
  timer_.expires_after(pause);
  timer_.async_wait(
      [action = std::move(action)](const boost::system::error_code& error) {
        if (!error) {
          action();
        }
      });
}

void TableWatcher::ReadPage(const std::string& from) {
  if (from.empty()) {
    pages_.clear();
  }
  store_.Call(codec_.EncodeRead(options_.table, from), kReadLimit,
              [this](ExchangeOutcome outcome) { OnPage(std::move(outcome)); });
}

void TableWatcher::OnPage(ExchangeOutcome outcome) {
  Result<StoreRows> decoded = Error{};
  if (outcome.Succeeded()) {
    decoded = codec_.DecodeRows(outcome.body);
  }
  auto* page = std::get_if<StoreRows>(&decoded);
  if (page == nullptr) {
    After(Backoff(), [this] { ReadPage(""); });
    return;
  }
  failures_ = 0;
  if (pages_.empty()) {
    first_page_version_ = page->version;
  }
  std::move(page->rows.begin(), page->rows.end(), std::back_inserter(pages_));
  if (page->more && !page->rows.empty()) {
    // The key after the last one in byte order.
    ReadPage(pages_.back().key + '\0');
    return;
  }
  LogEvent("table_read")
      .Field("table", options_.table)
      .Field("rows", static_cast<int64_t>(pages_.size()))
      .Field("version", static_cast<int64_t>(first_page_version_));
  version_ = first_page_version_;
  on_all_(pages_, version_);
  pages_.clear();
  Watch();
}

void TableWatcher::Watch() {
  follow_call_ =
      store_.Call(codec_.EncodeWatch(options_.table, version_, options_.wait),
                  options_.wait + kAnswerTime, [this](ExchangeOutcome outcome) {
                    follow_call_ = 0;
                    OnFollowed(std::move(outcome));
                  });
}

void TableWatcher::WatchAgain() {
  if (follow_call_ != 0) {
    store_.Cancel(follow_call_);
    Watch();
  }
}

void TableWatcher::OnFollowed(ExchangeOutcome outcome) {
  if (outcome.result == ExchangeResult::kComplete &&
      codec_.HistoryGone(*outcome.head)) {
    LogEvent("table_history_gone", LogLevel::kWarning)
        .Field("table", options_.table)
        .Field("version", static_cast<int64_t>(version_));
    ReadPage("");
    return;
  }
  Result<StoreRows> decoded = Error{};
  if (outcome.Succeeded()) {
    decoded = codec_.DecodeRows(outcome.body);
  }
  const auto* changes = std::get_if<StoreRows>(&decoded);
  if (changes == nullptr) {
    After(Backoff(), [this] { Watch(); });
    return;
  }
  failures_ = 0;
  version_ = std::max(version_, changes->version);
  if (changes->rows.empty()) {
    Watch();
    return;
  }
  on_changes_(changes->rows, version_);
  After(options_.pace, [this] { Watch(); });
}

}  // namespace mangoyoke
