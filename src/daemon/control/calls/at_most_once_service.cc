// Ownership, forwarding and outcome replication of non-idempotent requests.

#include "daemon/control/calls/at_most_once_service.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "base/log.h"
#include "daemon/control/calls/call_codec.h"
#include "mangoyoke/rendezvous.h"

namespace mangoyoke {
namespace {

constexpr int kConflict = 409;
constexpr Millis kClaimTimeout{1500};
constexpr Millis kReplicaTimeout{1000};
// Added to the request's timeout for the transfer to and from the owner.
constexpr Millis kForwardTimeoutMargin{200};
// Maximum tolerated difference between the wall clocks of two instances.
constexpr Seconds kMaxClockSkew{60};
// The owner's outcome table may have evicted keys whose claim is older.
constexpr Seconds kClaimTtl{600};

OutcomeTableOptions TableOptions(Seconds ticket_ttl) {
  OutcomeTableOptions options;
  options.retention = std::max(ticket_ttl, kClaimTtl) + kMaxClockSkew * 2;
  return options;
}

// Hash of the request's content. A key that is reused with other content is
// rejected.
uint64_t Fingerprint(const ServiceRequest& request) {
  return StableHash(request.service + "\n" + request.method + "\n" +
                    request.path + "\n" + request.body);
}

// URL of the key's claim row. Rows are addressed by the hash of the key.
std::string ClaimUrl(const Settings& settings, const std::string& key) {
  std::ostringstream url;
  url << settings.platform_url << "/tables/calls/" << std::hex << std::setw(16)
      << std::setfill('0') << StableHash(key);
  return url.str();
}

// Returns the value in a response body of the table service, or an empty string
// if the body is malformed.
std::string ParseRowValue(const std::string& body) {
  Json json = Json::parse(body, nullptr, false);
  return json.is_object() ? json.value("value", "") : "";
}

}  // namespace

AtMostOnceService::AtMostOnceService(ControlContext context,
                                     RequestOwner self,
                                     Runner runner)
    : context_(context),
      self_(std::move(self)),
      runner_(std::move(runner)),
      table_(TableOptions(context.settings.ticket_ttl)),
      replicas_(TableOptions(context.settings.ticket_ttl)) {}

void AtMostOnceService::Execute(ServiceRequest request, Callback callback) {
  auto ticket = ParseTicketFromKey(request.idempotency_key);
  if (!ticket) {
    Claim(request, std::move(callback));
    return;
  }
  int64_t age_s = WallSeconds() - ticket->issued_s;
  if (age_s > (context_.settings.ticket_ttl + kMaxClockSkew).count()) {
    callback(
        Error{ErrorCode::kKeyExpired,
              "ticket is " + std::to_string(age_s) + " s old, limit " +
                  std::to_string(
                      (context_.settings.ticket_ttl + kMaxClockSkew).count()) +
                  " s"});
    return;
  }
  RequestOwner owner{ticket->instance, ticket->incarnation};
  if (owner == self_) {
    RunHere(request, std::move(callback));
  } else {
    Forward(owner, request, std::move(callback));
  }
}

void AtMostOnceService::RunHere(const ServiceRequest& request,
                                Callback callback) {
  TimePoint now = SteadyClock::now();
  auto begin_result = table_.Begin(request.idempotency_key,
                                   Fingerprint(request), now, callback);
  if (begin_result == OutcomeTable::BeginResult::kPending) {
    context_.metrics.Increment("mangoyoke_repeated_keys_total");
    return;
  }
  runner_(request, [this, request, callback](Outcome outcome) {
    table_.Complete(request.idempotency_key, outcome, SteadyClock::now());
    Replicate(request, outcome);
    callback(outcome);
  });
}

void AtMostOnceService::Forward(const RequestOwner& owner,
                                const ServiceRequest& request,
                                Callback callback) {
  auto record = context_.membership.Find(owner.instance);
  bool gone = record &&
              (record->incarnation > owner.incarnation ||
               (record->incarnation == owner.incarnation && !record->Usable()));
  if (gone) {
    AskReplica(request, Error{ErrorCode::kOwnerGone, owner.instance},
               std::move(callback));
    return;
  }
  if (!record || record->incarnation != owner.incarnation) {
    AskReplica(request,
               Error{ErrorCode::kOwnerUnreachable,
                     owner.instance + " with incarnation " +
                         std::to_string(owner.incarnation) +
                         " is not known to " + self_.instance},
               std::move(callback));
    return;
  }
  context_.metrics.Increment("mangoyoke_forwarded_calls_total");
  Json message{{"owner", owner.incarnation}, {"call", EncodeRequest(request)}};
  context_.peers.Call(record->peer_address, "/calls/run", message,
                      Millis(request.timeout_ms) + kForwardTimeoutMargin,
                      [this, owner, request, callback](Result<Json> result) {
                        if (const auto* error = std::get_if<Error>(&result)) {
                          // The owner may have executed the request, so this
                          // instance must not.
                          AskReplica(
                              request,
                              Error{ErrorCode::kOwnerUnreachable,
                                    owner.instance + ": " + error->detail},
                              callback);
                          return;
                        }
                        callback(DecodeOutcome(std::get<Json>(result)));
                      });
}

void AtMostOnceService::OnForwardedCall(const Json& message,
                                        const PeerResponder& respond) {
  if (message.at("owner").get<uint64_t>() != self_.incarnation) {
    respond(EncodeOutcome(Error{ErrorCode::kOwnerGone, self_.instance}));
    return;
  }
  RunHere(DecodeRequest(message.at("call")), [respond](const Outcome& outcome) {
    respond(EncodeOutcome(outcome));
  });
}

void AtMostOnceService::Claim(const ServiceRequest& request,
                              Callback callback) {
  ClientRequest claim;
  claim.method = "PUT";
  claim.url = ClaimUrl(context_.settings, request.idempotency_key);
  claim.timeout = kClaimTimeout;
  claim.fresh_connection = true;
  Json row{{"key", request.idempotency_key},
           {"instance", self_.instance},
           {"incarnation", self_.incarnation},
           {"claimed_s", WallSeconds()}};
  claim.body = Json{{"expected_version", 0}, {"value", row.dump()}}.dump();
  context_.http.Start(
      std::move(claim), [this, request, callback](ClientResponse response) {
        if (response.Succeeded() || response.status == kConflict) {
          FollowClaim(request, ParseRowValue(response.body), callback);
          return;
        }
        if (response.result == TransferResult::kConnectFailed) {
          callback(Error{ErrorCode::kClaimUnavailable, response.error});
          return;
        }
        context_.metrics.Increment("mangoyoke_store_lost_replies_total");
        ReadClaim(request, callback);
      });
}

void AtMostOnceService::ReadClaim(const ServiceRequest& request,
                                  Callback callback) {
  ClientRequest read;
  read.url = ClaimUrl(context_.settings, request.idempotency_key);
  read.timeout = kClaimTimeout;
  context_.http.Start(
      std::move(read), [this, request, callback](ClientResponse response) {
        if (response.Succeeded()) {
          FollowClaim(request, ParseRowValue(response.body), callback);
          return;
        }
        // If the claim was or will be stored, it only names this incarnation as
        // owner. Execution needs a further request, so nothing was executed.
        callback(Error{ErrorCode::kClaimUnavailable, response.error});
      });
}

void AtMostOnceService::FollowClaim(const ServiceRequest& request,
                                    const std::string& row_value,
                                    const Callback& callback) {
  Json row = Json::parse(row_value, nullptr, false);
  if (!row.is_object()) {
    callback(Error{ErrorCode::kClaimUnavailable,
                   "the claim row is unreadable: not a JSON object"});
    return;
  }
  if (row.value("key", "") != request.idempotency_key) {
    callback(Error{ErrorCode::kKeyReused,
                   "another key with the same hash is claimed"});
    return;
  }
  RequestOwner owner{row.value("instance", ""),
                     row.value("incarnation", uint64_t{0})};
  if (owner != self_) {
    Forward(owner, request, callback);
    return;
  }
  int64_t age_s = WallSeconds() - row.value("claimed_s", int64_t{0});
  if (!table_.Contains(request.idempotency_key) && age_s > kClaimTtl.count()) {
    callback(Error{ErrorCode::kKeyExpired,
                   "claim is " + std::to_string(age_s) + " s old, limit " +
                       std::to_string(kClaimTtl.count()) + " s"});
    return;
  }
  RunHere(request, callback);
}

std::string AtMostOnceService::ReplicaAddress(const std::string& key,
                                              const InstanceId& owner) const {
  std::vector<InstanceId> others = context_.membership.UsableMemberIds();
  std::erase(others, owner);
  InstanceId replica = RendezvousPick("outcome/" + key, others);
  auto record = context_.membership.Find(replica);
  return record ? record->peer_address : "";
}

void AtMostOnceService::Replicate(const ServiceRequest& request,
                                  const Outcome& outcome) {
  const auto* error = std::get_if<Error>(&outcome);
  if (error != nullptr &&
      GetErrorInfo(error->code).execution == Execution::kNotExecuted) {
    return;
  }
  std::string address = ReplicaAddress(request.idempotency_key, self_.instance);
  if (address.empty()) {
    return;
  }
  context_.peers.Call(address, "/calls/replica",
                      Json{{"key", request.idempotency_key},
                           {"fingerprint", Fingerprint(request)},
                           {"outcome", EncodeOutcome(outcome)}},
                      kReplicaTimeout, [](Result<Json>) {});
}

void AtMostOnceService::OnOutcomeReplica(const Json& message) {
  replicas_.AddReplica(message.at("key").get<std::string>(),
                       message.at("fingerprint").get<uint64_t>(),
                       DecodeOutcome(message.at("outcome")),
                       SteadyClock::now());
}

Json AtMostOnceService::OnOutcomeQuery(const Json& message) const {
  const Outcome* outcome = replicas_.Find(message.at("key").get<std::string>());
  return outcome == nullptr ? Json::object()
                            : Json{{"outcome", EncodeOutcome(*outcome)}};
}

void AtMostOnceService::AskReplica(const ServiceRequest& request,
                                   Error fallback_error,
                                   Callback callback) {
  auto report_outcome = [fallback_error, callback](const Json& message) {
    if (message.contains("outcome")) {
      callback(DecodeOutcome(message["outcome"]));
    } else {
      callback(fallback_error);
    }
  };
  auto ticket = ParseTicketFromKey(request.idempotency_key);
  std::string address =
      ReplicaAddress(request.idempotency_key, ticket ? ticket->instance : "");
  Json query{{"key", request.idempotency_key}};
  if (address.empty() || address == context_.membership.self().peer_address) {
    report_outcome(OnOutcomeQuery(query));
    return;
  }
  context_.peers.Call(
      address, "/calls/query", query, kReplicaTimeout,
      [report_outcome](Result<Json> result) {
        report_outcome(Ok(result) ? std::get<Json>(result) : Json::object());
      });
}

}  // namespace mangoyoke
