// Failures of real processes over loopback. Waits are generous and bound
// nothing; the checks are on what happened, by the stand-ins' records.
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>

#include "beamhill/testing/test_deployment.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

constexpr Duration kLong = seconds(90);

void ExpectPromisesKept(const TestEstate& estate) {
  const Json record = estate.Record();
  EXPECT_TRUE(record.at("violations").empty()) << record.at("violations");
  EXPECT_TRUE(record.at("overcommitted").empty());
}

void Sleep(Duration duration) { std::this_thread::sleep_for(duration); }

// What befalls the estate while a job runs. The job must still finish, with
// each task in one place at a time.
struct FaultRow {
  const char* name;
  std::function<void(TestEstate&)> cause;
};

class JobUnderFault : public testing::TestWithParam<FaultRow> {};

std::string Owner(const TestEstate& estate) {
  return "entry-" + std::to_string(estate.Owner());
}

const FaultRow kFaultRows[] = {
    {"OwnerKilled", [](TestEstate& e) { e.Signal(Owner(e), SIGKILL); }},
    {"OwnerKilledAndRestarted",
     [](TestEstate& e) {
       const std::string owner = Owner(e);
       e.Signal(owner, SIGKILL);
       e.Start(owner);
     }},
    {"OwnerStoppedPastItsTerm",
     [](TestEstate& e) {
       const std::string owner = Owner(e);
       e.Signal(owner, SIGSTOP);
       Sleep(seconds(14));
       e.Signal(owner, SIGCONT);
     }},
    {"AgentKilledAndRestarted",
     [](TestEstate& e) {
       e.Fault({{"out_of_reach", "vm-1"}});
       e.Signal("agent-1", SIGKILL);
       Sleep(seconds(1));
       e.Start("agent-1");
     }},
    {"AgentStoppedPastItsLease",
     [](TestEstate& e) {
       e.Fault({{"out_of_reach", "vm-1"}});
       e.Signal("agent-1", SIGSTOP);
       Sleep(seconds(8));
       e.Signal("agent-1", SIGCONT);
     }},
    {"VmLostWithLaggingList",
     [](TestEstate& e) {
       e.Fault({{"list_lag_ms", 3000}});
       e.Fault({{"kill_vm", "vm-2"}});
       e.Signal("agent-2", SIGKILL);
     }},
    {"AgentAndOwnerLostTogether",
     [](TestEstate& e) {
       const std::string owner = Owner(e);
       e.Fault({{"kill_vm", "vm-2"}});
       e.Signal("agent-2", SIGKILL);
       e.Signal(owner, SIGKILL);
     }},
    {"TableDown",
     [](TestEstate& e) {
       e.Fault({{"table_down", true}});
       Sleep(seconds(6));
       e.Fault({{"table_down", false}});
     }},
    {"TableDownPastTheTerm",
     [](TestEstate& e) {
       e.Fault({{"table_down", true}});
       Sleep(seconds(16));
       e.Fault({{"table_down", false}});
     }},
    {"AnswersLost",
     [](TestEstate& e) {
       e.Fault({{"lose_answers", 4}});
     }},
    {"EveryProcessRestartedAtOnce",
     [](TestEstate& e) {
       for (const char* name :
            {"entry-1", "entry-2", "agent-1", "agent-2", "agent-3"}) {
         e.Signal(name, SIGKILL);
       }
       for (const char* name :
            {"entry-1", "entry-2", "agent-1", "agent-2", "agent-3"}) {
         e.Start(name);
       }
     }},
};

TEST_P(JobUnderFault, FinishesWithEachTaskInOnePlace) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  const auto accepted = estate.Submit(1, "job", 60, 700);
  ASSERT_EQ(accepted.status, 201);
  ASSERT_TRUE(TestEstate::WaitFor(
      kLong, [&] { return estate.Record().value("started", 0) >= 10; }));
  GetParam().cause(estate);
  const std::string job = accepted.body.at("job");
  EXPECT_TRUE(estate.WaitUntilFinished(job, kLong));
  EXPECT_GE(estate.Record().value("done", 0), 60);
  ExpectPromisesKept(estate);
}

INSTANTIATE_TEST_SUITE_P(Faults, JobUnderFault, testing::ValuesIn(kFaultRows),
                         [](const testing::TestParamInfo<FaultRow>& info) {
                           return std::string(info.param.name);
                         });

