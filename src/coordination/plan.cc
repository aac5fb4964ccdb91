// Parsing, checking, printing and comparing plans.

#include "mangoyoke/plan.h"

#include <set>
#include <sstream>

#include "mangoyoke/ini_document.h"

namespace mangoyoke {
namespace {

// Upper bounds of the numbers in a plan.
constexpr int64_t kMaxMillis = 600'000;
constexpr int64_t kMaxCount = 1'000'000;
constexpr int64_t kMaxBytes = 1'000'000'000;

// Reads INI sections into a plan and collects the problems of all of them.
class PlanParser {
 public:
  PlanParser(std::string file, Revision revision, Plan plan)
      : file_(std::move(file)), plan_(std::move(plan)) {
    plan_.revision = revision;
  }

  // Removes the section with this header ("kind name", without brackets).
  // Headers of other kinds or unknown names are ignored.
  void Remove(const std::string& header) {
    size_t space = header.find(' ');
    std::string kind = header.substr(0, space);
    std::string name =
        space == std::string::npos ? "" : header.substr(space + 1);
    if (kind == "model") {
      plan_.models.erase(name);
    } else if (kind == "backend") {
      plan_.backends.erase(name);
    } else if (kind == "service") {
      plan_.services.erase(name);
    } else if (kind == "route") {
      plan_.routes.erase(name);
    } else if (kind == "account") {
      plan_.accounts.erase(name);
    }
  }

  // Adds the sections of `document` to the plan and checks all references. All
  // problems are returned as one error.
  Result<Plan> Parse(const IniDocument& document) {
    for (const IniSection& section : document.sections) {
      ReadSection(section);
    }
    CheckReferences();
    if (auto error = JoinProblems(problems_, ErrorCode::kPlanInvalid)) {
      return *error;
    }
    return std::move(plan_);
  }

 private:
  void ReadSection(const IniSection& section) {
    IniSectionReader reader(section, file_, problems_);
    if (section.kind == "plan") {
      plan_.name = reader.RequiredText("name");
    } else if (section.name.empty()) {
      ReportProblem(section.line,
                    "[" + section.kind +
                        "]: expected a name after the kind, as in [" +
                        section.kind + " NAME]");
    } else if (section.kind == "model") {
      ReadModel(section, reader);
    } else if (section.kind == "backend") {
      ReadBackend(section, reader);
    } else if (section.kind == "service") {
      ReadService(section, reader);
    } else if (section.kind == "route") {
      ReadRoute(section, reader);
    } else if (section.kind == "account") {
      ReadAccount(section, reader);
    } else {
      ReportProblem(section.line,
                    "[" + section.kind +
                        "]: unknown section, expected plan, model, "
                        "backend, service, route or account");
      return;
    }
    reader.ReportUnknownKeys();
  }

