// Parser of the gateway's settings.

#include "gateway/settings.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

#include "mangoyoke/ini_document.h"

namespace mangoyoke {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kMaxMillis = 600'000;
constexpr double kMaxSeconds = 3600;
// With less, few requests of the usual limits would have room.
constexpr int64_t kMinMemoryMb = 32;
constexpr int64_t kMaxMemoryMb = 1 << 20;
// With less, slow responses of the store would pass for failures.
constexpr double kMinChangeBoundMillis = 1000;

// Parses one document and collects the problems found in it.
class GatewaySettingsParser {
 public:
  explicit GatewaySettingsParser(std::string file) : file_(std::move(file)) {}

  Result<GatewaySettings> Parse(const IniDocument& document) {
    for (const IniSection& section : document.sections) {
      IniSectionReader reader(section, file_, problems_);
      if (!ReadSection(section.kind, reader)) {
        problems_.push_back(file_ + ":" + std::to_string(section.line) + ": [" +
                            section.kind + "]: unknown section");
        continue;
      }
      reader.ReportUnknownKeys();
    }
    if (problems_.empty() &&
        (settings_.id.empty() || settings_.caller_address.empty() ||
         settings_.store_address.empty())) {
      problems_.push_back(file_ +
                          ": expected [instance] id, [listen] callers and "
                          "[store] address");
    }
    if (auto error = JoinProblems(problems_, ErrorCode::kSettingsInvalid)) {
      return *error;
    }
    return settings_;
  }

 private:
  // Returns false if the section kind is unknown.
  bool ReadSection(const std::string& kind, IniSectionReader& reader) {
    if (kind == "instance") {
      settings_.id = reader.RequiredText("id");
      settings_.zone = reader.RequiredText("zone");
      settings_.region = reader.Text("region", "");
    } else if (kind == "listen") {
      ReadListen(reader);
    } else if (kind == "store") {
      settings_.store_address = reader.RequiredText("address");
    } else if (kind == "peers") {
      settings_.seed_addresses = reader.List("known");
    } else if (kind == "repeats") {
      ReadRetryBudget(reader);
    } else if (kind == "quota") {
      ReadQuota(reader);
    } else if (kind == "timing") {
      ReadTiming(reader);
    } else if (kind == "limits") {
      settings_.memory_mb = reader.Number("memory_mb", settings_.memory_mb,
                                          kMinMemoryMb, kMaxMemoryMb);
    } else if (kind == "placement") {
      settings_.learned_capacity = reader.Choice("learned_capacity", "false",
                                                 {"true", "false"}) == "true";
    } else if (kind == "log") {
      settings_.log_level =
          reader.Choice("level", "info", {"debug", "info", "warning", "error"});
    } else {
      return false;
    }
    return true;
  }

  void ReadListen(IniSectionReader& reader) {
    settings_.caller_address = reader.RequiredText("callers");
    settings_.readiness_address = reader.Text("ready", "");
    settings_.instance_list_address = reader.Text("entries", "");
    settings_.peer_address = reader.Text("peers", "");
    settings_.metrics_address = reader.Text("metrics", "");
    settings_.load_port =
        static_cast<uint16_t>(reader.Number("load_port", 0, 0, 65535));
  }

  void ReadRetryBudget(IniSectionReader& reader) {
    SharedRetryBudgetOptions& retry_budget = settings_.retry_budget;
    retry_budget.share = Decimal(reader, "share", retry_budget.share);
    retry_budget.fixed = Decimal(reader, "fixed", retry_budget.fixed);
    retry_budget.window =
        Time(reader, "window_s", kMillisPerSecond, 10, 1, kMaxSeconds);
  }

  void ReadQuota(IniSectionReader& reader) {
    QuotaOptions& quota = settings_.quota;
    quota.window =
        Time(reader, "window_s", kMillisPerSecond, 8, 1, kMaxSeconds);
    quota.overage = Decimal(reader, "overage", quota.overage);
    quota.slack = Decimal(reader, "slack", quota.slack);
  }

  void ReadTiming(IniSectionReader& reader) {
    settings_.max_instance_list_ttl = std::chrono::duration_cast<Seconds>(
        Time(reader, "entries_ttl_s", kMillisPerSecond, 5, 1, kMaxSeconds));
    settings_.drain_timeout =
        Time(reader, "leave_limit_s", kMillisPerSecond, 8, 1, kMaxSeconds);
    settings_.server_reregistration_timeout =
        Time(reader, "server_return_ms", 1, 2000, 1, kMaxMillis);
    settings_.change_bound = Time(reader, "change_bound_ms", 1, 2000,
                                  kMinChangeBoundMillis, kMaxMillis);
  }

  // Reads a decimal number from `min` to `max`, in units of `unit_ms`.
  Millis Time(IniSectionReader& reader,
              const std::string& key,
              double unit_ms,
              double fallback,
              double min,
              double max) {
    double value = Decimal(reader, key, fallback);
    if (!(value >= min && value <= max)) {
      problems_.push_back(file_ + ": " + key + ": expected a number from " +
                          std::to_string(min) + " to " + std::to_string(max));
      value = fallback;
    }
    return std::chrono::duration_cast<Millis>(FromMillis(value * unit_ms));
  }

  // Reads a decimal number of at least 0.
  double Decimal(IniSectionReader& reader,
                 const std::string& key,
                 double fallback) {
    std::string text = reader.Text(key, "");
    if (text.empty()) {
      return fallback;
    }
    double value = 0;
    const char* end = text.data() + text.size();
    auto [parsed_end, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || parsed_end != end || !std::isfinite(value) ||
        value < 0) {
      problems_.push_back(file_ + ": " + key +
                          ": expected a number of at least 0, got '" + text +
                          "'");
      return fallback;
    }
    return value;
  }

  std::string file_;
  GatewaySettings settings_;
  std::vector<std::string> problems_;
};

}  // namespace

Result<GatewaySettings> ParseGatewaySettings(const std::string& text,
                                             const std::string& file) {
  auto document = ParseIni(text, file, ErrorCode::kSettingsInvalid);
  if (const auto* error = std::get_if<Error>(&document)) {
    return *error;
  }
  return GatewaySettingsParser(file).Parse(std::get<IniDocument>(document));
}

Result<GatewaySettings> LoadGatewaySettings(const std::string& path) {
  std::ifstream input(path);
  if (!input) {
    return Error{ErrorCode::kSettingsInvalid,
                 path + ": settings file cannot be opened"};
  }
  std::ostringstream text;
  text << input.rdbuf();
  return ParseGatewaySettings(text.str(), path);
}

}  // namespace mangoyoke
