// Probing and spreading of membership records.

#include "membership/membership_service.h"

#include <algorithm>

#include "base/log.h"
#include "mangoyoke/rendezvous.h"
#include "membership/member_codec.h"

namespace mangoyoke {
namespace {

constexpr Duration kRejoinInterval = Millis(500);
constexpr size_t kMaxRecordsPerMessage = 64;
constexpr size_t kFirstContacts = 4;

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
  rejoin_timer_ = std::make_unique<PeriodicTimer>(context_.io, kRejoinInterval,
                                                  [this] { RejoinOne(); });
  // A few suffice: they know the others. RejoinOne asks for who is missing.
  std::vector<std::string> order =
      RendezvousOrder(context_.membership.self().id,
                      {known_addresses_.begin(), known_addresses_.end()});
  order.resize(std::min(order.size(), kFirstContacts));
  for (const std::string& address : order) {
    Contact(address);
  }
}

void MembershipService::Leave() {
  context_.membership.Leave();
  Changed({context_.membership.self().id});
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
  Changed(context_.membership.Tick(now));
  ProbeNow();
  if (context_.membership.ConsumeDeclaredDead()) {
    LogEvent("declared_dead", LogLevel::kWarning)
        .Field("epoch", static_cast<int64_t>(context_.membership.self().epoch));
    context_.metrics.Increment("mangoyoke_declared_dead_total");
    on_declared_dead.Notify();
  }
}

void MembershipService::DetectPause(TimePoint now) {
  Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap < context_.settings.pause_threshold) {
    return;
  }
  LogEvent("pause_detected", LogLevel::kWarning).Field("gap_ms", ToMillis(gap));
  context_.metrics.Increment("mangoyoke_pauses_total");
  // Alone, there is nobody who could know better.
  suspended_ = context_.membership.UsableMemberIds().size() > 1;
}

void MembershipService::Probe(const InstanceId& id) {
  auto record = context_.membership.Find(id);
  if (!record || !probing_.insert(id).second) {
    return;
  }
  PeerProgress& progress = progress_[id];
  if (progress.incarnation != record->incarnation) {
    progress = PeerProgress{record->incarnation, 0, 0};
  }
  auto changes =
      context_.membership.ChangesSince(progress.sent, kMaxRecordsPerMessage);
  uint64_t version = changes.version;
  Millis timeout = context_.settings.probe_interval * 2;
  context_.peers.Call(
      record->peer_address, "/members/probe", MakeProbe(progress.seen, changes),
      timeout,
      [this, id, version, address = record->peer_address](Result<Json> result) {
        probing_.erase(id);
        TimePoint now = SteadyClock::now();
        if (!Ok(result)) {
          context_.metrics.Increment("mangoyoke_probe_failures_total");
          context_.membership.RecordProbeFailure(id, now);
          Changed({id});
          return;
        }
        const Json& answer = std::get<Json>(result);
        progress_[id].sent = std::max(progress_[id].sent, version);
        OnAnswer(answer);
        NoteRevision(answer, address);
      });
}

Json MembershipService::MakeProbe(uint64_t seen,
                                  const Membership::Changes& changes) const {
  return Json{{"f", context_.membership.self().id},
              {"i", context_.membership.self().incarnation},
              {"r", revision_},
              {"s", seen},
              {"v", changes.version},
              {"m", EncodeMembers(changes.records)}};
}

Json MembershipService::OnProbe(const Json& message) {
  Absorb(message);
  InstanceId from = message.at("f").get<std::string>();
  if (auto record = context_.membership.Find(from)) {
    NoteRevision(message, record->peer_address);
  }
  // What the sender has seen of this incarnation's versions.
  uint64_t seen = message.value("s", uint64_t{0});
  if (seen > context_.membership.version()) {
    seen = 0;
  }
  auto changes = context_.membership.ChangesSince(seen, kMaxRecordsPerMessage);
  return Json{{"f", context_.membership.self().id},
              {"i", context_.membership.self().incarnation},
              {"r", revision_},
              {"v", changes.version},
              {"m", EncodeMembers(changes.records)}};
}

void MembershipService::OnAnswer(const Json& answer) {
  EndSuspension();
  Absorb(answer);
  InstanceId from = answer.at("f").get<std::string>();
  PeerProgress& progress = progress_[from];
  uint64_t incarnation = answer.at("i").get<uint64_t>();
  if (progress.incarnation != incarnation) {
    progress = PeerProgress{incarnation, 0, 0};
  }
  progress.seen = answer.at("v").get<uint64_t>();
}

void MembershipService::EndSuspension() {
  if (std::exchange(suspended_, false)) {
    LogEvent("rejoined");
  }
}

void MembershipService::Absorb(const Json& message) {
  TimePoint now = SteadyClock::now();
  std::vector<InstanceId> changed =
      context_.membership.Merge(DecodeMembers(message.at("m")), now);
  context_.membership.RecordContact(message.at("f").get<std::string>(), now);
  Changed(changed);
}

void MembershipService::NoteRevision(const Json& message,
                                     const std::string& address) {
  Revision revision = message.value("r", Revision{0});
  if (revision > revision_) {
    on_newer_plan.Notify(address, revision);
  }
}

void MembershipService::Contact(const std::string& address) {
  const auto& own = context_.settings.own_addresses;
  if (std::find(own.begin(), own.end(), address) != own.end()) {
    return;
  }
  auto all = context_.membership.ChangesSince(0, kMaxRecordsPerMessage);
  context_.peers.Call(address, "/members/probe", MakeProbe(0, all),
                      context_.settings.probe_interval * 4,
                      [this, address](Result<Json> result) {
                        if (Ok(result)) {
                          OnAnswer(std::get<Json>(result));
                          NoteRevision(std::get<Json>(result), address);
                        }
                      });
}

void MembershipService::RejoinOne() {
  // After a partition both sides think the other dead; someone must ask.
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
  next_rejoin_ = (next_rejoin_ + 1) % candidates.size();
  Contact(*std::next(candidates.begin(), static_cast<ptrdiff_t>(next_rejoin_)));
}

void MembershipService::Changed(const std::vector<InstanceId>& ids) {
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
