// Requests, prefill, decode, transfers and orders of the simulated LLM server.

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

// Transfer time of the KV cache of `tokens` tokens, in milliseconds.
double ExportMs(const EngineOptions& options, int64_t tokens) {
  double bytes = static_cast<double>(tokens) *
                 static_cast<double>(options.kv_bytes_per_token);
  return bytes / (options.link_mb_per_s * kBytesPerMegabyte) * 1000;
}

}  // namespace

Engine::Engine(boost::asio::io_context& io, EngineOptions options)
    : io_(io),
      options_(std::move(options)),
      client_(io),
      random_engine_(options_.seed),
      prefill_timer_(io),
      step_timer_(io),
      housekeeping_timer_(io),
      link_free_at_(SteadyClock::now()) {
  RunHousekeeping();
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
    ApplyOrder(request, stream);
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
  for (auto& [id, job] : active_decodes_) {
    if (job->connection_id == connection_id && job->stream) {
      job->stream.reset();
      job->detached_at = SteadyClock::now();
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
  StartNextPrefill();
}

void Engine::StartNextPrefill() {
  if (active_prefill_ || prefill_queue_.empty()) {
    return;
  }
  active_prefill_ =
      std::make_unique<PrefillJob>(std::move(prefill_queue_.front()));
  prefill_queue_.pop_front();
  std::vector<uint64_t> hashes = PrefixHashes(active_prefill_->prompt);
  int64_t tokens =
      EstimateTokens(active_prefill_->prompt) - CachedTokens(hashes);
  TouchCacheBlocks(hashes);
  active_prefill_ms_ = static_cast<double>(std::max<int64_t>(1, tokens)) *
                       options_.prefill_us_per_token / 1000;
  prefill_timer_.expires_after(
      FromMillis(active_prefill_ms_ * slowdown_factor_));
  prefill_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      FinishPrefill();
    }
  });
}

void Engine::FinishPrefill() {
  PrefillJob job = std::move(*active_prefill_);
  active_prefill_.reset();
  ++prefill_count_;
  prefill_ms_done_ += active_prefill_ms_;
  KvEntry entry;
  entry.request_id = job.request_id;
  entry.owner = job.owner;
  entry.prompt_hash = StableHash(job.prompt);
  entry.tokens = EstimateTokens(job.prompt);
  entry.expires_at = SteadyClock::now() + FromMillis(options_.kv_ttl_ms);
  std::string kv_handle = job.request_id + "#" + std::to_string(prefill_count_);
  kv_entries_[kv_handle] = entry;
  Reply(job.stream, 200,
        Json{{"handle", kv_handle},
             {"tokens", entry.tokens},
             {"prefill_ms", active_prefill_ms_ * slowdown_factor_}});
  StartNextPrefill();
}

void Engine::ExportKv(const ServerRequest& request, const Stream& stream) {
  std::string kv_handle = ReadBody(request).value("handle", "");
  auto it = kv_entries_.find(kv_handle);
  if (it == kv_entries_.end()) {
    Reply(stream, 410, Json{{"error", "kv_expired"}});
    return;
  }
  if (stall_transfers_) {
    stalled_transfers_.push_back(stream);
    return;
  }
  ++it->second.exporting;
  TimePoint now = SteadyClock::now();
  link_free_at_ =
      std::max(link_free_at_, now) +
      FromMillis(ExportMs(options_, it->second.tokens) * slowdown_factor_);
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, link_free_at_);
  timer->async_wait(
      [this, timer, kv_handle, stream](const boost::system::error_code&) {
        auto found = kv_entries_.find(kv_handle);
        if (found == kv_entries_.end()) {
          Reply(stream, 410, Json{{"error", "kv_expired"}});
          return;
        }
        Reply(stream, 200,
              Json{{"prompt_hash", found->second.prompt_hash},
                   {"tokens", found->second.tokens}});
        kv_entries_.erase(found);
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
  job->kv_source = body.value("source", "");
  job->kv_handle = body.value("handle", "");
  job->max_tokens = body.value("max_tokens", int64_t{16});
  job->next_token = body.value("offset", int64_t{0});
  job->first_sent_token = job->next_token;
  job->connection_id = request.connection_id;
  job->stream = stream;
  decode_queue_.push_back(std::move(job));
  peak_queue_ = std::max(peak_queue_, decode_queue_.size());
  AdmitDecode();
}

void Engine::AdmitDecode() {
  while (!decode_queue_.empty() &&
         active_decodes_.size() < static_cast<size_t>(options_.slots)) {
    auto job = decode_queue_.front();
    decode_queue_.pop_front();
    active_decodes_[job->request_id] = job;
    ImportKv(job);
  }
}

void Engine::ImportKv(const std::shared_ptr<DecodeJob>& job) {
  ClientRequest request;
  request.method = "POST";
  request.url = job->kv_source + "/v1/kv/export";
  request.body = Json{{"handle", job->kv_handle}}.dump();
  job->transfer = client_.Start(
      std::move(request),
      [this, id = job->request_id](ClientResponse response) {
        auto it = active_decodes_.find(id);
        if (it == active_decodes_.end()) {
          return;
        }
        Json body = Json::parse(response.body, nullptr, false);
        if (!response.Succeeded() || !body.is_object()) {
          FailDecode(id, 410, "kv_expired");
          return;
        }
        it->second->prompt_hash = body.value("prompt_hash", uint64_t{0});
        it->second->tokens = body.value("tokens", int64_t{0});
        it->second->kv_loaded = true;
        if (it->second->stream) {
          it->second->stream->StartChunks(200, "text/event-stream");
        }
        RunDecodeStep();
      });
}

void Engine::FailDecode(const std::string& id,
                        int status,
                        const std::string& reason) {
  auto it = active_decodes_.find(id);
  if (it->second->stream) {
    Reply(it->second->stream, status, Json{{"error", reason}});
  }
  active_decodes_.erase(it);
  AdmitDecode();
}

void Engine::RunDecodeStep() {
  TimePoint now = SteadyClock::now();
  if (now < next_step_) {
    return;  // The timer for the next step is already set.
  }
  bool any_active = false;
  std::vector<std::string> finished;
  for (auto& [id, job] : active_decodes_) {
    if (!job->kv_loaded) {
      continue;
    }
    any_active = true;
    EmitToken(*job, job->next_token);
    ++job->next_token;
    if (job->next_token >= job->max_tokens) {
      finished.push_back(id);
    }
  }
  for (const std::string& id : finished) {
    auto job = active_decodes_.at(id);
    FinishDecode(*job);
    ended_streams_[id] = {now, *job};
    ended_streams_[id].second.stream.reset();
    active_decodes_.erase(id);
  }
  AdmitDecode();
  if (!any_active) {
    return;
  }
  next_step_ = now + FromMillis(options_.token_gap_ms * slowdown_factor_);
  step_timer_.expires_at(next_step_);
  step_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      RunDecodeStep();
    }
  });
}

