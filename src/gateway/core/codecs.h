// What the core needs from the surroundings it runs in, as abstract
// interfaces: how callers' requests, backend calls and the store's calls look
// on the wire. The folder platform/ implements them; tests implement their own.

#ifndef MANGOYOKE_GATEWAY_CORE_CODECS_H_
#define MANGOYOKE_GATEWAY_CORE_CODECS_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/core/backend_registry.h"
#include "gateway/core/backend_server.h"
#include "gateway/core/serving_config.h"
#include "mangoyoke/clock.h"
#include "mangoyoke/error.h"

namespace mangoyoke {

namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// What a caller's request says of itself. Decoded once.
struct CallerRequest {
  std::string id;  // Of this try of the caller; empty if it sent none.
  std::string method;
  std::string target;  // Path and query as sent.
  std::string path;    // Without the query.
  std::string host;
  std::optional<Millis> timeout;  // How long the caller waits.
  std::string model;              // Empty: not for a model.
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::string
      resume_after;  // Last event the caller has; empty: from the start.

  bool operator==(const CallerRequest&) const = default;
};

// Memory of a read prompt, kept at a prefill server.
struct PrefillHandle {
  BackendId server;
  std::string address;  // Of that server, "IP:port".
  std::string handle;
  int64_t tokens = 0;

  bool operator==(const PrefillHandle&) const = default;
};

// Room reserved at a decode server: a slot and memory.
struct KvReservation {
  BackendId server;
  std::string address;  // Of that server, "IP:port".
  std::string id;

  bool operator==(const KvReservation&) const = default;
};

// How a request is sent to a backend server.
struct BackendRequestOptions {
  const BackendServer* server = nullptr;
  bool prefill_only = false;                    // Read the prompt, do not run.
  std::optional<PrefillHandle> kv_source;       // Take the prompt from here.
  std::optional<KvReservation> kv_reservation;  // Use this reservation.
  std::optional<std::string> resume_after;      // In place of the caller's own.
  Millis timeout{0};
};

// What the head of a backend server's answer says.
struct BackendResponse {
  unsigned status = 0;
  std::string request_id;  // Echo; empty if absent.
  bool not_executed =
      false;  // The server vouches that the request did not run.
  bool wrong_server = false;  // Another incarnation has the address.
  bool event_stream = false;
};

// Requests and answers of callers.
class CallerCodec {
 public:
  virtual ~CallerCodec() = default;
  virtual CallerRequest DecodeRequest(const HttpRequest& request) const = 0;
  // A final answer of the entry's own. `retry_after` only when it may help.
  virtual HttpResponse EncodeErrorResponse(
      const Error& error,
      std::optional<Duration> retry_after) const = 0;
  // Whether `request` asks which entries to use.
  virtual bool IsInstanceListRequest(const HttpRequest& request) const = 0;
  virtual bool IsReadinessRequest(const HttpRequest& request) const = 0;
  virtual HttpResponse EncodeInstanceList(
      const std::vector<std::string>& addresses,
      Duration time_to_live) const = 0;
};

// Requests to backend servers and their answers.
class BackendCodec {
 public:
  virtual ~BackendCodec() = default;
  virtual HttpRequest EncodeRequest(
      const HttpRequest& original,
      const CallerRequest& caller_request,
      const BackendRequestOptions& call) const = 0;
  virtual BackendResponse DecodeResponse(
      const http::response_header<>& head) const = 0;
  // The caller's answer to `head`: without what concerns one connection.
  virtual http::response_header<> EncodeResponseHead(
      const http::response_header<>& head) const = 0;
  virtual Result<PrefillHandle> DecodePrefill(
      const BackendServer& server,
      const std::string& body) const = 0;
  // Frees the memory behind `handle`.
  virtual HttpRequest EncodeHandleRelease(
      const PrefillHandle& handle) const = 0;
  // Reserves room for `tokens` at `server` for `life`.
  virtual HttpRequest EncodeReserve(const BackendServer& server,
                                    int64_t tokens,
                                    Millis life) const = 0;
  virtual Result<KvReservation> DecodeReservation(
      const BackendServer& server,
      const std::string& body) const = 0;
  // Gives the room behind `reservation` back.
  virtual HttpRequest EncodeReservationRelease(
      const KvReservation& reservation) const = 0;
};

// Rows of one table of the store.
struct StoreRow {
  std::string key;
  std::optional<std::string> value;  // Absent: the row was deleted.
};

struct StoreRows {
  std::vector<StoreRow> rows;
  uint64_t version = 0;  // Of the store, as of this answer.
  bool more = false;     // Further keys follow the last row.
};

// Calls to the store.
class StoreCodec {
 public:
  virtual ~StoreCodec() = default;
  // Rows of `table` from key `from` on.
  virtual HttpRequest EncodeRead(const std::string& table,
                                 const std::string& from) const = 0;
  // Changes of `table` after `version`; the store waits for one up to `wait`.
  virtual HttpRequest EncodeWatch(const std::string& table,
                                  uint64_t version,
                                  Millis wait) const = 0;
  virtual Result<StoreRows> DecodeRows(const std::string& body) const = 0;
  // Whether the answer says that the asked history is no longer kept.
  virtual bool HistoryGone(const http::response_header<>& head) const = 0;

  virtual std::string ConfigTable() const = 0;
  virtual std::string ServerTable() const = 0;
  // The configuration in a row of the configuration table, if it is one.
  virtual Result<ServingConfig> DecodeConfig(const StoreRow& row) const = 0;
  // The server in a row of the server table; none if it names no server.
  virtual std::optional<BackendServer> DecodeServer(
      const StoreRow& row) const = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_CODECS_H_
