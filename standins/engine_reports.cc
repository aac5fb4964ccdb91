// The prefix cache of the simulated LLM server, and what the server reports of
// itself.

#include <algorithm>

#include "engine.h"
#include "mangoyoke/prefix_index.h"

namespace mangoyoke::standin {

void Engine::TouchCacheBlocks(const std::vector<uint64_t>& hashes) {
  for (uint64_t hash : hashes) {
    auto it = std::find(cache_.begin(), cache_.end(), hash);
    if (it != cache_.end()) {
      cache_.splice(cache_.end(), cache_, it);
      continue;
    }
    cache_.push_back(hash);
    AddEvent("add", hash);
    if (cache_.size() > options_.cache_blocks) {
      AddEvent("remove", cache_.front());
      cache_.pop_front();
    }
  }
}

int64_t Engine::CachedTokens(const std::vector<uint64_t>& hashes) const {
  int64_t tokens = 0;
  for (uint64_t hash : hashes) {
    if (std::find(cache_.begin(), cache_.end(), hash) == cache_.end()) {
      break;
    }
    tokens += kBlockTokens;
  }
  return tokens;
}

void Engine::AddEvent(const char* operation, uint64_t hash) {
  constexpr size_t kMaxEvents = 1000;
  ++last_event_sequence_;
  std::uniform_int_distribution<int> percent(0, 99);
  if (percent(random_engine_) < options_.event_drop_percent) {
    return;  // The sequence number is used up, so the reader sees a gap.
  }
  events_.push_back(
      CacheEvent{last_event_sequence_, SteadyClock::now(), operation, hash});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

Json Engine::State() const {
  Json running = Json::array();
  for (const auto& [id, job] : active_decodes_) {
    running.push_back(Json{{"id", id},
                           {"owner", job->owner},
                           {"attached", job->stream != nullptr}});
  }
  if (active_prefill_) {
    running.push_back(Json{{"id", active_prefill_->request_id},
                           {"owner", active_prefill_->owner},
                           {"attached", true}});
  }
  return Json{
      {"role", options_.role},       {"model", options_.model},
      {"version", options_.version}, {"fencing", highest_fencing_token_},
      {"running", running},          {"order_log", order_log_}};
}

Json Engine::Load() const {
  Json report = reports_.empty() ? Json::object() : reports_.front().report;
  report["role"] = options_.role;
  report["model"] = options_.model;
  report["version"] = options_.version;
  return report;
}

Json Engine::Events(int64_t after) const {
  Json events = Json::array();
  TimePoint newest_visible =
      SteadyClock::now() - FromMillis(options_.event_lag_ms);
  for (const CacheEvent& event : events_) {
    if (event.sequence > after && event.at <= newest_visible) {
      events.push_back(Json{{"seq", event.sequence},
                            {"op", event.operation},
                            {"hash", event.hash}});
    }
  }
  return Json{{"events", events}};
}

double Engine::KvHeldTokens() const {
  double tokens = 0;
  for (const auto& [kv_handle, entry] : kv_entries_) {
    tokens += static_cast<double>(entry.tokens);
  }
  for (const auto& [id, job] : active_decodes_) {
    tokens += static_cast<double>(job->tokens + job->next_token);
  }
  return tokens;
}

Json Engine::Stats() const {
  return Json{{"kv_held_tokens", KvHeldTokens()},
              {"running", active_decodes_.size()},
              {"queued", decode_queue_.size() + prefill_queue_.size()},
              {"prefill_ms", prefill_ms_done_},
              {"prefill_ms_wasted", prefill_ms_wasted_},
              {"prefills", prefill_count_},
              {"kv_expired", kv_expired_count_},
              {"tokens", token_count_},
              {"cancels", cancel_count_},
              {"peak_queue", peak_queue_},
              {"orders", order_count_}};
}

}  // namespace mangoyoke::standin
