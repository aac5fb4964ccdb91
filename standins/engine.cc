// Implementation of the engine stand-in.

#include "engine.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cxxopts.hpp>
#include <iostream>

#include "mangoyoke/prefix_index.h"
#include "token_text.h"

namespace mangoyoke::standin {
namespace {

constexpr Duration kHousekeepingInterval = Millis(50);
constexpr double kBytesPerMegabyte = 1e6;

double MsOfExport(const EngineOptions& options, int64_t tokens) {
  double bytes = static_cast<double>(tokens) *
                 static_cast<double>(options.kv_bytes_per_token);
  return bytes / (options.link_mb_per_s * kBytesPerMegabyte) * 1000;
}

}  // namespace

Engine::Engine(boost::asio::io_context& io, EngineOptions options)
    : io_(io),
      options_(std::move(options)),
      client_(io),
      random_(options_.seed),
      prefill_timer_(io),
      step_timer_(io),
      housekeeping_timer_(io),
      link_free_(SteadyClock::now()) {
  Housekeep();
}

void Engine::OnRequest(ServerRequest request, Stream stream) {
  const std::string& path = request.path;
  if (path == "/v1/prefill") {
    StartPrefill(request, stream);
  } else if (path == "/v1/decode") {
    StartDecode(request, stream);
  } else if (path == "/v1/resume") {
    ResumeDecode(request, stream);
  } else if (path == "/v1/kv/export") {
    ExportKv(request, stream);
  } else if (path == "/v1/cancel") {
    Cancel(ReadBody(request).value("request_id", ""));
    Reply(stream, 200, Json::object());
  } else if (path == "/v1/state") {
    Reply(stream, 200, State());
  } else if (path == "/v1/load") {
    Reply(stream, 200, Load());
  } else if (path == "/v1/cache-events") {
    Reply(stream, 200,
          Events(std::atoll(std::string(request.Query("after")).c_str())));
  } else if (path == "/v1/orders") {
    TakeOrder(request, stream);
  } else if (path == "/admin/behavior") {
    SetBehavior(ReadBody(request));
    Reply(stream, 200, Json::object());
  } else if (path == "/admin/stats") {
    Reply(stream, 200, Stats());
  } else {
    Reply(stream, 404, Json{{"error", "unknown path"}});
  }
}

void Engine::OnDisconnect(uint64_t connection_id) {
  prefill_queue_.remove_if([&](const PrefillJob& job) {
    return job.connection_id == connection_id;
  });
  for (auto& [id, job] : running_) {
    if (job->connection_id == connection_id && job->stream) {
      job->stream.reset();
      job->detached = SteadyClock::now();
    }
  }
  decode_queue_.remove_if(
      [&](const auto& job) { return job->connection_id == connection_id; });
}

void Engine::StartPrefill(const ServerRequest& request, const Stream& stream) {
  Json body = ReadBody(request);
  if (options_.role != "prefill" || body.value("model", "") != options_.model) {
    Reply(stream, 409, Json{{"error", "wrong role or model"}});
    return;
  }
  PrefillJob job;
  job.request_id = body.value("request_id", "");
  job.owner = body.value("owner", "");
  job.prompt = body.value("prompt", "");
  job.priority = body.value("priority", 1);
  job.connection_id = request.connection_id;
  job.stream = stream;
  auto position = std::find_if(prefill_queue_.begin(), prefill_queue_.end(),
                               [&job](const PrefillJob& other) {
                                 return other.priority > job.priority;
                               });
  prefill_queue_.insert(position, std::move(job));
  peak_queue_ = std::max(peak_queue_, prefill_queue_.size());
  RunNextPrefill();
}

void Engine::RunNextPrefill() {
  if (prefilling_ || prefill_queue_.empty()) {
    return;
  }
  prefilling_ = std::make_unique<PrefillJob>(std::move(prefill_queue_.front()));
  prefill_queue_.pop_front();
  std::vector<uint64_t> hashes = PrefixHashes(prefilling_->prompt);
  int64_t tokens = EstimateTokens(prefilling_->prompt) - CachedTokens(hashes);
  Touch(hashes);
  prefilling_ms_ = static_cast<double>(std::max<int64_t>(1, tokens)) *
                   options_.prefill_us_per_token / 1000;
  prefill_timer_.expires_after(FromMillis(prefilling_ms_ * slow_));
  prefill_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      FinishPrefill();
    }
  });
}

