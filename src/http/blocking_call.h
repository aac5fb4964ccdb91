// A blocking HTTP call, for tools and tests.

#ifndef MANGOYOKE_HTTP_BLOCKING_CALL_H_
#define MANGOYOKE_HTTP_BLOCKING_CALL_H_

#include "http/http_client.h"

namespace mangoyoke {

// Sends `request` and blocks the calling thread until the exchange has ended.
ClientResponse CallAndWait(ClientRequest request);

}  // namespace mangoyoke

#endif  // MANGOYOKE_HTTP_BLOCKING_CALL_H_
