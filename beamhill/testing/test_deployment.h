// A small estate of real processes on loopback, for failure tests.
//
//   TestEstate estate({/*entries=*/2, /*vms=*/3});
//   ASSERT_TRUE(estate.WaitUntilOwned());
//   estate.Signal("entry-1", SIGKILL);
#ifndef BEAMHILL_TESTING_TEST_DEPLOYMENT_H_
#define BEAMHILL_TESTING_TEST_DEPLOYMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/http/http_client.h"
#include "beamhill/testing/child_process.h"

namespace beamhill {

struct TestEstateOptions {
  int entries = 2;
  int vms = 3;
  int runner_mean_ms = 5;
  std::string agent_key = "key";  // The entries' is "key".
};

class TestEstate {
 public:
  explicit TestEstate(const TestEstateOptions& options);
  // Ends every process that it started.
  ~TestEstate();

  // "entry-1", "agent-2", "runner-3" or "platform".
  void Signal(const std::string& process, int signal_number);
  void Start(const std::string& process);
  // Whether it ended by itself within the time.
  bool WaitForEnd(const std::string& process, Duration limit);

  Address Callers(int entry) const { return Port("callers", entry); }
  Address Operators(int entry) const { return Port("operators", entry); }
  Address AgentOperators(int vm) const { return Port("agent", vm); }
  Address Platform() const { return Port("platform", 0); }

  struct Answer {
    int status = 0;  // 0: none came.
    std::string outcome;
    nlohmann::json body;
    std::string etag;
  };
  Answer Call(const Address& server, const std::string& method,
              const std::string& target, const std::string& body = "",
              HttpHeaders headers = {}) const;
  Answer Submit(int entry, const std::string& key, int tasks, int run_ms) const;
  void Fault(const nlohmann::json& fault) const;
  nlohmann::json Record() const;
  nlohmann::json RunnerRecord(int vm) const;

  static bool WaitFor(Duration limit, const std::function<bool()>& condition);
  // All agents are linked to all living entries, and the cell has an owner.
  bool WaitUntilOwned() const;
  // The number of the entry that owns the cell, 0 for none.
  int Owner() const;
  // Asks every living entry.
  bool WaitUntilFinished(const std::string& job, Duration limit) const;

 private:
  Address Port(const std::string& kind, int number) const;
  void Reserve(const std::string& kind, int number);
  void AddEntry(int number);
  void AddVm(int number);
  void Add(const std::string& name, std::vector<std::string> command);

  TestEstateOptions options_;
  std::string directory_;
  std::map<std::string, uint16_t> ports_;
  std::map<std::string, ChildProcess> processes_;
};

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_TEST_DEPLOYMENT_H_
