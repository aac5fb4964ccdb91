// Implementation of the completion state machine.

#include "daemon/traffic/completion.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "daemon/control/slots/slot_codec.h"
#include "mangoyoke/prefix_index.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr int kMaxAttempts = 5;
constexpr int kMaxResumes = 2;
// Timeout of a prefill: its predicted duration times this factor, plus this
// margin and the target latency of the first token.
constexpr double kPrefillTimeoutFactor = 4;
constexpr Millis kPrefillTimeoutMargin{500};
// Timeout for the first event of a decode server, beyond the predicted duration
// of the KV transfer.
constexpr Millis kFirstEventTimeoutMargin{1200};
// A stream that delivers no data for this long is treated as failed.
constexpr Millis kStreamStallTimeout{1500};
constexpr Millis kStreamTimeout{600'000};
// A caller is disconnected if reading stays paused for this long because it
// does not take data.
constexpr Duration kSlowCallerTimeout = Seconds(30);
// Intervals between tokens that one measurement of the token gap averages.
constexpr int64_t kGapWindowIntervals = 8;
// A decode server is reported as slow beyond this multiple of the target gap.
constexpr double kSlowReportFactor = 1.5;
// A prefill is retried elsewhere, if the retry budget allows it, beyond this
// multiple of its predicted duration plus a margin.
constexpr double kSlowPrefillFactor = 1.5;
constexpr Millis kSlowPrefillMargin{50};
// A stream moves to another server if its token gap exceeds this multiple of
// the target, and the time saved exceeds this multiple of the cost of the new
// prefill.
constexpr double kMoveSlownessFactor = 2;
constexpr double kMoveMinGain = 2;
constexpr double kMicrosPerMilli = 1000;
// Lower bound for a predicted prefill: a shorter one is mostly overhead, so
// comparing with it says little about the server.
constexpr double kMinPredictedPrefillMs = 20;
constexpr int kStatusGone = 410;
constexpr double kBytesPerMegabyte = 1e6;

// A timeout: the predicted duration in milliseconds plus a margin.
Millis PredictedTimeout(double predicted_ms, Millis margin) {
  return Millis(static_cast<int64_t>(predicted_ms)) + margin;
}

}  // namespace

Completion::Completion(TrafficContext& context,
                       std::shared_ptr<const Plan> plan,
                       std::string id,
                       CompletionParameters parameters,
                       std::shared_ptr<ResponseStream> stream)
    : context_(context),
      plan_(std::move(plan)),
      model_(plan_->models.at(parameters.model)),
      id_(std::move(id)),
      parameters_(std::move(parameters)),
      writer_(ResponseFormat{id_, parameters_.model, parameters_.stream,
                             parameters_.chat},
              std::move(stream)),
      start_time_(SteadyClock::now()),
      stage_start_time_(start_time_),
      sequencer_(parameters_.resume ? parameters_.resume->next : 0) {}

Completion::~Completion() = default;

void Completion::Start() {
  context_.retries.OnRequest();
  if (!parameters_.resume) {
    ReserveSlots();
    return;
  }
  context_.metrics.Increment("mangoyoke_resumes_total");
  const ResumePoint& resume = *parameters_.resume;
  if (!plan_->backends.contains(resume.decode)) {
    ReserveSlots();
    return;
  }
  // The decode server may still hold the stream that a failed instance had
  // started.
  attempt_id_ = resume.request_id;
  grant_.decode = resume.decode;
  stage_ = Stage::kDecode;
  decoding_ = true;
  ResumeDecode();
}

std::string Completion::BackendUrl(const BackendId& backend) const {
  auto it = plan_->backends.find(backend);
  return it == plan_->backends.end() ? "" : it->second.url;
}

