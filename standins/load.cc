// Implementation of the load generator.

#include "load.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <cxxopts.hpp>
#include <iostream>

#include "token_text.h"

namespace mangoyoke::standin {
namespace {

constexpr Duration kTickInterval = Millis(2);
constexpr Duration kInstanceListRefreshInterval = Millis(1000);
constexpr int kMaxCompletionTries = 12;
constexpr int kMaxBookingTries = 12;
constexpr Duration kRetryDelay = Millis(250);
constexpr Millis kBookingTimeout{6000};
constexpr Millis kCompletionTimeout{60'000};

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  auto index =
      static_cast<size_t>(fraction * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

Json Quantiles(const std::vector<double>& values) {
  return Json{{"p50", Quantile(values, 0.50)},
              {"p95", Quantile(values, 0.95)},
              {"p99", Quantile(values, 0.99)},
              {"count", values.size()}};
}

// The reason in the body of an error response, else "status_N".
std::string ErrorReason(const ClientResponse& response) {
  Json body = Json::parse(response.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    return body["error"].value("reason", "unreadable");
  }
  return "status_" + std::to_string(response.status);
}

// Whether the error response states that the call was not executed.
bool IsNotExecuted(const ClientResponse& response) {
  Json body = Json::parse(response.body, nullptr, false);
  return body.is_object() && body.contains("error") &&
         body["error"].is_object() &&
         body["error"].value("execution", "") == "not_run";
}

// Whether another instance may serve a request refused for `reason`.
bool IsServableElsewhere(const std::string& reason) {
  return reason == "leaving" || reason == "not_ready" ||
         reason == "instance_suspended";
}

}  // namespace

LoadDriver::LoadDriver(boost::asio::io_context& io, LoadOptions options)
    : io_(io),
      options_(std::move(options)),
      client_(io),
      random_engine_(options_.seed),
      tick_timer_(io),
      refresh_timer_(io) {
  for (const std::string& address : options_.seed_addresses) {
    instances_.push_back(Instance{address, ""});
  }
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  for (int64_t i = 0; i < options_.documents; ++i) {
    auto bytes =
        static_cast<size_t>(static_cast<double>(options_.document_tokens) *
                            factor(random_engine_) * 4);
    std::string text = "Document " + std::to_string(i) + ". ";
    while (text.size() < bytes) {
      text += "clause " + std::to_string(random_engine_() % 100000) + " ";
    }
    text.resize(bytes);
    documents_.push_back(std::move(text));
  }
}

void LoadDriver::Run(std::function<void(Json)> on_done) {
  on_done_ = std::move(on_done);
  RefreshInstanceList();
  // Leaves time to fetch the list of instances.
  started_ = SteadyClock::now() + Millis(300);
  last_tick_ = started_;
  tick_timer_.expires_at(started_);
  tick_timer_.async_wait([this](const boost::system::error_code&) { Tick(); });
}

void LoadDriver::RefreshInstanceList() {
  ClientRequest request;
  request.url = "http://" + PickInstance().address + "/v1/entries";
  request.timeout = Millis(1000);
  client_.Start(std::move(request), [this](ClientResponse response) {
    Json body = Json::parse(response.body, nullptr, false);
    if (response.Succeeded() && body.is_object() && !body["entries"].empty()) {
      instances_.clear();
      for (const Json& instance : body["entries"]) {
        instances_.push_back(Instance{instance.value("address", ""),
                                      instance.value("ticket", "")});
      }
    }
  });
  refresh_timer_.expires_after(kInstanceListRefreshInterval);
  refresh_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && sending_) {
      RefreshInstanceList();
    }
  });
}

const LoadDriver::Instance& LoadDriver::PickInstance() {
  return instances_[random_engine_() % instances_.size()];
}

double LoadDriver::CurrentCompletionRate() const {
  double at = ToMillis(SteadyClock::now() - started_) / 1000;
  bool in_peak = at > options_.seconds / 3 && at < options_.seconds * 2 / 3;
  return options_.completions_per_s * (in_peak ? options_.peak_rate_factor : 1);
}

