// Load generator for tests and benchmarks: callers that follow the documented
// protocol.
//
//  - They fetch the list of instances and refresh it regularly.
//  - They resume interrupted streams with Last-Event-ID.
//  - They retry bookings with the same idempotency key.

#ifndef MANGOYOKE_STANDINS_LOAD_H_
#define MANGOYOKE_STANDINS_LOAD_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "standin_server.h"

namespace mangoyoke::standin {

// Settings of one load run, taken from the command line.
struct LoadOptions {
  std::vector<std::string> seed_addresses;  // "IP:port" of instances.
  double seconds = 5;                       // How long requests are started.
  double completions_per_s = 10;
  double peak_rate_factor = 1;  // Rate multiplier during the middle third.
  double bookings_per_s = 0;
  int64_t documents = 8;
  int64_t document_tokens = 2000;  // Mean; uniform from 0.5 to 1.5 times it.
  int64_t question_tokens = 200;
  int64_t output_tokens = 60;    // Mean; uniform from 0.5 to 1.5 times it.
  double cancel_share = 0;       // Share of callers that disconnect early.
  bool tickets = true;           // Start idempotency keys with a ticket.
  double first_token_ms = 1500;  // Target latencies that
  double token_gap_ms = 34;      // define goodput.
  std::string service = "bookings";
  std::string model = "assistant";
  std::vector<std::string> service_urls;  // Services asked for executions.
  uint64_t seed = 1;
};

// Generates the load and collects the results. Runs on the thread of its
// io_context only.
class LoadDriver {
 public:
  LoadDriver(boost::asio::io_context& io, LoadOptions options);

  // Starts the load. `on_done` is called once, with the report, when all
  // requests have ended.
  void Run(std::function<void(Json)> on_done);

 private:
  struct Instance {
    std::string address;
    std::string ticket;
  };
  // One completion request with all its tries.
  struct Completion {
    std::string prompt;
    int64_t tokens = 0;
    std::string buffer;  // Received data up to the end of an event.
    std::string text;
    std::string last_id;         // Id of the last event with text.
    bool done_received = false;  // "[DONE]" has arrived.
    int tries = 0;
    int64_t cancel_after_tokens = 0;  // 0: never.
    int64_t received = 0;             // Tokens over all tries.
    int64_t received_before = 0;      // Tokens when the last try ended.
    TimePoint sent_at;
    TimePoint first;  // Arrival of the first token.
    TimePoint last;   // Arrival of the last token so far.
    std::string address;
    TransferId transfer = 0;
    bool is_closed = false;
  };
  // One booking with all its tries.
  struct Booking {
    std::string key;
    TimePoint sent_at;
    int tries = 0;
    std::string address;
  };

  // Fetches the list of instances, and again once a second while requests are
  // started.
  void RefreshInstanceList();
  // Picks a random instance of the list.
  const Instance& PickInstance();
  void ScheduleNext();
  // Starts the requests that are due. Arrivals form a Poisson process.
  void Tick();
  // Completions per second to start now.
  double CurrentCompletionRate() const;
  std::string MakePrompt();
  void StartCompletion();
  void SendCompletion(const std::shared_ptr<Completion>& completion);
  void OnCompletionData(const std::shared_ptr<Completion>& completion,
                        std::string_view data);
  void OnCompletionEvent(const std::shared_ptr<Completion>& completion,
                         const std::string& event);
  void OnCompletionEnd(const std::shared_ptr<Completion>& completion,
                       const ClientResponse& response);
  void CloseCompletion(const std::shared_ptr<Completion>& completion,
                       const std::string& outcome);
  void StartBooking();
  void SendBooking(const std::shared_ptr<Booking>& booking);
  void OnBookingEnd(const std::shared_ptr<Booking>& booking,
                    const ClientResponse& response);
  void RetryBooking(const std::shared_ptr<Booking>& booking);
  void CloseBooking(const std::shared_ptr<Booking>& booking,
                    const std::string& outcome);
  // Starts CountExecutions() when all requests have ended.
  void FinishIfDone();
  // Asks the services from index `next` on how often each key was executed,
  // then reports.
  void CountExecutions(size_t next);
  Json Report() const;

  boost::asio::io_context& io_;
  LoadOptions options_;
  HttpClient client_;
  std::mt19937_64 random_engine_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer refresh_timer_;
  std::vector<Instance> instances_;
  std::vector<std::string> documents_;
  TimePoint started_;
  // Time until the next request is started, in mean intervals between requests.
  double completions_due_ = 0;
  double bookings_due_ = 0;
  TimePoint last_tick_;
  int64_t last_number_ = 0;  // Makes prompts and booking keys distinct.
  size_t open_requests_ = 0;
  bool sending_ = true;
  std::function<void(Json)> on_done_;

  std::map<std::string, int64_t> completion_outcomes_;  // Count by outcome.
  std::map<std::string, int64_t> booking_outcomes_;     // Count by outcome.
  std::map<std::string, std::string> outcome_by_key_;   // Of bookings.
  std::map<std::string, int64_t> executions_;           // Count by key.
  int64_t completions_ = 0;
  int64_t bookings_ = 0;
  int64_t in_target_ = 0;    // Complete within both target latencies.
  int64_t retried_ = 0;      // Further tries of completions.
  int64_t interrupted_ = 0;  // Tries that broke off after some tokens.
  std::vector<double> first_token_ms_;
  std::vector<double> token_gap_ms_;
  std::vector<double> booking_ms_;
  std::vector<double> peak_booking_ms_;  // Sent in the middle third.
};

}  // namespace mangoyoke::standin

#endif  // MANGOYOKE_STANDINS_LOAD_H_