void Completion::ReserveSlots() {
  stage_ = Stage::kReserving;
  stage_start_time_ = SteadyClock::now();
  ++attempts_;
  resumes_ = 0;
  attempt_id_ = id_ + "~" + std::to_string(attempts_);
  parser_ = SseParser();
  sequencer_.DropHeld();
  SlotRequest request;
  request.id = attempt_id_;
  request.owner = context_.control.Self();
  request.model = parameters_.model;
  request.account = parameters_.account;
  if (auto account = plan_->accounts.find(parameters_.account);
      account != plan_->accounts.end()) {
    request.account_weight = account->second.weight;
  }
  request.priority = parameters_.priority;
  bool in_progress = delivered_tokens_ > 0 || parameters_.resume;
  if (in_progress) {
    // A response that has begun takes precedence over new requests.
    request.priority = 0;
  }
  // A later attempt gets a new deadline: that of the first may have passed.
  request.deadline = (attempts_ == 1 ? start_time_ : stage_start_time_) +
                     model_.first_token_target;
  request.prompt_tokens = EstimateTokens(parameters_.prompt);
  request.prefix_hashes = PrefixHashes(parameters_.prompt);
  request.exclude = failed_backends_;
  reserved_ = true;
  context_.control.Reserve(
      context_.io, std::move(request),
      [weak = weak_from_this(), control = &context_.control,
       attempt = attempt_id_](Result<SlotGrant> result) {
        if (auto self = weak.lock()) {
          self->OnGrant(attempt, std::move(result));
        } else {
          control->Release(attempt);
        }
      });
}

void Completion::OnGrant(const RequestId& attempt_id,
                         Result<SlotGrant> result) {
  if (done() || attempt_id != attempt_id_ || stage_ != Stage::kReserving) {
    return;  // This attempt has already been released.
  }
  if (const auto* error = std::get_if<Error>(&result)) {
    reserved_ = false;
    Fail(*error);
    return;
  }
  grant_ = std::get<SlotGrant>(result);
  context_.metrics.Observe("mangoyoke_queue_ms",
                           ToMillis(SteadyClock::now() - stage_start_time_));
  Prefill();
}

void Completion::Prefill() {
  stage_ = Stage::kPrefill;
  stage_start_time_ = SteadyClock::now();
  ClientRequest request;
  request.method = "POST";
  request.url = BackendUrl(grant_.prefill) + "/v1/prefill";
  request.timeout =
      PredictedTimeout(grant_.predicted_ms * kPrefillTimeoutFactor,
                       kPrefillTimeoutMargin + model_.first_token_target);
  request.body = Json{{"request_id", attempt_id_},
                      {"owner", FormatOwner(context_.control.Self())},
                      {"model", parameters_.model},
                      {"prompt", parameters_.prompt},
                      {"priority", parameters_.priority}}
                     .dump(-1, ' ', false, Json::error_handler_t::replace);
  http_transfer_ = context_.http.Start(
      std::move(request), [weak = weak_from_this()](ClientResponse response) {
        if (auto self = weak.lock(); self && !self->done()) {
          self->OnPrefill(response);
        }
      });
}

void Completion::OnPrefill(const ClientResponse& response) {
  http_transfer_ = 0;
  Json body = Json::parse(response.body, nullptr, false);
  if (!response.Succeeded() || !body.is_object()) {
    ReportFailure(grant_.prefill);
    Retry(response.result == TransferResult::kTimeout ? "prefill_timeout"
                                                      : "prefill_failed",
          grant_.prefill);
    return;
  }
  double elapsed_ms = ToMillis(SteadyClock::now() - stage_start_time_);
  context_.metrics.Observe("mangoyoke_prefill_ms", elapsed_ms);
  context_.control.OnPrefillDone(attempt_id_);
  double predicted_ms = std::max(kMinPredictedPrefillMs, grant_.predicted_ms);
  context_.control.ReportObservation(
      attempt_id_,
      BackendObservation{grant_.prefill, elapsed_ms / predicted_ms, false});
  Decode(body.value("handle", ""));
}

void Completion::Decode(const std::string& handle) {
  stage_ = Stage::kDecode;
  decoding_ = true;
  ClientRequest request;
  request.method = "POST";
  request.url = BackendUrl(grant_.decode) + "/v1/decode";
  request.body = Json{{"request_id", attempt_id_},
                      {"owner", FormatOwner(context_.control.Self())},
                      {"model", parameters_.model},
                      {"source", BackendUrl(grant_.prefill)},
                      {"handle", handle},
                      {"max_tokens", parameters_.max_tokens},
                      {"offset", sequencer_.next()},
                      {"priority", parameters_.priority}}
                     .dump();
  StartDecodeStream(std::move(request));
}

