// Implementation of the membership protocol.

#include "membership/membership_service.h"

#include <algorithm>

#include "base/log.h"
#include "mangoyoke/rendezvous.h"
#include "membership/member_codec.h"

namespace mangoyoke {
namespace {

constexpr Duration kContactInterval = Millis(500);
constexpr size_t kMaxRecordsPerMessage = 64;
// Seed addresses contacted at the start.
constexpr size_t kInitialContacts = 4;

}  // namespace

MembershipService::MembershipService(MembershipContext context)
    : context_(std::move(context)), last_tick_(SteadyClock::now()) {
  AddSeedAddresses(context_.settings.seed_addresses);
}

void MembershipService::AddSeedAddresses(
    const std::vector<std::string>& addresses) {
  known_addresses_.insert(addresses.begin(), addresses.end());
}

void MembershipService::Start() {
  last_tick_ = SteadyClock::now();
  tick_timer_ = std::make_unique<PeriodicTimer>(
      context_.io, context_.settings.probe_interval, [this] { Tick(); });
  contact_timer_ = std::make_unique<PeriodicTimer>(
      context_.io, kContactInterval, [this] { ContactMissingPeer(); });
  // A few addresses suffice, because their instances know the others.
  // ContactMissingPeer contacts the rest.
  std::vector<std::string> contact_order =
      RendezvousOrder(context_.membership.self().id,
                      {known_addresses_.begin(), known_addresses_.end()});
  contact_order.resize(std::min(contact_order.size(), kInitialContacts));
  for (const std::string& address : contact_order) {
    Contact(address);
  }
}

void MembershipService::Leave() {
  context_.membership.Leave();
  NotifyChanged({context_.membership.self().id});
  ProbeNow();
}

void MembershipService::ProbeNow() {
  for (const InstanceId& id : context_.membership.ProbeTargets()) {
    Probe(id);
  }
}

void MembershipService::Tick() {
  TimePoint now = SteadyClock::now();
  DetectPause(now);
  NotifyChanged(context_.membership.Tick(now));
  ProbeNow();
  if (context_.membership.ConsumeDeclaredDead()) {
    LogEvent("declared_dead", LogLevel::kWarning)
        .Field("epoch", static_cast<int64_t>(context_.membership.self().epoch));
    context_.metrics.Increment("mangoyoke_declared_dead_total");
    on_declared_dead.Notify();
  }
}

void MembershipService::DetectPause(TimePoint now) {
  Duration elapsed = now - last_tick_;
  last_tick_ = now;
  if (elapsed < context_.settings.pause_threshold) {
    return;
  }
  LogEvent("pause_detected", LogLevel::kWarning)
      .Field("gap_ms", ToMillis(elapsed));
  context_.metrics.Increment("mangoyoke_pauses_total");
  // Without peers, nobody can have declared this instance dead.
  suspended_ = context_.membership.UsableMemberIds().size() > 1;
}

void MembershipService::Probe(const InstanceId& id) {
  auto record = context_.membership.Find(id);
  if (!record || !probes_in_flight_.insert(id).second) {
    return;
  }
  PeerSyncState& sync_state = sync_states_[id];
  if (sync_state.incarnation != record->incarnation) {
    sync_state = PeerSyncState{record->incarnation, 0, 0};
  }
  auto changes = context_.membership.ChangesSince(
      sync_state.acknowledged_version, kMaxRecordsPerMessage);
  uint64_t version = changes.version;
  Millis timeout = context_.settings.probe_interval * 2;
  context_.peers.Call(
      record->peer_address, "/members/probe",
      MakeProbe(sync_state.merged_version, changes), timeout,
      [this, id, version, address = record->peer_address](Result<Json> result) {
        probes_in_flight_.erase(id);
        TimePoint now = SteadyClock::now();
        if (!Ok(result)) {
          context_.metrics.Increment("mangoyoke_probe_failures_total");
          context_.membership.RecordProbeFailure(id, now);
          NotifyChanged({id});
          return;
        }
        const Json& response = std::get<Json>(result);
        sync_states_[id].acknowledged_version =
            std::max(sync_states_[id].acknowledged_version, version);
        OnProbeResponse(response);
        CheckPlanRevision(response, address);
      });
}

Json MembershipService::MakeProbe(uint64_t merged_version,
                                  const Membership::Changes& changes) const {
  return Json{{"f", context_.membership.self().id},
              {"i", context_.membership.self().incarnation},
              {"r", plan_revision_},
              {"s", merged_version},
              {"v", changes.version},
              {"m", EncodeMembers(changes.records)}};
}

Json MembershipService::OnProbe(const Json& message) {
  MergeMessage(message);
  InstanceId from = message.at("f").get<std::string>();
  if (auto record = context_.membership.Find(from)) {
    CheckPlanRevision(message, record->peer_address);
  }
  // The version of this instance's records that the sender has merged. A value
  // beyond the current version stems from an earlier incarnation.
  uint64_t merged_version = message.value("s", uint64_t{0});
  if (merged_version > context_.membership.version()) {
    merged_version = 0;
  }
  auto changes =
      context_.membership.ChangesSince(merged_version, kMaxRecordsPerMessage);
  return Json{{"f", context_.membership.self().id},
              {"i", context_.membership.self().incarnation},
              {"r", plan_revision_},
              {"v", changes.version},
              {"m", EncodeMembers(changes.records)}};
}

void MembershipService::OnProbeResponse(const Json& response) {
  EndSuspension();
  MergeMessage(response);
  InstanceId from = response.at("f").get<std::string>();
  PeerSyncState& sync_state = sync_states_[from];
  uint64_t incarnation = response.at("i").get<uint64_t>();
  if (sync_state.incarnation != incarnation) {
    sync_state = PeerSyncState{incarnation, 0, 0};
  }
  sync_state.merged_version = response.at("v").get<uint64_t>();
}

void MembershipService::EndSuspension() {
  if (std::exchange(suspended_, false)) {
    LogEvent("rejoined");
  }
}

void MembershipService::MergeMessage(const Json& message) {
  TimePoint now = SteadyClock::now();
  std::vector<InstanceId> changed =
      context_.membership.Merge(DecodeMembers(message.at("m")), now);
  context_.membership.RecordContact(message.at("f").get<std::string>(), now);
  NotifyChanged(changed);
}

void MembershipService::CheckPlanRevision(const Json& message,
                                          const std::string& address) {
  Revision revision = message.value("r", Revision{0});
  if (revision > plan_revision_) {
    on_newer_plan.Notify(address, revision);
  }
}

void MembershipService::Contact(const std::string& address) {
  const auto& own_addresses = context_.settings.own_addresses;
  if (std::find(own_addresses.begin(), own_addresses.end(), address) !=
      own_addresses.end()) {
    return;
  }
  auto changes = context_.membership.ChangesSince(0, kMaxRecordsPerMessage);
  context_.peers.Call(address, "/members/probe", MakeProbe(0, changes),
                      context_.settings.probe_interval * 4,
                      [this, address](Result<Json> result) {
                        if (Ok(result)) {
                          OnProbeResponse(std::get<Json>(result));
                          CheckPlanRevision(std::get<Json>(result), address);
                        }
                      });
}

void MembershipService::ContactMissingPeer() {
  // After a partition each side regards the other as dead and no longer probes
  // it, so addresses of dead members are contacted as well.
  std::set<std::string> candidates = known_addresses_;
  std::set<std::string> usable;
  for (const MemberRecord& record : context_.membership.All()) {
    if (record.Usable()) {
      usable.insert(record.peer_address);
    } else {
      candidates.insert(record.peer_address);
    }
  }
  std::erase_if(candidates, [&usable](const std::string& address) {
    return usable.contains(address);
  });
  if (candidates.empty()) {
    return;
  }
  next_contact_index_ = (next_contact_index_ + 1) % candidates.size();
  Contact(*std::next(candidates.begin(),
                     static_cast<ptrdiff_t>(next_contact_index_)));
}

void MembershipService::NotifyChanged(const std::vector<InstanceId>& ids) {
  if (ids.empty()) {
    return;
  }
  for (const InstanceId& id : ids) {
    auto record = context_.membership.Find(id);
    if (!record || id == context_.membership.self().id) {
      continue;
    }
    LogEvent("member", LogLevel::kDebug)
        .Field("member", id)
        .Field("state", MemberStateName(record->state))
        .Field("epoch", static_cast<int64_t>(record->epoch));
  }
  on_change.Notify(ids);
}

}  // namespace mangoyoke
