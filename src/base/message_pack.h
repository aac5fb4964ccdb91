// Decodes MessagePack that other processes sent.

#ifndef MANGOYOKE_BASE_MESSAGE_PACK_H_
#define MANGOYOKE_BASE_MESSAGE_PACK_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace mangoyoke {

// Decodes one value that takes up all of the bytes. Discarded if they are
// malformed, or if values are nested so deeply that reading them, by recursion,
// could exceed the stack.
nlohmann::json DecodeMessagePack(const uint8_t* data, size_t size);

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_MESSAGE_PACK_H_
