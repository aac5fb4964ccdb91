// Previews as text.

#include "tool/where.h"

#include <algorithm>
#include <cstdio>

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

// `text` at the left of a column of `width`.
std::string Padded(std::string text, size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

std::string Number(double value, int digits) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

std::string DescribeSpeed(const Json& speed) {
  double observations = speed.value("observations", 0.0);
  if (observations == 0) {
    return "speed not known, taken as usual";
  }
  std::string text = Number(speed.value("relative_time", 1.0), 2) +
                     " x usual time (+-" +
                     Number(100 * speed.value("uncertainty", 0.0), 0) + " %, " +
                     Number(observations, 1) + " observations, last " +
                     Number(speed.value("age_ms", 0.0), 0) + " ms ago)";
  if (speed.contains("knee")) {
    text += ", slows from " + Number(100 * speed.value("knee", 0.0), 0) +
            " % of its slots";
  }
  return text;
}

std::string DescribeCandidate(const Json& candidate) {
  constexpr size_t kServerWidth = 24;
  std::string line =
      "    " + Padded(candidate.value("server", ""), kServerWidth) + " " +
      Number(candidate.value("expected_ms", 0.0), 1) + " ms, " +
      std::to_string(candidate.value("requests", 0)) + " in flight of " +
      std::to_string(candidate.value("slots", 0)) + " slots, memory " +
      Number(100 * candidate.value("memory_share", 0.0), 0) + " %, zone " +
      candidate.value("zone", "") + ", " +
      DescribeSpeed(candidate.value("speed", Json::object()));
  if (candidate.contains("excluded")) {
    line += "; not chosen: " + candidate.value("excluded", "");
  }
  return line + "\n";
}

std::string DescribeStage(const Json& stage) {
  std::string text =
      "  " + stage.value("stage", "") + ": " + stage.value("verdict", "");
  if (stage.contains("server")) {
    text += ", best server " + stage.value("server", "");
  }
  if (stage.contains("retry_after_ms")) {
    text += ", retry after " + Number(stage.value("retry_after_ms", 0.0), 0) +
            " ms";
  }
  text += " (" + std::to_string(stage.value("servers", 0)) + " servers)\n";
  for (const Json& candidate : stage.value("candidates", Json::array())) {
    text += DescribeCandidate(candidate);
  }
  return text;
}

std::string DescribeAccount(const Json& account) {
  if (!account.contains("account")) {
    return account.value("required", false) ? "account: none, but one is needed"
                                            : "account: none needed";
  }
  std::string text = "account: " + account.value("account", "") +
                     (account.value("known", false) ? "" : ", not known");
  if (account.contains("priority")) {
    text += ", priority " + std::to_string(account.value("priority", 0));
  }
  if (account.contains("quota")) {
    const Json& quota = account["quota"];
    text += ", quota " + Number(quota.value("rate_per_s", 0.0), 1) + " " +
            quota.value("unit", "") + " a second";
  }
  return text;
}

}  // namespace

Result<Json> FetchPreview(AdminClient& client, const PreviewQuery& query) {
  auto fetched = client.Get(PreviewTarget(query));
  if (const auto* error = std::get_if<Error>(&fetched)) {
    return *error;
  }
  Json preview = Json::parse(std::get<std::string>(fetched), nullptr, false);
  if (!preview.is_object()) {
    return Error{ErrorCode::kInternal, "the preview is not a JSON object"};
  }
  return preview;
}

std::string DescribePreview(const Json& preview) {
  std::string text = preview.value("method", "") + " " +
                     preview.value("host", "") + preview.value("path", "") +
                     ", seen from zone " + preview.value("zone", "") + "\n";
  if (preview.contains("account")) {
    text += DescribeAccount(preview["account"]) + "\n";
  }
  if (preview.contains("refused")) {
    return text + "refused: " + preview.value("refused", "") + "\n";
  }
  const Json& route = preview.at("route");
  text += "route: " + route.value("id", "") + ", " + route.value("kind", "") +
          ", priority " + std::to_string(route.value("priority", 0)) +
          ", target " + std::to_string(route.value("target_ms", 0)) + " ms\n";
  for (const Json& service : preview.value("services", Json::array())) {
    text += "service: " + service.value("service", "") + ", weight " +
            std::to_string(service.value("weight", 0)) + "\n";
    for (const Json& stage : service.value("stages", Json::array())) {
      text += DescribeStage(stage);
    }
  }
  return text;
}

}  // namespace mangoyoke