TEST(Jobs, AreAcceptedOnceWhenTheTablesAnswerIsLost) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  estate.Fault({{"lose_answers", 1}});
  const auto first = estate.Submit(1, "key", 5, 100);
  const auto second = estate.Submit(2, "key", 5, 100);
  ASSERT_TRUE(first.status == 200 || first.status == 201) << first.status;
  EXPECT_EQ(second.status, 200);
  EXPECT_EQ(first.body.at("job"), second.body.at("job"));
  const auto other = estate.Submit(2, "key", 6, 100);
  EXPECT_EQ(other.status, 409);
  ASSERT_TRUE(estate.WaitUntilFinished(first.body.at("job"), kLong));
  EXPECT_EQ(estate.Record().value("started", 0), 5);
}

TEST(Outage, RequestsAndRunningTasksGoOnAndSubmissionsAreRefused) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  ASSERT_EQ(estate.Submit(1, "long", 3, 12'000).status, 201);
  ASSERT_TRUE(TestEstate::WaitFor(
      kLong, [&] { return estate.Record().value("running", 0) == 3; }));
  estate.Fault({{"table_down", true}});
  // Longer than an agent's lease, shorter than the ownership's term.
  Sleep(seconds(7));
  EXPECT_EQ(estate.Call(estate.Callers(1), "GET", "/services/svc/x").outcome,
            "ran");
  const auto refused = estate.Submit(1, "new", 1, 100);
  EXPECT_TRUE(refused.status == 503 || refused.status == 504) << refused.status;
  EXPECT_EQ(estate.Record().value("running", 0), 3);
  estate.Fault({{"table_down", false}});
}

TEST(PlannedStop, OfAnAgentCutsNothingOff) {
  TestEstateOptions options;
  options.runner_mean_ms = 100;
  TestEstate estate(options);
  ASSERT_TRUE(estate.WaitUntilOwned());
  constexpr int kCallers = 6;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  std::atomic<int> ran{0};
  std::atomic<int> unknown{0};
  std::atomic<bool> stop{false};
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      while (!stop) {
        const auto answer =
            estate.Call(estate.Callers(1 + i % 2), "GET", "/services/svc/x");
        if (answer.outcome == "ran") ++ran;
        if (answer.outcome != "ran" && answer.outcome != "not-run") ++unknown;
      }
    });
  }
  Sleep(seconds(1));
  estate.Signal("agent-1", SIGTERM);
  EXPECT_TRUE(estate.WaitForEnd("agent-1", kLong));
  Sleep(seconds(1));
  stop = true;
  for (std::thread& caller : callers) caller.join();
  EXPECT_GT(ran, 20);
  EXPECT_EQ(unknown, 0);
}

TEST(PlannedStop, OfAnEntryGivesItsCellsUpAtOnce) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  const int owner = estate.Owner();
  estate.Signal("entry-" + std::to_string(owner), SIGTERM);
  EXPECT_TRUE(estate.WaitForEnd("entry-" + std::to_string(owner), kLong));
  EXPECT_TRUE(
      TestEstate::WaitFor(kLong, [&] { return estate.Owner() == 3 - owner; }));
}

// The platform's word is enough, also when the VM's agent was not told.
TEST(Leaving, AVmThatThePlatformListsAsLeavingGetsNothingNew) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  estate.Fault({{"leave_vm", "vm-1"}});
  ASSERT_TRUE(TestEstate::WaitFor(kLong, [&] {
    int known = 0;
    for (const int entry : {1, 2}) {
      const auto state =
          estate.Call(estate.Operators(entry), "GET", "/v1/state");
      for (const Json& runner : state.body.at("runners")) {
        const bool is_it = runner.value("vm", "") == "vm-1";
        known += is_it && runner.value("leaving", false) ? 1 : 0;
      }
    }
    return known == 2;
  }));
  const int before = estate.RunnerRecord(1).value("requests", 0);
  for (int i = 0; i < 40; ++i) {
    EXPECT_EQ(estate.Call(estate.Callers(1 + i % 2), "GET", "/services/svc/x")
                  .outcome,
              "ran");
  }
  for (int i = 0; i < 20; ++i) {
    const HttpHeaders key = {{"Idempotency-Key", "k" + std::to_string(i)}};
    EXPECT_EQ(
        estate.Call(estate.Callers(1), "POST", "/services/svc/order", "{}", key)
            .outcome,
        "ran");
  }
  EXPECT_EQ(estate.RunnerRecord(1).value("requests", 0), before);
  ASSERT_EQ(estate.Submit(1, "job", 20, 200).status, 201);
  ASSERT_TRUE(TestEstate::WaitFor(
      kLong, [&] { return estate.Record().value("done", 0) == 20; }));
  const auto agent = estate.Call(estate.AgentOperators(1), "GET", "/v1/state");
  EXPECT_EQ(agent.body.value("tasks_started", -1), 0);
}

