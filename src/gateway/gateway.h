// The gateway process: one instance that forwards callers' requests to backend
// servers, according to a configuration and a server registry in the store.
//
//   root (base/supervisor)
//   |- control thread (control/): membership, configuration and registry,
//   |                             instance list, readiness, metrics
//   `- traffic thread (traffic/): requests and connections to backend servers

#ifndef MANGOYOKE_GATEWAY_GATEWAY_H_
#define MANGOYOKE_GATEWAY_GATEWAY_H_

#include <string>

#include "gateway/core/codecs.h"

namespace mangoyoke {

// Wire formats of callers, backend servers and the store. The codecs must
// outlive the gateway.
struct GatewayCodecs {
  const CallerCodec& callers;
  const BackendCodec& backends;
  const StoreCodec& store;
};

// Parses the command line and runs the gateway until SIGTERM or SIGINT. Returns
// the exit code of the process: 0 after a graceful stop, 2 for invalid
// settings, 3 if it cannot listen on a configured address.
int RunGateway(int argc, char** argv, const GatewayCodecs& codecs);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_GATEWAY_H_
