// Blocking client of the admin interface.

#ifndef MANGOYOKE_TOOL_ADMIN_CLIENT_H_
#define MANGOYOKE_TOOL_ADMIN_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "mangoyoke/error.h"

namespace mangoyoke {

// Sends each request to several instances in turn until one responds.
class AdminClient {
 public:
  // `addresses`: admin addresses "IP:port".
  explicit AdminClient(std::vector<std::string> addresses);

  // GETs `path` and returns the body of the response. Tries the next instance
  // after any failure except an error response. kPeerUnreachable if no instance
  // responds.
  Result<std::string> Get(const std::string& path);
  // POSTs `body` to the first instance that accepts the connection and returns
  // the JSON of the response. kSubmitUnknown if the connection was made but no
  // whole response came: the instance may have executed the request.
  // kPeerUnreachable if no instance can be connected.
  Result<nlohmann::json> Post(const std::string& path,
                              const nlohmann::json& body);

 private:
  std::vector<std::string> addresses_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_TOOL_ADMIN_CLIENT_H_
