// The root of the supervisor tree: runs the event loops of the control thread
// and the traffic threads, and restarts a loop that failed at a bounded rate.
//
//   root (this file)
//   |- control thread (control/): membership, plan, slots, calls, orders,
//   |                             admin
//   `- traffic threads (traffic/): completions, service calls
//
// A root that cannot hold its children ends the process, so that the platform
// replaces the instance.

#ifndef MANGOYOKE_BASE_SUPERVISOR_H_
#define MANGOYOKE_BASE_SUPERVISOR_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/metrics.h"

namespace mangoyoke {

class Supervisor {
 public:
  explicit Supervisor(Metrics& metrics) : metrics_(metrics) {}
  ~Supervisor();

  // Adds a loop. It outlives all objects that use its io_context as long as
  // the supervisor lives.
  boost::asio::io_context& AddLoop(const std::string& name);
  // Starts one thread for each loop.
  void Start();
  // Stops all loops and waits for their threads.
  void Stop();

 private:
  struct Loop {
    std::string name;
    boost::asio::io_context io{1};
    std::thread thread;
  };

  void Run(Loop& loop);

  Metrics& metrics_;
  std::vector<std::unique_ptr<Loop>> loops_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_SUPERVISOR_H_
