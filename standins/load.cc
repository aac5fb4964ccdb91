// Implementation of the load driver.

#include "load.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <cxxopts.hpp>
#include <iostream>

#include "token_text.h"

namespace mangoyoke::standin {
namespace {

constexpr Duration kTick = Millis(2);
constexpr Duration kRefresh = Millis(1000);
constexpr int kMaxStoryTries = 12;
constexpr int kMaxBookingTries = 12;
constexpr Duration kRetryPause = Millis(250);
constexpr Millis kBookingTimeout{6000};
constexpr Millis kStoryTimeout{60'000};

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  auto index = static_cast<size_t>(share * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

Json Quantiles(const std::vector<double>& values) {
  return Json{{"p50", Quantile(values, 0.50)},
              {"p95", Quantile(values, 0.95)},
              {"p99", Quantile(values, 0.99)},
              {"count", values.size()}};
}

// The reason in an error answer.
std::string ErrorReason(const ClientResponse& response) {
  Json body = Json::parse(response.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    return body["error"].value("reason", "unreadable");
  }
  return "status_" + std::to_string(response.status);
}

bool SaysNotRun(const ClientResponse& response) {
  Json body = Json::parse(response.body, nullptr, false);
  return body.is_object() && body.contains("error") &&
         body["error"].is_object() &&
         body["error"].value("execution", "") == "not_run";
}

// Errors that another entry may not have.
bool AnotherEntryMayServe(const std::string& reason) {
  return reason == "leaving" || reason == "not_ready" ||
         reason == "instance_suspended";
}

}  // namespace

LoadDriver::LoadDriver(boost::asio::io_context& io, LoadOptions options)
    : io_(io),
      options_(std::move(options)),
      client_(io),
      random_(options_.seed),
      tick_timer_(io),
      refresh_timer_(io) {
  for (const std::string& address : options_.entries) {
    entries_.push_back(Entry{address, ""});
  }
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  for (int64_t i = 0; i < options_.documents; ++i) {
    auto bytes = static_cast<size_t>(
        static_cast<double>(options_.document_tokens) * factor(random_) * 4);
    std::string text = "Document " + std::to_string(i) + ". ";
    while (text.size() < bytes) {
      text += "clause " + std::to_string(random_() % 100000) + " ";
    }
    text.resize(bytes);
    documents_.push_back(std::move(text));
  }
}

void LoadDriver::Run(std::function<void(Json)> on_done) {
  on_done_ = std::move(on_done);
  RefreshEntries();
  started_ = SteadyClock::now() + Millis(300);  // Until entries are known.
  last_tick_ = started_;
  tick_timer_.expires_at(started_);
  tick_timer_.async_wait([this](const boost::system::error_code&) { Tick(); });
}

void LoadDriver::RefreshEntries() {
  ClientRequest request;
  request.url = "http://" + Pick().address + "/v1/entries";
  request.timeout = Millis(1000);
  client_.Start(std::move(request), [this](ClientResponse response) {
    Json body = Json::parse(response.body, nullptr, false);
    if (response.Succeeded() && body.is_object() && !body["entries"].empty()) {
      entries_.clear();
      for (const Json& entry : body["entries"]) {
        entries_.push_back(
            Entry{entry.value("address", ""), entry.value("ticket", "")});
      }
    }
  });
  refresh_timer_.expires_after(kRefresh);
  refresh_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && sending_) {
      RefreshEntries();
    }
  });
}

const LoadDriver::Entry& LoadDriver::Pick() {
  return entries_[random_() % entries_.size()];
}

double LoadDriver::RateNow() const {
  double at = ToMillis(SteadyClock::now() - started_) / 1000;
  bool crest = at > options_.seconds / 3 && at < options_.seconds * 2 / 3;
  return options_.completions_per_s * (crest ? options_.crest_factor : 1);
}

void LoadDriver::Tick() {
  TimePoint now = SteadyClock::now();
  double elapsed_s = ToMillis(now - last_tick_) / 1000;
  last_tick_ = now;
  if (ToMillis(now - started_) > options_.seconds * 1000) {
    sending_ = false;
    MaybeDone();
    return;
  }
  std::exponential_distribution<double> next(1);
  for (stories_due_ -= elapsed_s * RateNow(); stories_due_ <= 0;) {
    stories_due_ += next(random_);
    if (options_.completions_per_s > 0) {
      StartStory();
    }
  }
  for (bookings_due_ -= elapsed_s * options_.bookings_per_s;
       bookings_due_ <= 0;) {
    bookings_due_ += next(random_);
    if (options_.bookings_per_s > 0) {
      StartBooking();
    }
  }
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](const boost::system::error_code&) { Tick(); });
}

