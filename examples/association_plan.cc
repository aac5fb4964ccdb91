// Builds a plan with an LLM model, a plain service and client accounts in three
// availability zones, and prints it in INI format.

#include <iostream>

#include "mangoyoke/plan_builder.h"

int main() {
  mangoyoke::PlanBuilder plan("association");
  plan.AddModel("assistant").version = 3;
  const std::string zones[] = {"mid-a", "mid-b", "mid-c"};
  for (int i = 0; i < 6; ++i) {
    std::string number = std::to_string(i + 1);
    const std::string& zone = zones[i % 3];
    plan.AddPrefill("p" + number, "http://10.0.1." + number + ":9000", zone,
                    "assistant");
    plan.AddDecode("d" + number, "http://10.0.2." + number + ":9000", zone,
                   "assistant");
  }
  plan.AddService("bookings").timeout = mangoyoke::Millis(3000);
  plan.AddIdempotentRoute("availability", "bookings", "GET", "/availability");
  for (int i = 0; i < 3; ++i) {
    std::string number = std::to_string(i + 1);
    plan.AddServiceBackend("b" + number, "http://10.0.3." + number + ":8080",
                           zones[i], "bookings");
  }
  plan.AddAccount("farms").max_requests = 200;
  plan.AddAccount("householders").weight = 2;

  auto checked = plan.Check();
  if (const auto* error = std::get_if<mangoyoke::Error>(&checked)) {
    std::cerr << error->detail << "\n";
    return 1;
  }
  std::cout << plan.Print();
  return 0;
}
