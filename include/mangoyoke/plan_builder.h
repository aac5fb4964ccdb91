// Builds a plan in a program and prints it as INI text, for operators who
// generate their plans.
//
//   PlanBuilder plan("association");
//   plan.AddModel("assistant").version = 3;
//   plan.AddPrefill("p1", "http://10.0.1.1:9000", "mid-a", "assistant");
//   std::cout << plan.Print();
//
// Operators review the printed text and submit it with mangoyokectl.

#ifndef MANGOYOKE_PLAN_BUILDER_H_
#define MANGOYOKE_PLAN_BUILDER_H_

#include <string>

#include "mangoyoke/plan.h"

namespace mangoyoke {

// The Add functions return the new object, with default values, for further
// changes. These references stay valid as long as the builder. Adding an id
// again changes the object that has it.
class PlanBuilder {
 public:
  explicit PlanBuilder(std::string name) { plan_.name = std::move(name); }

  Model& AddModel(const ModelId& id) {
    Model& model = plan_.models[id];
    model.id = id;
    return model;
  }

  Backend& AddPrefill(const BackendId& id,
                      const std::string& url,
                      const ZoneId& zone,
                      const ModelId& model) {
    return AddBackend(id, url, zone, BackendRole::kPrefill, model, "");
  }

  Backend& AddDecode(const BackendId& id,
                     const std::string& url,
                     const ZoneId& zone,
                     const ModelId& model) {
    return AddBackend(id, url, zone, BackendRole::kDecode, model, "");
  }

  Service& AddService(const ServiceId& id) {
    Service& service = plan_.services[id];
    service.id = id;
    return service;
  }

  Backend& AddServiceBackend(const BackendId& id,
                             const std::string& url,
                             const ZoneId& zone,
                             const ServiceId& service) {
    return AddBackend(id, url, zone, BackendRole::kService, "", service);
  }

  // Declares the requests with this method and path prefix idempotent. Requests
  // that match no route are non-idempotent.
  Route& AddIdempotentRoute(const std::string& id,
                            const ServiceId& service,
                            const std::string& method,
                            const std::string& path_prefix) {
    Route& route = plan_.routes[id];
    route = Route{id, service, method, path_prefix, true};
    return route;
  }

  Account& AddAccount(const AccountId& id) {
    Account& account = plan_.accounts[id];
    account.id = id;
    return account;
  }

  const Plan& plan() const { return plan_; }

  // Checks the plan. Line numbers in errors refer to the text of Print().
  Result<Plan> Check() const { return ParsePlan(Print(), plan_.name, 0); }
  // Returns the plan as INI text.
  std::string Print() const { return FormatPlan(plan_); }

 private:
  Backend& AddBackend(const BackendId& id,
                      const std::string& url,
                      const ZoneId& zone,
                      BackendRole role,
                      const ModelId& model,
                      const ServiceId& service) {
    Backend& backend = plan_.backends[id];
    backend.id = id;
    backend.url = url;
    backend.zone = zone;
    backend.role = role;
    backend.model = model;
    backend.service = service;
    return backend;
  }

  Plan plan_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_PLAN_BUILDER_H_
