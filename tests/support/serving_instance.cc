// Rows of the fake store and the loop that tests wait in.

#include "tests/support/serving_instance.h"

#include <nlohmann/json.hpp>
#include <set>

namespace mangoyoke {

void PutServer(FakeStore& store, const BackendId& id) {
  store.Put("servers", id,
            nlohmann::json{{"Service", "s"},
                           {"Address", "127.0.0.1:1"},
                           {"Zone", "z"},
                           {"Version", "v1"},
                           {"Slots", 1},
                           {"State", "ready"},
                           {"ColdRemainingMs", 0},
                           {"Seq", 1}}
                .dump());
}

void PutConfig(FakeStore& store, Revision revision) {
  store.Put("op", "config",
            nlohmann::json{{"Version", revision},
                           {"Routes", nlohmann::json::array()},
                           {"Services", nlohmann::json::array()}}
                .dump());
}

void PutLargeConfig(FakeStore& store, Revision revision, int routes) {
  auto list = nlohmann::json::array();
  for (int i = 0; i < routes; ++i) {
    bool changed = static_cast<Revision>(i) == revision;
    list.push_back({{"Name", "route-" + std::to_string(i)},
                    {"Host", "host.example"},
                    {"Prefix", "/prefix-" + std::to_string(i) + "/"},
                    {"Kind", "idempotent"},
                    {"TimeoutMs", changed ? 2000 : 1000},
                    {"TargetLatencyMs", 300},
                    {"Priority", 1},
                    {"Service", "s"},
                    {"MaxAttempts", 2}});
  }
  store.Put("op", "config",
            nlohmann::json{{"Version", revision},
                           {"Routes", std::move(list)},
                           {"Services",
                            {{{"Name", "s"},
                              {"HealthPath", "/healthz"},
                              {"MaxConnections", 10},
                              {"Protocol", "h1"},
                              {"Tls", false}}}}}
                .dump());
}

bool RunUntil(boost::asio::io_context& io,
              Duration timeout,
              const std::function<bool()>& done) {
  TimePoint end = SteadyClock::now() + timeout;
  while (!done() && SteadyClock::now() < end) {
    io.run_for(Millis(10));
  }
  return done();
}

ServingZone::ServingZone(boost::asio::io_context& io,
                         FakeStore& store,
                         int count,
                         const GatewaySettings& settings) {
  std::vector<MemberRecord> members;
  for (int i = 0; i < count; ++i) {
    instances_.push_back(
        std::make_unique<ServingInstance>(io, store, i, settings));
    members.push_back(instances_.back()->record());
  }
  std::set<InstanceId> reader_ids;
  for (const MemberRecord& reader : ChooseStoreReaders("z", members)) {
    reader_ids.insert(reader.id);
  }
  for (auto& instance : instances_) {
    all_.push_back(instance.get());
    bool reads = reader_ids.contains(instance->record().id);
    (reads ? readers_ : followers_).push_back(instance.get());
    instance->state().SetMembers(instance->record().id, members);
    instance->state().Start();
  }
}

}  // namespace mangoyoke