void LoadDriver::Tick() {
  TimePoint now = SteadyClock::now();
  double elapsed_s = ToMillis(now - last_tick_) / 1000;
  last_tick_ = now;
  if (ToMillis(now - started_) > options_.seconds * 1000) {
    sending_ = false;
    FinishIfDone();
    return;
  }
  std::exponential_distribution<double> next(1);
  for (completions_due_ -= elapsed_s * CurrentCompletionRate();
       completions_due_ <= 0;) {
    completions_due_ += next(random_engine_);
    if (options_.completions_per_s > 0) {
      StartCompletion();
    }
  }
  for (bookings_due_ -= elapsed_s * options_.bookings_per_s;
       bookings_due_ <= 0;) {
    bookings_due_ += next(random_engine_);
    if (options_.bookings_per_s > 0) {
      StartBooking();
    }
  }
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code&) { Tick(); });
}

std::string LoadDriver::MakePrompt() {
  std::string prompt = documents_[random_engine_() % documents_.size()];
  prompt += " Question " + std::to_string(++last_number_) + " of " +
            std::to_string(options_.seed) + ": ";
  std::string filler = "is it fit to go out? ";
  auto bytes =
      prompt.size() + static_cast<size_t>(options_.question_tokens * 4);
  while (prompt.size() < bytes) {
    prompt += filler;
  }
  return prompt;
}

void LoadDriver::StartCompletion() {
  auto completion = std::make_shared<Completion>();
  completion->prompt = MakePrompt();
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  completion->tokens = std::max<int64_t>(
      1, static_cast<int64_t>(static_cast<double>(options_.output_tokens) *
                              factor(random_engine_)));
  std::uniform_real_distribution<double> share(0, 1);
  if (share(random_engine_) < options_.cancel_share) {
    completion->cancel_after_tokens =
        1 + static_cast<int64_t>(random_engine_() %
                                 static_cast<uint64_t>(completion->tokens));
  }
  completion->sent_at = SteadyClock::now();
  ++completions_;
  ++open_requests_;
  SendCompletion(completion);
}

void LoadDriver::SendCompletion(const std::shared_ptr<Completion>& completion) {
  ++completion->tries;
  completion->buffer.clear();
  completion->address = PickInstance().address;
  ClientRequest request;
  request.method = "POST";
  request.url = "http://" + completion->address + "/v1/completions";
  request.timeout = kCompletionTimeout;
  request.connect_timeout = Millis(500);
  request.headers = {{"Content-Type", "application/json"}};
  if (!completion->last_id.empty()) {
    request.headers.emplace_back("Last-Event-ID", completion->last_id);
  }
  request.body = Json{
      {"model", options_.model},
      {"prompt", completion->prompt},
      {"max_tokens", completion->tokens},
      {"stream",
       true}}.dump();
  auto error_body = std::make_shared<std::string>();
  completion->transfer = client_.Start(
      std::move(request),
      [this, completion, error_body](ClientResponse response) {
        response.body = *error_body;
        OnCompletionEnd(completion, response);
      },
      [this, completion, error_body](int status, std::string_view data) {
        if (status == 200) {
          OnCompletionData(completion, data);
        } else {
          error_body->append(data);
        }
      });
}

void LoadDriver::OnCompletionData(const std::shared_ptr<Completion>& completion,
                                  std::string_view data) {
  completion->buffer.append(data);
  size_t end = 0;
  while ((end = completion->buffer.find("\n\n")) != std::string::npos) {
    std::string event = completion->buffer.substr(0, end);
    completion->buffer.erase(0, end + 2);
    OnCompletionEvent(completion, event);
  }
}

void LoadDriver::OnCompletionEvent(
    const std::shared_ptr<Completion>& completion,
    const std::string& event) {
  size_t position = event.find("data: ");
  if (position == std::string::npos || completion->is_closed) {
    return;
  }
  std::string data = event.substr(position + 6);
  if (data == "[DONE]") {
    completion->done_received = true;
    return;
  }
  Json chunk = Json::parse(data, nullptr, false);
  if (!chunk.is_object() || !chunk.contains("choices")) {
    return;
  }
  std::string text = chunk["choices"][0].value("text", "");
  if (text.empty()) {
    return;
  }
  if (event.starts_with("id: ")) {
    completion->last_id = event.substr(4, event.find('\n') - 4);
  }
  TimePoint now = SteadyClock::now();
  if (completion->received == 0) {
    completion->first = now;
  }
  completion->last = now;
  ++completion->received;
  completion->text += text;
  if (completion->cancel_after_tokens > 0 &&
      completion->received >= completion->cancel_after_tokens) {
    client_.Cancel(completion->transfer);
    CloseCompletion(completion, "cancelled");
  }
}

