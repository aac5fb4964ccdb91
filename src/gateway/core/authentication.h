// Authentication of callers' requests by API keys.

#ifndef MANGOYOKE_GATEWAY_CORE_AUTHENTICATION_H_
#define MANGOYOKE_GATEWAY_CORE_AUTHENTICATION_H_

#include "gateway/core/codecs.h"
#include "gateway/core/serving_config.h"
#include "mangoyoke/error.h"

namespace mangoyoke {

// A caller whose request may be served.
struct AuthenticatedCaller {
  // Belongs to the configuration. Null if the request needs no key and has none
  // that is known.
  const ClientAccount* account = nullptr;
  CallerIdentity identity;
  int priority = 0;  // Of the account, else of the route.

  bool operator==(const AuthenticatedCaller&) const = default;
};

// Decides who sends a request on `route` of `config` with `key`. Fails with
// kUnknownApiKey if the route needs a key and no account has this one.
Result<AuthenticatedCaller> Authenticate(const ServingConfig& config,
                                         const RouteRule& route,
                                         const ApiKey& key);

// Whether `key`, by which `identity` was found in an earlier configuration on a
// route that needs a key, no longer belongs to that account in `config`.
bool IsKeyWithdrawn(const ServingConfig& config,
                    const ApiKey& key,
                    const CallerIdentity& identity);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_AUTHENTICATION_H_
