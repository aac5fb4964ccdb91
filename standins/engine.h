// Stand-in for a model engine: prefill, KV cache with a short life, transfer
// over a link of limited rate, continuous batching in decode, cancel, resume,
// lagged load reports, late and gapped cache events, orders with fencing.

#ifndef MANGOYOKE_STANDINS_ENGINE_H_
#define MANGOYOKE_STANDINS_ENGINE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "http/http_client.h"
#include "standin_server.h"

namespace mangoyoke::standin {

struct EngineOptions {
  std::string role = "prefill";
  std::string model = "assistant";
  int64_t version = 1;
  int64_t slots = 20;
  double token_gap_ms = 20;
  double prefill_us_per_token = 200;
  int64_t kv_bytes_per_token = 100'000;
  double kv_life_ms = 800;
  double link_mb_per_s = 1000;
  size_t cache_blocks = 64;
  double report_lag_ms = 500;
  double event_lag_ms = 300;
  int event_drop_percent = 5;
  double detach_life_ms = 4000;  // A stream without a reader is kept so long.
  bool checks_fencing = true;
  uint64_t seed = 1;
};

class Engine : public ServerRequestHandler {
 public:
  Engine(boost::asio::io_context& io, EngineOptions options);

  void OnRequest(ServerRequest request,
                 std::shared_ptr<ResponseStream> stream) override;
  void OnDisconnect(uint64_t connection_id) override;

 private:
  using Stream = std::shared_ptr<ResponseStream>;

  // A prompt waiting for or in prefill.
  struct PrefillJob {
    std::string request_id;
    std::string owner;
    std::string prompt;
    int priority = 1;
    uint64_t connection_id = 0;
    Stream stream;
  };
  // A prefill result, until exported or expired.
  struct KvEntry {
    std::string request_id;
    std::string owner;
    uint64_t prompt_hash = 0;
    int64_t tokens = 0;
    int exporting = 0;
    TimePoint expires;
  };
  // A decode request.
  struct DecodeJob {
    std::string request_id;
    std::string owner;
    std::string source;
    std::string handle;
    uint64_t prompt_hash = 0;
    int64_t tokens = 0;  // Of the prompt.
    int64_t next = 0;    // Next token to produce.
    int64_t first = 0;   // Where the reader started.
    int64_t max_tokens = 0;
    bool loaded = false;  // The KV cache has arrived.
    uint64_t connection_id = 0;
    Stream stream;  // Null while detached.
    TimePoint detached;
    TransferId transfer = 0;
  };
  struct LoadReport {
    TimePoint at;
    Json report;
  };

  void StartPrefill(const ServerRequest& request, const Stream& stream);
  void RunNextPrefill();
  void FinishPrefill();
  void StartDecode(const ServerRequest& request, const Stream& stream);
  void AdmitDecode();
  void ImportKv(const std::shared_ptr<DecodeJob>& job);
  void FailDecode(const std::string& id, int status, const std::string& why);
  void ExportKv(const ServerRequest& request, const Stream& stream);
  void ResumeDecode(const ServerRequest& request, const Stream& stream);
  void Cancel(const std::string& request_id);
  void Step();
  void EmitToken(DecodeJob& job, int64_t index);
  void FinishDecode(DecodeJob& job);
  void TakeOrder(const ServerRequest& request, const Stream& stream);
  void SetBehavior(const Json& body);
  void Housekeep();
  void Touch(const std::vector<uint64_t>& hashes);
  int64_t CachedTokens(const std::vector<uint64_t>& hashes) const;
  void AddEvent(const char* operation, uint64_t hash);
  Json State() const;
  Json Load() const;
  Json Events(int64_t after) const;
  Json Stats() const;
  double KvHeldTokens() const;

  boost::asio::io_context& io_;
  EngineOptions options_;
  HttpClient client_;
  std::mt19937_64 random_;
  boost::asio::steady_timer prefill_timer_;
  boost::asio::steady_timer step_timer_;
  boost::asio::steady_timer housekeeping_timer_;
  TimePoint next_step_;

  std::list<PrefillJob> prefill_queue_;
  std::unique_ptr<PrefillJob> prefilling_;
  double prefilling_ms_ = 0;
  std::map<std::string, KvEntry> kv_;
  std::list<std::shared_ptr<DecodeJob>> decode_queue_;
  std::map<std::string, std::shared_ptr<DecodeJob>> running_;
  // Ended streams that a caller may still resume to read the rest.
  std::map<std::string, std::pair<TimePoint, DecodeJob>> ended_;
  TimePoint link_free_;

  std::list<uint64_t> cache_;  // Block hashes, oldest first.
  struct CacheEvent {
    int64_t sequence;
    TimePoint at;
    std::string operation;
    uint64_t hash;
  };
  std::deque<CacheEvent> events_;
  int64_t last_event_ = 0;
  std::deque<LoadReport> reports_;

  uint64_t fencing_ = 0;  // Highest fencing number seen.
  uint64_t orders_ = 0;
  Json order_log_ = Json::array();

  // Switches set by tests.
  double slow_ = 1;
  bool stall_transfers_ = false;
  std::vector<Stream> stalled_;  // Transfers that never answer.
  bool repeat_tokens_ = false;
  bool reorder_tokens_ = false;
  int64_t cut_after_ = 0;  // Tokens until the connection is cut, 0 for never.

  // Counters of the whole run.
  double prefill_ms_done_ = 0;
  double prefill_ms_wasted_ = 0;
  uint64_t prefills_ = 0;
  uint64_t kv_expired_ = 0;
  uint64_t tokens_ = 0;
  uint64_t cancels_ = 0;
  size_t peak_queue_ = 0;
};

}  // namespace mangoyoke::standin

#endif  // MANGOYOKE_STANDINS_ENGINE_H_
