// mangoyokectl: the operators' command-line tool.

#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

#include "mangoyoke/plan.h"
#include "tool/admin_client.h"
#include "tool/explain.h"
#include "tool/where.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitInvalid = 3;
constexpr int kExitConflict = 4;
constexpr int kExitUnavailable = 5;
constexpr int kExitOutcomeUnknown = 6;
constexpr int kMaxSubmitAttempts = 5;

constexpr std::string_view kHelp =
    R"(usage: mangoyokectl [options] COMMAND [FILE]

commands:
  check FILE     check the plan in FILE; contacts no instance
  diff FILE      print what FILE would change in the active plan
  submit FILE    make FILE the active plan, without asking for confirmation;
                 run diff first
  plan           print the active plan
  status         print one line for each instance
  entries        print the instances that serve callers, as one instance sees
                 them
  backends       print the allocation cells and their free slots
  counters       print the metrics of the first instance that responds
  explain ID     explain from log lines on standard input what happened to the
                 request with that id, and why
  where          print where a request would go now, and why; sends none
  drain          drain the first instance of --admin: it accepts no new requests

options:
  --admin IP:port,...   admin addresses, tried in this order
                        (default: $MANGOYOKE_ADMIN)
  --base N              with submit: the revision that FILE is based on
                        (default: the active one)
  --submission-id ID    with submit: retry an earlier submission safely
  --host H, --path P    with where: the request's host and path
  --method M            with where: its method (default: POST)
  --account A           with where: the client account, by name
  --prompt-tokens N, --output-tokens N
                        with where: its size
  --json                print JSON

exit codes:
  0 done   2 wrong usage
  3 the plan has an error, or explain found no log line of the request
  4 another revision was accepted first: run diff again
  5 no instance or the platform does not respond: nothing was changed
  6 unknown whether the plan was accepted: retry the same submit with the
    printed --base and --submission-id
)";

struct Options {
  std::string command;
  std::string file;
  std::vector<std::string> admin;
  std::string base;
  std::string submission_id;
  bool json = false;
  PreviewQuery preview;
};

int ExitCodeOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kPlanInvalid:
      return kExitInvalid;
    case ErrorCode::kPlanConflict:
      return kExitConflict;
    case ErrorCode::kSubmitUnknown:
      return kExitOutcomeUnknown;
    default:
      return kExitUnavailable;
  }
}