void Engine::FinishPrefill() {
  PrefillJob job = std::move(*prefilling_);
  prefilling_.reset();
  ++prefills_;
  prefill_ms_done_ += prefilling_ms_;
  KvEntry entry;
  entry.request_id = job.request_id;
  entry.owner = job.owner;
  entry.prompt_hash = StableHash(job.prompt);
  entry.tokens = EstimateTokens(job.prompt);
  entry.expires = SteadyClock::now() + FromMillis(options_.kv_life_ms);
  std::string handle = job.request_id + "#" + std::to_string(prefills_);
  kv_[handle] = entry;
  Reply(job.stream, 200,
        Json{{"handle", handle},
             {"tokens", entry.tokens},
             {"prefill_ms", prefilling_ms_ * slow_}});
  RunNextPrefill();
}

void Engine::ExportKv(const ServerRequest& request, const Stream& stream) {
  std::string handle = ReadBody(request).value("handle", "");
  auto it = kv_.find(handle);
  if (it == kv_.end()) {
    Reply(stream, 410, Json{{"error", "kv_expired"}});
    return;
  }
  if (stall_transfers_) {
    stalled_.push_back(stream);
    return;
  }
  ++it->second.exporting;
  TimePoint now = SteadyClock::now();
  link_free_ = std::max(link_free_, now) +
               FromMillis(MsOfExport(options_, it->second.tokens) * slow_);
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, link_free_);
  timer->async_wait(
      [this, timer, handle, stream](const boost::system::error_code&) {
        auto found = kv_.find(handle);
        if (found == kv_.end()) {
          Reply(stream, 410, Json{{"error", "kv_expired"}});
          return;
        }
        Reply(stream, 200,
              Json{{"prompt_hash", found->second.prompt_hash},
                   {"tokens", found->second.tokens}});
        kv_.erase(found);
      });
}

void Engine::StartDecode(const ServerRequest& request, const Stream& stream) {
  Json body = ReadBody(request);
  if (options_.role != "decode" || body.value("model", "") != options_.model) {
    Reply(stream, 409, Json{{"error", "wrong role or model"}});
    return;
  }
  auto job = std::make_shared<DecodeJob>();
  job->request_id = body.value("request_id", "");
  job->owner = body.value("owner", "");
  job->source = body.value("source", "");
  job->handle = body.value("handle", "");
  job->max_tokens = body.value("max_tokens", int64_t{16});
  job->next = body.value("offset", int64_t{0});
  job->first = job->next;
  job->connection_id = request.connection_id;
  job->stream = stream;
  decode_queue_.push_back(std::move(job));
  peak_queue_ = std::max(peak_queue_, decode_queue_.size());
  AdmitDecode();
}

void Engine::AdmitDecode() {
  while (!decode_queue_.empty() &&
         running_.size() < static_cast<size_t>(options_.slots)) {
    auto job = decode_queue_.front();
    decode_queue_.pop_front();
    running_[job->request_id] = job;
    ImportKv(job);
  }
}

void Engine::ImportKv(const std::shared_ptr<DecodeJob>& job) {
  ClientRequest request;
  request.method = "POST";
  request.url = job->source + "/v1/kv/export";
  request.body = Json{{"handle", job->handle}}.dump();
  job->transfer = client_.Start(
      std::move(request), [this, id = job->request_id](ClientResponse answer) {
        auto it = running_.find(id);
        if (it == running_.end()) {
          return;
        }
        Json body = Json::parse(answer.body, nullptr, false);
        if (!answer.Succeeded() || !body.is_object()) {
          FailDecode(id, 410, "kv_expired");
          return;
        }
        it->second->prompt_hash = body.value("prompt_hash", uint64_t{0});
        it->second->tokens = body.value("tokens", int64_t{0});
        it->second->loaded = true;
        if (it->second->stream) {
          it->second->stream->StartChunks(200, "text/event-stream");
        }
        Step();
      });
}

void Engine::FailDecode(const std::string& id,
                        int status,
                        const std::string& why) {
  auto it = running_.find(id);
  if (it->second->stream) {
    Reply(it->second->stream, status, Json{{"error", why}});
  }
  running_.erase(it);
  AdmitDecode();
}

void Engine::Step() {
  TimePoint now = SteadyClock::now();
  if (now < next_step_) {
    return;  // The timer is set.
  }
  bool any = false;
  std::vector<std::string> finished;
  for (auto& [id, job] : running_) {
    if (!job->loaded) {
      continue;
    }
    any = true;
    EmitToken(*job, job->next);
    ++job->next;
    if (job->next >= job->max_tokens) {
      finished.push_back(id);
    }
  }
  for (const std::string& id : finished) {
    auto job = running_.at(id);
    FinishDecode(*job);
    ended_[id] = {now, *job};
    ended_[id].second.stream.reset();
    running_.erase(id);
  }
  AdmitDecode();
  if (!any) {
    return;
  }
  next_step_ = now + FromMillis(options_.token_gap_ms * slow_);
  step_timer_.expires_at(next_step_);
  step_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Step();
    }
  });
}

