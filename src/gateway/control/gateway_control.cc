// Construction and connection of the control thread's components.

#include "gateway/control/gateway_control.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// How long callers may use an instance list. Short, because a list becomes
// outdated whenever an instance stops.
constexpr Seconds kInstanceListTtl{2};

MemberRecord SelfRecord(const GatewaySettings& settings) {
  MemberRecord record;
  record.id = settings.id;
  record.incarnation = static_cast<uint64_t>(WallMillis());
  record.zone = settings.zone;
  record.region = settings.region;
  record.peer_address = settings.peer_address;
  return record;
}

MembershipSettings MembershipSettingsFrom(const GatewaySettings& settings) {
  MembershipSettings membership;
  membership.seed_addresses = settings.seed_addresses;
  membership.own_addresses = {settings.peer_address};
  return membership;
}

}  // namespace

GatewayControl::GatewayControl(boost::asio::io_context& io,
                               const GatewaySettings& settings,
                               const GatewayCodecs& codecs,
                               Metrics& metrics)
    : settings_(settings),
      peer_client_(io),
      peer_server_(io, *this),
      membership_(SelfRecord(settings), MembershipOptions{}),
      membership_service_(
          MembershipContext{io, MembershipSettingsFrom(settings), metrics,
                            peer_client_, membership_}),
      store_(io, settings.store_address, metrics),
      serving_state_(io, settings, codecs.store, store_, peer_client_, metrics),
      control_handler_(
          codecs.callers,
          membership_,
          metrics,
          std::min<Duration>(kInstanceListTtl, settings.max_instance_list_ttl),
          [this] { return IsReady(); }),
      operator_handler_(control_handler_),
      instance_list_listener_(io, control_handler_),
      readiness_listener_(io, control_handler_),
      metrics_listener_(io, operator_handler_) {
  serving_state_.on_config_changed.Add([this] { OnConfigChanged(); });
  serving_state_.on_servers_changed.Add([this] { PublishCallerAddress(); });
  membership_service_.on_change.Add([this](const std::vector<InstanceId>&) {
    serving_state_.SetMembers(membership_.self().id, membership_.All());
  });
  membership_service_.on_newer_plan.Add(
      [this](const std::string& address, Revision revision) {
        serving_state_.PullFrom(address, revision);
      });
}

Result<Unit> GatewayControl::Start() {
  if (auto result = ListenAll(); !Ok(result)) {
    return result;
  }
  serving_state_.Start();
  membership_service_.Start();
  return Unit{};
}

void GatewayControl::Reload(const GatewaySettings& settings) {
  store_.SetAddress(settings.store_address);
  membership_service_.AddSeedAddresses(settings.seed_addresses);
}

void GatewayControl::StartDraining() {
  draining_ = true;
  membership_service_.Leave();
}

ReportGroup GatewayControl::PeersToReportTo() const {
  return ChooseReportGroup(membership_.self(), membership_.All());
}

void GatewayControl::OnPeerRequest(const std::string& path,
                                   const Json& message,
                                   PeerResponder respond) {
  if (path == "/members/probe") {
    respond(membership_service_.OnProbe(message));
  } else if (path == kServingPollPath) {
    serving_state_.HandlePoll(message, std::move(respond));
  } else {
    respond(Error{ErrorCode::kUnknownPath, path});
  }
}

bool GatewayControl::IsReady() const {
  return !draining_ && serving_state_.config() &&
         serving_state_.servers()->version.Known();
}

Result<Unit> GatewayControl::ListenAll() {
  if (!settings_.peer_address.empty()) {
    if (auto result = peer_server_.Listen(settings_.peer_address);
        !Ok(result)) {
      return result;
    }
  }
  const std::pair<HttpListener&, const std::string&> listeners[] = {
      {instance_list_listener_, settings_.instance_list_address},
      {readiness_listener_, settings_.readiness_address},
      {metrics_listener_, settings_.metrics_address}};
  for (const auto& [listener, address] : listeners) {
    if (address.empty()) {
      continue;
    }
    if (auto result = listener.Listen(address); !Ok(result)) {
      return result;
    }
  }
  return Unit{};
}

void GatewayControl::OnConfigChanged() {
  membership_service_.SetPlanRevision(serving_state_.config()->revision());
  PublishCallerAddress();
  membership_service_.ProbeNow();
}

void GatewayControl::PublishCallerAddress() {
  if (IsReady()) {
    membership_.SetCallerAddress(settings_.caller_address);
  }
}

}  // namespace mangoyoke
