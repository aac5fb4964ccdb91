// Tables, reads and watches.

#include "review/standins/store.h"

#include <chrono>

namespace review {
namespace {

using Json = nlohmann::json;

std::string EncodeBase64(const std::string& text) {
  constexpr char kAlphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j) {
      uint32_t byte =
          i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0;
      bits = bits << 8 | byte;
    }
    for (size_t j = 0; j < 4; ++j) {
      encoded +=
          i + j <= text.size() ? kAlphabet[bits >> (18 - 6 * j) & 63] : '=';
    }
  }
  return encoded;
}

// The value of `name` in the query of `target`; empty if absent.
std::string QueryValue(const std::string& target, const std::string& name) {
  for (char separator : {'?', '&'}) {
    std::string start = separator + name + "=";
    if (size_t at = target.find(start); at != std::string::npos) {
      at += start.size();
      return target.substr(at, target.find('&', at) - at);
    }
  }
  return {};
}

}  // namespace

Store::Store()
    : server_([this](TcpStream& stream, const HttpMessage& request) {
        return Respond(stream, request);
      }) {}

void Store::Put(const std::string& table,
                const std::string& key,
                const Json& value) {
  std::lock_guard lock(mutex_);
  tables_[table][key] = Row{EncodeBase64(value.dump()), ++version_};
  changed_.notify_all();
}

Json Store::NewerRows(const std::string& table, uint64_t after) const {
  Json rows = Json::array();
  auto found = tables_.find(table);
  if (found == tables_.end()) {
    return rows;
  }
  for (const auto& [key, row] : found->second) {
    if (row.version > after) {
      rows.push_back({{"Table", table},
                      {"part", ""},
                      {"Key", key},
                      {"Value", row.value},
                      {"SchemaVersion", row.version}});
    }
  }
  return rows;
}

void Store::WaitForChange(const std::string& table,
                          uint64_t after,
                          Millis wait) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait,
                    [&] { return !NewerRows(table, after).empty(); });
}

bool Store::Respond(TcpStream& stream, const HttpMessage& request) {
  std::string target = request.Word(1);
  std::string table = QueryValue(target, "Table");
  uint64_t after = 0;
  if (target.starts_with("/v1/rows-feed")) {
    after = std::stoull(QueryValue(target, "after"));
    WaitForChange(table, after,
                  Millis(std::stoll(QueryValue(target, "WaitMs"))));
  } else if (!target.starts_with("/v1/rows-get")) {
    return stream.Send(MakeResponse(404, {}, ""));
  }
  auto now =
      std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch());
  Json body;
  {
    std::lock_guard lock(mutex_);
    body = {{"Rows", NewerRows(table, after)},
            {"HasMore", false},
            {"SchemaVersion", version_},
            {"NowMs", now.count()}};
  }
  return stream.Send(
      MakeResponse(200, {{"Content-Type", "application/json"}}, body.dump()));
}

}  // namespace review
