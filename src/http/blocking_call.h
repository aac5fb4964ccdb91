// One HTTP exchange that the calling thread waits for; for tools and tests.

#ifndef MANGOYOKE_HTTP_BLOCKING_CALL_H_
#define MANGOYOKE_HTTP_BLOCKING_CALL_H_

#include "http/http_client.h"

namespace mangoyoke {

ClientResponse CallAndWait(ClientRequest request);

}  // namespace mangoyoke

#endif  // MANGOYOKE_HTTP_BLOCKING_CALL_H_