void LoadDriver::OnCompletionEnd(const std::shared_ptr<Completion>& completion,
                                 const ClientResponse& response) {
  if (completion->is_closed) {
    return;
  }
  if (completion->done_received) {
    bool text_matches = completion->text ==
                        GeneratedText(completion->prompt, completion->tokens);
    CloseCompletion(completion, text_matches ? "complete" : "wrong");
    return;
  }
  std::string reason;
  if (response.result == TransferResult::kComplete && response.status != 200) {
    reason = ErrorReason(response);
    if (!IsServableElsewhere(reason)) {
      CloseCompletion(completion, reason);
      return;
    }
  }
  if (completion->tries >= kMaxCompletionTries) {
    CloseCompletion(completion, reason.empty() ? "broken" : reason);
    return;
  }
  ++retried_;
  if (completion->received > completion->received_before) {
    ++interrupted_;  // The stream broke after new tokens had arrived.
  }
  completion->received_before = completion->received;
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, kRetryDelay);
  timer->async_wait(
      [this, timer, completion](const boost::system::error_code&) {
        SendCompletion(completion);
      });
}

void LoadDriver::CloseCompletion(const std::shared_ptr<Completion>& completion,
                                 const std::string& outcome) {
  completion->is_closed = true;
  ++completion_outcomes_[outcome];
  if (outcome == "complete") {
    double first_ms = ToMillis(completion->first - completion->sent_at);
    double gap_ms = completion->received > 1
                        ? ToMillis(completion->last - completion->first) /
                              static_cast<double>(completion->received - 1)
                        : 0;
    first_token_ms_.push_back(first_ms);
    token_gap_ms_.push_back(gap_ms);
    if (first_ms <= options_.first_token_ms &&
        gap_ms <= options_.token_gap_ms) {
      ++in_target_;
    }
  }
  --open_requests_;
  FinishIfDone();
}

void LoadDriver::StartBooking() {
  auto booking = std::make_shared<Booking>();
  const Instance& instance = PickInstance();
  std::string name = "booking-" + std::to_string(options_.seed) + "-" +
                     std::to_string(++last_number_);
  booking->key = options_.tickets && !instance.ticket.empty()
                     ? instance.ticket + ":" + name
                     : name;
  booking->address = instance.address;
  booking->sent_at = SteadyClock::now();
  ++bookings_;
  ++open_requests_;
  SendBooking(booking);
}

void LoadDriver::SendBooking(const std::shared_ptr<Booking>& booking) {
  ++booking->tries;
  ClientRequest request;
  request.method = "POST";
  request.url =
      "http://" + booking->address + "/services/" + options_.service + "/book";
  request.timeout = kBookingTimeout;
  request.connect_timeout = Millis(500);
  request.headers = {{"Idempotency-Key", booking->key},
                     {"Content-Type", "application/json"}};
  request.body = Json{{"splitter", booking->key}}.dump();
  client_.Start(std::move(request), [this, booking](ClientResponse response) {
    OnBookingEnd(booking, response);
  });
}

void LoadDriver::OnBookingEnd(const std::shared_ptr<Booking>& booking,
                              const ClientResponse& response) {
  if (response.Succeeded()) {
    double took_ms = ToMillis(SteadyClock::now() - booking->sent_at);
    booking_ms_.push_back(took_ms);
    double at_s = ToMillis(booking->sent_at - started_) / 1000;
    if (at_s > options_.seconds / 3 && at_s < options_.seconds * 2 / 3) {
      peak_booking_ms_.push_back(took_ms);
    }
    CloseBooking(booking, "confirmed");
    return;
  }
  if (response.result == TransferResult::kComplete) {
    std::string reason = ErrorReason(response);
    bool not_executed = IsNotExecuted(response);
    bool final = !IsServableElsewhere(reason) && reason != "owner_unreachable";
    if (final || booking->tries >= kMaxBookingTries) {
      CloseBooking(booking, (not_executed ? "not_run:" : "unknown:") + reason);
      return;
    }
  }
  if (booking->tries >= kMaxBookingTries) {
    CloseBooking(booking, "unknown:no_answer");
    return;
  }
  RetryBooking(booking);
}

void LoadDriver::RetryBooking(const std::shared_ptr<Booking>& booking) {
  booking->address = PickInstance().address;
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, kRetryDelay);
  timer->async_wait([this, timer, booking](const boost::system::error_code&) {
    SendBooking(booking);
  });
}

