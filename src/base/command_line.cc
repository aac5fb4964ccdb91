// Implementation of the daemons' command-line parser.

#include "base/command_line.h"

#include <cxxopts.hpp>
#include <iostream>

namespace mangoyoke {

DaemonCommand ParseDaemonCommand(const std::string& program,
                                 const std::string& summary,
                                 int argc,
                                 char** argv) {
  DaemonCommand command;
  cxxopts::Options parser(program, summary);
  parser.add_options()("settings", "settings file (INI)",
                       cxxopts::value(command.settings_path))(
      "check-settings", "check the settings file and exit")("help",
                                                            "print this help");
  parser.parse_positional({"settings"});
  try {
    auto arguments = parser.parse(argc, argv);
    bool help = arguments.count("help") > 0;
    if (help || command.settings_path.empty()) {
      std::cout << parser.help();
      command.exit_code = help ? 0 : kExitInvalidSettings;
    }
    command.check_only = arguments.count("check-settings") > 0;
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << program << ": " << exception.what() << "\n";
    command.exit_code = kExitInvalidSettings;
  }
  return command;
}

}  // namespace mangoyoke
