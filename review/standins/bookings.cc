// Servers, clients and the check.

#include "review/standins/bookings.h"

#include <optional>
#include <utility>

namespace review {
namespace {

constexpr int kSlots = 6;
constexpr Millis kWork{150};
constexpr int kDeadlineMs = 4000;
constexpr int kTimeoutMs = 2000;
constexpr int kTargetLatencyMs = 300;
constexpr Millis kAnswerTimeout{kDeadlineMs + 1000};
constexpr Millis kConnectTimeout{1000};
constexpr size_t kAnswerBytes = 800;

}  // namespace

void Bookings::AddServers(int count, Fault fault) {
  for (int i = 1; i <= count; ++i) {
    std::string id = "sound-" + std::to_string(i);
    trial_.AddServer(id, kBookings, "", kSlots,
                     [this, id](TcpStream& stream, const HttpMessage& request) {
                       return Serve(stream, request, id);
                     });
  }
  if (fault) {
    trial_.AddServer("faulty", kBookings, "", kSlots,
                     [this, fault = std::move(fault)](
                         TcpStream& stream, const HttpMessage& request) {
                       auto open = fault(stream, request);
                       return open ? *open : Serve(stream, request, "");
                     });
  }
}

bool Bookings::Serve(TcpStream& stream,
                     const HttpMessage& request,
                     const std::string& server) {
  std::string id = request.Field(kRequestId);
  if (!server.empty()) {
    std::lock_guard lock(mutex_);
    server_of_[id] = server;
  }
  std::this_thread::sleep_for(kWork);
  return stream.Send(MakeResponse(200, {{kRequestId, id}, {kStamp, "stamp"}},
                                  std::string(kAnswerBytes, 'b')));
}

void Bookings::Start(int clients,
                     const nlohmann::json& more_routes,
                     const nlohmann::json& more_services) {
  nlohmann::json routes = more_routes;
  routes.push_back(MakeRoute("booking", "/book/", kBookings, "non_idempotent",
                             kTimeoutMs, kTargetLatencyMs));
  nlohmann::json services = more_services;
  services.push_back({{"Name", kBookings}, {"MaxConnections", 110}});
  trial_.Start(routes, services);
  for (size_t gateway = 0; gateway < trial_.gateways(); ++gateway) {
    for (int client = 0; client < clients; ++client) {
      clients_.emplace_back(
          [this, gateway, client] { RunClient(gateway, client); });
    }
  }
}

void Bookings::RunClient(size_t gateway, int client) {
  auto stream = TcpStream::Connect(trial_.CallersOf(gateway), kConnectTimeout);
  for (int number = 0; stream && !stop_; ++number) {
    std::string id = "g" + std::to_string(gateway + 1) + "-c" +
                     std::to_string(client) + "-" + std::to_string(number);
    std::string request = MakeRequestHead("POST", kBookingPath, id, kDeadlineMs,
                                          "Content-Length: 2\r\n\r\nhi");
    bool sent = stream->Send(request);
    HttpMessage response;
    ReadEnd end = sent ? ReadMessage(*stream, response, kAnswerTimeout)
                       : ReadEnd::kClosed;
    std::lock_guard lock(mutex_);
    ++sent_;
    if (end == ReadEnd::kDone) {
      ++answers_[response.Status()];
      if (response.Field("Connection") == "close") {
        return;
      }
    } else if (end == ReadEnd::kTimeout) {
      ++timeouts_;
      return;
    } else {
      // Part of an answer is none in the protocol, but this rule is about
      // connections that are closed without one.
      bool no_answer = end == ReadEnd::kClosed && response.start_line.empty() &&
                       stream->buffer().empty();
      if (number > 0 && sent && no_answer) {
        unanswered_.push_back(Unanswered{id, gateway});
      }
      trial_.record().Write("client of front-" + std::to_string(gateway + 1) +
                            ": request " + id +
                            " ended: " + std::string(ReadEndName(end)));
      return;
    }
  }
}

void Bookings::EndAndJudge() {
  stop_ = true;
  for (std::thread& client : clients_) {
    client.join();
  }
  std::lock_guard lock(mutex_);
  std::string line = "sent " + std::to_string(sent_) + ", answered";
  for (const auto& [status, count] : answers_) {
    line += " " + std::to_string(status) + ": " + std::to_string(count);
  }
  trial_.record().Write(line + ", without an answer in time " +
                        std::to_string(timeouts_) + ", connection closed " +
                        std::to_string(unanswered_.size()));
  std::map<size_t, size_t> lost;
  for (const Unanswered& request : unanswered_) {
    auto server = server_of_.find(request.id);
    if (server != server_of_.end()) {
      ++lost[request.gateway];
      trial_.record().Write("lost: request " + request.id + " was run by " +
                            server->second + ", and front-" +
                            std::to_string(request.gateway + 1) +
                            " closed its kept connection without an answer");
    }
  }
  for (const auto& [gateway, count] : lost) {
    if (count > kMostLost) {
      trial_.End(Verdict::kBroken,
                 "LOST: front-" + std::to_string(gateway + 1) + " lost " +
                     std::to_string(count) +
                     " requests of kept connections that sound servers ran");
    }
  }
  if (answers_[200] == 0) {
    trial_.End(Verdict::kNotRun, "no request was served");
  }
  trial_.End(Verdict::kHeld, "LOST: no machine lost more than " +
                                 std::to_string(kMostLost) + " requests");
}

}  // namespace review
