// Implementation of the supervisor.

#include "base/supervisor.h"

#include <cstdlib>
#include <deque>

#include "base/log.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {
namespace {

// The process ends when one loop fails more often than this within the window.
constexpr size_t kMaxFailures = 5;
constexpr Duration kFailureWindow = Seconds(60);
constexpr int kExitTooManyFailures = 70;

}  // namespace

Supervisor::~Supervisor() {
  Stop();
}

boost::asio::io_context& Supervisor::AddLoop(const std::string& name) {
  loops_.push_back(std::make_unique<Loop>());
  loops_.back()->name = name;
  return loops_.back()->io;
}

void Supervisor::Start() {
  for (auto& loop : loops_) {
    loop->thread = std::thread([this, &loop = *loop] { RunLoop(loop); });
  }
}

void Supervisor::Stop() {
  for (auto& loop : loops_) {
    loop->io.stop();
  }
  for (auto& loop : loops_) {
    if (loop->thread.joinable()) {
      loop->thread.join();
    }
  }
}

void Supervisor::RunLoop(Loop& loop) {
  auto work_guard = boost::asio::make_work_guard(loop.io);
  std::deque<TimePoint> failures;
  while (true) {
    try {
      loop.io.run();
      return;
    } catch (const std::exception& exception) {
      LogEvent("loop_failed", LogLevel::kError)
          .Field("loop", loop.name)
          .Field("why", exception.what());
      metrics_.Increment("mangoyoke_loop_failures_total", "loop", loop.name);
    }
    TimePoint now = SteadyClock::now();
    failures.push_back(now);
    while (now - failures.front() > kFailureWindow) {
      failures.pop_front();
    }
    if (failures.size() > kMaxFailures) {
      LogEvent("root_gives_up", LogLevel::kError).Field("loop", loop.name);
      std::_Exit(kExitTooManyFailures);
    }
  }
}

}  // namespace mangoyoke
