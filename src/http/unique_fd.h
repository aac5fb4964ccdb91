// Owns one file descriptor and closes it when destroyed.

#ifndef MANGOYOKE_HTTP_UNIQUE_FD_H_
#define MANGOYOKE_HTTP_UNIQUE_FD_H_

#include <unistd.h>

#include <utility>

namespace mangoyoke {

// Movable, not copyable. Move assignment swaps the two descriptors.
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : fd_(fd) {}
  UniqueFd(UniqueFd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~UniqueFd() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }

  // The descriptor; -1 if empty.
  int Get() const { return fd_; }
  // Gives up ownership and returns the descriptor.
  int Release() { return std::exchange(fd_, -1); }

 private:
  int fd_ = -1;  // -1 when empty.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_HTTP_UNIQUE_FD_H_