void Completion::ResumeDecode() {
  ++resumes_;
  parser_ = SseParser();
  sequencer_.DropHeld();
  ClientRequest request;
  // Attempt ids hold only characters that need no escaping in a URL.
  request.url = BackendUrl(grant_.decode) +
                "/v1/resume?request_id=" + attempt_id_ +
                "&offset=" + std::to_string(sequencer_.next());
  StartDecodeStream(std::move(request));
}

void Completion::StartDecodeStream(ClientRequest request) {
  stage_start_time_ = SteadyClock::now();
  last_data_time_ = TimePoint{};
  gap_window_tokens_ = 0;
  request.timeout = kStreamTimeout;
  http_transfer_ = context_.http.Start(
      std::move(request),
      [weak = weak_from_this()](ClientResponse response) {
        if (auto self = weak.lock(); self && !self->done()) {
          self->http_transfer_ = 0;
          self->OnStreamEnd(response);
        }
      },
      [weak = weak_from_this()](int status, std::string_view data) {
        if (auto self = weak.lock(); self && !self->done()) {
          self->OnStreamData(status, data);
        }
      });
}

void Completion::OnStreamData(int status, std::string_view data) {
  constexpr int kOk = 200;
  if (status != kOk) {
    return;  // OnStreamEnd handles the error status.
  }
  last_data_time_ = SteadyClock::now();
  parser_.Push(data);
  std::string event;
  while (!done() && parser_.Next(event)) {
    OnEvent(event);
  }
}

void Completion::OnEvent(const std::string& data) {
  Json event = Json::parse(data, nullptr, false);
  if (!event.is_object()) {
    return;
  }
  if (event.contains("done")) {
    total_tokens_ = event.value("n", int64_t{0});
  } else if (event.contains("i") && event.contains("t")) {
    int64_t index = sequencer_.next();
    for (const std::string& token : sequencer_.Push(
             event["i"].get<int64_t>(), event["t"].get<std::string>())) {
      Deliver(token, index++);
    }
  }
  if (total_tokens_ >= 0 && sequencer_.next() >= total_tokens_) {
    Finish();
  }
}

void Completion::OnStreamEnd(const ClientResponse& response) {
  constexpr int kOk = 200;
  if (response.status == kStatusGone) {
    // The KV cache expired before it was transferred, so the prefill was
    // wasted.
    context_.metrics.Increment("mangoyoke_wasted_prefills_total");
    Retry("kv_expired", "");
    return;
  }
  bool streamed = response.status == kOk;
  if (streamed && resumes_ < kMaxResumes) {
    context_.metrics.Increment("mangoyoke_retries_total", "reason",
                               "stream_resumed");
    ResumeDecode();
    return;
  }
  bool resuming = parameters_.resume && attempts_ == 0;
  if (!resuming) {
    ReportFailure(grant_.decode);
  }
  Retry(resuming ? "resume_elsewhere" : "decode_failed",
        resuming ? "" : grant_.decode);
}

void Completion::Deliver(const std::string& token, int64_t index) {
  TimePoint now = SteadyClock::now();
  if (delivered_tokens_ == 0) {
    first_token_time_ = now;
    context_.metrics.Observe("mangoyoke_first_token_ms",
                             ToMillis(now - start_time_));
  }
  last_token_time_ = now;
  resumes_ = 0;  // The server makes progress.
  ++delivered_tokens_;
  writer_.AddToken(token, FormatEventId(attempt_id_, grant_.decode, index));
  if (gap_window_tokens_++ == 0) {
    gap_window_start_ = now;
  } else if (gap_window_tokens_ > kGapWindowIntervals) {
    ObserveTokenGap();
  }
}

void Completion::ObserveTokenGap() {
  double gap_ms = ToMillis(SteadyClock::now() - gap_window_start_) /
                  static_cast<double>(gap_window_tokens_ - 1);
  gap_window_tokens_ = 0;
  double slowness =
      gap_ms / static_cast<double>(model_.token_gap_target.count());
  bool slow = slowness > kSlowReportFactor;
  bool first_window = delivered_tokens_ <= kGapWindowIntervals + 1;
  // Reports the first window, and later ones only while the server is slow or
  // has just recovered, to limit the number of reports.
  if (first_window || slow || reported_slow_) {
    context_.control.ReportObservation(
        attempt_id_, BackendObservation{grant_.decode, slowness, false});
  }
  reported_slow_ = slow;
  if (IsMoveWorthwhile(gap_ms) && context_.retries.TryAcquire()) {
    moved_once_ = true;
    Retry("stream_moved", grant_.decode);
  }
}