// Prints `error` to standard error and returns its exit code.
int PrintError(const Error& error) {
  std::cerr << "mangoyokectl: " << static_cast<int>(error.code) << " "
            << GetErrorInfo(error.code).name << ": "
            << (error.detail.empty() ? GetErrorInfo(error.code).message
                                     : error.detail)
            << "\n";
  return ExitCodeOf(error.code);
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream input(path);
  if (!input) {
    return Error{ErrorCode::kPlanInvalid, path + ": cannot open the file"};
  }
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

// The active plan.
struct ActivePlan {
  Revision revision = 0;
  std::string text;
};

Result<ActivePlan> FetchActivePlan(AdminClient& client) {
  auto fetched = client.Get("/admin/plan");
  if (const auto* error = std::get_if<Error>(&fetched)) {
    return *error;
  }
  Json body = Json::parse(std::get<std::string>(fetched), nullptr, false);
  if (!body.is_object()) {
    return Error{ErrorCode::kInternal,
                 "the response to GET /admin/plan is not a JSON object"};
  }
  return ActivePlan{body.value("revision", Revision{0}),
                    body.value("text", "")};
}

Result<Plan> ParsePlanFile(const Options& options) {
  auto text = ReadFile(options.file);
  if (const auto* error = std::get_if<Error>(&text)) {
    return *error;
  }
  return ParsePlan(std::get<std::string>(text), options.file, 0);
}

int CheckPlanFile(const Options& options) {
  auto plan = ParsePlanFile(options);
  if (const auto* error = std::get_if<Error>(&plan)) {
    return PrintError(*error);
  }
  const Plan& valid = std::get<Plan>(plan);
  std::cout << options.file << ": valid, " << valid.models.size() << " models, "
            << valid.backends.size() << " backend servers, "
            << valid.services.size() << " services\n";
  return kExitOk;
}

int Diff(const Options& options, AdminClient& client) {
  auto plan = ParsePlanFile(options);
  if (const auto* error = std::get_if<Error>(&plan)) {
    return PrintError(*error);
  }
  auto current = FetchActivePlan(client);
  if (const auto* error = std::get_if<Error>(&current)) {
    return PrintError(*error);
  }
  const auto& active = std::get<ActivePlan>(current);
  Plan before;
  if (active.revision > 0) {
    auto parsed = ParsePlan(active.text, "active plan", active.revision);
    if (const auto* error = std::get_if<Error>(&parsed)) {
      return PrintError(*error);
    }
    before = std::get<Plan>(parsed);
  }
  std::vector<std::string> lines = DiffPlans(before, std::get<Plan>(plan));
  if (options.json) {
    std::cout << Json{{"revision", active.revision}, {"changes", lines}}.dump(2)
              << "\n";
    return kExitOk;
  }
  std::cout << "compared with revision " << active.revision << ", "
            << lines.size() << " changes\n";
  for (const std::string& line : lines) {
    std::cout << line << "\n";
  }
  return kExitOk;
}

std::string NewSubmissionId() {
  std::random_device device;
  std::ostringstream id;
  id << std::hex << device() << device() << device();
  return id.str();
}

int Submit(const Options& options, AdminClient& client) {
  auto text = ReadFile(options.file);
  if (const auto* error = std::get_if<Error>(&text)) {
    return PrintError(*error);
  }
  auto plan = ParsePlan(std::get<std::string>(text), options.file, 0);
  if (const auto* error = std::get_if<Error>(&plan)) {
    return PrintError(*error);
  }
  Revision base = 0;
  if (!options.base.empty()) {
    base = std::strtoull(options.base.c_str(), nullptr, 10);
  } else {
    auto current = FetchActivePlan(client);
    if (const auto* error = std::get_if<Error>(&current)) {
      return PrintError(*error);
    }
    base = std::get<ActivePlan>(current).revision;
  }
  std::string id =
      options.submission_id.empty() ? NewSubmissionId() : options.submission_id;
  Json body{{"text", std::get<std::string>(text)},
            {"base", base},
            {"submission_id", id}};
  Error last;
  for (int attempt = 0; attempt < kMaxSubmitAttempts; ++attempt) {
    auto result = client.Post("/admin/plan", body);
    if (Ok(result)) {
      auto revision = std::get<Json>(result).value("revision", Revision{0});
      std::cout << (options.json
                        ? Json{{"revision", revision}}.dump()
                        : "accepted as revision " + std::to_string(revision))
                << "\n";
      return kExitOk;
    }
    last = std::get<Error>(result);
    if (last.code != ErrorCode::kSubmitUnknown) {
      return PrintError(last);
    }
  }
  std::cerr << "retry with: --base " << base << " --submission-id " << id
            << "\n";
  return PrintError(last);
}

int PrintActivePlan(const Options& options, AdminClient& client) {
  auto current = FetchActivePlan(client);
  if (const auto* error = std::get_if<Error>(&current)) {
    return PrintError(*error);
  }
  const auto& plan = std::get<ActivePlan>(current);
  if (options.json) {
    std::cout << Json{{"revision", plan.revision}, {"text", plan.text}}.dump(2)
              << "\n";
  } else {
    std::cout << "; revision " << plan.revision << "\n" << plan.text;
  }
  return kExitOk;
}

void PrintStatusLine(const Json& instance) {
  if (instance.contains("error")) {
    std::cout << std::left << std::setw(12) << instance.value("instance", "")
              << instance.value("error", "") << "\n";
    return;
  }
  std::string state = instance.value("leaving", false)     ? "leaving"
                      : instance.value("suspended", false) ? "suspended"
                                                           : "serving";
  std::cout << std::left << std::setw(12) << instance.value("instance", "")
            << std::setw(10) << instance.value("zone", "") << std::setw(10)
            << state << "revision " << std::setw(8)
            << instance.value("revision", Revision{0}) << "members "
            << instance["members"].size() << "  cells "
            << instance["cells"].size() << "\n";
}

void PrintCells(const Json& instance) {
  for (const Json& cell : instance.value("cells", Json::array())) {
    std::cout << std::left << std::setw(24) << cell.value("cell", "")
              << "allocator " << std::setw(12) << instance.value("instance", "")
              << "backends " << std::setw(5) << cell.value("backends", 0)
              << "free slots " << std::setw(6) << cell.value("free_slots", 0)
              << "waiting " << cell.value("waiting", 0) << "\n";
  }
}

void PrintInstanceList(const Json& instance) {
  for (const Json& member : instance.value("members", Json::array())) {
    std::cout << std::left << std::setw(12) << member.value("instance", "")
              << std::setw(10) << member.value("zone", "") << std::setw(22)
              << member.value("address", "")
              << (member.value("leaving", false) ? "leaving"
                                                 : member.value("state", ""))
              << "\n";
  }
}

int PrintCluster(const Options& options, AdminClient& client) {
  auto fetched = client.Get("/admin/cluster");
  if (const auto* error = std::get_if<Error>(&fetched)) {
    return PrintError(*error);
  }
  Json body = Json::parse(std::get<std::string>(fetched), nullptr, false);
  if (options.json) {
    std::cout << body.dump(2) << "\n";
    return kExitOk;
  }
  for (const Json& instance : body.value("instances", Json::array())) {
    if (options.command == "status") {
      PrintStatusLine(instance);
    } else if (options.command == "backends") {
      PrintCells(instance);
    } else {
      PrintInstanceList(instance);
      break;  // The list of one instance is enough.
    }
  }
  return kExitOk;
}

int Explain(const std::string& request_id) {
  if (request_id.empty()) {
    std::cerr << "mangoyokectl: explain needs a request id; see --help\n";
    return kExitUsage;
  }
  auto explanation = ExplainRequest(std::cin, request_id);
  if (const auto* error = std::get_if<Error>(&explanation)) {
    std::cerr << "mangoyokectl: " << error->detail << "\n";
    return kExitInvalid;
  }
  std::cout << std::get<std::string>(explanation);
  return kExitOk;
}

int Where(const Options& options, AdminClient& client) {
  if (options.preview.host.empty() || options.preview.path.empty()) {
    std::cerr << "mangoyokectl: where needs --host and --path; see --help\n";
    return kExitUsage;
  }
  auto preview = FetchPreview(client, options.preview);
  if (const auto* error = std::get_if<Error>(&preview)) {
    return PrintError(*error);
  }
  const Json& json = std::get<Json>(preview);
  std::cout << (options.json ? json.dump(2) + "\n" : DescribePreview(json));
  return kExitOk;
}

int RunCommand(const Options& options) {
  bool needs_file = options.command == "check" || options.command == "diff" ||
                    options.command == "submit";
  if (needs_file && options.file.empty()) {
    std::cerr << "mangoyokectl: " << options.command
              << " needs a FILE; see --help\n";
    return kExitUsage;
  }
  if (options.command == "explain") {
    return Explain(options.file);
  }
  if (options.command == "check") {
    return CheckPlanFile(options);
  }
  if (options.admin.empty()) {
    std::cerr
        << "mangoyokectl: no admin address: set --admin or $MANGOYOKE_ADMIN\n";
    return kExitUsage;
  }
  AdminClient client(options.admin);
  if (options.command == "where") {
    return Where(options, client);
  }
  if (options.command == "diff") {
    return Diff(options, client);
  }
  if (options.command == "submit") {
    return Submit(options, client);
  }
  if (options.command == "plan") {
    return PrintActivePlan(options, client);
  }
  if (options.command == "status" || options.command == "backends" ||
      options.command == "entries") {
    return PrintCluster(options, client);
  }
  if (options.command == "counters") {
    auto metrics_text = client.Get("/metrics");
    if (const auto* error = std::get_if<Error>(&metrics_text)) {
      return PrintError(*error);
    }
    std::cout << std::get<std::string>(metrics_text);
    return kExitOk;
  }
  if (options.command == "drain") {
    AdminClient first_instance({options.admin.front()});
    auto result = first_instance.Post("/admin/drain", Json::object());
    if (const auto* error = std::get_if<Error>(&result)) {
      return PrintError(*error);
    }
    std::cout << options.admin.front() << " is draining\n";
    return kExitOk;
  }
  std::cerr << "mangoyokectl: unknown command \"" << options.command
            << "\"; see --help\n";
  return kExitUsage;
}

int Main(int argc, char** argv) {
  Options options;
  cxxopts::Options parser("mangoyokectl");
  parser.add_options()("command", "", cxxopts::value(options.command))(
      "file", "", cxxopts::value(options.file))(
      "admin", "", cxxopts::value(options.admin))("base", "",
                                                  cxxopts::value(options.base))(
      "submission-id", "", cxxopts::value(options.submission_id))(
      "json", "", cxxopts::value(options.json))(
      "host", "", cxxopts::value(options.preview.host))(
      "path", "", cxxopts::value(options.preview.path))(
      "method", "", cxxopts::value(options.preview.method))(
      "account", "", cxxopts::value(options.preview.account))(
      "prompt-tokens", "", cxxopts::value(options.preview.prompt_tokens))(
      "output-tokens", "", cxxopts::value(options.preview.output_tokens))(
      "h,help", "");
  parser.parse_positional({"command", "file"});
  try {
    auto parsed = parser.parse(argc, argv);
    if (parsed.count("help") > 0 || options.command.empty()) {
      std::cout << kHelp;
      return parsed.count("help") > 0 ? kExitOk : kExitUsage;
    }
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "mangoyokectl: " << exception.what() << "\n";
    return kExitUsage;
  }
  if (const char* admin = std::getenv("MANGOYOKE_ADMIN");
      options.admin.empty() && admin != nullptr) {
    std::istringstream list(admin);
    for (std::string address; std::getline(list, address, ',');) {
      options.admin.push_back(address);
    }
  }
  return RunCommand(options);
}

}  // namespace
}  // namespace mangoyoke

int main(int argc, char** argv) {
  return mangoyoke::Main(argc, argv);
}
