// The command line that the daemons share: a settings file, --check-settings
// and --help.

#ifndef MANGOYOKE_BASE_COMMAND_LINE_H_
#define MANGOYOKE_BASE_COMMAND_LINE_H_

#include <optional>
#include <string>

namespace mangoyoke {

// Exit codes of the daemons.
inline constexpr int kExitInvalidSettings =
    2;  // Wrong command line or settings.
inline constexpr int kExitListenFailed =
    3;  // An address cannot be listened on.

struct DaemonCommand {
  std::string settings_path;
  bool check_only = false;
  std::optional<int> exit_code;  // The program ends with it at once.
};

// Parses the command line of `program`; prints help or what is wrong.
DaemonCommand ParseDaemonCommand(const std::string& program,
                                 const std::string& summary,
                                 int argc,
                                 char** argv);

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_COMMAND_LINE_H_
