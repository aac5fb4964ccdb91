// Sending, reading and judging of the callers' requests.

#include "tests/support/steady_callers.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include "platform/wire_names.h"

namespace mangoyoke {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

// Callers reuse connections that were idle for up to this part of the limit.
constexpr double kIdleShare = 0.8;
// How far below that the callers of kNearIdleLimit stay at most.
constexpr Millis kIdleSpread{60};
constexpr Duration kListPeriod = Millis(500);
// Each fourth caller uses its instances for the longest TTL of the list.
constexpr Duration kLongListTtl = Seconds(5);
constexpr uint64_t kLongListShare = 4;
constexpr Duration kConnectTimeout = Seconds(1);
constexpr Duration kListTimeout = Seconds(1);
// An answer that comes still later is of no use.
constexpr Duration kLateMargin = Seconds(1);
constexpr Duration kLookInterval = Millis(25);
constexpr int kMaxBodyBytes = 2000;
constexpr int kPieces = 16;
constexpr int kPieceBytes = 300;
constexpr int kMinPieceGapMs = 100;
constexpr int kMaxPieceGapMs = 300;
constexpr int kMinThinkMs = 50;
constexpr int kMaxThinkMs = 250;

// What lies in the receive buffer of a socket.
enum class Inbound { kNothing, kBytes, kClosed };

Inbound Look(boost::beast::tcp_stream& stream) {
  char byte = 0;
  ssize_t peeked =
      recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (peeked > 0) {
    return Inbound::kBytes;
  }
  bool open = peeked < 0 && (errno == EAGAIN || errno == EINTR);
  return open ? Inbound::kNothing : Inbound::kClosed;
}

asio::ip::tcp::endpoint Loopback(int port) {
  return {asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)};
}

std::string Chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

bool PromisesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

const char* NameOf(SendingManner manner) {
  switch (manner) {
    case SendingManner::kKept:
      return "kept";
    case SendingManner::kNew:
      return "new";
    case SendingManner::kSlowBody:
      return "slow_body";
    case SendingManner::kSlowChunks:
      return "slow_chunks";
    case SendingManner::kNearIdleLimit:
      return "near_idle_limit";
  }
  return "";
}

const char* NameOf(CallerOutcome outcome) {
  switch (outcome) {
    case CallerOutcome::kServed:
      return "served";
    case CallerOutcome::kRefused:
      return "refused";
    case CallerOutcome::kError:
      return "error";
    case CallerOutcome::kNoAnswer:
      return "no_answer";
    case CallerOutcome::kCutAnswer:
      return "cut_answer";
    case CallerOutcome::kTooLate:
      return "too_late";
    case CallerOutcome::kWrongAnswer:
      return "wrong_answer";
  }
  return "";
}

SteadyCaller::SteadyCaller(asio::io_context& io,
                           const CallerKnowledge& knowledge,
                           const CallerGroup& group,
                           const std::string& name,
                           uint64_t seed,
                           std::vector<CallerRecord>& records)
    : io_(io),
      knowledge_(knowledge),
      group_(group),
      name_(name),
      random_(seed),
      records_(records),
      ports_ttl_(random_() % kLongListShare == 0 ? kLongListTtl : kListPeriod) {
}

bool SteadyCaller::KeepsConnection() const {
  return group_.manner != SendingManner::kNew;
}

bool SteadyCaller::InPieces() const {
  return group_.manner == SendingManner::kSlowBody ||
         group_.manner == SendingManner::kSlowChunks;
}

int SteadyCaller::Random(int from, int to) {
  return std::uniform_int_distribution<int>(from, to)(random_);
}

Duration SteadyCaller::ThinkTime() {
  if (group_.manner != SendingManner::kNearIdleLimit) {
    return Millis(Random(kMinThinkMs, kMaxThinkMs));
  }
  return FromMillis(kIdleShare * ToMillis(knowledge_.idle_limit)) -
         Millis(Random(1, static_cast<int>(kIdleSpread.count())));
}

// In short steps, since the callers may be told to stop meanwhile.
awaitable<void> SteadyCaller::Sleep(Duration time) {
  TimePoint end = SteadyClock::now() + time;
  asio::steady_timer timer(io_);
  ErrorCode error;
  while (!knowledge_.stopping && SteadyClock::now() < end) {
    timer.expires_at(
        std::min<TimePoint>(end, SteadyClock::now() + Millis(100)));
    co_await timer.async_wait(redirect_error(use_awaitable, error));
  }
}

void SteadyCaller::UpdatePorts() {
  TimePoint now = SteadyClock::now();
  if (ports_.empty() || now - ports_read_ >= ports_ttl_) {
    ports_ = knowledge_.ports;
    ports_read_ = now;
  }
}