void Completion::Finish() {
  TimePoint now = SteadyClock::now();
  writer_.Finish(EstimateTokens(parameters_.prompt), delivered_tokens_);
  double gap_ms = delivered_tokens_ > 1
                      ? ToMillis(last_token_time_ - first_token_time_) /
                            static_cast<double>(delivered_tokens_ - 1)
                      : 0;
  bool in_target =
      first_token_time_ - start_time_ <= model_.first_token_target &&
      gap_ms <= static_cast<double>(model_.token_gap_target.count());
  context_.metrics.Increment("mangoyoke_completions_total", "targets",
                             in_target ? "met" : "missed");
  context_.metrics.Observe("mangoyoke_token_gap_ms", gap_ms);
  context_.metrics.Observe("mangoyoke_completion_ms",
                           ToMillis(now - start_time_));
  decoding_ = false;  // The decode server has finished the attempt.
  // Not cancelled: the HTTP response ends by itself, which lets the connection
  // be reused.
  http_transfer_ = 0;
  LogEnd("complete");
  Cleanup();
}

// `failed` is passed by value because EndAttempt clears `grant_`, to which the
// argument may belong.
void Completion::Retry(std::string_view reason, BackendId failed) {
  context_.metrics.Increment("mangoyoke_retries_total", "reason", reason);
  LogEvent("completion_retry", LogLevel::kDebug)
      .Field("request", attempt_id_)
      .Field("reason", reason)
      .Field("backend", failed);
  EndAttempt();
  if (!failed.empty()) {
    failed_backends_.push_back(std::move(failed));
  }
  bool in_progress = delivered_tokens_ > 0 || parameters_.resume.has_value();
  if (attempts_ >= kMaxAttempts ||
      (!context_.retries.TryAcquire() && !in_progress)) {
    Fail(Error{ErrorCode::kBackendBroken, std::string(reason)});
    return;
  }
  ReserveSlots();
}

void Completion::Fail(const Error& error) {
  writer_.Fail(context_.metrics, error);
  LogEnd(GetErrorInfo(error.code).name);
  Cleanup();
}

void Completion::ReportFailure(const BackendId& backend) {
  context_.control.ReportObservation(attempt_id_,
                                     BackendObservation{backend, 0, true});
}

void Completion::CancelOnEngines() {
  auto cancel = [this](const BackendId& backend) {
    ClientRequest request;
    request.method = "POST";
    request.url = BackendUrl(backend) + "/v1/cancel";
    request.body = Json{{"request_id", attempt_id_}}.dump();
    context_.http.Start(std::move(request), [](ClientResponse) {});
  };
  bool may_hold_kv =
      stage_ == Stage::kPrefill ||
      (stage_ == Stage::kDecode && last_data_time_ == TimePoint{});
  if (may_hold_kv && !grant_.prefill.empty()) {
    cancel(grant_.prefill);
  }
  if (decoding_ && !grant_.decode.empty()) {
    cancel(grant_.decode);
  }
}

void Completion::EndAttempt() {
  context_.http.Cancel(http_transfer_);
  http_transfer_ = 0;
  if (stage_ != Stage::kReserving) {
    CancelOnEngines();
  }
  if (std::exchange(reserved_, false)) {
    context_.control.Release(attempt_id_);
  }
  decoding_ = false;
  grant_ = SlotGrant{};
}

void Completion::Cleanup() {
  if (decoding_ || stage_ == Stage::kPrefill) {
    EndAttempt();
  } else {
    context_.http.Cancel(http_transfer_);
    if (std::exchange(reserved_, false)) {
      context_.control.Release(attempt_id_);
    }
  }
  stage_ = Stage::kDone;
}

void Completion::OnCallerDisconnected() {
  if (done()) {
    return;
  }
  context_.metrics.Increment("mangoyoke_callers_gone_total");
  LogEnd("caller_gone");
  EndAttempt();
  stage_ = Stage::kDone;
}

