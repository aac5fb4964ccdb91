// The operator's configurations, with the routes and services of the sheets
// that the cases need.

#ifndef MANGOYOKE_REVIEW_STANDINS_3_CONFIG_H_
#define MANGOYOKE_REVIEW_STANDINS_3_CONFIG_H_

#include <string>

namespace mangoyoke::review {

// The host of all routes.
inline constexpr char kHost[] = "review.example";
inline constexpr char kAssistantService[] = "assistant";
inline constexpr char kBookingsService[] = "bookings";

// Streams of model servers at /agreement/. `resumable`: another server may go
// on with a stream, once.
std::string AssistantConfig(bool resumable);
// Bookings at /deposit/, which may run once at most.
std::string BookingsConfig();

}  // namespace mangoyoke::review

#endif  // MANGOYOKE_REVIEW_STANDINS_3_CONFIG_H_
