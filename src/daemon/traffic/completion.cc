// The course of one completion.

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
// A prefill that takes longer than predicted by this is given up.
constexpr double kPrefillPatience = 4;
constexpr Millis kPrefillSlack{500};
// Longest wait for the first event of a decode server beyond the transfer.
constexpr Millis kTransferSlack{1200};
// Longest silence of a running stream.
constexpr Millis kStreamSilence{1500};
constexpr Millis kStreamTimeout{600'000};
// A caller that takes nothing for this long is dropped.
constexpr Duration kSlowCallerLimit = Seconds(30);
// Tokens of one measurement of the time between tokens.
constexpr int64_t kGapWindow = 8;
constexpr double kSlowReport = 1.5;
// A prefill is given up early beyond this multiple of its prediction.
constexpr double kSlowPrefillFactor = 1.5;
constexpr Millis kSlowPrefillSlack{50};
// A stream moves away from a server that is this many times slower than the
// target, if that saves this multiple of its new prefill.
constexpr double kMoveSlowness = 2;
constexpr double kMoveGain = 2;
constexpr double kMicrosPerMilli = 1000;
// A prediction below this is mostly overhead and says little.
constexpr double kLeastPrefillMs = 20;
constexpr int kGone = 410;
constexpr double kBytesPerMegabyte = 1e6;

Millis Patience(double predicted_ms, Millis slack) {
  return Millis(static_cast<int64_t>(predicted_ms)) + slack;
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
      writer_(AnswerFormat{id_, parameters_.model, parameters_.stream,
                           parameters_.chat},
              std::move(stream)),
      started_(SteadyClock::now()),
      stage_started_(started_),
      sequencer_(parameters_.resume ? parameters_.resume->next : 0) {}

Completion::~Completion() = default;

void Completion::Start() {
  context_.retries.OnRequest();
  if (!parameters_.resume) {
    Place();
    return;
  }
  context_.metrics.Increment("mangoyoke_resumes_total");
  const ResumePoint& resume = *parameters_.resume;
  if (!plan_->backends.contains(resume.decode)) {
    Place();
    return;
  }
  // The engine may still hold the stream of the entry that died.
  attempt_id_ = resume.request_id;
  grant_.decode = resume.decode;
  stage_ = Stage::kDecode;
  decoding_ = true;
  ResumeDecode();
}

std::string Completion::UrlOf(const BackendId& backend) const {
  auto it = plan_->backends.find(backend);
  return it == plan_->backends.end() ? "" : it->second.url;
}

void Completion::Place() {
  stage_ = Stage::kPlacing;
  stage_started_ = SteadyClock::now();
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
  bool accepted = delivered_ > 0 || parameters_.resume;
  if (accepted) {
    // An answer under way goes before new ones.
    request.priority = 0;
  }
  // A later attempt gets a new target: the first one may be past.
  request.deadline =
      (attempts_ == 1 ? started_ : stage_started_) + model_.first_token_target;
  request.prompt_tokens = EstimateTokens(parameters_.prompt);
  request.prefix_hashes = PrefixHashes(parameters_.prompt);
  request.exclude = failed_;
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
  if (done() || attempt_id != attempt_id_ || stage_ != Stage::kPlacing) {
    return;  // Released already.
  }
  if (const auto* error = std::get_if<Error>(&result)) {
    reserved_ = false;
    Fail(*error);
    return;
  }
  grant_ = std::get<SlotGrant>(result);
  context_.metrics.Observe("mangoyoke_queue_ms",
                           ToMillis(SteadyClock::now() - stage_started_));
  Prefill();
}

void Completion::Prefill() {
  stage_ = Stage::kPrefill;
  stage_started_ = SteadyClock::now();
  ClientRequest request;
  request.method = "POST";
  request.url = UrlOf(grant_.prefill) + "/v1/prefill";
  request.timeout = Patience(grant_.predicted_ms * kPrefillPatience,
                             kPrefillSlack + model_.first_token_target);
  request.body = Json{{"request_id", attempt_id_},
                      {"owner", FormatOwner(context_.control.Self())},
                      {"model", parameters_.model},
                      {"prompt", parameters_.prompt},
                      {"priority", parameters_.priority}}
                     .dump(-1, ' ', false, Json::error_handler_t::replace);
  transfer_ = context_.http.Start(
      std::move(request), [weak = weak_from_this()](ClientResponse response) {
        if (auto self = weak.lock(); self && !self->done()) {
          self->OnPrefill(response);
        }
      });
}

void Completion::OnPrefill(const ClientResponse& response) {
  transfer_ = 0;
  Json answer = Json::parse(response.body, nullptr, false);
  if (!response.Succeeded() || !answer.is_object()) {
    ObserveFailure(grant_.prefill);
    Retry(response.result == TransferResult::kTimeout ? "prefill_timeout"
                                                      : "prefill_failed",
          grant_.prefill);
    return;
  }
  double took_ms = ToMillis(SteadyClock::now() - stage_started_);
  context_.metrics.Observe("mangoyoke_prefill_ms", took_ms);
  context_.control.OnPrefillDone(attempt_id_);
  double predicted_ms = std::max(kLeastPrefillMs, grant_.predicted_ms);
  context_.control.ReportObservation(
      attempt_id_,
      BackendObservation{grant_.prefill, took_ms / predicted_ms, false});
  Decode(answer.value("handle", ""));
}

void Completion::Decode(const std::string& handle) {
  stage_ = Stage::kDecode;
  decoding_ = true;
  ClientRequest request;
  request.method = "POST";
  request.url = UrlOf(grant_.decode) + "/v1/decode";
  request.body = Json{{"request_id", attempt_id_},
                      {"owner", FormatOwner(context_.control.Self())},
                      {"model", parameters_.model},
                      {"source", UrlOf(grant_.prefill)},
                      {"handle", handle},
                      {"max_tokens", parameters_.max_tokens},
                      {"offset", sequencer_.next()},
                      {"priority", parameters_.priority}}
                     .dump();
  ReadStream(std::move(request));
}

void Completion::ResumeDecode() {
  ++resumes_;
  parser_ = SseParser();
  sequencer_.DropHeld();
  ClientRequest request;
  // All characters of an attempt's id are safe in a URL.
  request.url = UrlOf(grant_.decode) + "/v1/resume?request_id=" + attempt_id_ +
                "&offset=" + std::to_string(sequencer_.next());
  ReadStream(std::move(request));
}

void Completion::ReadStream(ClientRequest request) {
  stage_started_ = SteadyClock::now();
  last_data_ = TimePoint{};
  gap_tokens_ = 0;
  request.timeout = kStreamTimeout;
  transfer_ = context_.http.Start(
      std::move(request),
      [weak = weak_from_this()](ClientResponse response) {
        if (auto self = weak.lock(); self && !self->done()) {
          self->transfer_ = 0;
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
    return;  // The status decides at the end.
  }
  last_data_ = SteadyClock::now();
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
    total_ = event.value("n", int64_t{0});
  } else if (event.contains("i") && event.contains("t")) {
    int64_t index = sequencer_.next();
    for (const std::string& token : sequencer_.Push(
             event["i"].get<int64_t>(), event["t"].get<std::string>())) {
      Deliver(token, index++);
    }
  }
  if (total_ >= 0 && sequencer_.next() >= total_) {
    Finish();
  }
}

void Completion::OnStreamEnd(const ClientResponse& response) {
  constexpr int kOk = 200;
  if (response.status == kGone) {
    // The KV cache was gone before the transfer: that prefill was wasted.
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
    ObserveFailure(grant_.decode);
  }
  Retry(resuming ? "resume_elsewhere" : "decode_failed",
        resuming ? "" : grant_.decode);
}

void Completion::Deliver(const std::string& token, int64_t index) {
  TimePoint now = SteadyClock::now();
  if (delivered_ == 0) {
    first_token_ = now;
    context_.metrics.Observe("mangoyoke_first_token_ms",
                             ToMillis(now - started_));
  }
  last_token_ = now;
  resumes_ = 0;  // The engine makes progress.
  ++delivered_;
  writer_.AddToken(token, PrintEventId(attempt_id_, grant_.decode, index));
  if (gap_tokens_++ == 0) {
    gap_since_ = now;
  } else if (gap_tokens_ > kGapWindow) {
    ObserveGap();
  }
}

void Completion::ObserveGap() {
  double gap_ms = ToMillis(SteadyClock::now() - gap_since_) /
                  static_cast<double>(gap_tokens_ - 1);
  gap_tokens_ = 0;
  double slowness =
      gap_ms / static_cast<double>(model_.token_gap_target.count());
  bool slow = slowness > kSlowReport;
  bool first_window = delivered_ <= kGapWindow + 1;
  // Reported early and when it changes, not for each window.
  if (first_window || slow || reported_slow_) {
    context_.control.ReportObservation(
        attempt_id_, BackendObservation{grant_.decode, slowness, false});
  }
  reported_slow_ = slow;
  if (MovePays(gap_ms) && context_.retries.TryAcquire()) {
    moved_ = true;
    Retry("stream_moved", grant_.decode);
  }
}

void Completion::Finish() {
  TimePoint now = SteadyClock::now();
  writer_.Finish(EstimateTokens(parameters_.prompt), delivered_);
  double gap_ms = delivered_ > 1 ? ToMillis(last_token_ - first_token_) /
                                       static_cast<double>(delivered_ - 1)
                                 : 0;
  bool in_target =
      first_token_ - started_ <= model_.first_token_target &&
      gap_ms <= static_cast<double>(model_.token_gap_target.count());
  context_.metrics.Increment("mangoyoke_completions_total", "targets",
                             in_target ? "met" : "missed");
  context_.metrics.Observe("mangoyoke_token_gap_ms", gap_ms);
  context_.metrics.Observe("mangoyoke_completion_ms", ToMillis(now - started_));
  decoding_ = false;  // The engine has ended it.
  transfer_ = 0;      // Ends by itself; the connection can be used again.
  LogEnd("complete");
  End();
}

// `failed` is a copy: EndAttempt clears the grant that callers take it from.
void Completion::Retry(std::string_view reason, BackendId failed) {
  context_.metrics.Increment("mangoyoke_retries_total", "reason", reason);
  LogEvent("completion_retry", LogLevel::kDebug)
      .Field("request", attempt_id_)
      .Field("reason", reason)
      .Field("backend", failed);
  EndAttempt();
  if (!failed.empty()) {
    failed_.push_back(std::move(failed));
  }
  bool accepted = delivered_ > 0 || parameters_.resume.has_value();
  if (attempts_ >= kMaxAttempts ||
      (!context_.retries.TryAcquire() && !accepted)) {
    Fail(Error{ErrorCode::kBackendBroken, std::string(reason)});
    return;
  }
  Place();
}

void Completion::Fail(const Error& error) {
  writer_.Fail(context_.metrics, error);
  LogEnd(GetErrorInfo(error.code).name);
  End();
}

void Completion::ObserveFailure(const BackendId& backend) {
  context_.control.ReportObservation(attempt_id_,
                                     BackendObservation{backend, 0, true});
}

void Completion::CancelEngines() {
  auto cancel = [this](const BackendId& backend) {
    ClientRequest request;
    request.method = "POST";
    request.url = UrlOf(backend) + "/v1/cancel";
    request.body = Json{{"request_id", attempt_id_}}.dump();
    context_.http.Start(std::move(request), [](ClientResponse) {});
  };
  bool may_hold_kv = stage_ == Stage::kPrefill ||
                     (stage_ == Stage::kDecode && last_data_ == TimePoint{});
  if (may_hold_kv && !grant_.prefill.empty()) {
    cancel(grant_.prefill);
  }
  if (decoding_ && !grant_.decode.empty()) {
    cancel(grant_.decode);
  }
}

void Completion::EndAttempt() {
  context_.http.Cancel(transfer_);
  transfer_ = 0;
  if (stage_ != Stage::kPlacing) {
    CancelEngines();
  }
  if (std::exchange(reserved_, false)) {
    context_.control.Release(attempt_id_);
  }
  decoding_ = false;
  grant_ = SlotGrant{};
}

void Completion::End() {
  if (decoding_ || stage_ == Stage::kPrefill) {
    EndAttempt();
  } else {
    context_.http.Cancel(transfer_);
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
  if (now - started_ > parameters_.deadline) {
    Fail(Error{ErrorCode::kBackendTimeout, "the caller's deadline passed"});
    return;
  }
  ControlFlow(now);
  if (stage_ == Stage::kPrefill) {
    GiveUpSlowPrefill(now);
    return;
  }
  if (done() || stage_ != Stage::kDecode || paused_ || transfer_ == 0) {
    return;
  }
  if (last_data_ == TimePoint{}) {
    double bytes = static_cast<double>(EstimateTokens(parameters_.prompt)) *
                   static_cast<double>(model_.kv_bytes_per_token);
    auto decode = plan_->backends.find(grant_.decode);
    double rate = decode == plan_->backends.end()
                      ? 1
                      : static_cast<double>(decode->second.link_mb_per_s);
    double transfer_ms = bytes / (rate * kBytesPerMegabyte) * 1000;
    if (now - stage_started_ > Patience(transfer_ms, kTransferSlack)) {
      Retry("transfer_stalled", grant_.prefill);
    }
    return;
  }
  if (now - last_data_ > kStreamSilence) {
    context_.http.Cancel(transfer_);
    transfer_ = 0;
    ObserveFailure(grant_.decode);
    Retry("stream_stalled", grant_.decode);
  }
}

void Completion::GiveUpSlowPrefill(TimePoint now) {
  Duration limit = FromMillis(std::max(kLeastPrefillMs, grant_.predicted_ms) *
                              kSlowPrefillFactor) +
                   kSlowPrefillSlack;
  bool predicted = grant_.predicted_ms > 0;
  if (!predicted || now - stage_started_ < limit ||
      attempts_ >= kMaxAttempts - 1 || moved_ ||
      !context_.retries.TryAcquire()) {
    return;
  }
  moved_ = true;
  context_.control.ReportObservation(
      attempt_id_,
      BackendObservation{grant_.prefill, kSlowPrefillFactor * 2, false});
  Retry("prefill_slow", grant_.prefill);
}

bool Completion::MovePays(double gap_ms) const {
  if (moved_ || parameters_.max_tokens <= sequencer_.next()) {
    return false;
  }
  auto left = static_cast<double>(parameters_.max_tokens - sequencer_.next());
  auto target_ms = static_cast<double>(model_.token_gap_target.count());
  double saved_ms = left * (gap_ms - target_ms);
  double prefill_ms = static_cast<double>(EstimateTokens(parameters_.prompt)) *
                      static_cast<double>(model_.prefill_us_per_token) /
                      kMicrosPerMilli;
  return gap_ms > target_ms * kMoveSlowness &&
         saved_ms > kMoveGain * (prefill_ms + target_ms);
}

void Completion::ControlFlow(TimePoint now) {
  auto limit = static_cast<size_t>(context_.settings.max_buffered_bytes);
  size_t pending = writer_.PendingBytes();
  if (!paused_ && pending > limit && transfer_ != 0) {
    paused_ = true;
    paused_since_ = now;
    context_.metrics.Increment("mangoyoke_slow_callers_total");
    context_.http.Pause(transfer_, true);
  } else if (paused_ && pending < limit / 2) {
    paused_ = false;
    last_data_ = now;
    gap_tokens_ = 0;
    context_.http.Pause(transfer_, false);
  } else if (paused_ && now - paused_since_ > kSlowCallerLimit) {
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
      .Field("tokens", delivered_)
      .Field("ms", ToMillis(SteadyClock::now() - started_));
}

}  // namespace mangoyoke
