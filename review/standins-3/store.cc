// Rows, long polls and the return from a copy.

#include "store.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "record.h"

namespace mangoyoke::review {
namespace {

using Json = nlohmann::json;

// The time that the store takes for an answer.
constexpr auto kAnswerTime = std::chrono::milliseconds(4);

std::string EncodeBase64(const std::string& bytes) {
  constexpr char kAlphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t at = 0; at < bytes.size(); at += 3) {
    uint32_t group = 0;
    for (size_t i = 0; i < 3; ++i) {
      group <<= 8;
      group |= at + i < bytes.size() ? static_cast<uint8_t>(bytes[at + i]) : 0;
    }
    for (size_t i = 0; i < 4; ++i) {
      bool padding = at + i > bytes.size();
      text += padding ? '=' : kAlphabet[(group >> (18 - 6 * i)) & 63];
    }
  }
  return text;
}

int64_t NumberOf(const std::string& text) {
  return text.empty() ? 0 : std::stoll(text);
}

}  // namespace

Store::Store(const std::string& ip, uint16_t port) : ip_(ip), port_(port) {
  ComeBack();
}

Store::~Store() {
  GoAway();
}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  Write(table, Change{0, key, value, false});
}

void Store::Delete(const std::string& table, const std::string& key) {
  Write(table, Change{0, key, "", true});
}

void Store::Write(const std::string& table, Change change) {
  std::lock_guard lock(mutex_);
  ++version_;
  if (!IsHeartbeat(table, change)) {
    change.version = version_;
    tables_[table][change.key] = std::move(change);
  }
  copies_.push_back(Copy{SteadyMillis(), version_, tables_});
  changed_.notify_all();
}

bool Store::IsHeartbeat(const std::string& table, const Change& change) {
  auto known = tables_[table].find(change.key);
  if (table != "servers" || change.removed || known == tables_[table].end() ||
      known->second.removed) {
    return false;
  }
  Json before = Json::parse(known->second.value);
  Json after = Json::parse(change.value);
  before.erase("Seq");
  after.erase("Seq");
  return before == after;
}

uint64_t Store::version() {
  std::lock_guard lock(mutex_);
  return version_;
}

void Store::GoAway() {
  {
    std::lock_guard lock(mutex_);
    away_ = true;
    changed_.notify_all();
  }
  server_.reset();
}

void Store::ComeBack() {
  {
    std::lock_guard lock(mutex_);
    away_ = false;
  }
  server_ = std::make_unique<HttpServer>(
      ip_, port_, [this](Tcp::socket& socket, const Request& request) {
        return Answer(socket, request);
      });
}

void Store::ComeBackFromCopy(int64_t age_ms) {
  {
    std::lock_guard lock(mutex_);
    int64_t copied_at = SteadyMillis() - age_ms;
    auto later = std::find_if(
        copies_.begin(), copies_.end(),
        [copied_at](const Copy& copy) { return copy.at_ms > copied_at; });
    copies_.erase(later, copies_.end());
    Copy copy = copies_.empty() ? Copy{} : copies_.back();
    version_ = copy.version;
    tables_ = copy.tables;
    ++era_;
  }
  ComeBack();
}

bool Store::Answer(Tcp::socket& socket, const Request& request) {
  bool is_feed = PathOf(request) == "/v1/rows-feed";
  if (!is_feed && PathOf(request) != "/v1/rows-get") {
    return WriteAnswer(socket, "404 Not Found", "", "");
  }
  std::this_thread::sleep_for(kAnswerTime);
  std::string body = is_feed ? Feed(request) : Read(request);
  std::string headers = "Content-Type: application/json\r\n";
  {
    std::lock_guard lock(mutex_);
    if (away_) {
      return false;
    }
    headers += "Store-Era: " + std::to_string(era_) + "\r\n";
  }
  return WriteAnswer(socket, body.empty() ? "410 Gone" : "200 OK", headers,
                     body);
}

std::string Store::Read(const Request& request) {
  std::lock_guard lock(mutex_);
  return EncodeRows(QueryOf(request, "Table"), 0, false);
}

std::string Store::Feed(const Request& request) {
  std::string table = QueryOf(request, "Table");
  auto after = static_cast<uint64_t>(NumberOf(QueryOf(request, "after")));
  std::chrono::milliseconds wait(NumberOf(QueryOf(request, "WaitMs")));
  std::unique_lock lock(mutex_);
  if (after > version_) {
    return "";
  }
  changed_.wait_for(lock, wait, [&] {
    return away_ || std::any_of(tables_[table].begin(), tables_[table].end(),
                                [after](const auto& entry) {
                                  return entry.second.version > after;
                                });
  });
  return EncodeRows(table, after, true);
}

std::string Store::EncodeRows(const std::string& table,
                              uint64_t after,
                              bool feed) {
  std::vector<Change> changes;
  for (const auto& [key, change] : tables_[table]) {
    if (change.version > after && (feed || !change.removed)) {
      changes.push_back(change);
    }
  }
  if (feed) {
    std::sort(changes.begin(), changes.end(),
              [](const Change& left, const Change& right) {
                return left.version < right.version;
              });
  }
  Json rows = Json::array();
  for (const Change& change : changes) {
    Json row{{"Table", table},
             {"part", ""},
             {"Key", change.key},
             {"SchemaVersion", change.version}};
    if (change.removed) {
      row["Removed"] = true;
    } else {
      row["Value"] = EncodeBase64(change.value);
    }
    rows.push_back(row);
  }
  return Json{{"Rows", rows},
              {"SchemaVersion", version_},
              {"NowMs", SteadyMillis()},
              {"HasMore", false}}
      .dump();
}

}  // namespace mangoyoke::review
