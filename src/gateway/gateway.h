// The gateway: one instance that takes callers' requests and sends them to
// backend servers, driven by a configuration and a registry in the store.
//
//   root (base/supervisor)
//   |- control thread (control/): membership, serving state, entries, metrics
//   `- traffic thread (traffic/): requests and connections to servers

#ifndef MANGOYOKE_GATEWAY_GATEWAY_H_
#define MANGOYOKE_GATEWAY_GATEWAY_H_

#include <string>

#include "gateway/core/codecs.h"

namespace mangoyoke {

// How the surroundings speak. Must outlive the gateway.
struct GatewayCodecs {
  const CallerCodec& callers;
  const BackendCodec& backends;
  const StoreCodec& store;
};

// Runs the program with the command line until it is told to stop. Returns
// the exit code: 0 after a graceful stop, 2 for wrong settings, 3 for an
// address that cannot be listened on.
int RunGateway(int argc, char** argv, const GatewayCodecs& codecs);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_GATEWAY_H_
