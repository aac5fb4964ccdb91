// What happens when an assertion of a Boost library fails: an exception, which
// ends what the event loop was doing for one peer, instead of the process. The
// build turns this on with BOOST_ENABLE_ASSERT_HANDLER.

#include <boost/assert.hpp>
#include <stdexcept>
#include <string>

namespace boost {

void assertion_failed(char const* expression,
                      char const* /*function*/,
                      char const* file,
                      long line) {
  throw std::logic_error("assertion failed: " + std::string(expression) +
                         " at " + file + ":" + std::to_string(line));
}

void assertion_failed_msg(char const* expression,
                          char const* message,
                          char const* function,
                          char const* file,
                          long line) {
  assertion_failed((std::string(expression) + " (" + message + ")").c_str(),
                   function, file, line);
}

}  // namespace boost
