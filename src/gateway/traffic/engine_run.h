// A request to a model: the prompt is read by a prefill server, then a decode
// server takes the memory over and streams events.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_ENGINE_RUN_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_ENGINE_RUN_H_

#include "gateway/core/event_relay.h"
#include "gateway/traffic/request_run.h"

namespace mangoyoke {

class EngineRun : public RequestRun {
 public:
  EngineRun(TrafficContext& context, RunTable& table, RunInput input);
  ~EngineRun() override;

 private:
  void Begin() override;
  void DescribeEnd(LogEvent& line) const override;

  void Prefill();
  void OnPrefillEnd(const BackendServer& server, AttemptOutcome outcome);
  void Decode();
  void SendDecode(const BackendServer& server);
  bool OnDecodeHead(const http::response_header<>& head,
                    const BackendAnswer& answer);
  void OnDecodeData(std::string data);
  void OnDecodeEnd(const BackendServer& server, AttemptOutcome outcome);
  void OnDecodeNotRun();
  void OnDecodeBroken(bool timed_out);
  void FailBeforeRun(std::string_view why);
  void DropHandle();
  int64_t KvTokens() const;
  Duration EventLimit() const;

  EventRelay relay_;
  std::optional<PrefillHandle> handle_;  // Read and not yet taken.
  std::set<BackendId> failed_prefills_;
  int prefills_ = 0;        // Prefill calls that reached a server.
  int unreachable_ = 0;     // Servers that could not be connected.
  int decode_refusals_ = 0;
  int resumes_ = 0;
  double prefill_ms_ = 0;
  double first_event_ms_ = 0;
  double decode_cost_ms_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_ENGINE_RUN_H_
