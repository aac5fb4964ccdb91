// Stand-in for the platform: the transactional table service, the lagging
// list of instances, and their faults (outage, slow, lost replies, old reads).

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
      return;  // Dropping the stream cuts the connection.
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
  static constexpr std::string_view kTables = "/tables/";

  void Serve(const ServerRequest& request,
             const std::shared_ptr<ResponseStream>& stream) {
    if (request.path == "/instances") {
      Reply(stream, 200, Json{{"instances", instances_}});
      return;
    }
    if (!request.path.starts_with(kTables)) {
      Reply(stream, 404, Json{{"error", "unknown path"}});
      return;
    }
    std::string rest = request.path.substr(kTables.size());
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
    const Table& rows = View(table);
    auto it = rows.find(key);
    if (it == rows.end()) {
      Reply(stream, 404, Json{{"error", "no such row"}});
      return;
    }
    Reply(stream, 200, Describe(key, it->second));
  }

  void ReadLast(const std::string& table,
                const std::shared_ptr<ResponseStream>& stream) {
    ++reads_;
    const Table& rows = View(table);
    if (rows.empty()) {
      Reply(stream, 404, Json{{"error", "empty table"}});
      return;
    }
    Reply(stream, 200, Describe(rows.rbegin()->first, rows.rbegin()->second));
  }

  // Writes if the row has the expected version; 0 means it must not exist.
  void Write(const std::string& table,
             const std::string& key,
             const Json& body,
             const std::shared_ptr<ResponseStream>& stream) {
    ++writes_;
    Table& rows = tables_[table];
    auto it = rows.find(key);
    int64_t current = it == rows.end() ? 0 : it->second.version;
    if (body.value("expected_version", int64_t{0}) != current) {
      Reply(stream, 409, Describe(key, current == 0 ? Row{} : it->second));
      return;
    }
    rows[key] = Row{body.value("value", ""), current + 1};
    if (lose_replies_ > 0) {
      --lose_replies_;
      if (outage_after_lost_) {
        outage_ = true;
      }
      stream->Abort();  // The write took effect; the reply is lost.
      return;
    }
    if (outage_after_write_) {
      outage_ = true;
    }
    Reply(stream, 200, Describe(key, rows[key]));
  }

  static Json Describe(const std::string& key, const Row& row) {
    return Json{{"key", key}, {"value", row.value}, {"version", row.version}};
  }

  const Table& View(const std::string& table) {
    return old_reads_ ? old_tables_[table] : tables_[table];
  }

  void SetBehavior(const Json& body) {
    outage_ = body.value("outage", outage_);
    slow_ms_ = body.value("slow_ms", slow_ms_);
    lose_replies_ = body.value("lose_replies", lose_replies_);
    outage_after_lost_ = body.value("outage_after_lost", outage_after_lost_);
    outage_after_write_ = body.value("outage_after_write", outage_after_write_);
    old_reads_ = body.value("old_reads", old_reads_);
    if (body.value("remember", false)) {
      old_tables_ = tables_;  // What old reads will answer.
    }
  }

  boost::asio::io_context& io_;
  std::map<std::string, Table> tables_;
  std::map<std::string, Table> old_tables_;
  Json instances_ = Json::array();
  bool outage_ = false;
  bool outage_after_lost_ = false;
  bool outage_after_write_ = false;
  bool old_reads_ = false;
  double slow_ms_ = 0;
  int64_t lose_replies_ = 0;
  int64_t reads_ = 0;
  int64_t writes_ = 0;
};

}  // namespace

int RunPlatform(int argc, char** argv) {
  cxxopts::Options parser("standin platform", "Stand-in for the platform");
  std::string listen;
  parser.add_options()("listen", "IP:port", cxxopts::value(listen));
  parser.parse(argc, argv);
  boost::asio::io_context io(1);
  Platform platform(io);
  return RunServer(io, platform, listen);
}

}  // namespace mangoyoke::standin