void Engine::EmitToken(DecodeJob& job, int64_t index) {
  ++tokens_;
  if (!job.stream) {
    return;
  }
  auto event = [&job](int64_t i) {
    return "data: " +
           Json{{"i", i}, {"t", TokenText(job.prompt_hash, i)}}.dump() + "\n\n";
  };
  if (reorder_tokens_ && index % 4 == 1 && index + 1 < job.max_tokens) {
    // The next one first; this one comes with it, the next one again later.
    job.stream->WriteChunk(event(index + 1));
  }
  job.stream->WriteChunk(event(index));
  if (repeat_tokens_) {
    job.stream->WriteChunk(event(index));
  }
  if (cut_after_ > 0 && index - job.first + 1 >= cut_after_) {
    job.stream->Abort();
    job.stream.reset();
    job.detached = SteadyClock::now();
  }
}

void Engine::FinishDecode(DecodeJob& job) {
  if (job.stream) {
    job.stream->WriteChunk(
        "data: " + Json{{"done", true}, {"n", job.next}}.dump() + "\n\n");
    job.stream->FinishChunks();
  }
}

void Engine::ResumeDecode(const ServerRequest& request, const Stream& stream) {
  std::string id(request.Query("request_id"));
  int64_t offset = std::atoll(std::string(request.Query("offset")).c_str());
  if (auto it = ended_.find(id); it != ended_.end()) {
    DecodeJob job = it->second.second;
    job.stream = stream;
    job.first = offset;
    stream->StartChunks(200, "text/event-stream");
    for (int64_t i = offset; i < job.next; ++i) {
      EmitToken(job, i);
    }
    FinishDecode(job);
    return;
  }
  auto it = running_.find(id);
  if (it == running_.end() || !it->second->loaded ||
      offset > it->second->next) {
    Reply(stream, 404, Json{{"error", "no such stream"}});
    return;
  }
  DecodeJob& job = *it->second;
  job.stream = stream;
  job.connection_id = request.connection_id;
  job.first = offset;
  stream->StartChunks(200, "text/event-stream");
  for (int64_t i = offset; i < job.next && job.stream; ++i) {
    EmitToken(job, i);
  }
}

void Engine::Cancel(const std::string& request_id) {
  ++cancels_;
  prefill_queue_.remove_if(
      [&](const PrefillJob& job) { return job.request_id == request_id; });
  if (prefilling_ && prefilling_->request_id == request_id) {
    prefill_timer_.cancel();
    prefill_ms_wasted_ += prefilling_ms_;
    prefilling_.reset();
    RunNextPrefill();
  }
  std::erase_if(kv_, [&](const auto& entry) {
    bool match = entry.second.request_id == request_id;
    if (match) {
      prefill_ms_wasted_ += static_cast<double>(entry.second.tokens) *
                            options_.prefill_us_per_token / 1000;
    }
    return match;
  });
  decode_queue_.remove_if(
      [&](const auto& job) { return job->request_id == request_id; });
  if (auto it = running_.find(request_id); it != running_.end()) {
    client_.Cancel(it->second->transfer);
    running_.erase(it);
    AdmitDecode();
  }
  ended_.erase(request_id);
}

void Engine::TakeOrder(const ServerRequest& request, const Stream& stream) {
  Json body = ReadBody(request);
  uint64_t fencing = body.value("fencing", uint64_t{0});
  if (options_.checks_fencing && fencing < fencing_) {
    Reply(stream, 409,
          Json{{"error", "old fencing number"}, {"fencing", fencing_}});
    return;
  }
  fencing_ = std::max(fencing_, fencing);
  ++orders_;
  options_.model = body.value("model", options_.model);
  options_.version = body.value("version", options_.version);
  options_.role = body.value("role", options_.role);
  order_log_.push_back(Json{{"fencing", fencing},
                            {"holder", body.value("holder", "")},
                            {"version", options_.version},
                            {"role", options_.role}});
  Reply(stream, 200, Json{{"version", options_.version}});
}

void Engine::SetBehavior(const Json& body) {
  slow_ = body.value("slow", slow_);
  stall_transfers_ = body.value("stall_transfers", stall_transfers_);
  if (!stall_transfers_) {
    stalled_.clear();  // Cuts the connections.
  }
  repeat_tokens_ = body.value("repeat_tokens", repeat_tokens_);
  reorder_tokens_ = body.value("reorder_tokens", reorder_tokens_);
  cut_after_ = body.value("cut_after", cut_after_);
}