bool SteadyCaller::ConnectionUsable() {
  if (!stream_ || !KeepsConnection()) {
    return false;
  }
  Duration idle = SteadyClock::now() - idle_since_;
  return ToMillis(idle) <= kIdleShare * ToMillis(knowledge_.idle_limit) &&
         Look(*stream_) == Inbound::kNothing;
}

awaitable<void> SteadyCaller::Connect() {
  stream_.reset();
  buffer_.clear();
  UpdatePorts();
  if (ports_.empty()) {
    co_return;
  }
  size_t at = random_() % ports_.size();
  port_ = ports_[at];
  auto stream = std::make_unique<boost::beast::tcp_stream>(io_);
  stream->expires_after(kConnectTimeout);
  ErrorCode error;
  asio::ip::tcp::endpoint endpoint = Loopback(port_);
  co_await stream->async_connect(endpoint,
                                 redirect_error(use_awaitable, error));
  if (error) {
    // The next try uses another instance.
    ports_.erase(ports_.begin() + static_cast<std::ptrdiff_t>(at));
    co_return;
  }
  stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
  stream_ = std::move(stream);
  requests_on_connection_ = 0;
}

awaitable<void> SteadyCaller::Run() {
  while (!knowledge_.stopping) {
    co_await Sleep(ThinkTime());
    if (knowledge_.stopping) {
      break;
    }
    if (!ConnectionUsable()) {
      co_await Connect();
    }
    if (stream_) {
      co_await SendRequest();
    }
  }
  stream_.reset();
}

std::string SteadyCaller::Head(size_t body_size) const {
  std::string head = "POST " + group_.prefix + "x HTTP/1.1\r\nHost: h\r\n" +
                     platform::kRequestIdHeader + ": " + record_.id + "\r\n" +
                     platform::kDeadlineHeader + ": " +
                     std::to_string(group_.deadline.count()) + "\r\n";
  if (group_.manner == SendingManner::kNew) {
    head += "Connection: close\r\n";
  }
  if (group_.manner == SendingManner::kSlowChunks) {
    return head + "Transfer-Encoding: chunked\r\n\r\n";
  }
  return head + "Content-Length: " + std::to_string(body_size) + "\r\n\r\n";
}

awaitable<void> SteadyCaller::SendRequest() {
  TimePoint now = SteadyClock::now();
  record_ = CallerRecord{};
  record_.id = name_ + "-" + std::to_string(++requests_);
  record_.group = &group_;
  record_.port = port_;
  record_.kept_connection = requests_on_connection_++ > 0;
  record_.idle = record_.kept_connection ? now - idle_since_ : Duration::zero();
  record_.begun = now;
  stream_->expires_never();
  if (InPieces()) {
    co_await SendPieces();
  } else {
    body_ = std::string(static_cast<size_t>(Random(0, kMaxBodyBytes)), 'b');
    std::string bytes = Head(body_.size()) + body_;
    ErrorCode error;
    co_await asio::async_write(*stream_, asio::buffer(bytes),
                               redirect_error(use_awaitable, error));
    if (!error) {
      record_.sent = SteadyClock::now();
    }
  }
  // Also after a failed write: an answer may have come before.
  co_await ReadAnswer();
  record_.ended = SteadyClock::now();
  idle_since_ = record_.ended;
  records_.push_back(record_);
}

// Stops where an answer comes early or the connection is closed.
awaitable<void> SteadyCaller::SendPieces() {
  bool chunked = group_.manner == SendingManner::kSlowChunks;
  body_ = std::string(static_cast<size_t>(kPieces * kPieceBytes), 'p');
  ErrorCode error;
  asio::steady_timer timer(io_);
  std::string bytes = Head(body_.size());
  for (int piece = 0; piece <= kPieces; ++piece) {
    if (piece > 0) {
      std::string data(kPieceBytes, 'p');
      bytes = chunked ? Chunk(data) : data;
    }
    if (chunked && piece == kPieces) {
      bytes += "0\r\n\r\n";
    }
    co_await asio::async_write(*stream_, asio::buffer(bytes),
                               redirect_error(use_awaitable, error));
    if (error) {
      co_return;
    }
    TimePoint next =
        SteadyClock::now() + Millis(Random(kMinPieceGapMs, kMaxPieceGapMs));
    while (piece < kPieces && SteadyClock::now() < next) {
      timer.expires_after(kLookInterval);
      co_await timer.async_wait(redirect_error(use_awaitable, error));
      if (Look(*stream_) != Inbound::kNothing) {
        co_return;
      }
    }
  }
  record_.sent = SteadyClock::now();
}