void Engine::EmitToken(DecodeJob& job, int64_t index) {
  ++token_count_;
  if (!job.stream) {
    return;
  }
  auto event = [&job](int64_t i) {
    return "data: " +
           Json{{"i", i}, {"t", TokenText(job.prompt_hash, i)}}.dump() + "\n\n";
  };
  if (reorder_tokens_ && index % 4 == 1 && index + 1 < job.max_tokens) {
    // Sends the next token before this one. It is sent again in its own turn.
    job.stream->WriteChunk(event(index + 1));
  }
  job.stream->WriteChunk(event(index));
  if (repeat_tokens_) {
    job.stream->WriteChunk(event(index));
  }
  if (abort_after_tokens_ > 0 &&
      index - job.first_sent_token + 1 >= abort_after_tokens_) {
    job.stream->Abort();
    job.stream.reset();
    job.detached_at = SteadyClock::now();
  }
}

void Engine::FinishDecode(DecodeJob& job) {
  if (job.stream) {
    job.stream->WriteChunk(
        "data: " + Json{{"done", true}, {"n", job.next_token}}.dump() + "\n\n");
    job.stream->FinishChunks();
  }
}

void Engine::ResumeDecode(const ServerRequest& request, const Stream& stream) {
  std::string id(request.Query("request_id"));
  int64_t offset = std::atoll(std::string(request.Query("offset")).c_str());
  if (auto it = ended_streams_.find(id); it != ended_streams_.end()) {
    DecodeJob job = it->second.second;
    job.stream = stream;
    job.first_sent_token = offset;
    stream->StartChunks(200, "text/event-stream");
    for (int64_t i = offset; i < job.next_token; ++i) {
      EmitToken(job, i);
    }
    FinishDecode(job);
    return;
  }
  auto it = active_decodes_.find(id);
  if (it == active_decodes_.end() || !it->second->kv_loaded ||
      offset > it->second->next_token) {
    Reply(stream, 404, Json{{"error", "no such stream"}});
    return;
  }
  DecodeJob& job = *it->second;
  job.stream = stream;
  job.connection_id = request.connection_id;
  job.first_sent_token = offset;
  stream->StartChunks(200, "text/event-stream");
  for (int64_t i = offset; i < job.next_token && job.stream; ++i) {
    EmitToken(job, i);
  }
}

void Engine::Cancel(const std::string& request_id) {
  ++cancel_count_;
  prefill_queue_.remove_if(
      [&](const PrefillJob& job) { return job.request_id == request_id; });
  if (active_prefill_ && active_prefill_->request_id == request_id) {
    prefill_timer_.cancel();
    prefill_ms_wasted_ += active_prefill_ms_;
    active_prefill_.reset();
    StartNextPrefill();
  }
  std::erase_if(kv_entries_, [&](const auto& entry) {
    bool matches = entry.second.request_id == request_id;
    if (matches) {
      prefill_ms_wasted_ += static_cast<double>(entry.second.tokens) *
                            options_.prefill_us_per_token / 1000;
    }
    return matches;
  });
  decode_queue_.remove_if(
      [&](const auto& job) { return job->request_id == request_id; });
  if (auto it = active_decodes_.find(request_id); it != active_decodes_.end()) {
    client_.Cancel(it->second->transfer);
    active_decodes_.erase(it);
    AdmitDecode();
  }
  ended_streams_.erase(request_id);
}

