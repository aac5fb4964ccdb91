// Simulated LLM server (prefill or decode) for tests and benchmarks.
//
// It simulates:
//  - prefill of one prompt at a time, with a prefix cache;
//  - KV results that expire after a short TTL;
//  - KV transfer over a link of limited bandwidth;
//  - decode with continuous batching, cancel, and resume of streams;
//  - load reports that are out of date, and cache events that arrive late and
//    with gaps;
//  - orders (change of role or model) guarded by a fencing token.

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

// Settings of one simulated server, taken from the command line.
struct EngineOptions {
  std::string role = "prefill";
  std::string model = "assistant";
  int64_t version = 1;
  int64_t slots = 20;        // Requests decoded at the same time.
  double token_gap_ms = 20;  // Time between two tokens of a stream.
  double prefill_us_per_token = 200;
  int64_t kv_bytes_per_token = 100'000;
  double kv_ttl_ms = 800;       // TTL of a prefill result that is not exported.
  double link_mb_per_s = 1000;  // Bandwidth for KV exports, in MB/s.
  size_t cache_blocks = 64;     // Size of the prefix cache.
  double report_lag_ms = 500;   // Age of the load report that is served.
  double event_lag_ms = 300;    // Delay until a cache event is visible.
  int event_drop_percent = 5;   // Share of cache events that are lost.
  // How long a stream without a reader, or an ended one, can be resumed.
  double detached_stream_ttl_ms = 4000;
  bool check_fencing = true;  // Reject orders with an old fencing token.
  uint64_t seed = 1;
};

// The simulated server. Runs on the thread of its io_context only.
class Engine : public ServerRequestHandler {
 public:
  Engine(boost::asio::io_context& io, EngineOptions options);

  void OnRequest(ServerRequest request,
                 std::shared_ptr<ResponseStream> stream) override;
  void OnDisconnect(uint64_t connection_id) override;

 private:
  using Stream = std::shared_ptr<ResponseStream>;

  // A prompt that waits for prefill or is being prefilled.
  struct PrefillJob {
    std::string request_id;
    std::string owner;
    std::string prompt;
    int priority = 1;
    uint64_t connection_id = 0;
    Stream stream;
  };
  // The KV cache of a prefilled prompt, kept until exported or expired.
  struct KvEntry {
    std::string request_id;
    std::string owner;
    uint64_t prompt_hash = 0;
    int64_t tokens = 0;
    int exporting = 0;  // Exports started; above 0 it does not expire.
    TimePoint expires_at;
  };
  // A decode request.
  struct DecodeJob {
    std::string request_id;
    std::string owner;
    std::string kv_source;
    std::string kv_handle;
    uint64_t prompt_hash = 0;
    int64_t tokens = 0;            // Prompt tokens.
    int64_t next_token = 0;        // Index of the next token to produce.
    int64_t first_sent_token = 0;  // Index of the reader's first token.
    int64_t max_tokens = 0;
    bool kv_loaded = false;  // The KV cache has been imported.
    uint64_t connection_id = 0;
    Stream stream;            // Null while detached (without a reader).
    TimePoint detached_at;    // When the reader disconnected.
    TransferId transfer = 0;  // The HTTP request that imports the KV cache.
  };
  // A snapshot of the load, kept until it is old enough to be served.
  struct LoadReport {
    TimePoint at;
    Json report;
  };

