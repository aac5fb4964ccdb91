// Serves the rows.

#include "store.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int64_t kCallMs = 4;

std::string EncodeBase64(const std::string& text) {
  constexpr char kAlphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j) {
      auto byte =
          i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U;
      bits = bits << 8 | byte;
    }
    for (size_t j = 0; j < 4; ++j) {
      bool padding = i + j > text.size();
      encoded += padding ? '=' : kAlphabet[bits >> (18 - 6 * j) & 63];
    }
  }
  return encoded;
}

// The values in the query of `target`. None of those used here is escaped.
std::map<std::string, std::string> ReadQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t start = target.find('?');
  if (start == std::string::npos) {
    return query;
  }
  for (const std::string& part : Split(target.substr(start + 1), '&')) {
    size_t equals = part.find('=');
    if (equals != std::string::npos) {
      query[part.substr(0, equals)] = part.substr(equals + 1);
    }
  }
  return query;
}

std::string MakeResponse(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

Store::Store() : listener_(Listen("127.0.0.1", 0)) {
  std::thread([this] { Serve(); }).detach();
}

std::string Store::address() const {
  return "127.0.0.1:" + std::to_string(PortOf(listener_));
}

int64_t Store::Put(const std::string& table,
                   const std::string& key,
                   std::optional<std::string> value) {
  std::lock_guard lock(mutex_);
  tables_[table][key] = Row{std::move(value), ++version_};
  changed_.notify_all();
  return NowMs();
}

void Store::SetBusy(bool busy) {
  std::lock_guard lock(mutex_);
  busy_ = busy;
  changed_.notify_all();
}

void Store::Serve() {
  while (true) {
    Socket connection = Accept(listener_);
    if (connection.valid()) {
      std::thread([this, connection = std::move(connection)]() mutable {
        ServeConnection(std::move(connection));
      }).detach();
    }
  }
}

void Store::ServeConnection(Socket connection) {
  std::string buffer;
  while (auto head = ReadHead(connection, buffer)) {
    std::string response = Respond(head->Word(1));
    SleepMs(kCallMs);
    if (!connection.Write(response)) {
      return;
    }
  }
}

std::string Store::Respond(const std::string& target) {
  auto query = ReadQuery(target);
  std::string path = target.substr(0, target.find('?'));
  std::unique_lock lock(mutex_);
  const std::string unavailable = MakeResponse("503 Service Unavailable", "{}");
  if (busy_) {
    return unavailable;
  }
  if (path == "/v1/rows-get") {
    return MakeResponse("200 OK", Rows(query["Table"], 0, false));
  }
  if (path == "/v1/rows-feed") {
    uint64_t after = std::stoull(query["after"]);
    auto wait = std::chrono::milliseconds(std::stoll(query["WaitMs"]));
    changed_.wait_for(
        lock, wait, [&] { return busy_ || HasChanges(query["Table"], after); });
    if (busy_) {
      return unavailable;
    }
    return MakeResponse("200 OK", Rows(query["Table"], after, true));
  }
  return MakeResponse("404 Not Found", "{}");
}

std::string Store::Rows(const std::string& table,
                        uint64_t after,
                        bool changes) {
  std::map<uint64_t, Json> by_version;
  Json rows = Json::array();
  for (const auto& [key, row] : tables_[table]) {
    if (row.version <= after || (!row.value && !changes)) {
      continue;
    }
    Json encoded{{"Table", table},
                 {"part", ""},
                 {"Key", key},
                 {"SchemaVersion", row.version}};
    if (row.value) {
      encoded["Value"] = EncodeBase64(*row.value);
    } else {
      encoded["Removed"] = true;
    }
    if (changes) {
      by_version[row.version] = std::move(encoded);
    } else {
      rows.push_back(std::move(encoded));
    }
  }
  for (auto& [version, encoded] : by_version) {
    rows.push_back(std::move(encoded));
  }
  return Json{{"Rows", rows},
              {"HasMore", false},
              {"SchemaVersion", version_},
              {"NowMs", NowMs()}}
      .dump();
}

bool Store::HasChanges(const std::string& table, uint64_t after) const {
  auto found = tables_.find(table);
  if (found == tables_.end()) {
    return false;
  }
  for (const auto& [key, row] : found->second) {
    if (row.version > after) {
      return true;
    }
  }
  return false;
}

}  // namespace review
