// Implementation of the HTTP dispatcher.

#include "http/http_dispatcher.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace mangoyoke {

HttpDispatcher::HttpDispatcher(std::vector<DispatchTarget> targets)
    : targets_(std::move(targets)) {}

void HttpDispatcher::OnRequest(ServerRequest request,
                               ServerConnection connection) {
  const DispatchTarget& target = TargetOf(request.connection_id);
  // In a shared_ptr, because handlers of the event loop must be copyable and
  // the connection's descriptor is not.
  auto job = std::make_shared<std::pair<ServerRequest, ServerConnection>>(
      std::move(request), std::move(connection));
  boost::asio::post(*target.io, [target, job] {
    auto stream =
        std::make_shared<ResponseStream>(*target.io, std::move(job->second));
    target.handler->OnRequest(std::move(job->first), std::move(stream));
  });
}

void HttpDispatcher::OnDisconnect(uint64_t connection_id) {
  const DispatchTarget& target = TargetOf(connection_id);
  boost::asio::post(*target.io, [target, connection_id] {
    target.handler->OnDisconnect(connection_id);
  });
}

const DispatchTarget& HttpDispatcher::TargetOf(uint64_t connection_id) const {
  return targets_[connection_id % targets_.size()];
}

}  // namespace mangoyoke