void Completion::Tick(TimePoint now) {
  if (done()) {
    return;
  }
  if (writer_.failed()) {
    OnCallerDisconnected();
    return;
  }
  if (now - start_time_ > parameters_.timeout) {
    Fail(Error{ErrorCode::kBackendTimeout,
               "request not complete within the caller's timeout of " +
                   std::to_string(parameters_.timeout.count()) + " ms"});
    return;
  }
  ApplyBackpressure(now);
  if (stage_ == Stage::kPrefill) {
    RetrySlowPrefill(now);
    return;
  }
  if (done() || stage_ != Stage::kDecode || paused_ || http_transfer_ == 0) {
    return;
  }
  if (last_data_time_ == TimePoint{}) {
    double bytes = static_cast<double>(EstimateTokens(parameters_.prompt)) *
                   static_cast<double>(model_.kv_bytes_per_token);
    auto decode = plan_->backends.find(grant_.decode);
    double rate_mb_per_s =
        decode == plan_->backends.end()
            ? 1
            : static_cast<double>(decode->second.link_mb_per_s);
    double transfer_ms = bytes / (rate_mb_per_s * kBytesPerMegabyte) * 1000;
    if (now - stage_start_time_ >
        PredictedTimeout(transfer_ms, kFirstEventTimeoutMargin)) {
      Retry("transfer_stalled", grant_.prefill);
    }
    return;
  }
  if (now - last_data_time_ > kStreamStallTimeout) {
    context_.http.Cancel(http_transfer_);
    http_transfer_ = 0;
    ReportFailure(grant_.decode);
    Retry("stream_stalled", grant_.decode);
  }
}

void Completion::RetrySlowPrefill(TimePoint now) {
  Duration limit =
      FromMillis(std::max(kMinPredictedPrefillMs, grant_.predicted_ms) *
                 kSlowPrefillFactor) +
      kSlowPrefillMargin;
  bool predicted = grant_.predicted_ms > 0;
  if (!predicted || now - stage_start_time_ < limit ||
      attempts_ >= kMaxAttempts - 1 || moved_once_ ||
      !context_.retries.TryAcquire()) {
    return;
  }
  moved_once_ = true;
  context_.control.ReportObservation(
      attempt_id_,
      BackendObservation{grant_.prefill, kSlowPrefillFactor * 2, false});
  Retry("prefill_slow", grant_.prefill);
}

bool Completion::IsMoveWorthwhile(double gap_ms) const {
  if (moved_once_ || parameters_.max_tokens <= sequencer_.next()) {
    return false;
  }
  auto remaining_tokens =
      static_cast<double>(parameters_.max_tokens - sequencer_.next());
  auto target_ms = static_cast<double>(model_.token_gap_target.count());
  double saved_ms = remaining_tokens * (gap_ms - target_ms);
  double prefill_ms = static_cast<double>(EstimateTokens(parameters_.prompt)) *
                      static_cast<double>(model_.prefill_us_per_token) /
                      kMicrosPerMilli;
  return gap_ms > target_ms * kMoveSlownessFactor &&
         saved_ms > kMoveMinGain * (prefill_ms + target_ms);
}

void Completion::ApplyBackpressure(TimePoint now) {
  auto limit = static_cast<size_t>(context_.settings.max_buffered_bytes);
  size_t pending_bytes = writer_.PendingBytes();
  if (!paused_ && pending_bytes > limit && http_transfer_ != 0) {
    paused_ = true;
    pause_start_time_ = now;
    context_.metrics.Increment("mangoyoke_slow_callers_total");
    context_.http.Pause(http_transfer_, true);
  } else if (paused_ && pending_bytes < limit / 2) {
    paused_ = false;
    last_data_time_ = now;
    gap_window_tokens_ = 0;
    context_.http.Pause(http_transfer_, false);
  } else if (paused_ && now - pause_start_time_ > kSlowCallerTimeout) {
    writer_.Abort();
    OnCallerDisconnected();
  }
}

void Completion::LogEnd(std::string_view result) const {
  LogEvent("completion")
      .Field("request", id_)
      .Field("account", parameters_.account)
      .Field("result", result)
      .Field("attempts", static_cast<int64_t>(attempts_))
      .Field("tokens", delivered_tokens_)
      .Field("ms", ToMillis(SteadyClock::now() - start_time_));
}

}  // namespace mangoyoke
