// Wiring of the control thread.

#include "gateway/control/gateway_control.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// How long callers may use a list of entries. Short, because the entries of
// one list change whenever an instance stops.
constexpr Seconds kEntriesTtl{2};

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
      members_(MembershipContext{io, MembershipSettingsFrom(settings), metrics,
                                 peer_client_, membership_}),
      store_(io, settings.store_address, metrics),
      state_(io, settings, codecs.store, store_, peer_client_, metrics),
      handler_(codecs.callers,
               membership_,
               metrics,
               std::min<Duration>(kEntriesTtl, settings.max_instance_list_ttl),
               [this] { return Ready(); }),
      entries_(io, handler_),
      ready_(io, handler_),
      metrics_page_(io, handler_) {
  state_.on_config_changed.Add([this] { OnConfig(); });
  state_.on_servers_changed.Add([this] { UpdateEntry(); });
  state_.peer_addresses = [this] { return PeerAddresses(); };
  members_.on_newer_plan.Add([this](const std::string& address, Revision) {
    state_.PullFrom(address);
  });
}

Result<Unit> GatewayControl::Start() {
  if (auto result = ListenAll(); !Ok(result)) {
    return result;
  }
  state_.Start();
  members_.Start();
  return Unit{};
}

void GatewayControl::Reload(const GatewaySettings& settings) {
  store_.SetAddress(settings.store_address);
  members_.AddSeedAddresses(settings.seed_addresses);
}

void GatewayControl::StartDraining() {
  draining_ = true;
  members_.Leave();
}

std::vector<std::string> GatewayControl::PeerAddresses() const {
  std::vector<std::string> addresses;
  for (const MemberRecord& record : membership_.All()) {
    if (record.id != membership_.self().id && record.Usable()) {
      addresses.push_back(record.peer_address);
    }
  }
  return addresses;
}

void GatewayControl::OnPeerRequest(const std::string& path,
                                   const Json& message,
                                   PeerResponder respond) {
  if (path == "/members/probe") {
    respond(members_.OnProbe(message));
  } else if (path == "/serving/pull") {
    respond(state_.OnPull(message));
  } else {
    respond(Error{ErrorCode::kUnknownPath, path});
  }
}

bool GatewayControl::Ready() const {
  return !draining_ && state_.config() && state_.servers()->version > 0;
}

Result<Unit> GatewayControl::ListenAll() {
  if (!settings_.peer_address.empty()) {
    if (auto result = peer_server_.Listen(settings_.peer_address);
        !Ok(result)) {
      return result;
    }
  }
  const std::pair<HttpListener&, const std::string&> listeners[] = {
      {entries_, settings_.instance_list_address},
      {ready_, settings_.readiness_address},
      {metrics_page_, settings_.metrics_address}};
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

void GatewayControl::OnConfig() {
  members_.SetPlanRevision(state_.config()->revision());
  UpdateEntry();
  members_.ProbeNow();
}

void GatewayControl::UpdateEntry() {
  if (Ready()) {
    membership_.SetCallerAddress(settings_.caller_address);
  }
}

}  // namespace mangoyoke
