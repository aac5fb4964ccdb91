// Connects the control services, and passes requests of traffic threads and
// peers to them.

#include "daemon/control/control_plane.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "base/log.h"
#include "daemon/control/slots/slot_codec.h"

namespace mangoyoke {
namespace {

constexpr Duration kProcessMetricsInterval = Millis(1000);
constexpr Millis kDescribeTimeout{1000};
constexpr Duration kInstanceListInterval = Seconds(5);
constexpr Millis kInstanceListTimeout{2000};

MemberRecord MakeSelfRecord(const Settings& settings) {
  MemberRecord record;
  record.id = settings.id;
  record.incarnation = static_cast<uint64_t>(WallMillis());
  record.zone = settings.zone;
  record.region = settings.region;
  record.peer_address = settings.advertised_peer_address;
  record.caller_address = settings.caller_address;
  return record;
}

MembershipOptions MakeMembershipOptions(const Settings& settings) {
  MembershipOptions options;
  options.suspect_after = settings.suspect_after;
  options.dead_after = settings.dead_after;
  return options;
}

}  // namespace

ControlPlane::ControlPlane(boost::asio::io_context& io,
                           const Settings& settings,
                           Metrics& metrics)
    : io_(io),
      settings_(settings),
      metrics_(metrics),
      peer_client_(io),
      http_(io),
      membership_(MakeSelfRecord(settings), MakeMembershipOptions(settings)),
      peer_server_(io, *this) {
  self_ = RequestOwner{membership_.self().id, membership_.self().incarnation};
  ControlContext context{io_,          settings_, metrics_,
                         peer_client_, http_,     membership_};
  MembershipSettings membership_settings;
  membership_settings.seed_addresses = settings_.seed_addresses;
  membership_settings.own_addresses = {settings_.advertised_peer_address,
                                       settings_.peer_address};
  membership_settings.probe_interval = settings_.probe_interval;
  membership_settings.pause_threshold = settings_.suspect_after;
  members_ = std::make_unique<MembershipService>(
      MembershipContext{io_, std::move(membership_settings), metrics_,
                        peer_client_, membership_});
  plans_ = std::make_unique<PlanService>(context);
  allocators_ = std::make_unique<AllocatorService>(context);
  reserving_ =
      std::make_unique<ReservingPlacement>(context, *plans_, *allocators_);
  if (settings_.placement == PlacementKind::kLeastLoaded) {
    least_loaded_ = std::make_unique<LeastLoadedPlacement>(context, *plans_);
    placement_ = least_loaded_.get();
  } else {
    placement_ = reserving_.get();
  }
  watcher_ = std::make_unique<EngineWatcher>(
      context, *plans_, *allocators_,
      [this](const RequestId& id) { return reserving_->IsActive(id); });
  prober_ = std::make_unique<EngineProber>(context, *plans_, *allocators_);
  reconciler_ = std::make_unique<EngineReconciler>(context, *plans_,
                                                   *allocators_, *watcher_);
  at_most_once_ = std::make_unique<AtMostOnceService>(
      context, self_, [this](ServiceRequest request, OutcomeCallback callback) {
        ExecuteOnTrafficThread(std::move(request), std::move(callback));
      });
  ConnectServices();
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::ConnectServices() {
  members_->on_change.Add([this](const std::vector<InstanceId>& ids) {
    for (const InstanceId& id : ids) {
      auto record = membership_.Find(id);
      if (record && record->state == MemberState::kDead) {
        LogEvent("member_dead", LogLevel::kWarning).Field("member", id);
        metrics_.Increment("mangoyoke_member_deaths_total");
        allocators_->OnOwnerDead(RequestOwner{id, record->incarnation});
      }
    }
    OnTopologyChange();
  });
  members_->on_newer_plan.Add([this](const std::string& address, Revision) {
    plans_->PullFrom(address);
  });
  members_->on_declared_dead.Add([this] { reserving_->ReportHeldGrants(); });
  plans_->on_plan_changed.Add([this](const Plan& plan) {
    members_->SetPlanRevision(plan.revision);
    OnTopologyChange();
    members_->ProbeNow();
  });
}

void ControlPlane::AddRunner(boost::asio::io_context& loop, Runner runner) {
  runners_.push_back(TrafficLoop{&loop, std::move(runner)});
}

Result<Unit> ControlPlane::Start() {
  auto listening = peer_server_.Listen(settings_.peer_address);
  if (!Ok(listening)) {
    return listening;
  }
  members_->Start();
  instance_list_timer_ = std::make_unique<PeriodicTimer>(
      io_, kInstanceListInterval, [this] { ReadInstanceList(); });
  ReadInstanceList();
  plans_->Start();
  allocators_->Start();
  watcher_->Start();
  prober_->Start();
  reconciler_->Start();
  process_metrics_timer_ = std::make_unique<PeriodicTimer>(
      io_, kProcessMetricsInterval, [this] { UpdateProcessMetrics(); });
  return Unit{};
}

void ControlPlane::ReadInstanceList() {
  ClientRequest request;
  request.url = settings_.platform_url + "/instances";
  request.timeout = kInstanceListTimeout;
  http_.Start(std::move(request), [this](ClientResponse response) {
    Json list = Json::parse(response.body, nullptr, false);
    if (!response.Succeeded() || !list.is_object()) {
      return;
    }
    std::vector<std::string> addresses;
    for (const Json& item : list.value("instances", Json::array())) {
      if (item.is_object() && item.contains("peer_address")) {
        addresses.push_back(item["peer_address"].get<std::string>());
      }
    }
    members_->AddSeedAddresses(addresses);
  });
}

void ControlPlane::OnTopologyChange() {
  suspended_ = members_->suspended();
  if (auto plan = plans_->Current()) {
    allocators_->UpdateCells(plan);
  }
  placement_->OnTopologyChange();
}

void ControlPlane::StartDraining() {
  if (std::exchange(draining_, true)) {
    return;
  }
  LogEvent("leaving").Field("notice_ms", settings_.drain_grace_period.count());
  members_->Leave();
  // Callers cache their instance lists, so new requests are accepted until
  // they have had time to refresh them.
  drain_grace_timer_ = std::make_unique<boost::asio::steady_timer>(
      io_, settings_.drain_grace_period);
  drain_grace_timer_->async_wait(
      [this](const boost::system::error_code& error) {
        if (!error) {
          refuses_requests_ = true;
        }
      });
}

void ControlPlane::UpdateProcessMetrics() {
  suspended_ = members_->suspended();
  metrics_.SetGauge("mangoyoke_process_cpu_ms", ProcessCpuMillis());
  metrics_.SetGauge("mangoyoke_resident_bytes",
                    static_cast<double>(ResidentBytes()));
  metrics_.SetGauge("mangoyoke_peer_bytes",
                    static_cast<double>(peer_client_.BytesTransferred()));
}

Json ControlPlane::DescribeInstance() const {
  Json members = Json::array();
  for (const MemberRecord& record : membership_.All()) {
    members.push_back(Json{{"instance", record.id},
                           {"zone", record.zone},
                           {"state", MemberStateName(record.state)},
                           {"leaving", record.leaving},
                           {"address", record.caller_address}});
  }
  return Json{{"instance", self_.instance},
              {"incarnation", self_.incarnation},
              {"zone", settings_.zone},
              {"peer_address", settings_.peer_address},
              {"revision", plans_->revision()},
              {"leaving", draining_},
              {"suspended", members_->suspended()},
              {"open_calls", at_most_once_->active_calls()},
              {"cells", allocators_->DescribeCells()},
              {"members", members}};
}

void ControlPlane::DescribeCluster(std::function<void(Json)> callback) {
  struct PendingDescriptions {
    Json instances = Json::array();
    size_t missing_count = 0;
  };
  auto pending = std::make_shared<PendingDescriptions>();
  std::vector<InstanceId> ids = membership_.UsableMemberIds();
  pending->missing_count = ids.size();
  auto add = [pending, callback](Json description) {
    pending->instances.push_back(std::move(description));
    if (--pending->missing_count == 0) {
      callback(pending->instances);
    }
  };
  for (const InstanceId& id : ids) {
    if (id == self_.instance) {
      add(DescribeInstance());
      continue;
    }
    auto record = membership_.Find(id);
    peer_client_.Call(
        record->peer_address, "/status", Json::object(), kDescribeTimeout,
        [add, id](Result<Json> result) {
          add(Ok(result) ? std::get<Json>(result)
                         : Json{{"instance", id}, {"error", "no response"}});
        });
  }
}

std::shared_ptr<const Plan> ControlPlane::CurrentPlan() const {
  return plans_->Current();
}

std::optional<ErrorCode> ControlPlane::RefusalReason() const {
  if (refuses_requests_) {
    return ErrorCode::kLeaving;
  }
  if (suspended_) {
    return ErrorCode::kInstanceSuspended;
  }
  if (!plans_->Current()) {
    return ErrorCode::kNotReady;
  }
  return std::nullopt;
}

void ControlPlane::Reserve(boost::asio::io_context& loop,
                           SlotRequest request,
                           GrantCallback callback) {
  boost::asio::post(io_, [this, &loop, request = std::move(request),
                          callback = std::move(callback)]() mutable {
    placement_->Reserve(
        std::move(request), [&loop, callback](Result<SlotGrant> result) {
          boost::asio::post(loop, [callback, result] { callback(result); });
        });
  });
}

void ControlPlane::OnPrefillDone(const RequestId& id) {
  boost::asio::post(io_, [this, id] { placement_->OnPrefillDone(id); });
}

void ControlPlane::Release(const RequestId& id) {
  boost::asio::post(io_, [this, id] { placement_->Release(id); });
}

void ControlPlane::ReportObservation(const RequestId& id,
                                     BackendObservation observation) {
  boost::asio::post(io_, [this, id, observation = std::move(observation)] {
    placement_->ReportObservation(id, observation);
  });
}

void ControlPlane::ExecuteAtMostOnce(boost::asio::io_context& loop,
                                     ServiceRequest request,
                                     OutcomeCallback callback) {
  boost::asio::post(io_, [this, &loop, request = std::move(request),
                          callback = std::move(callback)]() mutable {
    at_most_once_->Execute(
        std::move(request), [&loop, callback](const Outcome& outcome) {
          boost::asio::post(loop, [callback, outcome] { callback(outcome); });
        });
  });
}

void ControlPlane::ExecuteOnTrafficThread(ServiceRequest request,
                                          OutcomeCallback callback) {
  if (runners_.empty()) {
    callback(Error{ErrorCode::kNotReady, "no traffic thread is registered"});
    return;
  }
  TrafficLoop& target = runners_[next_runner_++ % runners_.size()];
  boost::asio::post(*target.loop, [this, &target, request = std::move(request),
                                   callback = std::move(callback)]() mutable {
    target.runner(std::move(request), [this, callback](Outcome outcome) {
      boost::asio::post(
          io_, [callback, outcome = std::move(outcome)] { callback(outcome); });
    });
  });
}

void ControlPlane::ListInstances(boost::asio::io_context& loop,
                                 const ZoneId& zone,
                                 InstanceListCallback callback) {
  boost::asio::post(io_, [this, &loop, zone, callback = std::move(callback)] {
    boost::asio::post(loop, [callback, instances = InstancesForZone(zone)] {
      callback(instances);
    });
  });
}

std::vector<InstanceAddress> ControlPlane::InstancesForZone(
    const ZoneId& zone) {
  std::vector<InstanceAddress> own_zone;
  std::vector<InstanceAddress> others;
  int64_t now_s = WallSeconds();
  for (const MemberRecord& record : membership_.All()) {
    if (!record.AcceptsCallers()) {
      continue;
    }
    Ticket ticket{record.id, record.incarnation, now_s};
    InstanceAddress instance{record.id, record.zone, record.caller_address,
                             FormatTicket(ticket)};
    (record.zone == zone ? own_zone : others).push_back(std::move(instance));
  }
  // Rotated, so that callers spread over the instances.
  size_t rotation = ++instance_list_rotation_;
  for (auto* list : {&own_zone, &others}) {
    if (!list->empty()) {
      std::rotate(
          list->begin(),
          list->begin() + static_cast<ptrdiff_t>(rotation % list->size()),
          list->end());
    }
  }
  own_zone.insert(own_zone.end(), others.begin(), others.end());
  return own_zone;
}

void ControlPlane::OnPeerRequest(const std::string& path,
                                 const Json& message,
                                 PeerResponder respond) {
  if (path == "/members/probe") {
    respond(members_->OnProbe(message));
  } else if (path == "/plan/get") {
    respond(plans_->OnPlanRequest(message));
  } else if (path == "/requests/check") {
    respond(watcher_->OnActiveRequestsQuery(message));
  } else if (path == "/calls/run") {
    at_most_once_->OnForwardedCall(message, respond);
  } else if (path == "/calls/replica") {
    at_most_once_->OnOutcomeReplica(message);
    respond(Json::object());
  } else if (path == "/calls/query") {
    respond(at_most_once_->OnOutcomeQuery(message));
  } else if (path == "/status") {
    respond(DescribeInstance());
  } else if (!HandleSlotMessage(*allocators_, path, message, respond)) {
    respond(
        Error{ErrorCode::kPeerMalformed, "unknown peer request path " + path});
  }
}

}  // namespace mangoyoke
