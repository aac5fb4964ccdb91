// Load with requests that have a deadly part, for the cases about such prompts:
// sound requests of two routes all the time, and on one of the routes requests
// with the part, each of which ends the server that begins to answer it. An
// ended server is back after some seconds, as a new one.

#ifndef MANGOYOKE_REVIEW_POISON_H_
#define MANGOYOKE_REVIEW_POISON_H_

#include <string>
#include <vector>

#include "lab.h"

namespace review {

// What is sent, and for how long.
struct PoisonPlan {
  // Route and service of the requests with the part, and of sound ones.
  std::string path;
  std::string service;
  std::vector<std::string> options;  // Of the servers of the service.
  // Another route with sound requests only.
  std::string other_path;
  int64_t calm_ms = 10'000;    // Without the part.
  int64_t poison_ms = 30'000;  // With it, after that.
  int64_t sound_every_ms = 100;
  int64_t deadly_every_ms = 1000;
};

inline constexpr const char* kDeadlyPart = "deadbeef";
// The first part of all prompts of the route, sound or not.
inline constexpr const char* kFirstPart = "a1b2c3d4";

// Names of the groups of requests in Clients.
inline constexpr const char* kSound = "sound";
inline constexpr const char* kOther = "other";
inline constexpr const char* kDeadly = "deadly";

// Plays the plan and waits for all answers. Returns when it began.
int64_t PlayPoison(Lab& lab,
                   Clients& clients,
                   const PoisonPlan& plan,
                   Record& record);

}  // namespace review

#endif  // MANGOYOKE_REVIEW_POISON_H_
