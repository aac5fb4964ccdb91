// The parts of serving a request that are common to plain and model requests.

#include "gateway/traffic/active_request.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "base/log.h"
#include "gateway/core/authentication.h"

namespace mangoyoke {
namespace {

// A backend server responds by itself when its timeout ends. The request waits
// this much longer, so that this response can still arrive.
constexpr Duration kServerResponseMargin = Millis(100);
// Retry-After of a rejected request: the minimum plus a random part of the
// spread, so that callers do not all retry at the same moment.
constexpr double kRetryAfterMs = 120;
constexpr double kRetrySpreadMs = 200;
// The same after a wait for engine capacity ran out: longer, since the load
// peak has to pass first.
constexpr double kOverloadRetryMs = 1500;
constexpr double kOverloadSpreadMs = 2500;
// Spread of the Retry-After of a request whose servers all want no work for a
// while, as a share of that time.
constexpr double kPauseSpreadShare = 0.5;
constexpr unsigned kServerErrors = 500;
// How long a request of a route takes that has served none yet, in target
// latencies.
constexpr int kUnknownServiceTargets = 3;
// How often a request at a silent server looks for another server.
constexpr Duration kAskAgainAfter = Millis(250);

// Statuses that tell a caller that the request was not executed.
bool ImpliesNotExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// The outcome of an attempt, as recorded for the health of its server.
ServerOutcome ServerOutcomeOf(const AttemptOutcome& outcome) {
  if (outcome.timed_out) {
    return ServerOutcome::kTimeout;
  }
  if (outcome.result == ExchangeResult::kNotSent ||
      outcome.response.wrong_server) {
    return ServerOutcome::kUnreachable;
  }
  if (outcome.result == ExchangeResult::kIncomplete) {
    return ServerOutcome::kIncomplete;
  }
  if (outcome.response.not_executed) {
    return outcome.response.pause ? ServerOutcome::kPaused
                                  : ServerOutcome::kRejected;
  }
  return outcome.response.status >= kServerErrors ? ServerOutcome::kError
                                                  : ServerOutcome::kSuccess;
}

}  // namespace

std::string_view MoveObstacleName(MoveObstacle obstacle) {
  switch (obstacle) {
    case MoveObstacle::kNone:
      return "";
    case MoveObstacle::kRoute:
      return "route";
    case MoveObstacle::kMaxServers:
      return "max_servers";
    case MoveObstacle::kMaxResumes:
      return "max_resumes";
    case MoveObstacle::kNoTime:
      return "no_time";
    case MoveObstacle::kBudget:
      return "budget";
    case MoveObstacle::kNoRoom:
      return "no_room";
  }
  return "";
}

void ActiveRequestTable::Add(std::unique_ptr<ActiveRequest> request) {
  uint64_t id = request->id();
  requests_.emplace(id, std::move(request));
  Run(id, [](ActiveRequest& added) { added.Start(); });
}

ActiveRequest* ActiveRequestTable::Find(uint64_t id) {
  auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

void ActiveRequestTable::ScheduleRemoval(uint64_t id) {
  boost::asio::post(io_, [this, id] { requests_.erase(id); });
}

void ActiveRequestTable::EndAfterFailure(uint64_t id) {
  boost::asio::post(io_, [this, id] {
    if (ActiveRequest* request = Find(id)) {
      RunGuarded("failed_request", [&] { request->EndAfterFailure(); });
    }
  });
}

void ActiveRequestTable::EndAll() {
  for (const auto& [id, request] : requests_) {
    Run(id, [](ActiveRequest& active) { active.EndNow("the instance stops"); });
  }
}

void ActiveRequestTable::NotifyQuarantine() {
  for (const auto& [id, request] : requests_) {
    Run(id, [](ActiveRequest& active) { active.OnQuarantine(); });
  }
}

void ActiveRequestTable::NotifyConfig() {
  for (const auto& [id, request] : requests_) {
    Run(id, [](ActiveRequest& active) { active.OnConfigChanged(); });
  }
}

ActiveRequest::ActiveRequest(TrafficContext& context,
                             ActiveRequestTable& table,
                             RoutedRequest input)
    : context_(context),
      table_(table),
      input_(std::move(input)),
      id_(table.NextId()),
      arrived_(SteadyClock::now()),
      timer_(context.io),
      ask_again_timer_(context.io) {
  Duration timeout = input_.route->timeout;
  if (input_.caller_request.timeout) {
    timeout = std::min<Duration>(
        timeout, *input_.caller_request.timeout + kServerResponseMargin);
  }
  deadline_ = arrived_ + timeout;
}

ActiveRequest::~ActiveRequest() = default;

void ActiveRequest::Start() {
  context_.retry_budget.OnRequest(input_.service, arrived_);
  timer_.expires_at(deadline_);
  timer_.async_wait([on_timeout = GuardedCallback(&ActiveRequest::OnTimeout)](
                        const boost::system::error_code& error) {
    if (!error) {
      on_timeout();
    }
  });
  input_.responder->SetDisconnectCallback(
      GuardedCallback(&ActiveRequest::OnCallerDisconnected));
  if (!RejectIfTooLateForStop()) {
    Begin();
  }
}

void ActiveRequest::OnCallerDisconnected() {
  if (!ended_) {
    EndWithoutResponse("caller_gone");
  }
}

void ActiveRequest::OnTimeout() {
  EndNow("the timeout of the route or the caller expired");
}

void ActiveRequest::EndNow(std::string_view why) {
  if (ended_) {
    return;
  }
  if (attempt_) {
    LogSilence("given_up", MoveObstacle::kNoTime);
  }
  if (streaming_) {
    AbortStream(ErrorCode::kBackendTimeout, why);
  } else if (possible_executions_ == 0 && !attempt_) {
    SendErrorResponse(ErrorCode::kNoBackend, why);
  } else {
    SendErrorResponse(ErrorCode::kBackendTimeout, why);
  }
}

void ActiveRequest::EndAfterFailure() {
  constexpr std::string_view kWhy = "an internal error";
  if (ended_) {
    return;
  }
  if (streaming_) {
    AbortStream(ErrorCode::kInternal, kWhy);
  } else {
    SendErrorResponse(ErrorCode::kInternal, kWhy);
  }
}

void ActiveRequest::AddLogFields(LogEvent&) const {}

Duration ActiveRequest::TimeLeft() const {
  return deadline_ - SteadyClock::now();
}

Millis ActiveRequest::ServerTimeout() const {
  Duration left = arrived_ + input_.route->timeout - SteadyClock::now();
  if (input_.caller_request.timeout) {
    left = std::min<Duration>(
        left, arrived_ + *input_.caller_request.timeout - SteadyClock::now());
  }
  return std::max(std::chrono::duration_cast<Millis>(left), Millis(1));
}

Duration ActiveRequest::RetryAfter(ErrorCode code,
                                   std::optional<TimePoint> earliest) {
  if (earliest) {
    double wait = std::max(0.0, ToMillis(*earliest - SteadyClock::now()));
    double spread = std::max(kRetrySpreadMs, kPauseSpreadShare * wait);
    return FromMillis(wait + spread * context_.Random());
  }
  bool overload = code == ErrorCode::kDeadlineExpired;
  double first = overload ? kOverloadRetryMs : kRetryAfterMs;
  double spread = overload ? kOverloadSpreadMs : kRetrySpreadMs;
  return FromMillis(first + spread * context_.Random());
}

void ActiveRequest::SendErrorResponse(ErrorCode code,
                                      std::string_view why,
                                      std::optional<TimePoint> earliest) {
  const ErrorInfo& info = GetErrorInfo(code);
  std::optional<Duration> retry_after;
  if (info.execution == Execution::kNotExecuted &&
      code != ErrorCode::kApiKeyWithdrawn) {
    retry_after = RetryAfter(code, earliest);
    RefundQuota();
  }
  context_.metrics.Increment("mangoyoke_refusals_total", "reason", info.name);
  attempt_.reset();
  HttpResponse response = context_.callers.EncodeErrorResponse(
      Error{code, std::string(why)}, retry_after);
  int status = static_cast<int>(response.result_int());
  input_.responder->Reply(std::move(response));
  End(info.name, why, status);
}

bool ActiveRequest::FalselyPromises(unsigned status) const {
  return ImpliesNotExecuted(status) && !input_.route->IsRetrySafe();
}

void ActiveRequest::FailOnFalsePromise() {
  SendErrorResponse(
      ErrorCode::kBackendBroken,
      "the server responded with status 408, 421, 429 or 503 without stating "
      "that it did not execute the request");
}

bool ActiveRequest::RejectIfTooLateForStop() {
  if (!context_.stops_at || possible_executions_ > 0 ||
      deadline_ <= *context_.stops_at) {
    return false;
  }
  Duration needed =
      context_.service_times.Typical(input_.route->id)
          .value_or(kUnknownServiceTargets * input_.route->target_latency);
  Duration left = *context_.stops_at - SteadyClock::now();
  if (left >= needed) {
    return false;
  }
  LogEvent("too_late_for_stop")
      .Field("request", input_.caller_request.id)
      .Field("needed_ms", ToMillis(needed))
      .Field("left_ms", ToMillis(left));
  SendErrorResponse(ErrorCode::kLeaving,
                    "the instance stops before the request could be served");
  return true;
}

void ActiveRequest::OnConfigChanged() {
  // An attempt in progress is at a server already.
  if (!ended_ && !attempt_) {
    RejectIfKeyWithdrawn();
  }
}

bool ActiveRequest::RejectIfKeyWithdrawn() {
  if (possible_executions_ > 0 || streaming_ || !input_.route->needs_key ||
      context_.config == input_.config ||
      !IsKeyWithdrawn(*context_.config, input_.caller_request.api_key,
                      input_.identity)) {
    return false;
  }
  SendErrorResponse(ErrorCode::kApiKeyWithdrawn,
                    "the API key was withdrawn while the request waited");
  return true;
}

void ActiveRequest::Reply(const http::response_header<>& head,
                          std::string body,
                          MemoryBudget::Share body_memory) {
  HttpResponse response(context_.backends.EncodeResponseHead(head));
  response.body() = std::move(body);
  int status = static_cast<int>(response.result_int());
  attempt_.reset();
  input_.responder->Reply(std::move(response), std::move(body_memory));
  End("answered", "", status);
}

void ActiveRequest::EndStream() {
  attempt_.reset();
  input_.responder->EndStream();
  End("streamed", "", 200);
}

void ActiveRequest::AbortStream(ErrorCode code, std::string_view why) {
  context_.metrics.Increment("mangoyoke_streams_broken_total", "reason",
                             GetErrorInfo(code).name);
  attempt_.reset();
  input_.responder->Abort();
  End("stream_broken", why, 200);
}

void ActiveRequest::RefundQuota() {
  if (QuotaCharge charge = std::exchange(input_.quota_charge, {});
      !charge.account.empty() && !UsedServers()) {
    context_.quotas.Refund(charge.account, charge.cost, SteadyClock::now());
  }
}

void ActiveRequest::EndWithoutResponse(std::string_view outcome) {
  if (!attempt_) {
    RefundQuota();
  }
  attempt_.reset();
  End(outcome, "", 0);
}

void ActiveRequest::End(std::string_view outcome,
                        std::string_view why,
                        int status) {
  ended_ = true;
  timer_.cancel();
  ask_again_timer_.cancel();
  context_.metrics.Increment("mangoyoke_requests_total", "outcome", outcome);
  context_.metrics.Observe("mangoyoke_request_ms", ToMillis(Age()));
  {
    bool served = outcome == "answered" || outcome == "streamed";
    if (served) {
      context_.service_times.Record(input_.route->id, Age());
    }
    LogEvent line("request_end", served ? LogLevel::kInfo : LogLevel::kWarning);
    line.Field("request", input_.caller_request.id)
        .Field("route", input_.route->id)
        .Field("service", input_.service)
        .Field("outcome", outcome)
        .Field("status", static_cast<int64_t>(status))
        .Field("ms", ToMillis(Age()))
        .Field("sends", static_cast<int64_t>(attempts_sent_))
        .Field("may_have_run", static_cast<int64_t>(possible_executions_))
        .Field("server", last_server_)
        .Field("config", static_cast<int64_t>(input_.config->revision()))
        .Field("registry",
               static_cast<int64_t>(context_.servers->version.number));
    if (input_.identity.accounts_required) {
      line.Field("account", input_.identity.account);
    }
    if (!why.empty()) {
      line.Field("why", why);
    }
    AddLogFields(line);
  }
  table_.ScheduleRemoval(id_);
}

bool ActiveRequest::RetryAllowed() const {
  return context_.retry_budget.Allows(input_.service, SteadyClock::now());
}

std::optional<Duration> ActiveRequest::KeepWaiting(const BackendServer& server,
                                                   MoveObstacle obstacle) {
  if (obstacle == MoveObstacle::kNone && !TryAcquireRetry()) {
    obstacle = MoveObstacle::kBudget;
  }
  if (obstacle == MoveObstacle::kNone) {
    retry_taken_ = true;
    moved_ = true;
    LogSilence("moved", obstacle);
    return std::nullopt;
  }
  if (!std::exchange(silence_known_, true)) {
    LogSilence("kept_waiting", obstacle);
    context_.health.RecordOutcome(server, ServerOutcome::kTimeout, 0,
                                  SteadyClock::now());
  }
  return kAskAgainAfter;
}

void ActiveRequest::AskAgainLater(std::function<void()> action) {
  attempt_.reset();
  LogEvent("retry_waits")
      .Field("request", input_.caller_request.id)
      .Field("service", input_.service)
      .Field("left_ms", ToMillis(TimeLeft()));
  ask_again_timer_.expires_after(kAskAgainAfter);
  ask_again_timer_.async_wait(
      [action = std::move(action)](const boost::system::error_code& error) {
        if (!error) {
          action();
        }
      });
}

void ActiveRequest::RecordProgress() {
  last_progress_ = SteadyClock::now();
  if (!std::exchange(silence_known_, false)) {
    return;
  }
  const BackendServer* server = context_.servers->Find(last_server_);
  if (server != nullptr) {
    context_.health.RecordEndOfSilence(*server, last_progress_);
  }
}

bool ActiveRequest::TryAcquireRetry() {
  if (std::exchange(retry_taken_, false)) {
    return true;
  }
  if (context_.retry_budget.TryAcquire(input_.service, SteadyClock::now())) {
    context_.metrics.Increment("mangoyoke_repeats_total");
    return true;
  }
  context_.metrics.Increment("mangoyoke_repeats_denied_total");
  LogEvent("repeat_denied", LogLevel::kWarning)
      .Field("request", input_.caller_request.id)
      .Field("service", input_.service);
  return false;
}

PlacementChoice ActiveRequest::ChooseServer(PlacementQuery query) {
  query.service = input_.service;
  query.excluded.insert(excluded_.begin(), excluded_.end());
  PlacementContext placement_context{
      *context_.servers,
      context_.load,
      context_.health,
      context_.notices,
      input_.config->FindService(input_.service),
      context_.prefill_speed.MillisPerToken(input_.service),
      SteadyClock::now(),
      context_.learned_capacity ? &context_.server_speeds : nullptr};
  PlacementChoice choice = context_.placement->Choose(query, placement_context);
  if (choice.server == nullptr &&
      choice.draining_servers + choice.paused_servers > 0) {
    LogEvent line("servers_want_no_work", LogLevel::kWarning);
    line.Field("request", input_.caller_request.id)
        .Field("service", input_.service)
        .Field("stage", StageName(query.stage))
        .Field("draining", static_cast<int64_t>(choice.draining_servers))
        .Field("paused", static_cast<int64_t>(choice.paused_servers));
    if (choice.pause_ends) {
      line.Field("first_in_ms",
                 ToMillis(*choice.pause_ends - placement_context.now));
    }
  }
  return choice;
}

bool ActiveRequest::WantsWork(const BackendServer& server) const {
  return context_.notices.StateOf(server, SteadyClock::now()) ==
         WorkState::kAccepting;
}

void ActiveRequest::StartAttempt(const BackendServer& server,
                                 const BackendRequestOptions& options,
                                 const LoadCharge& charge,
                                 Duration timeout,
                                 AttemptCallbacks callbacks) {
  BackendRequestOptions full_options = options;
  full_options.server = &server;
  full_options.identity = input_.identity;
  full_options.timeout = ServerTimeout();
  HttpRequest request = context_.backends.EncodeRequest(
      input_.request, input_.caller_request, full_options);
  last_server_ = server.id;
  last_stage_ = server.stage;
  last_progress_ = SteadyClock::now();
  silence_known_ = false;
  attempt_ = std::make_unique<ServerAttempt>(context_, server, charge);
  ExchangeOptions exchange_options;
  exchange_options.timeout = timeout;
  if (options.prefill_only) {
    exchange_options.max_body_bytes = ExchangeOptions::kMaxOwnBodyBytes;
  } else {
    exchange_options.avoid_stale = !input_.route->IsRetrySafe();
  }
  ExpectedResponse expected{input_.caller_request.id, !options.prefill_only};
  attempt_->Start(std::move(request), expected, exchange_options,
                  Guarded(std::move(callbacks)));
}

void ActiveRequest::StartOwnAttempt(const BackendServer& server,
                                    HttpRequest request,
                                    Duration timeout,
                                    AttemptCallbacks callbacks) {
  attempt_ = std::make_unique<ServerAttempt>(context_, server, LoadCharge{});
  ExchangeOptions exchange_options;
  exchange_options.timeout = timeout;
  exchange_options.max_body_bytes = ExchangeOptions::kMaxOwnBodyBytes;
  attempt_->Start(std::move(request), ExpectedResponse{}, exchange_options,
                  Guarded(std::move(callbacks)));
}

AttemptCallbacks ActiveRequest::Guarded(AttemptCallbacks callbacks) {
  auto guard = [&table = table_, id = id_](const auto& action) {
    RunGuarded("attempt", action, [&] { table.EndAfterFailure(id); });
  };
  AttemptCallbacks guarded;
  if (callbacks.on_head) {
    guarded.on_head = [guard, on_head = std::move(callbacks.on_head)](
                          const http::response_header<>& head,
                          const BackendResponse& response) {
      bool stream = false;
      guard([&] { stream = on_head(head, response); });
      return stream;
    };
  }
  if (callbacks.on_data) {
    guarded.on_data =
        [guard, on_data = std::move(callbacks.on_data)](std::string data) {
          guard([&] { on_data(std::move(data)); });
        };
  }
  if (callbacks.on_timeout) {
    guarded.on_timeout = [guard, on_timeout = std::move(callbacks.on_timeout)] {
      std::optional<Duration> wait;
      guard([&] { wait = on_timeout(); });
      return wait;
    };
  }
  guarded.on_end =
      [guard, on_end = std::move(callbacks.on_end)](AttemptOutcome outcome) {
        guard([&] { on_end(std::move(outcome)); });
      };
  return guarded;
}

void ActiveRequest::LogSilence(std::string_view decision,
                               MoveObstacle obstacle) const {
  LogEvent("attempt_silent", LogLevel::kWarning)
      .Field("request", input_.caller_request.id)
      .Field("server", last_server_)
      .Field("stage", StageName(last_stage_))
      .Field("ms", ToMillis(SteadyClock::now() - last_progress_))
      .Field("events", EventsReceived())
      .Field("left_ms", ToMillis(TimeLeft()))
      .Field("decision", decision)
      .Field("why", MoveObstacleName(obstacle));
}

void ActiveRequest::RecordSpeed(const BackendServer& server,
                                int64_t requests,
                                double ms_per_unit) {
  if (context_.learned_capacity) {
    context_.server_speeds.Record(server, requests, ms_per_unit,
                                  SteadyClock::now());
  }
}

void ActiveRequest::RecordServerOutcome(const BackendServer& server,
                                        const AttemptOutcome& outcome,
                                        double slowness) {
  ServerOutcome server_outcome = ServerOutcomeOf(outcome);
  context_.health.RecordOutcome(server, server_outcome, slowness,
                                SteadyClock::now());
  if (server_outcome == ServerOutcome::kSuccess) {
    return;
  }
  LoadCharge load = context_.load.At(server.id, SteadyClock::now());
  LogEvent("send_failed", LogLevel::kWarning)
      .Field("request", input_.caller_request.id)
      .Field("known_requests", load.requests)
      .Field("known_prompt_tokens", load.prompt_tokens)
      .Field("known_kv_tokens", load.kv_tokens)
      .Field("server", server.id)
      .Field("stage", StageName(server.stage))
      .Field("evidence", ServerOutcomeName(server_outcome))
      .Field("status", static_cast<int64_t>(outcome.response.status))
      .Field("ms", ToMillis(outcome.elapsed));
}

}  // namespace mangoyoke
