// Simulated platform: the transactional table store and the list of instances,
// with injected faults (outage, slow responses, lost responses, stale reads).

#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <map>

#include "standin_server.h"

namespace mangoyoke::standin {
namespace {

struct Row {
  std::string value;
  int64_t version = 0;
};

// A table of rows, ordered by key.
using Table = std::map<std::string, Row>;

// Serves the store and the list of instances, with the faults set by tests.
class Platform : public ServerRequestHandler {
 public:
  explicit Platform(boost::asio::io_context& io) : io_(io) {}

  void OnRequest(ServerRequest request,
                 std::shared_ptr<ResponseStream> stream) override {
    if (request.path == "/admin/behavior") {
      SetBehavior(ReadBody(request));
      Reply(stream, 200, Json::object());
      return;
    }
    if (request.path == "/admin/instances") {
      instances_ = ReadBody(request).value("instances", Json::array());
      Reply(stream, 200, Json::object());
      return;
    }
    if (request.path == "/admin/stats") {
      Reply(stream, 200, Json{{"reads", reads_}, {"writes", writes_}});
      return;
    }
    if (outage_) {
      return;  // Dropping the stream closes the connection.
    }
    if (slow_ms_ <= 0) {
      Serve(request, stream);
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(io_);
    timer->expires_after(FromMillis(slow_ms_));
    timer->async_wait(
        [this, timer, request = std::move(request),
         stream](const boost::system::error_code&) { Serve(request, stream); });
  }

  void OnDisconnect(uint64_t) override {}

 private:
  static constexpr std::string_view kTablesPrefix = "/tables/";

  void Serve(const ServerRequest& request,
             const std::shared_ptr<ResponseStream>& stream) {
    if (request.path == "/instances") {
      Reply(stream, 200, Json{{"instances", instances_}});
      return;
    }
    if (!request.path.starts_with(kTablesPrefix)) {
      Reply(stream, 404, Json{{"error", "unknown path"}});
      return;
    }
    std::string rest = request.path.substr(kTablesPrefix.size());
    size_t slash = rest.find('/');
    std::string table = rest.substr(0, slash);
    std::string key = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (request.method == "PUT") {
      Write(table, key, ReadBody(request), stream);
    } else if (key.empty()) {
      ReadLast(table, stream);
    } else {
      Read(table, key, stream);
    }
  }

  void Read(const std::string& table,
            const std::string& key,
            const std::shared_ptr<ResponseStream>& stream) {
    ++reads_;
    const Table& rows = ReadableTable(table);
    auto it = rows.find(key);
    if (it == rows.end()) {
      Reply(stream, 404, Json{{"error", "no such row"}});
      return;
    }
    Reply(stream, 200, RowToJson(key, it->second));
  }

  // Returns the row with the greatest key.
  void ReadLast(const std::string& table,
                const std::shared_ptr<ResponseStream>& stream) {
    ++reads_;
    const Table& rows = ReadableTable(table);
    if (rows.empty()) {
      Reply(stream, 404, Json{{"error", "empty table"}});
      return;
    }
    Reply(stream, 200, RowToJson(rows.rbegin()->first, rows.rbegin()->second));
  }

  // Writes the row if its version is the expected one, else responds 409. An
  // expected version of 0 means that the row must not exist.
  void Write(const std::string& table,
             const std::string& key,
             const Json& body,
             const std::shared_ptr<ResponseStream>& stream) {
    ++writes_;
    Table& rows = tables_[table];
    auto it = rows.find(key);
    int64_t current = it == rows.end() ? 0 : it->second.version;
    if (body.value("expected_version", int64_t{0}) != current) {
      Reply(stream, 409, RowToJson(key, current == 0 ? Row{} : it->second));
      return;
    }
    rows[key] = Row{body.value("value", ""), current + 1};
    if (lose_replies_ > 0) {
      --lose_replies_;
      if (outage_after_lost_) {
        outage_ = true;
      }
      stream->Abort();  // The write took effect; the response is lost.
      return;
    }
    if (outage_after_write_) {
      outage_ = true;
    }
    Reply(stream, 200, RowToJson(key, rows[key]));
  }

  static Json RowToJson(const std::string& key, const Row& row) {
    return Json{{"key", key}, {"value", row.value}, {"version", row.version}};
  }

  // The table as reads see it: current, or the snapshot if stale reads are on.
  const Table& ReadableTable(const std::string& table) {
    return old_reads_ ? snapshot_[table] : tables_[table];
  }

  void SetBehavior(const Json& body) {
    outage_ = body.value("outage", outage_);
    slow_ms_ = body.value("slow_ms", slow_ms_);
    lose_replies_ = body.value("lose_replies", lose_replies_);
    outage_after_lost_ = body.value("outage_after_lost", outage_after_lost_);
    outage_after_write_ = body.value("outage_after_write", outage_after_write_);
    old_reads_ = body.value("old_reads", old_reads_);
    if (body.value("remember", false)) {
      snapshot_ = tables_;  // What stale reads return.
    }
  }

  boost::asio::io_context& io_;
  std::map<std::string, Table> tables_;
  std::map<std::string, Table> snapshot_;
  Json instances_ = Json::array();
  // Fault switches, set through /admin/behavior.
  bool outage_ = false;              // Close each connection, no response.
  bool outage_after_lost_ = false;   // Outage after the next lost response.
  bool outage_after_write_ = false;  // Outage after the next write.
  bool old_reads_ = false;           // Read from `snapshot_`.
  double slow_ms_ = 0;               // Delay before each request is served.
  int64_t lose_replies_ = 0;         // Writes to come whose response is lost.
  int64_t reads_ = 0;
  int64_t writes_ = 0;
};

}  // namespace

int RunPlatform(int argc, char** argv) {
  cxxopts::Options parser("standin platform", "Simulated platform");
  std::string listen;
  parser.add_options()("listen", "IP:port", cxxopts::value(listen));
  parser.parse(argc, argv);
  boost::asio::io_context io(1);
  Platform platform(io);
  return RunServer(io, platform, listen);
}

}  // namespace mangoyoke::standin