  void ReadModel(const IniSection& section, IniSectionReader& reader) {
    Model model;
    model.id = section.name;
    model.version = reader.Number("version", 1, 1, kMaxCount);
    model.first_token_target =
        Millis(reader.Number("first_token_ms", 1500, 1, kMaxMillis));
    model.token_gap_target =
        Millis(reader.Number("token_gap_ms", 34, 1, kMaxMillis));
    model.prefill_us_per_token =
        reader.Number("prefill_us_per_token", 200, 1, kMaxCount);
    model.kv_bytes_per_token =
        reader.Number("kv_bytes_per_token", 100'000, 1, kMaxBytes);
    model.max_prompt_tokens =
        reader.Number("max_prompt_tokens", 64'000, 1, kMaxCount);
    plan_.models[model.id] = model;
  }

  void ReadBackend(const IniSection& section, IniSectionReader& reader) {
    Backend backend;
    backend.id = section.name;
    backend.url = reader.RequiredText("url");
    if (!backend.url.empty() && !backend.url.starts_with("http://")) {
      ReportProblem(section.line, "[backend " + section.name +
                                      "] url: expected http://IP:port, got \"" +
                                      backend.url + "\"");
    }
    backend.zone = reader.RequiredText("zone");
    backend.region = reader.Text("region", "");
    std::string role =
        reader.Choice("role", "service", {"prefill", "decode", "service"});
    backend.role = role == "prefill"  ? BackendRole::kPrefill
                   : role == "decode" ? BackendRole::kDecode
                                      : BackendRole::kService;
    if (backend.role == BackendRole::kService) {
      backend.service = reader.RequiredText("service");
    } else {
      backend.model = reader.RequiredText("model");
    }
    backend.slots = reader.Number("slots", 20, 1, 10'000);
    backend.link_mb_per_s = reader.Number("link_mb_per_s", 1000, 1, kMaxCount);
    backend.checks_fencing = reader.Flag("checks_fencing", true);
    backend.leaving = reader.Flag("leaving", false);
    plan_.backends[backend.id] = backend;
  }

  void ReadService(const IniSection& section, IniSectionReader& reader) {
    Service service;
    service.id = section.name;
    service.max_concurrent = reader.Number("max_concurrent", 64, 1, 100'000);
    service.timeout = Millis(reader.Number("timeout_ms", 5000, 1, kMaxMillis));
    plan_.services[service.id] = service;
  }

  void ReadRoute(const IniSection& section, IniSectionReader& reader) {
    Route route;
    route.id = section.name;
    route.service = reader.RequiredText("service");
    route.method = reader.Choice("method", "POST",
                                 {"GET", "POST", "PUT", "PATCH", "DELETE"});
    route.path_prefix = reader.RequiredText("path");
    route.idempotent = reader.Flag("idempotent", false);
    plan_.routes[route.id] = route;
  }

  void ReadAccount(const IniSection& section, IniSectionReader& reader) {
    Account account;
    account.id = section.name;
    account.max_requests = reader.Number("max_requests", 100, 1, kMaxCount);
    account.weight = reader.Number("weight", 1, 1, 1000);
    plan_.accounts[account.id] = account;
  }

  void CheckReferences() {
    if (plan_.name.empty()) {
      problems_.push_back(file_ + ": [plan] name: expected a value");
    }
    for (const auto& [id, backend] : plan_.backends) {
      if (!backend.model.empty() && !plan_.models.contains(backend.model)) {
        problems_.push_back(file_ + ": [backend " + id + "] model: no [model " +
                            backend.model + "] in the plan");
      }
      if (!backend.service.empty() &&
          !plan_.services.contains(backend.service)) {
        problems_.push_back(file_ + ": [backend " + id +
                            "] service: no [service " + backend.service +
                            "] in the plan");
      }
    }
    for (const auto& [id, route] : plan_.routes) {
      if (!plan_.services.contains(route.service)) {
        problems_.push_back(file_ + ": [route " + id +
                            "] service: no [service " + route.service +
                            "] in the plan");
      }
    }
  }

  void ReportProblem(int line, const std::string& text) {
    problems_.push_back(file_ + ":" + std::to_string(line) + ": " + text);
  }

  std::string file_;
  Plan plan_;
  std::vector<std::string> problems_;
};

const char* YesNo(bool flag) {
  return flag ? "yes" : "no";
}

// Appends a line for each object that was added (+), removed (-) or changed
// (~).
template <typename Object>
void DiffObjects(const std::string& kind,
                 const std::map<std::string, Object>& from,
                 const std::map<std::string, Object>& to,
                 std::vector<std::string>& lines) {
  std::set<std::string> names;
  for (const auto& [name, object] : from) {
    names.insert(name);
  }
  for (const auto& [name, object] : to) {
    names.insert(name);
  }
  for (const std::string& name : names) {
    std::string header = " [" + kind + " " + name + "]";
    if (!from.contains(name)) {
      lines.push_back("+" + header);
    } else if (!to.contains(name)) {
      lines.push_back("-" + header);
    } else if (!(from.at(name) == to.at(name))) {
      lines.push_back("~" + header);
    }
  }
}

}  // namespace

std::string_view RoleName(BackendRole role) {
  switch (role) {
    case BackendRole::kPrefill:
      return "prefill";
    case BackendRole::kDecode:
      return "decode";
    case BackendRole::kService:
      return "service";
  }
  return "service";
}

bool Plan::IsIdempotent(const ServiceId& service,
                        const std::string& method,
                        const std::string& path) const {
  const Route* best = nullptr;
  for (const auto& [id, route] : routes) {
    bool matches = route.service == service && route.method == method &&
                   path.starts_with(route.path_prefix);
    if (matches && (best == nullptr ||
                    route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best != nullptr && best->idempotent;
}

Result<Plan> ParsePlan(const std::string& text,
                       const std::string& file,
                       Revision revision) {
  auto document = ParseIni(text, file, ErrorCode::kPlanInvalid);
  if (const auto* error = std::get_if<Error>(&document)) {
    return *error;
  }
  return PlanParser(file, revision, Plan{})
      .Parse(std::get<IniDocument>(document));
}

Result<Plan> UpdatePlan(Plan plan,
                        const std::string& changed,
                        const std::vector<std::string>& removed,
                        const std::string& file,
                        Revision revision) {
  auto document = ParseIni(changed, file, ErrorCode::kPlanInvalid);
  if (const auto* error = std::get_if<Error>(&document)) {
    return *error;
  }
  PlanParser parser(file, revision, std::move(plan));
  for (const std::string& header : removed) {
    parser.Remove(header);
  }
  return parser.Parse(std::get<IniDocument>(document));
}

std::string FormatPlan(const Plan& plan) {
  std::ostringstream out;
  out << "[plan]\nname = " << plan.name << "\n";
  for (const auto& [id, model] : plan.models) {
    out << "\n[model " << id << "]\nversion = " << model.version
        << "\nfirst_token_ms = " << model.first_token_target.count()
        << "\ntoken_gap_ms = " << model.token_gap_target.count()
        << "\nprefill_us_per_token = " << model.prefill_us_per_token
        << "\nkv_bytes_per_token = " << model.kv_bytes_per_token
        << "\nmax_prompt_tokens = " << model.max_prompt_tokens << "\n";
  }
  for (const auto& [id, service] : plan.services) {
    out << "\n[service " << id
        << "]\nmax_concurrent = " << service.max_concurrent
        << "\ntimeout_ms = " << service.timeout.count() << "\n";
  }
  for (const auto& [id, route] : plan.routes) {
    out << "\n[route " << id << "]\nservice = " << route.service
        << "\nmethod = " << route.method << "\npath = " << route.path_prefix
        << "\nidempotent = " << YesNo(route.idempotent) << "\n";
  }
  for (const auto& [id, account] : plan.accounts) {
    out << "\n[account " << id << "]\nmax_requests = " << account.max_requests
        << "\nweight = " << account.weight << "\n";
  }
  for (const auto& [id, backend] : plan.backends) {
    out << "\n[backend " << id << "]\nurl = " << backend.url
        << "\nzone = " << backend.zone
        << (backend.region.empty() ? "" : "\nregion = " + backend.region)
        << "\nrole = " << RoleName(backend.role)
        << (backend.role == BackendRole::kService
                ? "\nservice = " + backend.service
                : "\nmodel = " + backend.model)
        << "\nslots = " << backend.slots
        << "\nlink_mb_per_s = " << backend.link_mb_per_s
        << "\nchecks_fencing = " << YesNo(backend.checks_fencing)
        << "\nleaving = " << YesNo(backend.leaving) << "\n";
  }
  return out.str();
}

std::vector<std::string> DiffPlans(const Plan& from, const Plan& to) {
  std::vector<std::string> lines;
  if (from.name != to.name) {
    lines.push_back("~ [plan]");
  }
  DiffObjects("model", from.models, to.models, lines);
  DiffObjects("service", from.services, to.services, lines);
  DiffObjects("route", from.routes, to.routes, lines);
  DiffObjects("account", from.accounts, to.accounts, lines);
  DiffObjects("backend", from.backends, to.backends, lines);
  return lines;
}

}  // namespace mangoyoke
