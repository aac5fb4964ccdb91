// Interface of the control thread for traffic threads. All methods may be
// called on any thread; callbacks run on the event loop that is passed with the
// call.

#ifndef MANGOYOKE_DAEMON_CONTROL_INTERFACE_H_
#define MANGOYOKE_DAEMON_CONTROL_INTERFACE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "mangoyoke/outcome_table.h"
#include "mangoyoke/plan.h"
#include "mangoyoke/slot_allocator.h"

namespace mangoyoke {

// A caller's request to a plain service.
struct ServiceRequest {
  ServiceId service;
  std::string method;
  std::string path;  // Path within the service, including the query.
  std::string content_type;
  std::string body;
  AccountId account;
  std::string idempotency_key;  // Idempotency-Key; empty for idempotent calls.
  int64_t timeout_ms = 0;       // Time left for the response.

  bool operator==(const ServiceRequest&) const = default;
};

// An instance's observation of a backend server.
struct BackendObservation {
  BackendId backend;
  double slowness = 1;  // Observed duration divided by expected duration.
  bool failed = false;

  bool operator==(const BackendObservation&) const = default;
};

// An instance that callers may use.
struct InstanceAddress {
  InstanceId instance;
  ZoneId zone;
  std::string address;  // "IP:port".
  std::string ticket;   // Prefix for idempotency keys owned by the instance.

  bool operator==(const InstanceAddress&) const = default;
};

class ControlInterface {
 public:
  using GrantCallback = std::function<void(Result<SlotGrant>)>;
  using OutcomeCallback = std::function<void(Outcome)>;
  using InstanceListCallback =
      std::function<void(std::vector<InstanceAddress>)>;
  // Sends a service request to a backend server. Runs on a traffic thread.
  using Runner = std::function<void(ServiceRequest, OutcomeCallback)>;

  virtual ~ControlInterface() = default;

  // Returns the active plan, or null until one is known.
  virtual std::shared_ptr<const Plan> CurrentPlan() const = 0;
  // Returns why new requests are refused, or nullopt if they are accepted.
  virtual std::optional<ErrorCode> RefusalReason() const = 0;
  // Returns this instance's id and incarnation.
  virtual const RequestOwner& Self() const = 0;

  // Reserves a prefill and a decode server. The callback gets the grant, or the
  // error if none was made.
  virtual void Reserve(boost::asio::io_context& loop,
                       SlotRequest request,
                       GrantCallback callback) = 0;
  // The prefill of a granted request has ended.
  virtual void OnPrefillDone(const RequestId& id) = 0;
  // Withdraws a waiting request or releases its grant.
  virtual void Release(const RequestId& id) = 0;
  // Reports how fast a server of the request's grant was, or that it failed.
  virtual void ReportObservation(const RequestId& id,
                                 BackendObservation observation) = 0;

  // Executes a non-idempotent request at most once, here or at the owner of its
  // idempotency key.
  virtual void ExecuteAtMostOnce(boost::asio::io_context& loop,
                                 ServiceRequest request,
                                 OutcomeCallback callback) = 0;

  // Lists the instances for callers in availability zone `zone`, those of the
  // zone first.
  virtual void ListInstances(boost::asio::io_context& loop,
                             const ZoneId& zone,
                             InstanceListCallback callback) = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_INTERFACE_H_
