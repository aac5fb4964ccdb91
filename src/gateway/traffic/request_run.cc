// What runs of all kinds have in common.

#include "gateway/traffic/request_run.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "base/log.h"

namespace mangoyoke {
namespace {

// A server answers by itself at its time limit; this long its answer may take.
constexpr Duration kServerAnswerTime = Millis(100);
// The shortest wait that a caller is told, and the spread that keeps callers
// from coming back together.
constexpr double kRetryAfterMs = 120;
constexpr double kRetrySpreadMs = 200;
// While engines are full, callers come back when a crest may be over.
constexpr double kOverloadRetryMs = 1500;
constexpr double kOverloadSpreadMs = 2500;
constexpr unsigned kServerErrors = 500;

// What an ended send says of its server.
ServerEvidence EvidenceOf(const AttemptOutcome& outcome) {
  if (outcome.timed_out) {
    return ServerEvidence::kSilent;
  }
  if (outcome.end == ExchangeEnd::kNotSent || outcome.answer.wrong_server) {
    return ServerEvidence::kUnreachable;
  }
  if (outcome.end == ExchangeEnd::kBroken) {
    return ServerEvidence::kBroken;
  }
  if (outcome.answer.not_run) {
    return ServerEvidence::kFull;
  }
  return outcome.answer.status >= kServerErrors ? ServerEvidence::kError
                                                : ServerEvidence::kGood;
}

}  // namespace

void RunTable::Add(std::unique_ptr<RequestRun> run) {
  uint64_t id = run->id();
  runs_.emplace(id, std::move(run)).first->second->Start();
}

RequestRun* RunTable::Find(uint64_t id) {
  auto found = runs_.find(id);
  return found == runs_.end() ? nullptr : found->second.get();
}

void RunTable::Retire(uint64_t id) {
  boost::asio::post(io_, [this, id] { runs_.erase(id); });
}

RequestRun::RequestRun(TrafficContext& context, RunTable& table, RunInput input)
    : context_(context),
      table_(table),
      input_(std::move(input)),
      id_(table.NextId()),
      arrived_(SteadyClock::now()),
      timer_(context.io) {
  Duration limit = input_.route->timeout;
  if (input_.facts.wait) {
    limit = std::min<Duration>(limit, *input_.facts.wait + kServerAnswerTime);
  }
  deadline_ = arrived_ + limit;
}

RequestRun::~RequestRun() = default;

void RequestRun::Start() {
  context_.budget.NoteRequest(input_.service, arrived_);
  timer_.expires_at(deadline_);
  timer_.async_wait([run = Later(&RequestRun::OnTimeout)](
                        const boost::system::error_code& error) {
    if (!error) {
      run();
    }
  });
  input_.exchange->OnCallerGone(Later(&RequestRun::OnCallerGone));
  Begin();
}

void RequestRun::OnCallerGone() {
  if (!ended_) {
    EndSilently("caller_gone");
  }
}

void RequestRun::OnTimeout() {
  if (ended_) {
    return;
  }
  if (streaming_) {
    BreakStream(ErrorCode::kBackendTimeout, "time limit of the route");
  } else if (runs_ == 0 && !attempt_) {
    Refuse(ErrorCode::kNoBackend, "time limit of the route");
  } else {
    Refuse(ErrorCode::kBackendTimeout, "time limit of the route");
  }
}

void RequestRun::DescribeEnd(LogEvent&) const {}

Duration RequestRun::TimeLeft() const {
  return deadline_ - SteadyClock::now();
}

Millis RequestRun::ServerTime() const {
  Duration left = arrived_ + input_.route->timeout - SteadyClock::now();
  if (input_.facts.wait) {
    left = std::min<Duration>(
        left, arrived_ + *input_.facts.wait - SteadyClock::now());
  }
  return std::max(std::chrono::duration_cast<Millis>(left), Millis(1));
}

void RequestRun::Refuse(ErrorCode code, std::string_view why) {
  const ErrorInfo& info = InfoOf(code);
  std::optional<Duration> retry_after;
  if (info.execution == Execution::kNotRun) {
    bool overload = code == ErrorCode::kDeadlineExpired;
    double first = overload ? kOverloadRetryMs : kRetryAfterMs;
    double spread = overload ? kOverloadSpreadMs : kRetrySpreadMs;
    retry_after = FromMillis(first + spread * context_.Random());
  }
  context_.metrics.Count("mangoyoke_refusals_total", "reason", info.name);
  attempt_.reset();
  HttpResponse response = context_.callers.EncodeRefusal(
      Error{code, std::string(why)}, retry_after);
  int status = static_cast<int>(response.result_int());
  input_.exchange->Reply(std::move(response));
  End(info.name, why, status);
}

void RequestRun::Reply(const http::response_header<>& head, std::string body) {
  HttpResponse response(context_.backends.EncodeAnswerHead(head));
  response.body() = std::move(body);
  int status = static_cast<int>(response.result_int());
  attempt_.reset();
  input_.exchange->Reply(std::move(response));
  End("answered", "", status);
}

void RequestRun::EndStream() {
  attempt_.reset();
  input_.exchange->EndStream();
  End("streamed", "", 200);
}

void RequestRun::BreakStream(ErrorCode code, std::string_view why) {
  context_.metrics.Count("mangoyoke_streams_broken_total", "reason",
                         InfoOf(code).name);
  attempt_.reset();
  input_.exchange->Abort();
  End("stream_broken", why, 200);
}

void RequestRun::EndSilently(std::string_view outcome) {
  attempt_.reset();
  End(outcome, "", 0);
}

void RequestRun::End(std::string_view outcome,
                     std::string_view why,
                     int status) {
  ended_ = true;
  timer_.cancel();
  context_.metrics.Count("mangoyoke_requests_total", "outcome", outcome);
  context_.metrics.Observe("mangoyoke_request_ms", ToMillis(Age()));
  {
    bool served = outcome == "answered" || outcome == "streamed";
    LogEvent line("request_end", served ? LogLevel::kInfo : LogLevel::kWarning);
    line.Field("request", input_.facts.id)
        .Field("route", input_.route->id)
        .Field("service", input_.service)
        .Field("outcome", outcome)
        .Field("status", static_cast<int64_t>(status))
        .Field("ms", ToMillis(Age()))
        .Field("sends", static_cast<int64_t>(sends_))
        .Field("may_have_run", static_cast<int64_t>(runs_))
        .Field("server", last_server_)
        .Field("config", static_cast<int64_t>(input_.config->revision()))
        .Field("registry", static_cast<int64_t>(context_.servers->version));
    if (!why.empty()) {
      line.Field("why", why);
    }
    DescribeEnd(line);
  }
  table_.Retire(id_);
}

bool RequestRun::TakeRepeat() {
  if (context_.budget.TryRepeat(input_.service, SteadyClock::now())) {
    context_.metrics.Count("mangoyoke_repeats_total");
    return true;
  }
  context_.metrics.Count("mangoyoke_repeats_denied_total");
  LogEvent("repeat_denied", LogLevel::kWarning)
      .Field("request", input_.facts.id)
      .Field("service", input_.service);
  return false;
}

PlacementChoice RequestRun::Place(PlacementQuery query) {
  query.service = input_.service;
  query.excluded.insert(excluded_.begin(), excluded_.end());
  PlacementView view{*context_.servers,
                     context_.load,
                     context_.health,
                     input_.config->FindService(input_.service),
                     context_.prefill_speed.MillisPerToken(input_.service),
                     SteadyClock::now()};
  return context_.placement->Choose(query, view);
}

void RequestRun::Send(const BackendServer& server,
                      const BackendCall& call,
                      const LoadCharge& charge,
                      Duration limit,
                      AttemptHandlers handlers) {
  BackendCall complete = call;
  complete.server = &server;
  complete.time_left = ServerTime();
  last_server_ = server.id;
  attempt_ = std::make_unique<ServerAttempt>(context_, server, charge);
  attempt_->Start(
      context_.backends.EncodeCall(input_.request, input_.facts, complete),
      input_.facts.id, !call.prefill_only && !input_.route->MayRepeat(), limit,
      std::move(handlers));
}

void RequestRun::NoteOutcome(const BackendServer& server,
                             const AttemptOutcome& outcome,
                             double slowness) {
  ServerEvidence evidence = EvidenceOf(outcome);
  context_.health.Note(server, evidence, slowness, SteadyClock::now());
  if (evidence == ServerEvidence::kGood) {
    return;
  }
  LoadCharge load = context_.load.At(server.id, SteadyClock::now());
  LogEvent("send_failed", LogLevel::kWarning)
      .Field("request", input_.facts.id)
      .Field("known_requests", load.requests)
      .Field("known_prompt_tokens", load.prompt_tokens)
      .Field("known_kv_tokens", load.kv_tokens)
      .Field("server", server.id)
      .Field("stage", StageName(server.stage))
      .Field("evidence", EvidenceName(evidence))
      .Field("status", static_cast<int64_t>(outcome.answer.status))
      .Field("ms", ToMillis(outcome.took));
}

}  // namespace mangoyoke
