// The root of the supervisor tree: runs the event loops of the control thread
// and the traffic threads, and restarts a loop whose handler threw an
// exception.
//
//   root (this file)
//   |- control thread (src/daemon/control/): membership, plan, slots, calls,
//   |                                        orders, admin
//   `- traffic threads (src/daemon/traffic/): completions, service calls
//
// A loop that fails too often in a short time (limits in supervisor.cc) ends
// the process, so that the platform replaces the instance.

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

// Owns event loops and their threads.
class Supervisor {
 public:
  explicit Supervisor(Metrics& metrics) : metrics_(metrics) {}
  ~Supervisor();

  // Adds a loop; call before Start(). `name` appears in logs and metrics. The
  // io_context lives as long as the supervisor.
  boost::asio::io_context& AddLoop(const std::string& name);
  // Starts one thread per loop.
  void Start();
  // Stops all loops and waits for their threads.
  void Stop();

 private:
  struct Loop {
    std::string name;
    boost::asio::io_context io{1};
    std::thread thread;
  };

  // Runs `loop` until Stop(). Logs each exception that a handler throws and
  // runs the loop again.
  void RunLoop(Loop& loop);

  Metrics& metrics_;
  std::vector<std::unique_ptr<Loop>> loops_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_SUPERVISOR_H_