void Engine::ApplyOrder(const ServerRequest& request, const Stream& stream) {
  Json body = ReadBody(request);
  uint64_t fencing_token = body.value("fencing", uint64_t{0});
  if (options_.check_fencing && fencing_token < highest_fencing_token_) {
    Reply(stream, 409,
          Json{{"error", "old fencing number"},
               {"fencing", highest_fencing_token_}});
    return;
  }
  highest_fencing_token_ = std::max(highest_fencing_token_, fencing_token);
  ++order_count_;
  options_.model = body.value("model", options_.model);
  options_.version = body.value("version", options_.version);
  options_.role = body.value("role", options_.role);
  order_log_.push_back(Json{{"fencing", fencing_token},
                            {"holder", body.value("holder", "")},
                            {"version", options_.version},
                            {"role", options_.role}});
  Reply(stream, 200, Json{{"version", options_.version}});
}

void Engine::SetBehavior(const Json& body) {
  slowdown_factor_ = body.value("slow", slowdown_factor_);
  stall_transfers_ = body.value("stall_transfers", stall_transfers_);
  if (!stall_transfers_) {
    // Dropping the streams closes their connections.
    stalled_transfers_.clear();
  }
  repeat_tokens_ = body.value("repeat_tokens", repeat_tokens_);
  reorder_tokens_ = body.value("reorder_tokens", reorder_tokens_);
  abort_after_tokens_ = body.value("cut_after", abort_after_tokens_);
}

void Engine::RunHousekeeping() {
  TimePoint now = SteadyClock::now();
  std::erase_if(kv_entries_, [&](const auto& entry) {
    bool expired =
        entry.second.expires_at <= now && entry.second.exporting == 0;
    if (expired) {
      ++kv_expired_count_;
      prefill_ms_wasted_ += static_cast<double>(entry.second.tokens) *
                            options_.prefill_us_per_token / 1000;
    }
    return expired;
  });
  Duration detached_ttl = FromMillis(options_.detached_stream_ttl_ms);
  std::erase_if(active_decodes_, [&](const auto& entry) {
    return !entry.second->stream &&
           entry.second->detached_at + detached_ttl <= now;
  });
  std::erase_if(ended_streams_, [&](const auto& entry) {
    return entry.second.first + detached_ttl <= now;
  });
  AdmitDecode();
  reports_.push_back(LoadReport{
      now, Json{{"running", active_decodes_.size()},
                {"queued", prefill_queue_.size() + decode_queue_.size() +
                               (active_prefill_ ? 1 : 0)}}});
  while (reports_.size() > 1 &&
         now - reports_[1].at >= FromMillis(options_.report_lag_ms)) {
    reports_.pop_front();
  }
  housekeeping_timer_.expires_after(kHousekeepingInterval);
  housekeeping_timer_.async_wait(
      [this](const boost::system::error_code& error) {
        if (!error) {
          RunHousekeeping();
        }
      });
}

int RunEngine(int argc, char** argv) {
  cxxopts::Options parser("standin engine", "Simulated model engine");
  EngineOptions options;
  std::string listen;
  parser.add_options()("listen", "IP:port", cxxopts::value(listen))(
      "role", "prefill or decode", cxxopts::value(options.role))(
      "model", "model", cxxopts::value(options.model))(
      "version", "model version", cxxopts::value(options.version))(
      "slots", "decode slots", cxxopts::value(options.slots))(
      "gap-ms", "time between tokens, ms",
      cxxopts::value(options.token_gap_ms))(
      "prefill-us", "prefill time of a token, us",
      cxxopts::value(options.prefill_us_per_token))(
      "kv-life-ms", "TTL of a prefill result, ms",
      cxxopts::value(options.kv_ttl_ms))("link-mb", "link rate, MB/s",
                                         cxxopts::value(options.link_mb_per_s))(
      "cache-blocks", "prefix cache size, blocks",
      cxxopts::value(options.cache_blocks))(
      "report-lag-ms", "age of load reports, ms",
      cxxopts::value(options.report_lag_ms))(
      "detach-life-ms", "TTL of a stream without a reader, ms",
      cxxopts::value(options.detached_stream_ttl_ms))(
      "ignore-fencing", "accept orders with out-of-date fencing tokens")(
      "seed", "random seed", cxxopts::value(options.seed));
  auto parsed = parser.parse(argc, argv);
  options.check_fencing = parsed.count("ignore-fencing") == 0;
  boost::asio::io_context io(1);
  Engine engine(io, options);
  return RunServer(io, engine, listen);
}

}  // namespace mangoyoke::standin
