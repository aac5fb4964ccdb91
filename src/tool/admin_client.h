// Calls of the operators' interface, one after another.

#ifndef MANGOYOKE_TOOL_ADMIN_CLIENT_H_
#define MANGOYOKE_TOOL_ADMIN_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "mangoyoke/error.h"

namespace mangoyoke {

// Talks to the first of several instances that answers.
class AdminClient {
 public:
  // `addresses`: admin addresses "IP:port".
  explicit AdminClient(std::vector<std::string> addresses);

  Result<std::string> Get(const std::string& path);
  // Sends to the first instance that can be connected.
  Result<nlohmann::json> Post(const std::string& path,
                              const nlohmann::json& body);

 private:
  std::vector<std::string> addresses_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_TOOL_ADMIN_CLIENT_H_
