// Polls engine loads and picks the least loaded servers.

#include "daemon/control/slots/least_loaded_placement.h"

#include <algorithm>
#include <tuple>

namespace mangoyoke {
namespace {

constexpr Duration kPollInterval = Millis(250);
constexpr Millis kPollTimeout{1000};
// Load assumed for an engine whose load report failed.
constexpr int64_t kUnreachableLoad = 1'000'000;

}  // namespace

LeastLoadedPlacement::LeastLoadedPlacement(ControlContext context,
                                           PlanService& plans)
    : context_(context), plans_(plans) {
  timer_ = std::make_unique<PeriodicTimer>(context_.io, kPollInterval,
                                           [this] { Poll(); });
}

void LeastLoadedPlacement::Reserve(SlotRequest request,
                                   GrantCallback callback) {
  SlotGrant grant;
  grant.id = request.id;
  grant.prefill = FindLeastLoaded(request, BackendRole::kPrefill);
  grant.decode = FindLeastLoaded(request, BackendRole::kDecode);
  if (grant.prefill.empty() || grant.decode.empty()) {
    callback(Error{ErrorCode::kNoBackend,
                   "no prefill or decode server for model " + request.model});
    return;
  }
  callback(grant);
}

BackendId LeastLoadedPlacement::FindLeastLoaded(const SlotRequest& request,
                                                BackendRole role) {
  auto plan = plans_.Current();
  BackendId best;
  std::tuple<int64_t, unsigned long> best_load;
  for (const auto& [id, backend] : plan->backends) {
    bool excluded = std::find(request.exclude.begin(), request.exclude.end(),
                              id) != request.exclude.end();
    if (backend.role != role || backend.model != request.model ||
        backend.leaving || excluded) {
      continue;
    }
    std::tuple<int64_t, unsigned long> load(loads_[id], random_());
    if (best.empty() || load < best_load) {
      best = id;
      best_load = load;
    }
  }
  return best;
}

void LeastLoadedPlacement::Poll() {
  auto plan = plans_.Current();
  if (!plan) {
    return;
  }
  for (const auto& [id, backend] : plan->backends) {
    if (backend.role == BackendRole::kService) {
      continue;
    }
    ClientRequest request;
    request.url = backend.url + "/v1/load";
    request.timeout = kPollTimeout;
    context_.http.Start(
        std::move(request), [this, id = id](ClientResponse response) {
          Json report = Json::parse(response.body, nullptr, false);
          loads_[id] = response.Succeeded() && report.is_object()
                           ? report.value("running", int64_t{0}) +
                                 report.value("queued", int64_t{0})
                           : kUnreachableLoad;
        });
  }
}

}  // namespace mangoyoke
