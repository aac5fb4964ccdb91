// Executes non-idempotent service requests at most once per idempotency key.
//
// Every key has exactly one owner, which is one incarnation of an instance:
// - A ticket in the key names the owner. For a key without a ticket, the owner
//   is named by a claim: a row in the table service that is written only once.
// - Only the owner executes the request; it stores the outcome in a table.
// - Other instances forward the request to the owner. If the owner is gone or
//   unreachable they respond with the outcome stored at the replica, or with
//   an error that says the outcome is unknown; they never execute it.

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

// Runs on the control thread.
class AtMostOnceService {
 public:
  using Callback = std::function<void(const Outcome&)>;
  // Sends a request once to the service's backend servers.
  using Runner =
      std::function<void(ServiceRequest, ControlInterface::OutcomeCallback)>;

  AtMostOnceService(ControlContext context, RequestOwner self, Runner runner);

  // Handles a request that a caller sent to this instance. `callback` gets the
  // outcome, or an error whose code tells whether the request was executed.
  void Execute(ServiceRequest request, Callback callback);
  // Handles a request that a peer forwarded to this instance as its owner.
  // Responds with kOwnerGone if it was meant for an earlier incarnation.
  void OnForwardedCall(const Json& message, const PeerResponder& respond);
  // Stores a replica of an outcome that a peer owns.
  void OnOutcomeReplica(const Json& message);
  // Returns the replicated outcome of a key; an empty object if there is none.
  Json OnOutcomeQuery(const Json& message) const;

  // Number of keys owned here whose requests have no outcome yet.
  size_t active_calls() const { return table_.running(); }

 private:
  // Executes the request as owner of its key, or waits for the outcome of an
  // execution of the same key that has begun.
  void RunHere(const ServiceRequest& request, Callback callback);
  // Sends the request to `owner`; asks the replica if that is impossible.
  void Forward(const RequestOwner& owner,
               const ServiceRequest& request,
               Callback callback);
  // Writes a claim row that names this incarnation as owner of the key.
  void Claim(const ServiceRequest& request, Callback callback);
  // Reads the claim row after the response to its write was lost.
  void ReadClaim(const ServiceRequest& request, Callback callback);
  // Executes or forwards the request according to the claim row's owner.
  void FollowClaim(const ServiceRequest& request,
                   const std::string& row_value,
                   const Callback& callback);
  // Reports the replicated outcome of the key, or `fallback_error` if there is
  // none.
  void AskReplica(const ServiceRequest& request,
                  Error fallback_error,
                  Callback callback);
  // Sends a copy of `outcome` to the key's replica. Skips errors that say the
  // request was not executed.
  void Replicate(const ServiceRequest& request, const Outcome& outcome);
  // Peer address of the member that stores the outcome of `key` besides
  // `owner`; empty if there is no other usable member.
  std::string ReplicaAddress(const std::string& key,
                             const InstanceId& owner) const;

  ControlContext context_;
  RequestOwner self_;
  Runner runner_;
  OutcomeTable table_;     // Keys owned by this incarnation.
  OutcomeTable replicas_;  // Outcomes of keys that other instances own.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_CALLS_AT_MOST_ONCE_SERVICE_H_
