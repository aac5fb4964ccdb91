// Full reads and long polls of a table.

#include "gateway/control/table_watcher.h"

#include <algorithm>

#include "base/log.h"
#include "base/run_guarded.h"

namespace mangoyoke {
namespace {

constexpr Duration kReadTimeout = Millis(1500);
constexpr Duration kInitialBackoff = Millis(80);
// Exponent of the longest backoff.
constexpr int kMaxBackoffDoublings = 6;

}  // namespace

TableWatcher::TableWatcher(boost::asio::io_context& io,
                           StoreClient& store,
                           const StoreCodec& codec,
                           TableWatcherOptions options,
                           EraCallback on_era,
                           RowsCallback on_snapshot,
                           RowsCallback on_changes)
    : store_(store),
      codec_(codec),
      options_(std::move(options)),
      on_era_(std::move(on_era)),
      on_snapshot_(std::move(on_snapshot)),
      on_changes_(std::move(on_changes)),
      timer_(io),
      max_backoff_(options_.max_backoff) {}

void TableWatcher::Start() {
  if (running()) {
    return;
  }
  ++generation_;
  consecutive_failures_ = 0;
  ReadPage("");
}

void TableWatcher::Stop() {
  if (!running()) {
    return;
  }
  ++generation_;
  timer_.cancel();
  store_.Cancel(std::exchange(read_call_, 0));
  store_.Cancel(std::exchange(watch_call_, 0));
}

void TableWatcher::RetryAfterFailure(std::string_view call,
                                     const ExchangeOutcome& outcome,
                                     std::function<void()> retry) {
  confirmed_ = false;
  Duration delay = NextBackoff();
  LogEvent line("table_call_failed", LogLevel::kWarning);
  line.Field("table", options_.table)
      .Field("call", call)
      .Field("era", static_cast<int64_t>(version_.era))
      .Field("version", static_cast<int64_t>(version_.number))
      .Field("took_ms", ToMillis(outcome.elapsed))
      .Field("timed_out", static_cast<int64_t>(outcome.timed_out))
      .Field("retry_ms", ToMillis(delay));
  if (outcome.head) {
    line.Field("status", static_cast<int64_t>(outcome.head->result_int()));
  }
  RunAfter(delay, std::move(retry));
}

Duration TableWatcher::NextBackoff() {
  Duration delay =
      std::min(kInitialBackoff *
                   (1 << std::min(consecutive_failures_, kMaxBackoffDoublings)),
               max_backoff_);
  ++consecutive_failures_;
  double jitter = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
  return FromMillis(ToMillis(delay) * jitter);
}

void TableWatcher::RunAfter(Duration delay, std::function<void()> action) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [this, generation = generation_,
       action = std::move(action)](const boost::system::error_code& error) {
        if (!error && generation == generation_) {
          action();
        }
      });
}

template <typename Handler>
void TableWatcher::Run(std::string_view call, const Handler& handler) {
  RunGuarded(options_.table, handler, [&] {
    RetryAfterFailure(call, ExchangeOutcome{}, [this] { ReadPage(""); });
  });
}

void TableWatcher::ReadPage(const std::string& from) {
  confirmed_ = false;
  if (from.empty()) {
    snapshot_rows_.clear();
  }
  read_sent_at_ = SteadyClock::now();
  read_call_ =
      store_.Call(codec_.EncodeRead(options_.table, from), kReadTimeout,
                  [this](ExchangeOutcome outcome) {
                    read_call_ = 0;
                    Run("read", [&] { OnReadEnd(std::move(outcome)); });
                  });
}

void TableWatcher::ReadAgain() {
  if (!running()) {
    return;
  }
  Stop();
  Start();
}

std::optional<StoreEra> TableWatcher::AcceptEra(
    const http::response_header<>& head,
    TimePoint sent_at) {
  auto decoded = codec_.DecodeEra(head);
  if (const auto* error = std::get_if<Error>(&decoded)) {
    LogEvent("store_era_unreadable", LogLevel::kWarning)
        .Field("table", options_.table)
        .Field("why", error->detail);
    decoded = StoreEra{0};
  }
  StoreEra era = std::get<StoreEra>(decoded);
  if (era > version_.era) {
    consecutive_failures_ = 0;  // The next answer is to confirm it soon.
  }
  if (on_era_(era, sent_at) == EraVerdict::kIgnored) {
    return std::nullopt;
  }
  return era;
}