TEST(Hello, WithAWrongKeyIsRefused) {
  TestEstateOptions options;
  options.agent_key = "wrong";
  TestEstate estate(options);
  EXPECT_TRUE(TestEstate::WaitFor(kLong, [&] {
    const auto state = estate.Call(estate.Operators(1), "GET", "/v1/state");
    return state.body.is_object() && state.body.value("rejected_hellos", 0) > 0;
  }));
  const auto state = estate.Call(estate.Operators(1), "GET", "/v1/state");
  EXPECT_EQ(state.body.value("agents", -1), 0);
}

// Every answer to bad input: a clear 4xx, and nothing changed.
TEST(BadInput, GetsAClearRefusal) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  const HttpHeaders key = {{"Idempotency-Key", "k"}};
  const HttpHeaders match = {{"If-Match", "\"0\""}};
  struct Row {
    const char* what;
    bool operators;
    const char* method;
    std::string target;
    std::string body;
    HttpHeaders headers;
    int status;
  };
  HttpHeaders many;
  for (int i = 0; i < 120; ++i) {
    many.emplace_back("X-" + std::to_string(i), "v");
  }
  const Row rows[] = {
      {"unknown service", false, "GET", "/services/nope/x", "", {}, 404},
      {"too many headers", false, "GET", "/services/svc/x", "", many, 431},
      {"negative deadline",
       false,
       "GET",
       "/services/svc/x",
       "",
       {{"Beamhill-Deadline-Ms", "-5"}},
       400},
      {"body over the limit",
       false,
       "POST",
       "/services/svc/x",
       std::string(2 << 20, 'x'),
       {},
       413},
      {"malformed job", false, "POST", "/v1/jobs", "{", key, 400},
      {"unknown job key", false, "POST", "/v1/jobs",
       R"({"team":"t","class":"c","colour":1})", key, 400},
      {"negative duration", false, "POST", "/v1/jobs",
       R"({"team":"t","class":"c","run_ms":-1})", key, 400},
      {"no key",
       false,
       "POST",
       "/v1/jobs",
       R"({"team":"t","class":"c"})",
       {},
       400},
      {"job that can never run", false, "POST", "/v1/jobs",
       R"({"team":"t","class":"c","cpu_millis":900000})", key, 422},
      {"unknown job", false, "GET", "/v1/jobs/none", "", {}, 404},
      {"unknown setting", true, "PUT", "/v1/settings/estate",
       R"({"colour":"red"})", match, 400},
      {"setting out of range", true, "PUT", "/v1/settings/estate",
       R"({"requests.deadline":"0ms"})", match, 400},
      {"no such node", true, "PUT", "/v1/settings/village", "{}", match, 400},
      {"no version", true, "PUT", "/v1/settings/estate", "{}", {}, 428},
      {"wrong method", false, "PUT", "/v1/jobs", "{}", {}, 405},
  };
  const auto before = estate.Record().at("table").at("row_writes");
  for (const Row& row : rows) {
    const auto answer =
        estate.Call(row.operators ? estate.Operators(1) : estate.Callers(1),
                    row.method, row.target, row.body, row.headers);
    // A server that closes on an oversized body may reset the connection
    // before its answer is read.
    if (row.status == 413 && answer.status == 0) continue;
    EXPECT_EQ(answer.status, row.status) << row.what;
  }
  EXPECT_EQ(estate.Record().at("table").at("row_writes"), before);
}

TEST(Settings, OfTwoOperatorsAtOnceOneIsToldOfTheOther) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  const HttpHeaders version = {{"If-Match", "\"0\""}};
  const std::string target = "/v1/settings/estate/region/hall";
  const auto first = estate.Call(estate.Operators(1), "PUT", target,
                                 R"({"requests.deadline":"3s"})", version);
  const auto second = estate.Call(estate.Operators(2), "PUT", target,
                                  R"({"requests.deadline":"4s"})", version);
  EXPECT_EQ(first.status, 200);
  EXPECT_EQ(second.status, 412);
  estate.Fault({{"lose_answers", 1}});
  const auto third =
      estate.Call(estate.Operators(2), "PUT", target,
                  R"({"requests.deadline":"5s"})", {{"If-Match", first.etag}});
  EXPECT_EQ(third.status, 200) << "the write took effect, its answer was lost";
  EXPECT_TRUE(TestEstate::WaitFor(kLong, [&] {
    const auto state =
        estate.Call(estate.AgentOperators(1), "GET", "/v1/state");
    return state.body.is_object() &&
           state.body.at("settings")
                   .at("values")
                   .value("requests.deadline", "") == "5s";
  }));
}

