// Applies configurations and servers read from the store or from other
// instances, and makes updates for other instances.
//
// An update is an object with the fields "a" (age of the view in ms), those of
// the configuration (config_history.h), "e" (era of the registry), and if the
// registry is newer those of the servers (server_row_history.h) and "l" (ids of
// removed servers that may come back). Instances of the release before have no
// "e".

#include "gateway/control/serving_state.h"

#include <algorithm>

#include "base/log.h"

namespace mangoyoke {
namespace {

// Longest delay between retries of an instance that reads the store only since
// no reader confirms its view.
constexpr Duration kFallbackMaxBackoff = Seconds(3);
// The next watch for server changes starts this long after a change, so that
// many changes arrive in one response.
constexpr Duration kServerBatchInterval = Millis(350);

// Of a view whose servers are of an earlier era than the store.
constexpr Duration kOutdatedViewAge = Seconds(3600);
// An update that claims a higher age is malformed.
constexpr double kMaxAgeMs = 365.0 * 24 * 3600 * 1000;

// Empty if `value` is no text: such a row cannot be read.
std::string DecodeText(const Json& value) {
  return value.is_string() ? value.get<std::string>() : std::string();
}

StoreReaderOptions ReaderOptionsFrom(const ChangeTimeouts& timeouts) {
  StoreReaderOptions options;
  options.max_unconfirmed = timeouts.max_unconfirmed;
  return options;
}

}  // namespace

ServingState::ServingState(boost::asio::io_context& io,
                           const GatewaySettings& settings,
                           const StoreCodec& codec,
                           StoreClient& store,
                           PeerClient& peers,
                           Metrics& metrics)
    : codec_(codec),
      store_(store),
      metrics_(metrics),
      io_(io),
      timeouts_(DeriveChangeTimeouts(settings.change_bound)),
      registry_(settings.server_reregistration_timeout),
      config_watcher_(
          io,
          store,
          codec,
          TableWatcherOptions{codec.ConfigTable(), timeouts_.config_watch,
                              timeouts_.response_margin,
                              timeouts_.max_retry_delay, Duration::zero()},
          [this](StoreEra era, TimePoint as_of) { return OnEra(era, as_of); },
          [this](const std::vector<StoreRow>& rows, const StoreVersion&) {
            for (const StoreRow& row : rows) {
              ApplyConfigRow(row, "store");
            }
          },
          [this](const std::vector<StoreRow>& rows, const StoreVersion&) {
            for (const StoreRow& row : rows) {
              ApplyConfigRow(row, "store");
            }
          }),
      server_watcher_(
          io,
          store,
          codec,
          TableWatcherOptions{codec.ServerTable(), timeouts_.server_watch,
                              timeouts_.response_margin,
                              timeouts_.max_retry_delay, kServerBatchInterval},
          [this](StoreEra era, TimePoint as_of) { return OnEra(era, as_of); },
          [this](const std::vector<StoreRow>& rows,
                 const StoreVersion& version) {
            ReplaceServers(rows, {}, version);
          },
          [this](const std::vector<StoreRow>& rows,
                 const StoreVersion& version) {
            ApplyServerChanges(rows, {}, version);
          }),
      role_(ReaderOptionsFrom(timeouts_), SteadyClock::now()),
      feed_([this] { return View(); },
            [this](const ServingRequester& requester) {
              return MakeUpdate(requester);
            },
            [this] { return IsCurrent(); }),
      follower_(io,
                peers,
                ServingFollower::Callbacks{[this] { return ViewForPolls(); },
                                           [this](const Json& update) {
                                             return ApplyUpdate(update);
                                           }}) {
  on_config_changed.Add([this] { feed_.OnChanged(); });
  on_servers_changed.Add([this] { feed_.OnChanged(); });
}

void ServingState::Start() {
  store_.on_success.Add(
      [this] { registry_.OnStoreSuccess(SteadyClock::now()); });
  store_.on_failure.Add([this] { OnStoreFailure(); });
  store_.on_recovered.Add([this](TimePoint time) {
    config_watcher_.RestartWatchSentBefore(time);
    server_watcher_.RestartWatchSentBefore(time);
  });
  config_watcher_.on_confirmed.Add([this] { feed_.OnConfirmed(); });
  tick_timer_ = std::make_unique<PeriodicTimer>(io_, kServingTickInterval,
                                                [this] { Tick(); });
  Tick();
}

void ServingState::SetMembers(const InstanceId& self,
                              const std::vector<MemberRecord>& members) {
  ZoneId zone;
  std::vector<std::string> others;
  for (const MemberRecord& member : members) {
    if (member.id == self) {
      zone = member.zone;
    } else if (member.Usable()) {
      others.push_back(member.peer_address);
    }
  }
  bool is_reader = false;
  std::vector<std::string> readers;
  for (const MemberRecord& reader : ChooseStoreReaders(zone, members)) {
    if (reader.id == self) {
      is_reader = true;
    } else {
      readers.push_back(reader.peer_address);
    }
  }
  role_.SetReaders(is_reader, !readers.empty());
  follower_.SetTargets(std::move(readers), std::move(others));
  if (tick_timer_) {
    UpdateRole(SteadyClock::now());
  }
}

void ServingState::PullFrom(const std::string& address, Revision revision) {
  if (revision > heard_revision_) {
    heard_revision_ = revision;
    heard_at_ = SteadyClock::now();
    LogEvent("config_newer_heard")
        .Field("revision", static_cast<int64_t>(revision))
        .Field("active", static_cast<int64_t>(Versions().config))
        .Field("from", address);
  }
  follower_.PullConfig(address, revision);
}

void ServingState::LogAccountProblems(const ServingConfig& config) {
  for (const AccountProblem& problem : config.accounts().problems()) {
    LogEvent("account_problem", LogLevel::kWarning)
        .Field("revision", static_cast<int64_t>(config.revision()))
        .Field("account", problem.account)
        .Field("why", problem.what);
    metrics_.Increment("mangoyoke_account_problems_total");
  }
}

void ServingState::ApplyConfigRow(const StoreRow& row,
                                  std::string_view source) {
  TimePoint started = SteadyClock::now();
  auto decoded = codec_.DecodeConfig(row);
  if (const auto* error = std::get_if<Error>(&decoded)) {
    LogEvent("config_unreadable", LogLevel::kWarning)
        .Field("source", source)
        .Field("why", error->detail);
    metrics_.Increment("mangoyoke_configs_unreadable_total");
    return;
  }
  const auto& config = std::get<ServingConfig>(decoded);
  Revision active_revision = config_ ? config_->revision() : 0;
  if (config.revision() <= active_revision) {
    return;
  }
  config_ = std::make_shared<ServingConfig>(config);
  config_history_.Add(config.revision(), row);
  TimePoint now = SteadyClock::now();
  bool heard_before = heard_revision_ > active_revision;
  Duration heard_for = heard_before ? now - heard_at_ : Duration::zero();
  metrics_.Observe("mangoyoke_config_heard_ms", ToMillis(heard_for));
  LogEvent("config_in_force")
      .Field("revision", static_cast<int64_t>(config.revision()))
      .Field("before", static_cast<int64_t>(active_revision))
      .Field("routes", static_cast<int64_t>(config.route_count()))
      .Field("source", source)
      .Field("accounts",
             static_cast<int64_t>(config.accounts().accounts().size()))
      .Field("heard_ms", ToMillis(heard_for))
      .Field("decode_ms", ToMillis(now - started));
  LogAccountProblems(config);
  metrics_.SetGauge("mangoyoke_config_revision",
                    static_cast<double>(config.revision()));
  on_config_changed.Notify();
}

RegistryChange ServingState::DecodeServerRow(const StoreRow& row) const {
  RegistryChange change{row.key, std::nullopt};
  if (!row.value) {
    return change;
  }
  change.server = codec_.DecodeServer(row);
  if (!change.server) {
    change.names_no_server = true;
    LogEvent("server_row_unreadable", LogLevel::kWarning)
        .Field("server", row.key);
    metrics_.Increment("mangoyoke_server_rows_unreadable_total");
  }
  registry_.DropEarlierRow(change);
  return change;
}

void ServingState::ReplaceServers(const std::vector<StoreRow>& rows,
                                  const std::set<BackendId>& lapsed,
                                  const StoreVersion& version) {
  StoreVersion before = registry_.version();
  if (version < before) {
    return;
  }
  server_rows_.Restart(version);
  std::vector<RegistryChange> changes;
  for (const StoreRow& row : rows) {
    changes.push_back(DecodeServerRow(row));
    server_rows_.Keep(row, changes.back());
  }
  for (const BackendId& id : lapsed) {
    changes.push_back(RegistryChange{id, std::nullopt, true});
  }
  registry_.Replace(version, changes, SteadyClock::now());
  if (before.era != version.era) {
    LogFirstRows(before);
  }
  on_servers_changed.Notify();
}

void ServingState::ApplyServerChanges(const std::vector<StoreRow>& rows,
                                      const std::set<BackendId>& lapsed,
                                      const StoreVersion& version) {
  if (version <= registry_.version() ||
      version.era != registry_.version().era) {
    return;  // Already known from another source, or to rows not known.
  }
  std::vector<RegistryChange> changes;
  for (const StoreRow& row : rows) {
    changes.push_back(DecodeServerRow(row));
    changes.back().lapsed = lapsed.contains(row.key);
    server_rows_.Keep(row, changes.back());
  }
  server_rows_.RecordChanges(rows, version);
  registry_.Apply(version, changes, SteadyClock::now());
  on_servers_changed.Notify();
}

EraVerdict ServingState::OnEra(StoreEra era, TimePoint as_of) {
  StoreEra before = era_.era();
  EraVerdict verdict = era_.OnAnswer(era, as_of);
  if (verdict == EraVerdict::kIgnored) {
    metrics_.Increment("mangoyoke_answers_of_other_eras_total");
    LogEvent("store_era_ignored", LogLevel::kWarning)
        .Field("era", static_cast<int64_t>(era))
        .Field("current", static_cast<int64_t>(before));
  }
  if (verdict != EraVerdict::kChanged) {
    return verdict;
  }
  LogEvent("store_era_changed", LogLevel::kWarning)
      .Field("before", static_cast<int64_t>(before))
      .Field("era", static_cast<int64_t>(era))
      .Field("config", static_cast<int64_t>(Versions().config));
  metrics_.Increment("mangoyoke_store_eras_total");
  metrics_.SetGauge("mangoyoke_store_era", static_cast<double>(era));
  if (registry_.version().Known()) {
    registry_.BeginEra(era, SteadyClock::now());
  }
  return verdict;
}

void ServingState::LogFirstRows(const StoreVersion& before) const {
  LogEvent("registry_era_begun")
      .Field("era_before", static_cast<int64_t>(before.era))
      .Field("version_before", static_cast<int64_t>(before.number))
      .Field("era", static_cast<int64_t>(registry_.version().era))
      .Field("version", static_cast<int64_t>(registry_.version().number))
      .Field("rows", static_cast<int64_t>(server_rows_.size()))
      .Field("kept", static_cast<int64_t>(registry_.LapsedServers().size()));
}

bool ServingState::StoreResponds() const {
  return reads_store_ &&
         store_.reachability() == StoreReachability::kReachable && config_ &&
         registry_.version().Known();
}

bool ServingState::ReadsCurrently() const {
  Duration age = SteadyClock::now() - config_watcher_.confirmed_at();
  return StoreResponds() && role_.IsCurrentAge(age);
}

Duration ServingState::ViewAge() const {
  TimePoint now = SteadyClock::now();
  if (registry_.version().era != era_.era()) {
    return kOutdatedViewAge;
  }
  Duration confirmed_by_reader = role_.Age(now);
  if (!StoreResponds()) {
    return confirmed_by_reader;
  }
  return std::min<Duration>(confirmed_by_reader,
                            now - config_watcher_.confirmed_at());
}

bool ServingState::IsCurrent() const {
  return config_ && role_.IsCurrentAge(ViewAge());
}

void ServingState::OnStoreFailure() {
  if (!role_.IsConfirmed(SteadyClock::now())) {
    registry_.OnStoreFailure();
  }
}

void ServingState::Tick() {
  TimePoint now = SteadyClock::now();
  UpdateRole(now);
  if (reads_store_ &&
      store_.reachability() == StoreReachability::kUnreachable) {
    OnStoreFailure();
  }
  if (registry_.RemoveLapsedServers(now)) {
    on_servers_changed.Notify();
  }
  if (registry_.LiftBars(now)) {
    server_watcher_.ReadAgain();
  }
  feed_.Tick(now);
}

void ServingState::UpdateRole(TimePoint now) {
  bool reads = role_.UpdateAndCheckReads(now);
  bool changed = std::exchange(reads_store_, reads) != reads;
  if (changed) {
    LogEvent(reads ? "store_reading_started" : "store_reading_stopped")
        .Field("reader", static_cast<int64_t>(role_.is_reader()))
        .Field("unconfirmed_ms", ToMillis(role_.Age(now)));
    metrics_.SetGauge("mangoyoke_reads_store", reads ? 1 : 0);
  }
  for (TableWatcher* watcher : {&config_watcher_, &server_watcher_}) {
    watcher->SetMaxBackoff(role_.is_reader() ? timeouts_.max_retry_delay
                                             : kFallbackMaxBackoff);
    if (reads) {
      watcher->Start();
    } else {
      watcher->Stop();
    }
  }
  if (changed && !reads) {
    store_.OnCallsStopped();
  }
  // An instance that is no reader needs confirmations in order to stop reading.
  follower_.SetRunning(!role_.is_reader() || !ReadsCurrently());
}

ServingVersions ServingState::Versions() const {
  return ServingVersions{config_ ? config_->revision() : 0,
                         registry_.version()};
}

ServingView ServingState::View() const {
  return ServingView{Versions(), ViewAge()};
}

ServingView ServingState::ViewForPolls() const {
  ServingView view = View();
  if (needs_whole_config_) {
    view.versions.config = 0;
  }
  return view;
}

Json ServingState::MakeUpdate(const ServingRequester& requester) const {
  const ServingVersions& known = requester.known;
  Json update = Json::object();
  update["a"] = ToMillis(ViewAge());
  update["e"] = registry_.version().era;
  if (config_ && config_->revision() > known.config) {
    config_history_.WriteUpdate(known.config, requester.accepts_difference,
                                update);
  }
  if (registry_.version() > known.registry) {
    // A change may not fit to what an instance has that knows no eras.
    bool accepts_changes = requester.states_era || registry_.version().era == 0;
    server_rows_.WriteUpdate(registry_.version(), known.registry,
                             accepts_changes, update);
    update["l"] = registry_.LapsedServers();
  }
  return update;
}

void ServingState::ApplyConfigUpdate(const Json& update) {
  auto row = config_history_.ReadUpdate(update);
  if (const auto* error = std::get_if<Error>(&row)) {
    needs_whole_config_ = true;
    LogEvent("config_difference_unusable", LogLevel::kWarning)
        .Field("active", static_cast<int64_t>(Versions().config))
        .Field("why", error->detail);
    return;
  }
  needs_whole_config_ = false;
  ApplyConfigRow(std::get<StoreRow>(row), "instance");
}

bool ServingState::ApplyUpdate(const Json& update) {
  TimePoint now = SteadyClock::now();
  auto age_ms = update.at("a").get<double>();
  if (!(age_ms <= kMaxAgeMs)) {
    LogEvent("serving_update_malformed", LogLevel::kWarning)
        .Field("age_ms", age_ms);
    return false;
  }
  TimePoint as_of = now - FromMillis(std::max(age_ms, 0.0));
  if (update.contains("k")) {
    ApplyConfigUpdate(update);
  }
  if (!update.contains("e")) {
    // The release before does not notice that the store is in another era, so
    // that its view confirms nothing. It is better than none.
    if (!registry_.version().Known() && update.contains("g")) {
      ApplyServerUpdate(update);
    }
    return false;
  }
  const Json& era = update.at("e");
  if (!era.is_number_unsigned()) {
    LogEvent("serving_update_malformed", LogLevel::kWarning)
        .Field("why", "the era is no number");
    return false;
  }
  if (OnEra(era.get<StoreEra>(), as_of) == EraVerdict::kIgnored) {
    return false;
  }
  role_.OnConfirmed(as_of);
  if (role_.IsConfirmed(now)) {
    registry_.OnStoreSuccess(now);
  }
  if (update.contains("g")) {
    ApplyServerUpdate(update);
  }
  return role_.IsCurrentAge(now - as_of);
}

void ServingState::ApplyServerUpdate(const Json& update) {
  if (!update.at("g").is_number_unsigned()) {
    return;
  }
  StoreVersion version{era_.era(), update.at("g").get<uint64_t>()};
  auto lapsed = update.at("l").get<std::set<BackendId>>();
  bool complete = update.contains("s");
  std::vector<StoreRow> rows;
  for (const auto& [key, value] : update.at(complete ? "s" : "d").items()) {
    rows.push_back(StoreRow{key, std::nullopt});
    if (!value.is_null()) {
      rows.back().value = DecodeText(value);
    }
  }
  if (complete) {
    ReplaceServers(rows, lapsed, version);
  } else {
    ApplyServerChanges(rows, lapsed, version);
  }
}

}  // namespace mangoyoke
