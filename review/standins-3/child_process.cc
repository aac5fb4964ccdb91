// Starts and signals processes by id.

#include "child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

namespace mangoyoke::review {

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& output) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ < 0) {
    throw std::runtime_error("cannot start " + command.front());
  }
  if (pid_ == 0) {
    // Also if the case itself is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
}

ChildProcess::~ChildProcess() {
  Kill();
}

void ChildProcess::Signal(int signal) {
  if (!Ended()) {
    kill(pid_, signal);
  }
}

void ChildProcess::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

bool ChildProcess::Ended() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ == 0;
}

}  // namespace mangoyoke::review