// An accepted setting must not revert with the entries and the table gone.
TEST(Settings, SurviveARestartOfAllEntriesWhileTheTableIsDown) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  const auto put =
      estate.Call(estate.Operators(1), "PUT", "/v1/settings/estate",
                  R"({"requests.deadline":"7s"})", {{"If-Match", "\"0\""}});
  ASSERT_EQ(put.status, 200);
  const auto in_force = [&](int vm) {
    const auto state =
        estate.Call(estate.AgentOperators(vm), "GET", "/v1/state");
    return state.body.is_object() &&
           state.body.at("settings")
                   .at("values")
                   .value("requests.deadline", "") == "7s";
  };
  ASSERT_TRUE(TestEstate::WaitFor(
      kLong, [&] { return in_force(1) && in_force(2) && in_force(3); }));
  estate.Fault({{"table_down", true}});
  for (const char* name : {"entry-1", "entry-2"}) {
    estate.Signal(name, SIGKILL);
    estate.Start(name);
  }
  for (const int entry : {1, 2}) {
    EXPECT_TRUE(TestEstate::WaitFor(kLong, [&] {
      const auto state =
          estate.Call(estate.Operators(entry), "GET", "/v1/state");
      return state.body.is_object() &&
             state.body.at("settings")
                     .at("adopted")
                     .value("estate/region/hall", 0) == 1;
    }));
  }
  EXPECT_TRUE(in_force(1));
}

// Entries that had their settings from agents told those once, and no agent
// that started later: it worked on defaults until the table was back.
TEST(Settings, ReachAnAgentThatStartsAnewWhileTheTableIsDown) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  const auto put =
      estate.Call(estate.Operators(1), "PUT", "/v1/settings/estate",
                  R"({"requests.deadline":"7s"})", {{"If-Match", "\"0\""}});
  ASSERT_EQ(put.status, 200);
  const auto revision_at = [&](const Address& server,
                               const Json::json_pointer& where) {
    const auto state = estate.Call(server, "GET", "/v1/state");
    return state.body.is_object() ? state.body.value(where, 0) : 0;
  };
  const auto at_agent = [&](int vm) {
    return revision_at(estate.AgentOperators(vm),
                       "/settings/revision"_json_pointer);
  };
  ASSERT_TRUE(TestEstate::WaitFor(
      kLong, [&] { return at_agent(2) == 1 && at_agent(3) == 1; }));
  estate.Fault({{"table_down", true}});
  for (const char* name : {"entry-1", "entry-2"}) {
    estate.Signal(name, SIGKILL);
    estate.Start(name);
  }
  for (const int entry : {1, 2}) {
    ASSERT_TRUE(TestEstate::WaitFor(kLong, [&] {
      return revision_at(
                 estate.Operators(entry),
                 "/settings/adopted/estate~1region~1hall"_json_pointer) == 1;
    }));
  }
  estate.Signal("agent-1", SIGKILL);
  estate.Start("agent-1");
  EXPECT_TRUE(TestEstate::WaitFor(kLong, [&] { return at_agent(1) == 1; }));
}

TEST(Yielding, AnAgentThrottlesAtOnceWhenItsServiceIsSlow) {
  TestEstateOptions options;
  options.runner_mean_ms = 40;
  TestEstate estate(options);
  ASSERT_TRUE(estate.WaitUntilOwned());
  ASSERT_EQ(estate.Submit(1, "job", 12, 20'000).status, 201);
  ASSERT_EQ(estate
                .Call(estate.Operators(1), "PUT", "/v1/settings/estate",
                      R"({"latency.target":"5ms"})", {{"If-Match", "\"0\""}})
                .status,
            200);
  EXPECT_TRUE(TestEstate::WaitFor(kLong, [&] {
    estate.Call(estate.Callers(1), "GET", "/services/svc/x");
    return !estate.Record().at("throttled").empty();
  }));
}

}  // namespace
}  // namespace beamhill
