// What the scenarios of all cases share: their command line, their exit codes
// and the times that they keep.
//
// A scenario exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.

#ifndef MANGOYOKE_REVIEW_STANDINS_3_SCENARIO_H_
#define MANGOYOKE_REVIEW_STANDINS_3_SCENARIO_H_

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <string>
#include <thread>

#include "record.h"

namespace mangoyoke::review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

struct ScenarioOptions {
  std::string gateway;  // The program of the deploy file.
  std::string folder;   // A temporary one.
  std::string record;   // The file to write.
  bool trouble = true;  // False: the same without the disruption.
};

// Waits until `ms` milliseconds after the record began.
inline void WaitUntil(const Record& record, int64_t ms) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<int64_t>(0, ms - record.Millis())));
}

inline std::string TroubleName(const ScenarioOptions& options) {
  return options.trouble ? "with the disruption" : "without the disruption";
}

// Runs `scenario` with the command line GATEWAY FOLDER RECORD and the variable
// TROUBLE. Returns its exit code.
inline int RunScenario(
    int argc,
    char** argv,
    const std::function<int(const ScenarioOptions&)>& scenario) {
  if (argc != 4) {
    std::cerr << "usage: " << argv[0] << " GATEWAY FOLDER RECORD\n";
    return kCouldNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  ScenarioOptions options{argv[1], argv[2], argv[3],
                          trouble == nullptr || std::string(trouble) != "0"};
  try {
    int code = scenario(options);
    std::cout << (code == kBroken ? "the rule was broken\n"
                                  : "the rule held\n");
    return code;
  } catch (const std::exception& exception) {
    std::cerr << "could not run: " << exception.what() << "\n";
    return kCouldNotRun;
  }
}

}  // namespace mangoyoke::review

#endif  // MANGOYOKE_REVIEW_STANDINS_3_SCENARIO_H_