std::string LoadDriver::MakePrompt() {
  std::string prompt = documents_[random_() % documents_.size()];
  prompt += " Question " + std::to_string(++number_) + " of " +
            std::to_string(options_.seed) + ": ";
  std::string filler = "is it fit to go out? ";
  auto bytes =
      prompt.size() + static_cast<size_t>(options_.question_tokens * 4);
  while (prompt.size() < bytes) {
    prompt += filler;
  }
  return prompt;
}

void LoadDriver::StartStory() {
  auto story = std::make_shared<Story>();
  story->prompt = MakePrompt();
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  story->tokens = std::max<int64_t>(
      1, static_cast<int64_t>(static_cast<double>(options_.output_tokens) *
                              factor(random_)));
  std::uniform_real_distribution<double> share(0, 1);
  if (share(random_) < options_.cancel_share) {
    story->cancel_after =
        1 +
        static_cast<int64_t>(random_() % static_cast<uint64_t>(story->tokens));
  }
  story->sent = SteadyClock::now();
  ++stories_;
  ++open_;
  SendStory(story);
}

void LoadDriver::SendStory(const std::shared_ptr<Story>& story) {
  ++story->tries;
  story->buffer.clear();
  story->entry = Pick().address;
  ClientRequest request;
  request.method = "POST";
  request.url = "http://" + story->entry + "/v1/completions";
  request.timeout = kStoryTimeout;
  request.connect_timeout = Millis(500);
  request.headers = {{"Content-Type", "application/json"}};
  if (!story->last_id.empty()) {
    request.headers.emplace_back("Last-Event-ID", story->last_id);
  }
  request.body = Json{
      {"model", options_.model},
      {"prompt", story->prompt},
      {"max_tokens", story->tokens},
      {"stream",
       true}}.dump();
  auto error_body = std::make_shared<std::string>();
  story->transfer = client_.Start(
      std::move(request),
      [this, story, error_body](ClientResponse response) {
        response.body = *error_body;
        OnStoryEnd(story, response);
      },
      [this, story, error_body](int status, std::string_view data) {
        if (status == 200) {
          OnStoryData(story, data);
        } else {
          error_body->append(data);
        }
      });
}

void LoadDriver::OnStoryData(const std::shared_ptr<Story>& story,
                             std::string_view data) {
  story->buffer.append(data);
  size_t end = 0;
  while ((end = story->buffer.find("\n\n")) != std::string::npos) {
    std::string event = story->buffer.substr(0, end);
    story->buffer.erase(0, end + 2);
    OnStoryEvent(story, event);
  }
}

void LoadDriver::OnStoryEvent(const std::shared_ptr<Story>& story,
                              const std::string& event) {
  size_t position = event.find("data: ");
  if (position == std::string::npos || story->closed) {
    return;
  }
  std::string data = event.substr(position + 6);
  if (data == "[DONE]") {
    story->finished = true;
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
    story->last_id = event.substr(4, event.find('\n') - 4);
  }
  TimePoint now = SteadyClock::now();
  if (story->received == 0) {
    story->first = now;
  }
  story->last = now;
  ++story->received;
  story->text += text;
  if (story->cancel_after > 0 && story->received >= story->cancel_after) {
    client_.Cancel(story->transfer);
    CloseStory(story, "cancelled");
  }
}

void LoadDriver::OnStoryEnd(const std::shared_ptr<Story>& story,
                            const ClientResponse& response) {
  if (story->closed) {
    return;
  }
  if (story->finished) {
    bool right = story->text == GeneratedText(story->prompt, story->tokens);
    CloseStory(story, right ? "complete" : "wrong");
    return;
  }
  std::string reason;
  if (response.result == TransferResult::kComplete && response.status != 200) {
    reason = ErrorReason(response);
    if (!AnotherEntryMayServe(reason)) {
      CloseStory(story, reason);
      return;
    }
  }
  if (story->tries >= kMaxStoryTries) {
    CloseStory(story, reason.empty() ? "broken" : reason);
    return;
  }
  ++resumed_;
  if (story->received > story->received_before) {
    ++cut_;  // An answer under way was broken off.
  }
  story->received_before = story->received;
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, kRetryPause);
  timer->async_wait([this, timer, story](const boost::system::error_code&) {
    SendStory(story);
  });
}

void LoadDriver::CloseStory(const std::shared_ptr<Story>& story,
                            const std::string& how) {
  story->closed = true;
  ++story_ends_[how];
  if (how == "complete") {
    double first_ms = ToMillis(story->first - story->sent);
    double gap_ms = story->received > 1
                        ? ToMillis(story->last - story->first) /
                              static_cast<double>(story->received - 1)
                        : 0;
    first_ms_.push_back(first_ms);
    gap_ms_.push_back(gap_ms);
    if (first_ms <= options_.first_token_ms &&
        gap_ms <= options_.token_gap_ms) {
      ++in_target_;
    }
  }
  --open_;
  MaybeDone();
}

