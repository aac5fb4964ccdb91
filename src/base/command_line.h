// The command line that the daemons share: a settings file, --check-settings
// and --help.

#ifndef MANGOYOKE_BASE_COMMAND_LINE_H_
#define MANGOYOKE_BASE_COMMAND_LINE_H_

#include <optional>
#include <string>

namespace mangoyoke {

// Exit codes of the daemons.
inline constexpr int kExitInvalidSettings =
    2;  // The command line or the settings file is invalid.
inline constexpr int kExitListenFailed =
    3;  // A configured address cannot be listened on.

// The parsed command line.
struct DaemonCommand {
  std::string settings_path;
  bool check_only = false;       // Check the settings file and exit.
  std::optional<int> exit_code;  // If set, exit with it at once.
};

// Parses the command line of `program`. Prints the help text to standard output
// if asked for it or without a settings file, and errors to standard error.
DaemonCommand ParseDaemonCommand(const std::string& program,
                                 const std::string& summary,
                                 int argc,
                                 char** argv);

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_COMMAND_LINE_H_
