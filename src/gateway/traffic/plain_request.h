// A request to a plain service: one send, and others where that is allowed.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_PLAIN_REQUEST_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_PLAIN_REQUEST_H_

#include "gateway/traffic/active_request.h"

namespace mangoyoke {

class PlainRequest : public ActiveRequest {
 public:
  using ActiveRequest::ActiveRequest;

 private:
  void Begin() override;
  void OnCallerDisconnected() override;

  void SendNext();
  void OnSendEnd(const BackendServer& server, AttemptOutcome outcome);
  // Sends again if that is allowed; else gives the answer at hand.
  void RetryOrFail(ErrorCode code, std::string_view why);
  Duration SendLimit() const;

  int unreachable_ = 0;       // Servers that could not be connected.
  bool caller_gone_ = false;  // Nothing is sent any more.
  std::optional<AttemptOutcome> last_answer_;  // A failure that a server gave.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_PLAIN_REQUEST_H_
