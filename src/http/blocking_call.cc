// Implementation of the blocking HTTP call.

#include "http/blocking_call.h"

namespace mangoyoke {

ClientResponse CallAndWait(ClientRequest request) {
  boost::asio::io_context io(1);
  HttpClient client(io);
  ClientResponse result;
  client.Start(std::move(request), [&](ClientResponse response) {
    result = std::move(response);
    io.stop();
  });
  io.run();
  return result;
}

}  // namespace mangoyoke