void LoadDriver::StartBooking() {
  auto booking = std::make_shared<Booking>();
  const Entry& entry = Pick();
  std::string name = "booking-" + std::to_string(options_.seed) + "-" +
                     std::to_string(++number_);
  booking->key = options_.tickets && !entry.ticket.empty()
                     ? entry.ticket + ":" + name
                     : name;
  booking->entry = entry.address;
  booking->sent = SteadyClock::now();
  ++bookings_;
  ++open_;
  SendBooking(booking);
}

void LoadDriver::SendBooking(const std::shared_ptr<Booking>& booking) {
  ++booking->tries;
  ClientRequest request;
  request.method = "POST";
  request.url =
      "http://" + booking->entry + "/services/" + options_.service + "/book";
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
    double took_ms = ToMillis(SteadyClock::now() - booking->sent);
    booking_ms_.push_back(took_ms);
    double at_s = ToMillis(booking->sent - started_) / 1000;
    if (at_s > options_.seconds / 3 && at_s < options_.seconds * 2 / 3) {
      crest_booking_ms_.push_back(took_ms);
    }
    CloseBooking(booking, "confirmed");
    return;
  }
  if (response.result == TransferResult::kComplete) {
    std::string reason = ErrorReason(response);
    bool not_run = SaysNotRun(response);
    bool final = !AnotherEntryMayServe(reason) && reason != "owner_unreachable";
    if (final || booking->tries >= kMaxBookingTries) {
      CloseBooking(booking, (not_run ? "not_run:" : "unknown:") + reason);
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
  booking->entry = Pick().address;
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, kRetryPause);
  timer->async_wait([this, timer, booking](const boost::system::error_code&) {
    SendBooking(booking);
  });
}

void LoadDriver::CloseBooking(const std::shared_ptr<Booking>& booking,
                              const std::string& how) {
  ++booking_ends_[how];
  booking_outcome_[booking->key] = how;
  --open_;
  MaybeDone();
}

void LoadDriver::MaybeDone() {
  if (sending_ || open_ > 0 || !on_done_) {
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
  int64_t doubles = 0;
  int64_t ran_though_not_run = 0;
  int64_t confirmed_not_executed = 0;
  for (const auto& [key, how] : booking_outcome_) {
    auto it = executions_.find(key);
    int64_t count = it == executions_.end() ? 0 : it->second;
    doubles += count > 1 ? 1 : 0;
    ran_though_not_run += how.starts_with("not_run") && count > 0 ? 1 : 0;
    confirmed_not_executed += how == "confirmed" && count == 0 ? 1 : 0;
  }
  Json report{{"completions", Json{{"sent", stories_},
                                   {"in_target", in_target_},
                                   {"ends", story_ends_},
                                   {"resumed", resumed_},
                                   {"cut", cut_},
                                   {"first_token_ms", Quantiles(first_ms_)},
                                   {"token_gap_ms", Quantiles(gap_ms_)}}},
              {"bookings", Json{{"sent", bookings_},
                                {"ends", booking_ends_},
                                {"ms", Quantiles(booking_ms_)},
                                {"crest_ms", Quantiles(crest_booking_ms_)}}}};
  if (!options_.service_urls.empty()) {
    report["bookings"]["doubles"] = doubles;
    report["bookings"]["ran_though_not_run"] = ran_though_not_run;
    report["bookings"]["confirmed_not_executed"] = confirmed_not_executed;
  }
  return report;
}

int RunLoad(int argc, char** argv) {
  cxxopts::Options parser("standin load", "Load driver");
  LoadOptions options;
  parser.add_options()("entries", "IP:port,...",
                       cxxopts::value(options.entries))(
      "seconds", "length", cxxopts::value(options.seconds))(
      "rate", "completions a second",
      cxxopts::value(options.completions_per_s))(
      "crest", "rate multiple in the middle third",
      cxxopts::value(options.crest_factor))(
      "bookings", "bookings a second", cxxopts::value(options.bookings_per_s))(
      "documents", "shared documents", cxxopts::value(options.documents))(
      "document-tokens", "mean size", cxxopts::value(options.document_tokens))(
      "question-tokens", "size", cxxopts::value(options.question_tokens))(
      "output-tokens", "mean length", cxxopts::value(options.output_tokens))(
      "cancel-share", "callers that go away",
      cxxopts::value(options.cancel_share))("no-tickets",
                                            "keys without ticket")(
      "gap-target-ms", "time between tokens",
      cxxopts::value(options.token_gap_ms))("model", "model",
                                            cxxopts::value(options.model))(
      "service", "service", cxxopts::value(options.service))(
      "service-urls", "where executions are counted",
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
