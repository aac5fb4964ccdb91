// The serving plan: what operators accept and every instance follows.
//
// A plan is an immutable value. Its text form is INI with one section for
// each object; README.md and docs/operators.md show examples.

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
using Revision = uint64_t;  // 0 means none; only ever goes up.

enum class BackendRole { kPrefill, kDecode, kService };

std::string_view RoleName(BackendRole role);

// A model in the version to be served, with its latency targets.
struct Model {
  ModelId id;
  int64_t version = 1;
  Millis first_token_target{1500};
  Millis token_gap_target{34};
  int64_t prefill_us_per_token = 200;    // Predicted cost without a prefix hit.
  int64_t kv_bytes_per_token = 100'000;  // Size of the KV cache.
  int64_t max_prompt_tokens = 64'000;

  bool operator==(const Model&) const = default;
};

// One backend server.
struct Backend {
  BackendId id;
  std::string url;  // "http://IP:port".
  ZoneId zone;
  std::string region;  // Servers of one region share allocation cells.
  BackendRole role = BackendRole::kService;
  ModelId model;                 // Of engines.
  ServiceId service;             // Of plain services.
  int64_t slots = 20;            // Concurrent decode streams.
  int64_t link_mb_per_s = 1000;  // KV link, megabytes a second.
  bool checks_fencing = true;    // Refuses orders with an old fencing number.
  bool leaving = false;          // Gets no new work.

  bool operator==(const Backend&) const = default;
};

// A plain service beside the engines.
struct Service {
  ServiceId id;
  int64_t max_concurrent = 64;  // In each instance.
  Millis timeout{5000};

  bool operator==(const Service&) const = default;
};

// Which calls of a service are idempotent. The longest path prefix wins; a
// call without a route is non-idempotent.
struct Route {
  std::string id;
  ServiceId service;
  std::string method;
  std::string path_prefix;
  bool idempotent = false;

  bool operator==(const Route&) const = default;
};

struct Account {
  AccountId id;
  int64_t max_requests = 100;  // Open in each instance.
  int64_t weight = 1;          // Share under contention.

  bool operator==(const Account&) const = default;
};

struct Plan {
  Revision revision = 0;
  std::string name;
  std::map<ModelId, Model> models;
  std::map<BackendId, Backend> backends;
  std::map<ServiceId, Service> services;
  std::map<std::string, Route> routes;
  std::map<AccountId, Account> accounts;

  bool operator==(const Plan&) const = default;

  // Whether the call may run more than once.
  bool IsIdempotent(const ServiceId& service,
                    const std::string& method,
                    const std::string& path) const;
};

// Parses and checks a plan. `file` names the text in errors.
Result<Plan> ParsePlan(const std::string& text,
                       const std::string& file,
                       Revision revision);

// `plan` with the sections of `changed` (INI text) put in and the sections
// with the headers `removed` taken out. Costs little for few sections.
Result<Plan> UpdatePlan(Plan plan,
                        const std::string& changed,
                        const std::vector<std::string>& removed,
                        const std::string& file,
                        Revision revision);

// The plan as INI text. ParsePlan of it gives an equal plan.
std::string FormatPlan(const Plan& plan);

// Lines "+ [kind name]", "- [kind name]" or "~ [kind name]" for what differs.
std::vector<std::string> DiffPlans(const Plan& from, const Plan& to);

}  // namespace mangoyoke

#endif  // MANGOYOKE_PLAN_H_