void TableWatcher::OnReadEnd(ExchangeOutcome outcome) {
  Result<StoreRows> decoded = Error{};
  if (outcome.Succeeded()) {
    decoded = codec_.DecodeRows(outcome.body);
  }
  auto* page = std::get_if<StoreRows>(&decoded);
  auto era = page != nullptr ? AcceptEra(*outcome.head, read_sent_at_)
                             : std::optional<StoreEra>();
  bool first_page = snapshot_rows_.empty();
  if (!era || (!first_page && *era != first_page_version_.era)) {
    RetryAfterFailure("read", outcome, [this] { ReadPage(""); });
    return;
  }
  LogRowsWithoutKey("read", *page);
  if (page->more && page->rows.empty() && page->rows_without_key > 0) {
    // No key to go on from.
    RetryAfterFailure("read", outcome, [this] { ReadPage(""); });
    return;
  }
  if (first_page) {
    first_page_version_ = StoreVersion{*era, page->version};
  }
  std::move(page->rows.begin(), page->rows.end(),
            std::back_inserter(snapshot_rows_));
  if (page->more && !page->rows.empty()) {
    // The smallest key greater than the last one in byte order.
    ReadPage(snapshot_rows_.back().key + '\0');
    return;
  }
  LogEvent("table_read")
      .Field("table", options_.table)
      .Field("rows", static_cast<int64_t>(snapshot_rows_.size()))
      .Field("era", static_cast<int64_t>(first_page_version_.era))
      .Field("version", static_cast<int64_t>(first_page_version_.number));
  version_ = first_page_version_;
  on_snapshot_(snapshot_rows_, version_);
  snapshot_rows_.clear();
  if (running()) {
    Watch();
  }
}

void TableWatcher::LogRowsWithoutKey(std::string_view call,
                                     const StoreRows& rows) const {
  if (rows.rows_without_key == 0) {
    return;
  }
  LogEvent("table_rows_without_key", LogLevel::kWarning)
      .Field("table", options_.table)
      .Field("call", call)
      .Field("rows", static_cast<int64_t>(rows.rows_without_key))
      .Field("version", static_cast<int64_t>(rows.version));
}

void TableWatcher::Watch() {
  watch_sent_at_ = SteadyClock::now();
  Millis wait = confirmed_ ? options_.watch_timeout : Millis(0);
  watch_call_ = store_.Call(
      codec_.EncodeWatch(options_.table, version_.number, wait),
      wait + options_.response_margin, [this](ExchangeOutcome outcome) {
        watch_call_ = 0;
        Run("watch", [&] { OnWatchEnd(std::move(outcome)); });
      });
}

void TableWatcher::RestartWatchSentBefore(TimePoint time) {
  if (watch_call_ != 0 && watch_sent_at_ < time) {
    store_.Cancel(watch_call_);
    confirmed_ = false;
    Watch();
  }
}

void TableWatcher::OnWatchEnd(ExchangeOutcome outcome) {
  if (outcome.result == ExchangeResult::kComplete &&
      codec_.HistoryGone(*outcome.head)) {
    LogEvent("table_history_gone", LogLevel::kWarning)
        .Field("table", options_.table)
        .Field("era", static_cast<int64_t>(version_.era))
        .Field("version", static_cast<int64_t>(version_.number));
    AcceptEra(*outcome.head, watch_sent_at_);
    RetryAfterFailure("watch", outcome, [this] { ReadPage(""); });
    return;
  }
  Result<StoreRows> decoded = Error{};
  if (outcome.Succeeded()) {
    decoded = codec_.DecodeRows(outcome.body);
  }
  const auto* changes = std::get_if<StoreRows>(&decoded);
  if (changes == nullptr) {
    // The response holds each change since version_; the next one would hold
    // more. A read gets only what holds now.
    bool body_too_slow = outcome.timed_out && outcome.head;
    RetryAfterFailure("watch", outcome, [this, body_too_slow] {
      if (body_too_slow) {
        ReadPage("");
      } else {
        Watch();
      }
    });
    return;
  }
  auto era = AcceptEra(*outcome.head, watch_sent_at_);
  if (era != version_.era) {
    // The changes are none of the rows that were read.
    RetryAfterFailure("watch", outcome, [this] { ReadPage(""); });
    return;
  }
  consecutive_failures_ = 0;
  LogRowsWithoutKey("watch", *changes);
  version_ = std::max(version_, StoreVersion{*era, changes->version});
  if (!changes->rows.empty()) {
    on_changes_(changes->rows, version_);
  }
  confirmed_ = true;
  confirmed_at_ = SteadyClock::now();
  on_confirmed.Notify();
  if (!running()) {
    return;
  }
  if (changes->rows_without_key > 0) {
    // Any row may have been replaced by one of these.
    RunAfter(options_.batch_interval, [this] { ReadPage(""); });
  } else if (changes->rows.empty()) {
    Watch();
  } else {
    RunAfter(options_.batch_interval, [this] { Watch(); });
  }
}

}  // namespace mangoyoke