void LoadDriver::CloseBooking(const std::shared_ptr<Booking>& booking,
                              const std::string& outcome) {
  ++booking_outcomes_[outcome];
  outcome_by_key_[booking->key] = outcome;
  --open_requests_;
  FinishIfDone();
}

void LoadDriver::FinishIfDone() {
  if (sending_ || open_requests_ > 0 || !on_done_) {
    return;
  }
  CountExecutions(0);
}

void LoadDriver::CountExecutions(size_t next) {
  if (next == options_.service_urls.size()) {
    auto on_done = std::exchange(on_done_, nullptr);
    if (on_done) {
      on_done(Report());
    }
    return;
  }
  ClientRequest request;
  request.url = options_.service_urls[next] + "/admin/executions";
  client_.Start(std::move(request), [this, next](ClientResponse response) {
    Json body = Json::parse(response.body, nullptr, false);
    if (body.is_object()) {
      for (const auto& [key, count] : body["keys"].items()) {
        executions_[key] += count.get<int64_t>();
      }
    }
    CountExecutions(next + 1);
  });
}

Json LoadDriver::Report() const {
  int64_t duplicates = 0;
  int64_t wrongly_reported_not_executed = 0;
  int64_t confirmed_not_executed = 0;
  for (const auto& [key, outcome] : outcome_by_key_) {
    auto it = executions_.find(key);
    int64_t count = it == executions_.end() ? 0 : it->second;
    duplicates += count > 1 ? 1 : 0;
    wrongly_reported_not_executed +=
        outcome.starts_with("not_run") && count > 0 ? 1 : 0;
    confirmed_not_executed += outcome == "confirmed" && count == 0 ? 1 : 0;
  }
  Json report{
      {"completions", Json{{"sent", completions_},
                           {"in_target", in_target_},
                           {"ends", completion_outcomes_},
                           {"resumed", retried_},
                           {"cut", interrupted_},
                           {"first_token_ms", Quantiles(first_token_ms_)},
                           {"token_gap_ms", Quantiles(token_gap_ms_)}}},
      {"bookings", Json{{"sent", bookings_},
                        {"ends", booking_outcomes_},
                        {"ms", Quantiles(booking_ms_)},
                        {"crest_ms", Quantiles(peak_booking_ms_)}}}};
  if (!options_.service_urls.empty()) {
    report["bookings"]["doubles"] = duplicates;
    report["bookings"]["ran_though_not_run"] = wrongly_reported_not_executed;
    report["bookings"]["confirmed_not_executed"] = confirmed_not_executed;
  }
  return report;
}

int RunLoad(int argc, char** argv) {
  cxxopts::Options parser("standin load", "Load generator");
  LoadOptions options;
  parser.add_options()("entries", "IP:port,...",
                       cxxopts::value(options.seed_addresses))(
      "seconds", "length of the load, s", cxxopts::value(options.seconds))(
      "rate", "completions a second",
      cxxopts::value(options.completions_per_s))(
      "crest", "rate multiplier in the middle third",
      cxxopts::value(options.peak_rate_factor))(
      "bookings", "bookings a second", cxxopts::value(options.bookings_per_s))(
      "documents", "number of shared documents",
      cxxopts::value(options.documents))(
      "document-tokens", "mean size of a document, tokens",
      cxxopts::value(options.document_tokens))(
      "question-tokens", "size of a question, tokens",
      cxxopts::value(options.question_tokens))(
      "output-tokens", "mean length of a response, tokens",
      cxxopts::value(options.output_tokens))(
      "cancel-share", "share of callers that disconnect early",
      cxxopts::value(options.cancel_share))(
      "no-tickets", "send idempotency keys without a ticket")(
      "gap-target-ms", "target time between tokens, ms",
      cxxopts::value(options.token_gap_ms))("model", "name of the model",
                                            cxxopts::value(options.model))(
      "service", "name of the service", cxxopts::value(options.service))(
      "service-urls", "services whose executions are counted",
      cxxopts::value(options.service_urls))("seed", "random seed",
                                            cxxopts::value(options.seed));
  auto parsed = parser.parse(argc, argv);
  options.tickets = parsed.count("no-tickets") == 0;
  boost::asio::io_context io(1);
  LoadDriver driver(io, options);
  driver.Run([&io](const Json& report) {
    std::cout << report.dump(2) << "\n";
    io.stop();
  });
  io.run();
  return 0;
}

}  // namespace mangoyoke::standin
