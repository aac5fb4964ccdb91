// The serving plan: the configuration of models, backend servers, plain
// services and client accounts that operators submit and all instances apply.
//
// A plan's text form is INI with one section for each object; README.md and
// docs/operators.md show examples. Accepted plans are not changed; each change
// makes a new revision.

#ifndef MANGOYOKE_PLAN_H_
#define MANGOYOKE_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mangoyoke/clock.h"
#include "mangoyoke/error.h"

namespace mangoyoke {

using InstanceId = std::string;
using ZoneId = std::string;
using BackendId = std::string;
using ModelId = std::string;
using ServiceId = std::string;
using AccountId = std::string;
using Revision = uint64_t;  // Of a plan. 0: none. Never decreases.

// What a backend server does: prefill or decode of a model, or a plain service.
enum class BackendRole { kPrefill, kDecode, kService };

// Returns the role's name in a plan, as in "prefill".
std::string_view RoleName(BackendRole role);

// A model: the version to serve, its latency targets and its costs.
struct Model {
  ModelId id;
  int64_t version = 1;
  Millis first_token_target{1500};
  Millis token_gap_target{34};
  int64_t prefill_us_per_token = 200;    // Without a prefix hit.
  int64_t kv_bytes_per_token = 100'000;  // Size of its KV cache.
  int64_t max_prompt_tokens = 64'000;

  bool operator==(const Model&) const = default;
};

// One backend server.
struct Backend {
  BackendId id;
  std::string url;  // "http://IP:port".
  ZoneId zone;
  std::string region;  // Cells do not span regions.
  BackendRole role = BackendRole::kService;
  ModelId model;                 // Empty for a plain service.
  ServiceId service;             // Only for a plain service.
  int64_t slots = 20;            // Concurrent decode streams.
  int64_t link_mb_per_s = 1000;  // Of the KV transfer link, in MB/s.
  bool checks_fencing = true;    // Rejects orders with an old fencing token.
  bool leaving = false;          // Drains: gets no new requests.

  bool operator==(const Backend&) const = default;
};

// A plain service: HTTP backend servers that serve no model.
struct Service {
  ServiceId id;
  int64_t max_concurrent = 64;  // Requests, in each instance.
  Millis timeout{5000};

  bool operator==(const Service&) const = default;
};

// Declares whether the requests with a method and path prefix are idempotent.
// The route with the longest matching prefix decides; without one a request is
// non-idempotent.
struct Route {
  std::string id;
  ServiceId service;
  std::string method;
  std::string path_prefix;
  bool idempotent = false;

  bool operator==(const Route&) const = default;
};

// A client account.
struct Account {
  AccountId id;
  int64_t max_requests = 100;  // Active at a time, in each instance.
  int64_t weight = 1;          // Fair-share weight if slots are scarce.

  bool operator==(const Account&) const = default;
};

// One revision of the serving plan.
struct Plan {
  Revision revision = 0;
  std::string name;
  std::map<ModelId, Model> models;
  std::map<BackendId, Backend> backends;
  std::map<ServiceId, Service> services;
  std::map<std::string, Route> routes;
  std::map<AccountId, Account> accounts;

  bool operator==(const Plan&) const = default;

  // True if the request is idempotent, so that it may be executed more than
  // once.
  bool IsIdempotent(const ServiceId& service,
                    const std::string& method,
                    const std::string& path) const;
};

// Parses and checks a plan. `file` stands for the text in errors
// (kPlanInvalid), which list all problems with their lines.
Result<Plan> ParsePlan(const std::string& text,
                       const std::string& file,
                       Revision revision);

// Returns `plan` without the sections with the headers `removed` ("kind name")
// and with the sections of the INI text `changed` added or replaced. Parses
// only these sections, then checks all references. Errors as for ParsePlan.
Result<Plan> UpdatePlan(Plan plan,
                        const std::string& changed,
                        const std::vector<std::string>& removed,
                        const std::string& file,
                        Revision revision);

// Returns the plan as INI text, which ParsePlan parses to an equal plan.
std::string FormatPlan(const Plan& plan);

// Returns a line "+ [kind name]", "- [kind name]" or "~ [kind name]" for each
// section that was added, removed or changed.
std::vector<std::string> DiffPlans(const Plan& from, const Plan& to);

}  // namespace mangoyoke

#endif  // MANGOYOKE_PLAN_H_
