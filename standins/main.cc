// Entry point of all simulated systems; the first argument selects which one.

#include <cstring>
#include <iostream>

#include "standin_server.h"

int main(int argc, char** argv) {
  namespace standin = mangoyoke::standin;
  std::string role = argc > 1 ? argv[1] : "";
  try {
    if (role == "engine") {
      return standin::RunEngine(argc - 1, argv + 1);
    }
    if (role == "service") {
      return standin::RunService(argc - 1, argv + 1);
    }
    if (role == "platform") {
      return standin::RunPlatform(argc - 1, argv + 1);
    }
    if (role == "proxy") {
      return standin::RunProxy(argc - 1, argv + 1);
    }
    if (role == "load") {
      return standin::RunLoad(argc - 1, argv + 1);
    }
  } catch (const std::exception& exception) {
    std::cerr << "standin " << role << ": " << exception.what() << "\n";
    return 1;
  }
  std::cerr << "usage: standin engine|service|platform|proxy|load [options]\n";
  return 2;
}
