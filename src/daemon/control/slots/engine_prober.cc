// Prefill and decode requests that probe ejected engines.

#include "daemon/control/slots/engine_prober.h"

#include "daemon/control/slots/slot_codec.h"
#include "mangoyoke/prefix_index.h"

namespace mangoyoke {
namespace {

constexpr Duration kTickInterval = Millis(100);
constexpr int64_t kProbePromptTokens = 100;
constexpr int64_t kProbeOutputTokens = 8;
constexpr Millis kProbeTimeout{3000};
constexpr double kMicrosPerMilli = 1000;

}  // namespace

EngineProber::EngineProber(ControlContext context,
                           PlanService& plans,
                           AllocatorService& allocators)
    : context_(context), plans_(plans), allocators_(allocators) {}

void EngineProber::Start() {
  timer_ = std::make_unique<PeriodicTimer>(context_.io, kTickInterval,
                                           [this] { Tick(); });
}

void EngineProber::Tick() {
  for (const BackendId& id : allocators_.BackendsNeedingProbe()) {
    if (!active_probes_.contains(id)) {
      StartProbe(id);
    }
  }
}

void EngineProber::StartProbe(const BackendId& target) {
  auto plan = plans_.Current();
  if (!plan || !plan->backends.contains(target)) {
    return;
  }
  const Backend& backend = plan->backends.at(target);
  Probe probe;
  probe.target = target;
  probe.prefill = backend.role == BackendRole::kPrefill
                      ? target
                      : allocators_.FindHealthyPrefill(target);
  if (probe.prefill.empty()) {
    return;
  }
  probe.request_id =
      context_.membership.self().id + "-probe-" + std::to_string(++last_id_);
  probe.started = SteadyClock::now();
  const Model& model = plan->models.at(backend.model);
  probe.expected_ms =
      static_cast<double>(kProbePromptTokens * model.prefill_us_per_token) /
      kMicrosPerMilli;
  active_probes_[target] = probe;
  context_.metrics.Increment("mangoyoke_engine_probes_total");
  Prefill(probe);
}

void EngineProber::Prefill(const Probe& probe) {
  auto plan = plans_.Current();
  const MemberRecord& self = context_.membership.self();
  // The prompt is unique, so that no cached prefix shortens the prefill.
  std::string prompt = probe.request_id + std::to_string(self.incarnation);
  prompt.resize(kProbePromptTokens * kBytesPerToken, '.');
  ClientRequest request;
  request.method = "POST";
  request.url = plan->backends.at(probe.prefill).url + "/v1/prefill";
  request.timeout = kProbeTimeout;
  request.body = Json{
      {"request_id", probe.request_id},
      {"owner", FormatOwner(RequestOwner{self.id, self.incarnation})},
      {"model", plan->backends.at(probe.prefill).model},
      {"prompt", prompt},
      {"priority",
       0}}.dump();
  context_.http.Start(
      std::move(request), [this, probe](ClientResponse response) {
        Json response_json = Json::parse(response.body, nullptr, false);
        bool succeeded = response.Succeeded() && response_json.is_object();
        if (probe.target == probe.prefill || !succeeded) {
          Cancel(probe, probe.prefill);
          Finish(probe, succeeded);
          return;
        }
        Decode(probe, response_json.value("handle", ""));
      });
}

void EngineProber::Decode(Probe probe, const std::string& handle) {
  auto plan = plans_.Current();
  auto target = plan->backends.find(probe.target);
  auto source = plan->backends.find(probe.prefill);
  if (target == plan->backends.end() || source == plan->backends.end()) {
    active_probes_.erase(probe.target);
    return;
  }
  probe.started = SteadyClock::now();
  probe.expected_ms = static_cast<double>(
      kProbeOutputTokens *
      plan->models.at(target->second.model).token_gap_target.count());
  const MemberRecord& self = context_.membership.self();
  ClientRequest request;
  request.method = "POST";
  request.url = target->second.url + "/v1/decode";
  request.timeout = kProbeTimeout;
  request.body = Json{
      {"request_id", probe.request_id},
      {"owner", FormatOwner(RequestOwner{self.id, self.incarnation})},
      {"model", target->second.model},
      {"source", source->second.url},
      {"handle", handle},
      {"max_tokens", kProbeOutputTokens},
      {"offset", 0},
      {"priority",
       0}}.dump();
  context_.http.Start(std::move(request),
                      [this, probe](ClientResponse response) {
                        if (!response.Succeeded()) {
                          Cancel(probe, probe.prefill);
                          Cancel(probe, probe.target);
                        }
                        Finish(probe, response.Succeeded());
                      });
}

void EngineProber::Finish(const Probe& probe, bool succeeded) {
  active_probes_.erase(probe.target);
  double elapsed_ms = ToMillis(SteadyClock::now() - probe.started);
  allocators_.ReportProbeResult(BackendObservation{
      probe.target, elapsed_ms / probe.expected_ms, !succeeded});
}

void EngineProber::Cancel(const Probe& probe, const BackendId& backend) {
  auto plan = plans_.Current();
  if (!plan->backends.contains(backend)) {
    return;
  }
  ClientRequest request;
  request.method = "POST";
  request.url = plan->backends.at(backend).url + "/v1/cancel";
  request.body = Json{{"request_id", probe.request_id}}.dump();
  context_.http.Start(std::move(request), [](ClientResponse) {});
}

}  // namespace mangoyoke
