// A process that the case starts, and ends at the latest with itself.

#ifndef MANGOYOKE_REVIEW_STANDINS_3_CHILD_PROCESS_H_
#define MANGOYOKE_REVIEW_STANDINS_3_CHILD_PROCESS_H_

#include <string>
#include <vector>

#include <sys/types.h>

namespace mangoyoke::review {

class ChildProcess {
 public:
  // Starts `command`. Its output is appended to the file `output`. Throws
  // std::runtime_error if that fails.
  ChildProcess(const std::vector<std::string>& command,
               const std::string& output);
  // Kills the process if it runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Sends a signal; no effect once the process has ended.
  void Signal(int signal);
  // Kills the process and waits for its end.
  void Kill();
  // Whether the process has ended.
  bool Ended();

 private:
  pid_t pid_ = 0;  // 0: it has ended.
};

}  // namespace mangoyoke::review

#endif  // MANGOYOKE_REVIEW_STANDINS_3_CHILD_PROCESS_H_
