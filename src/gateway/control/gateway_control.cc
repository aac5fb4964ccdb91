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
  record.peer_address = settings.peers;
  return record;
}

MembershipSettings MembershipSettingsFrom(const GatewaySettings& settings) {
  MembershipSettings membership;
  membership.known_peers = settings.known_peers;
  membership.own_addresses = {settings.peers};
  return membership;
}

}  // namespace

GatewayControl::GatewayControl(boost::asio::io_context& io,
                               const GatewaySettings& settings,
                               const GatewayPorts& ports,
                               Metrics& metrics)
    : settings_(settings),
      peer_client_(io),
      peer_server_(io, *this),
      membership_(SelfRecord(settings), MembershipOptions{}),
      members_(MembershipContext{io, MembershipSettingsFrom(settings), metrics,
                                 peer_client_, membership_}),
      store_(io, settings.store, metrics),
      state_(io, settings, ports.store, store_, peer_client_, metrics),
      handler_(ports.callers,
               membership_,
               metrics,
               std::min<Duration>(kEntriesTtl, settings.longest_entries_ttl),
               [this] { return Ready(); }),
      entries_(io, handler_),
      ready_(io, handler_),
      metrics_page_(io, handler_) {
  state_.on_config.Add([this] { OnConfig(); });
  state_.on_servers.Add([this] { UpdateEntry(); });
  state_.other_instances = [this] { return OtherInstances(); };
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
  store_.SetAddress(settings.store);
  members_.AddKnown(settings.known_peers);
}

void GatewayControl::Leave() {
  leaving_ = true;
  members_.Leave();
}

std::vector<std::string> GatewayControl::OtherInstances() const {
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
  return !leaving_ && state_.config() && state_.servers()->version > 0;
}

Result<Unit> GatewayControl::ListenAll() {
  if (!settings_.peers.empty()) {
    if (auto result = peer_server_.Listen(settings_.peers); !Ok(result)) {
      return result;
    }
  }
  const std::pair<HttpListener&, const std::string&> listeners[] = {
      {entries_, settings_.entries},
      {ready_, settings_.ready},
      {metrics_page_, settings_.metrics}};
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
  members_.SetRevision(state_.config()->revision());
  UpdateEntry();
  members_.ProbeNow();
}

void GatewayControl::UpdateEntry() {
  if (Ready()) {
    membership_.SetCallerAddress(settings_.callers);
  }
}

}  // namespace mangoyoke
