// What traffic threads may ask of the control thread. All calls are safe from
// any thread; callbacks run on the caller's event loop.

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

// A call of a plain service.
struct ServiceRequest {
  ServiceId service;
  std::string method;
  std::string path;  // Below the service, with the query.
  std::string content_type;
  std::string body;
  AccountId account;
  std::string idempotency_key;  // Idempotency-Key; empty for idempotent calls.
  int64_t timeout_ms = 0;       // Time left for the answer.

  bool operator==(const ServiceRequest&) const = default;
};

// What an entry saw of a backend server.
struct BackendObservation {
  BackendId backend;
  double slowness = 1;  // Observed by expected time.
  bool failed = false;

  bool operator==(const BackendObservation&) const = default;
};

// One entry for callers.
struct InstanceAddress {
  InstanceId instance;
  ZoneId zone;
  std::string address;  // "IP:port".
  std::string ticket;

  bool operator==(const InstanceAddress&) const = default;
};

class ControlInterface {
 public:
  using GrantCallback = std::function<void(Result<SlotGrant>)>;
  using OutcomeCallback = std::function<void(Outcome)>;
  using InstanceListCallback =
      std::function<void(std::vector<InstanceAddress>)>;
  // Runs a service call on the caller's event loop.
  using Runner = std::function<void(ServiceRequest, OutcomeCallback)>;

  virtual ~ControlInterface() = default;

  // The plan in force; null until one is known.
  virtual std::shared_ptr<const Plan> CurrentPlan() const = 0;
  // Whether new work is taken: a code, or nothing if it is.
  virtual std::optional<ErrorCode> RefusalReason() const = 0;
  // This instance's name and run.
  virtual const RequestOwner& Self() const = 0;

  // Promises a prefill and a decode server.
  virtual void Reserve(boost::asio::io_context& loop,
                       SlotRequest request,
                       GrantCallback callback) = 0;
  virtual void OnPrefillDone(const RequestId& id) = 0;
  // Withdraws or releases.
  virtual void Release(const RequestId& id) = 0;
  // Reports what was seen of a server of this grant.
  virtual void ReportObservation(const RequestId& id,
                                 BackendObservation observation) = 0;

  // Runs a non-idempotent call at most once, here or at the key's owner.
  virtual void ExecuteAtMostOnce(boost::asio::io_context& loop,
                                 ServiceRequest request,
                                 OutcomeCallback callback) = 0;

  // Entries for callers in `zone`, the best first.
  virtual void ListInstances(boost::asio::io_context& loop,
                             const ZoneId& zone,
                             InstanceListCallback callback) = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_INTERFACE_H_
