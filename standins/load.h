// Load driver: callers that behave as the documentation asks them to. They
// ask for entries, keep the answer for its time to live, resume broken
// streams by Last-Event-ID, and repeat bookings with the same key.

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

struct LoadOptions {
  std::vector<std::string> entries;  // "IP:port", the first to ask.
  double seconds = 5;
  double completions_per_s = 10;
  double crest_factor = 1;  // Rate multiple during the middle third.
  double bookings_per_s = 0;
  int64_t documents = 8;
  int64_t document_tokens = 2000;  // Mean; 0.5 to 1.5 times.
  int64_t question_tokens = 200;
  int64_t output_tokens = 60;    // Mean; 0.5 to 1.5 times.
  double cancel_share = 0;       // Callers that go away early.
  bool tickets = true;           // Keys start with a ticket.
  double first_token_ms = 1500;  // Targets for goodput.
  double token_gap_ms = 34;
  std::string service = "bookings";
  std::string model = "assistant";
  std::vector<std::string> service_urls;  // To count executions at the end.
  uint64_t seed = 1;
};

class LoadDriver {
 public:
  LoadDriver(boost::asio::io_context& io, LoadOptions options);

  // Runs the load; `on_done` gets the report.
  void Run(std::function<void(Json)> on_done);

 private:
  struct Entry {
    std::string address;
    std::string ticket;
  };
  // One completion, over all its connections.
  struct Story {
    std::string prompt;
    int64_t tokens = 0;
    std::string buffer;
    std::string text;
    std::string last_id;
    bool finished = false;
    int tries = 0;
    int64_t cancel_after = 0;  // Tokens; 0 for never.
    int64_t received = 0;
    int64_t received_before = 0;  // On earlier connections.
    TimePoint sent;
    TimePoint first;
    TimePoint last;
    std::string entry;
    TransferId transfer = 0;
    bool closed = false;
  };
  struct Booking {
    std::string key;
    TimePoint sent;
    int tries = 0;
    std::string entry;
  };

  void RefreshEntries();
  const Entry& Pick();
  void ScheduleNext();
  void Tick();
  double RateNow() const;
  std::string MakePrompt();
  void StartStory();
  void SendStory(const std::shared_ptr<Story>& story);
  void OnStoryData(const std::shared_ptr<Story>& story, std::string_view data);
  void OnStoryEvent(const std::shared_ptr<Story>& story,
                    const std::string& event);
  void OnStoryEnd(const std::shared_ptr<Story>& story,
                  const ClientResponse& response);
  void CloseStory(const std::shared_ptr<Story>& story, const std::string& how);
  void StartBooking();
  void SendBooking(const std::shared_ptr<Booking>& booking);
  void OnBookingEnd(const std::shared_ptr<Booking>& booking,
                    const ClientResponse& response);
  void RetryBooking(const std::shared_ptr<Booking>& booking);
  void CloseBooking(const std::shared_ptr<Booking>& booking,
                    const std::string& how);
  void MaybeDone();
  void CountExecutions(size_t next);
  Json Report() const;

  boost::asio::io_context& io_;
  LoadOptions options_;
  HttpClient client_;
  std::mt19937_64 random_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer refresh_timer_;
  std::vector<Entry> entries_;
  std::vector<std::string> documents_;
  TimePoint started_;
  double stories_due_ = 0;
  double bookings_due_ = 0;
  TimePoint last_tick_;
  int64_t number_ = 0;
  size_t open_ = 0;
  bool sending_ = true;
  std::function<void(Json)> on_done_;

  std::map<std::string, int64_t> story_ends_;
  std::map<std::string, int64_t> booking_ends_;
  std::map<std::string, std::string> booking_outcome_;  // By key.
  std::map<std::string, int64_t> executions_;           // By key.
  int64_t stories_ = 0;
  int64_t bookings_ = 0;
  int64_t in_target_ = 0;
  int64_t resumed_ = 0;
  int64_t cut_ = 0;
  std::vector<double> first_ms_;
  std::vector<double> gap_ms_;
  std::vector<double> booking_ms_;
  std::vector<double> crest_booking_ms_;
};

}  // namespace mangoyoke::standin

#endif  // MANGOYOKE_STANDINS_LOAD_H_
