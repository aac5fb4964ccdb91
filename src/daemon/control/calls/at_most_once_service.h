// Runs non-idempotent service calls at most once.
//
// Every key has exactly one owner, an incarnation of an instance: named by
// the ticket in the key, or by a row in the table service that is written
// once (a claim). Only the owner ever runs the key, and it remembers the
// outcome. Others forward to the owner; if it is gone they answer what its
// replica knows, else "unknown", and never run the key.

#ifndef MANGOYOKE_DAEMON_CONTROL_CALLS_AT_MOST_ONCE_SERVICE_H_
#define MANGOYOKE_DAEMON_CONTROL_CALLS_AT_MOST_ONCE_SERVICE_H_

#include <functional>
#include <memory>
#include <string>

#include "daemon/control/control_context.h"
#include "daemon/control_interface.h"
#include "mangoyoke/outcome_table.h"
#include "mangoyoke/ticket.h"

namespace mangoyoke {

class AtMostOnceService {
 public:
  using Callback = std::function<void(const Outcome&)>;
  // Runs a call against the service's backend servers, once.
  using Runner =
      std::function<void(ServiceRequest, ControlInterface::OutcomeCallback)>;

  AtMostOnceService(ControlContext context, RequestOwner self, Runner runner);

  // A caller's call that arrived at this instance.
  void Execute(ServiceRequest request, Callback callback);
  // Another instance forwards a call of `owner`.
  void OnForwardedCall(const Json& message, const PeerResponder& respond);
  // Another instance stores an outcome here, or asks for one.
  void OnOutcomeReplica(const Json& message);
  Json OnOutcomeQuery(const Json& message) const;

  size_t running() const { return table_.running(); }

 private:
  void RunHere(const ServiceRequest& request, Callback callback);
  void Forward(const RequestOwner& owner,
               const ServiceRequest& request,
               Callback callback);
  void Claim(const ServiceRequest& request, Callback callback);
  void ReadClaim(const ServiceRequest& request, Callback callback);
  void FollowClaim(const ServiceRequest& request,
                   const std::string& row_value,
                   const Callback& callback);
  void AskReplica(const ServiceRequest& request,
                  Error otherwise,
                  Callback callback);
  void Replicate(const ServiceRequest& request, const Outcome& outcome);
  std::string ReplicaAddress(const std::string& key,
                             const InstanceId& owner) const;

  ControlContext context_;
  RequestOwner self_;
  Runner runner_;
  OutcomeTable table_;     // Keys owned by this incarnation.
  OutcomeTable replicas_;  // Outcomes of other owners' keys.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_CALLS_AT_MOST_ONCE_SERVICE_H_
