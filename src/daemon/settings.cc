// Parses and validates the settings file.

#include "daemon/settings.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <sstream>

#include "mangoyoke/ini_document.h"

namespace mangoyoke {
namespace {

// Upper limit of the millisecond settings in [timing].
constexpr int64_t kMaxMillis = 600'000;

class SettingsParser {
 public:
  explicit SettingsParser(std::string file) : file_(std::move(file)) {}

  Result<Settings> Parse(const IniDocument& document) {
    for (const IniSection& section : document.sections) {
      IniSectionReader reader(section, file_, problems_);
      if (!ReadSection(section, reader)) {
        problems_.push_back(file_ + ":" + std::to_string(section.line) + ": [" +
                            section.kind + "]: unknown section");
        continue;
      }
      reader.ReportUnknownKeys();
    }
    CheckRequired();
    if (auto error = JoinProblems(problems_, ErrorCode::kSettingsInvalid)) {
      return *error;
    }
    if (settings_.advertised_peer_address.empty()) {
      settings_.advertised_peer_address = settings_.peer_address;
    }
    return settings_;
  }

 private:
  // Returns false if the section is unknown.
  bool ReadSection(const IniSection& section, IniSectionReader& reader) {
    if (section.kind == "instance") {
      settings_.id = reader.RequiredText("id");
      settings_.zone = reader.RequiredText("zone");
      settings_.region = reader.Text("region", "");
    } else if (section.kind == "listen") {
      settings_.caller_address = reader.RequiredText("callers");
      settings_.admin_address = reader.RequiredText("admin");
      settings_.peer_address = reader.RequiredText("peers");
      settings_.advertised_peer_address = reader.Text("advertised_peers", "");
    } else if (section.kind == "platform") {
      settings_.platform_url = reader.RequiredText("url");
    } else if (section.kind == "peers") {
      settings_.seed_addresses = reader.List("known");
    } else if (section.kind == "limits") {
      ReadLimits(reader);
    } else if (section.kind == "timing") {
      ReadTiming(reader);
    } else if (section.kind == "placement") {
      settings_.placement =
          reader.Choice("policy", "reserving", {"reserving", "least_loaded"}) ==
                  "reserving"
              ? PlacementKind::kReserving
              : PlacementKind::kLeastLoaded;
    } else if (section.kind == "log") {
      settings_.log_level =
          reader.Choice("level", "info", {"debug", "info", "warning", "error"});
    } else {
      return false;
    }
    return true;
  }

  void ReadLimits(IniSectionReader& reader) {
    settings_.traffic_threads = reader.Number("traffic_threads", 2, 1, 64);
    settings_.max_request_bytes =
        reader.Number("max_request_bytes", 4 << 20, 1024, 64 << 20);
    settings_.max_open_requests =
        reader.Number("max_open_requests", 4000, 1, 100'000);
    settings_.max_buffered_bytes =
        reader.Number("max_buffered_bytes", 256 << 10, 4096, 16 << 20);
  }

  void ReadTiming(IniSectionReader& reader) {
    auto millis = [&reader](const char* key, Millis fallback, int64_t minimum) {
      return Millis(reader.Number(key, fallback.count(), minimum, kMaxMillis));
    };
    settings_.probe_interval = millis("probe_ms", Millis(250), 10);
    settings_.suspect_after = millis("suspect_ms", Millis(1000), 50);
    settings_.dead_after = millis("dead_ms", Millis(750), 50);
    settings_.plan_poll_interval = millis("plan_read_ms", Millis(2000), 100);
    settings_.drain_grace_period = millis("leave_notice_ms", Millis(3000), 0);
    settings_.drain_timeout = millis("leave_limit_ms", Millis(120'000), 0);
    settings_.instance_list_ttl =
        Seconds(reader.Number("entries_ttl_s", 5, 1, 3600));
    settings_.ticket_ttl =
        Seconds(reader.Number("ticket_life_s", 600, 1, 3600));
  }

  void CheckRequired() {
    const std::pair<const char*, const std::string&> required[] = {
        {"[instance] id", settings_.id},
        {"[listen] callers", settings_.caller_address},
        {"[platform] url", settings_.platform_url}};
    for (const auto& [name, value] : required) {
      if (value.empty() && problems_.empty()) {
        problems_.push_back(file_ + ": " + name + ": expected a value");
      }
    }
    // The id is embedded in request ids, tickets and URLs.
    bool valid = std::all_of(
        settings_.id.begin(), settings_.id.end(), [](unsigned char c) {
          return std::isalnum(c) != 0 || c == '-' || c == '_';
        });
    if (!valid) {
      problems_.push_back(
          file_ + ": [instance] id: expected letters, digits, - and _ only");
    }
  }

  std::string file_;
  Settings settings_;
  std::vector<std::string> problems_;
};

}  // namespace

Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file) {
  auto document = ParseIni(text, file, ErrorCode::kSettingsInvalid);
  if (const auto* error = std::get_if<Error>(&document)) {
    return *error;
  }
  return SettingsParser(file).Parse(std::get<IniDocument>(document));
}

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream input(path);
  if (!input) {
    return Error{ErrorCode::kSettingsInvalid,
                 path + ": cannot open the settings file"};
  }
  std::ostringstream text;
  text << input.rdbuf();
  return ParseSettings(text.str(), path);
}

}  // namespace mangoyoke