awaitable<void> SteadyCaller::ReadAnswer() {
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  ErrorCode error;
  stream_->expires_after(group_.deadline + kLateMargin);
  co_await http::async_read(*stream_, buffer_, parser,
                            redirect_error(use_awaitable, error));
  if (error) {
    record_.outcome = parser.got_some() ? CallerOutcome::kCutAnswer
                                        : CallerOutcome::kNoAnswer;
    if (error == boost::beast::error::timeout) {
      record_.outcome = CallerOutcome::kTooLate;
    }
    record_.detail = error.message();
    stream_.reset();
    co_return;
  }
  const auto& answer = parser.get();
  record_.status = static_cast<int>(answer.result_int());
  CheckAnswer(record_.status, std::string(answer[platform::kRequestIdHeader]),
              answer.find(platform::kResponseStampHeader) != answer.end(),
              answer.body());
  if (buffer_.size() > 0) {
    record_.outcome = CallerOutcome::kWrongAnswer;
    record_.detail = "bytes after the answer";
  }
  if (!parser.keep_alive() || buffer_.size() > 0) {
    stream_.reset();
  }
}

void SteadyCaller::CheckAnswer(int status,
                               const std::string& id,
                               bool stamped,
                               const std::string& body) {
  if (status == 200) {
    bool right = id == record_.id && stamped && body == ExpectedBody();
    record_.outcome =
        right ? CallerOutcome::kServed : CallerOutcome::kWrongAnswer;
    record_.detail = right ? "" : "got id " + id + " and " + body.substr(0, 60);
    return;
  }
  record_.outcome = PromisesNotExecuted(status) ? CallerOutcome::kRefused
                                                : CallerOutcome::kError;
  record_.detail = body;
}

std::string SteadyCaller::ExpectedBody() const {
  if (group_.events == 0) {
    return record_.id + "\n" + body_;
  }
  std::string events;
  for (int event = 1; event <= group_.events; ++event) {
    events += "id: " + std::to_string(event) + "\ndata: " + record_.id + "\n\n";
  }
  return events;
}

SteadyCallers::SteadyCallers(std::vector<CallerGroup> groups,
                             std::vector<int> list_ports,
                             Millis idle_limit,
                             uint64_t seed)
    : groups_(std::move(groups)), list_ports_(std::move(list_ports)) {
  knowledge_.idle_limit = idle_limit;
  std::mt19937_64 random(seed);
  for (const CallerGroup& group : groups_) {
    for (int i = 0; i < group.callers; ++i) {
      std::string name = "c" + std::to_string(callers_.size());
      callers_.push_back(std::make_unique<SteadyCaller>(
          io_, knowledge_, group, name, random(), records_));
    }
  }
}

SteadyCallers::~SteadyCallers() {
  Stop();
}

void SteadyCallers::Start() {
  asio::co_spawn(io_, FollowInstanceList(), asio::detached);
  for (const auto& caller : callers_) {
    asio::co_spawn(io_, caller->Run(), asio::detached);
  }
  thread_ = std::thread([this] { io_.run(); });
}

void SteadyCallers::SetIdleLimit(Millis limit) {
  asio::post(io_, [this, limit] { knowledge_.idle_limit = limit; });
}

const std::vector<CallerRecord>& SteadyCallers::Stop() {
  if (thread_.joinable()) {
    asio::post(io_, [this] { knowledge_.stopping = true; });
    thread_.join();
  }
  return records_;
}

awaitable<void> SteadyCallers::FollowInstanceList() {
  asio::steady_timer timer(io_);
  ErrorCode error;
  for (size_t next = 0; !knowledge_.stopping; ++next) {
    boost::beast::tcp_stream stream(io_);
    stream.expires_after(kListTimeout);
    asio::ip::tcp::endpoint endpoint =
        Loopback(list_ports_[next % list_ports_.size()]);
    co_await stream.async_connect(endpoint,
                                  redirect_error(use_awaitable, error));
    std::string request =
        "GET /v1/resolve?Name=h&Region=r&Zone=z HTTP/1.1\r\nHost: h\r\n\r\n";
    if (!error) {
      co_await asio::async_write(stream, asio::buffer(request),
                                 redirect_error(use_awaitable, error));
    }
    http::response<http::string_body> response;
    boost::beast::flat_buffer buffer;
    if (!error) {
      co_await http::async_read(stream, buffer, response,
                                redirect_error(use_awaitable, error));
    }
    auto list = nlohmann::json::parse(response.body(), nullptr, false);
    if (!error && list.is_object() && !list["Addresses"].empty()) {
      knowledge_.ports.clear();
      for (const std::string address : list["Addresses"]) {
        knowledge_.ports.push_back(
            std::stoi(address.substr(address.rfind(':') + 1)));
      }
    }
    timer.expires_after(kListPeriod);
    co_await timer.async_wait(redirect_error(use_awaitable, error));
  }
}

}  // namespace mangoyoke
