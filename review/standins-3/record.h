// The record of a case: one line for each thing that was sent, answered or run,
// with the milliseconds since the case began. Several processes may write to
// one record.

#ifndef MANGOYOKE_REVIEW_STANDINS_3_RECORD_H_
#define MANGOYOKE_REVIEW_STANDINS_3_RECORD_H_

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <string>

namespace mangoyoke::review {

// Milliseconds of the steady clock, which all processes of a machine share.
inline int64_t SteadyMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Thread-safe: each line is a single write.
class Record {
 public:
  // Appends to the file at `path`. `began`: SteadyMillis() of time 0.
  Record(const std::string& path, int64_t began)
      : path_(path),
        began_(began),
        file_(open(path.c_str(),
                   O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                   0644)) {}
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record() { close(file_); }

  void Line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof(time), "%7lld ms  ",
                  static_cast<long long>(Millis()));
    std::string line = time + text + "\n";
    if (write(file_, line.data(), line.size()) < 0) {
      std::perror("record");
    }
  }
  // Milliseconds since time 0.
  int64_t Millis() const { return SteadyMillis() - began_; }

  const std::string& path() const { return path_; }
  int64_t began() const { return began_; }

 private:
  std::string path_;
  int64_t began_;
  int file_;
};

}  // namespace mangoyoke::review

#endif  // MANGOYOKE_REVIEW_STANDINS_3_RECORD_H_