  void StartPrefill(const ServerRequest& request, const Stream& stream);
  // Starts the prefill of the next queued prompt unless one is in progress.
  void StartNextPrefill();
  void FinishPrefill();
  void StartDecode(const ServerRequest& request, const Stream& stream);
  // Moves queued decode requests into free slots.
  void AdmitDecode();
  // Fetches the KV cache of `job` from the prefill server that holds it.
  void ImportKv(const std::shared_ptr<DecodeJob>& job);
  void FailDecode(const std::string& id, int status, const std::string& reason);
  void ExportKv(const ServerRequest& request, const Stream& stream);
  void ResumeDecode(const ServerRequest& request, const Stream& stream);
  void Cancel(const std::string& request_id);
  // Produces one token for every active decode request whose KV cache is
  // loaded, then schedules the next step.
  void RunDecodeStep();
  // Sends token `index` to the reader, if any, with the faults switched on.
  void EmitToken(DecodeJob& job, int64_t index);
  void FinishDecode(DecodeJob& job);
  // Changes role, model or version unless the fencing token is out of date.
  void ApplyOrder(const ServerRequest& request, const Stream& stream);
  // Sets the fault switches named in `body`; the others keep their value.
  void SetBehavior(const Json& body);
  // Drops expired KV results and streams and records a load report.
  void RunHousekeeping();
  // Marks the blocks as most recently used; adds missing ones and evicts the
  // oldest above the cache size.
  void TouchCacheBlocks(const std::vector<uint64_t>& hashes);
  // Length of the cached prefix, in tokens.
  int64_t CachedTokens(const std::vector<uint64_t>& hashes) const;
  // Records a cache event; a share of them is dropped, which leaves a gap.
  void AddEvent(const char* operation, uint64_t hash);
  Json State() const;
  Json Load() const;
  // Cache events with a sequence number above `after` that are visible now.
  Json Events(int64_t after) const;
  Json Stats() const;
  // Tokens whose KV cache is held here, for prefill results and decode.
  double KvHeldTokens() const;

  boost::asio::io_context& io_;
  EngineOptions options_;
  HttpClient client_;
  std::mt19937_64 random_engine_;
  boost::asio::steady_timer prefill_timer_;
  boost::asio::steady_timer step_timer_;
  boost::asio::steady_timer housekeeping_timer_;
  TimePoint next_step_;

  std::list<PrefillJob> prefill_queue_;
  std::unique_ptr<PrefillJob> active_prefill_;
  double active_prefill_ms_ = 0;
  std::map<std::string, KvEntry> kv_entries_;
  std::list<std::shared_ptr<DecodeJob>> decode_queue_;
  std::map<std::string, std::shared_ptr<DecodeJob>> active_decodes_;
  // Ended streams that can still be resumed to read the rest, with the time
  // of their end.
  std::map<std::string, std::pair<TimePoint, DecodeJob>> ended_streams_;
  TimePoint link_free_at_;  // When the KV exports so far are transferred.

  std::list<uint64_t> cache_;  // Block hashes, least recently used first.
  struct CacheEvent {
    int64_t sequence;
    TimePoint at;
    std::string operation;
    uint64_t hash;
  };
  std::deque<CacheEvent> events_;
  int64_t last_event_sequence_ = 0;
  std::deque<LoadReport> reports_;

  uint64_t highest_fencing_token_ = 0;  // Highest one received.
  uint64_t order_count_ = 0;
  Json order_log_ = Json::array();

  // Fault switches, set by tests through /admin/behavior.
  double slowdown_factor_ = 1;    // Multiplies the duration of all work.
  bool stall_transfers_ = false;  // Do not respond to KV exports.
  // KV exports left without a response.
  std::vector<Stream> stalled_transfers_;
  bool repeat_tokens_ = false;      // Send each token twice.
  bool reorder_tokens_ = false;     // Send some tokens early.
  int64_t abort_after_tokens_ = 0;  // Abort the connection after so many
                                    // tokens; 0: never.

  // Counters since the start of the process.
  double prefill_ms_done_ = 0;
  double prefill_ms_wasted_ = 0;
  uint64_t prefill_count_ = 0;
  uint64_t kv_expired_count_ = 0;
  uint64_t token_count_ = 0;
  uint64_t cancel_count_ = 0;
  size_t peak_queue_ = 0;
};

}  // namespace mangoyoke::standin

#endif  // MANGOYOKE_STANDINS_ENGINE_H_
