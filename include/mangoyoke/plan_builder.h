// The operators' library: a program describes a plan with it and prints it.
//
//   PlanBuilder plan("association");
//   plan.AddModel("assistant").version = 3;
//   plan.AddPrefill("p1", "http://10.0.1.1:9000", "mid-a", "assistant");
//   std::cout << plan.Print();
//
// Operators review the printout and submit it with mangoyokectl.

#ifndef MANGOYOKE_PLAN_BUILDER_H_
#define MANGOYOKE_PLAN_BUILDER_H_

#include <string>

#include "mangoyoke/plan.h"

namespace mangoyoke {

// References returned by Add functions stay valid as long as the builder.
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

  // Declares the calls with this method and path prefix idempotent. All calls
  // that no route names are non-idempotent.
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

  // Checks the plan. The errors name the printed text's lines.
  Result<Plan> Check() const { return ParsePlan(Print(), plan_.name, 0); }
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
