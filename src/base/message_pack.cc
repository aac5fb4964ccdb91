// A parser of the library that stops at a nesting limit.

#include "base/message_pack.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

// No message between instances needs more than a tenth of this.
constexpr size_t kMaxNesting = 100;

// Builds the value, and ends the decoding at the limit.
class BoundedParser : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

  explicit BoundedParser(Json& result) : Base(result, false) {}

  bool start_object(size_t size) {
    return ++nesting_ <= kMaxNesting && Base::start_object(size);
  }
  bool end_object() {
    --nesting_;
    return Base::end_object();
  }
  bool start_array(size_t size) {
    return ++nesting_ <= kMaxNesting && Base::start_array(size);
  }
  bool end_array() {
    --nesting_;
    return Base::end_array();
  }

 private:
  size_t nesting_ = 0;
};

}  // namespace

Json DecodeMessagePack(const uint8_t* data, size_t size) {
  Json result;
  BoundedParser parser(result);
  bool decoded = Json::sax_parse(data, data + size, &parser,
                                 Json::input_format_t::msgpack);
  return decoded ? result : Json(Json::value_t::discarded);
}

}  // namespace mangoyoke