void Engine::Housekeep() {
  TimePoint now = SteadyClock::now();
  std::erase_if(kv_, [&](const auto& entry) {
    bool expired = entry.second.expires <= now && entry.second.exporting == 0;
    if (expired) {
      ++kv_expired_;
      prefill_ms_wasted_ += static_cast<double>(entry.second.tokens) *
                            options_.prefill_us_per_token / 1000;
    }
    return expired;
  });
  Duration detach_life = FromMillis(options_.detach_life_ms);
  std::erase_if(running_, [&](const auto& entry) {
    return !entry.second->stream && entry.second->detached + detach_life <= now;
  });
  std::erase_if(ended_, [&](const auto& entry) {
    return entry.second.first + detach_life <= now;
  });
  AdmitDecode();
  reports_.push_back(LoadReport{
      now, Json{{"running", running_.size()},
                {"queued", prefill_queue_.size() + decode_queue_.size() +
                               (prefilling_ ? 1 : 0)}}});
  while (reports_.size() > 1 &&
         now - reports_[1].at >= FromMillis(options_.report_lag_ms)) {
    reports_.pop_front();
  }
  housekeeping_timer_.expires_after(kHousekeepingInterval);
  housekeeping_timer_.async_wait(
      [this](const boost::system::error_code& error) {
        if (!error) {
          Housekeep();
        }
      });
}

void Engine::Touch(const std::vector<uint64_t>& hashes) {
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
  ++last_event_;
  std::uniform_int_distribution<int> percent(0, 99);
  if (percent(random_) < options_.event_drop_percent) {
    return;  // A gap in the sequence.
  }
  events_.push_back(
      CacheEvent{last_event_, SteadyClock::now(), operation, hash});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

Json Engine::State() const {
  Json running = Json::array();
  for (const auto& [id, job] : running_) {
    running.push_back(Json{{"id", id},
                           {"owner", job->owner},
                           {"attached", job->stream != nullptr}});
  }
  if (prefilling_) {
    running.push_back(Json{{"id", prefilling_->request_id},
                           {"owner", prefilling_->owner},
                           {"attached", true}});
  }
  return Json{{"role", options_.role},       {"model", options_.model},
              {"version", options_.version}, {"fencing", fencing_},
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
  Json list = Json::array();
  TimePoint visible = SteadyClock::now() - FromMillis(options_.event_lag_ms);
  for (const CacheEvent& event : events_) {
    if (event.sequence > after && event.at <= visible) {
      list.push_back(Json{{"seq", event.sequence},
                          {"op", event.operation},
                          {"hash", event.hash}});
    }
  }
  return Json{{"events", list}};
}

double Engine::KvHeldTokens() const {
  double tokens = 0;
  for (const auto& [handle, entry] : kv_) {
    tokens += static_cast<double>(entry.tokens);
  }
  for (const auto& [id, job] : running_) {
    tokens += static_cast<double>(job->tokens + job->next);
  }
  return tokens;
}

Json Engine::Stats() const {
  return Json{{"kv_held_tokens", KvHeldTokens()},
              {"running", running_.size()},
              {"queued", decode_queue_.size() + prefill_queue_.size()},
              {"prefill_ms", prefill_ms_done_},
              {"prefill_ms_wasted", prefill_ms_wasted_},
              {"prefills", prefills_},
              {"kv_expired", kv_expired_},
              {"tokens", tokens_},
              {"cancels", cancels_},
              {"peak_queue", peak_queue_},
              {"orders", orders_}};
}

int RunEngine(int argc, char** argv) {
  cxxopts::Options parser("standin engine", "Stand-in for a model engine");
  EngineOptions options;
  std::string listen;
  parser.add_options()("listen", "IP:port", cxxopts::value(listen))(
      "role", "prefill or decode", cxxopts::value(options.role))(
      "model", "model", cxxopts::value(options.model))(
      "version", "model version", cxxopts::value(options.version))(
      "slots", "decode slots", cxxopts::value(options.slots))(
      "gap-ms", "time between tokens", cxxopts::value(options.token_gap_ms))(
      "prefill-us", "prefill time of a token",
      cxxopts::value(options.prefill_us_per_token))(
      "kv-life-ms", "life of a prefill result",
      cxxopts::value(options.kv_life_ms))(
      "link-mb", "link rate, MB/s", cxxopts::value(options.link_mb_per_s))(
      "cache-blocks", "prefix cache size",
      cxxopts::value(options.cache_blocks))(
      "report-lag-ms", "age of load reports",
      cxxopts::value(options.report_lag_ms))(
      "detach-life-ms", "life of a stream without reader",
      cxxopts::value(options.detach_life_ms))(
      "ignore-fencing", "take orders with old fencing numbers")(
      "seed", "random seed", cxxopts::value(options.seed));
  auto parsed = parser.parse(argc, argv);
  options.checks_fencing = parsed.count("ignore-fencing") == 0;
  boost::asio::io_context io(1);
  Engine engine(io, options);
  return RunServer(io, engine, listen);
}

}  // namespace mangoyoke::standin
