// Keys are looked up in the configuration that the request is served by.

#include "gateway/core/authentication.h"

#include <string_view>

namespace mangoyoke {
namespace {

// Why a request without an account is rejected. Says nothing of the key itself.
std::string_view ReasonFor(ApiKeyState state) {
  switch (state) {
    case ApiKeyState::kAbsent:
      return "the request has no API key";
    case ApiKeyState::kMalformed:
      return "the API key of the request cannot be read";
    case ApiKeyState::kPresent:
      return "no client account has the API key of the request";
  }
  return "";
}

}  // namespace

Result<AuthenticatedCaller> Authenticate(const ServingConfig& config,
                                         const RouteRule& route,
                                         const ApiKey& key) {
  AuthenticatedCaller caller;
  caller.priority = route.priority;
  if (!config.accounts().required()) {
    return caller;
  }
  caller.identity.accounts_required = true;
  if (key.state == ApiKeyState::kPresent) {
    caller.account = config.accounts().FindByKey(key.text);
  }
  if (caller.account != nullptr) {
    caller.identity.account = caller.account->id;
    caller.priority = caller.account->priority.value_or(route.priority);
  } else if (route.needs_key) {
    return Error{ErrorCode::kUnknownApiKey, std::string(ReasonFor(key.state))};
  }
  return caller;
}

bool IsKeyWithdrawn(const ServingConfig& config,
                    const ApiKey& key,
                    const CallerIdentity& identity) {
  if (!identity.accounts_required || !config.accounts().required()) {
    return false;
  }
  const ClientAccount* account = config.accounts().FindByKey(key.text);
  return account == nullptr || account->id != identity.account;
}

}  // namespace mangoyoke
