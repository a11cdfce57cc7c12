// Requests with a key, through real processes: each runs at most once.
#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <thread>

#include "beamhill/testing/test_deployment.h"

namespace beamhill {
namespace {

using std::chrono::seconds;

constexpr Duration kLong = seconds(90);

void Sleep(Duration duration) { std::this_thread::sleep_for(duration); }

TEST(Keys, RunOnceThroughTwoEntries) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  for (int i = 0; i < 20; ++i) {
    const HttpHeaders key = {{"Idempotency-Key", "k" + std::to_string(i)}};
    const auto a = estate.Call(estate.Callers(1), "POST", "/services/svc/order",
                               "{}", key);
    const auto b = estate.Call(estate.Callers(2), "POST", "/services/svc/order",
                               "{}", key);
    EXPECT_EQ(a.outcome, "ran");
    EXPECT_EQ(b.outcome, "ran");
    EXPECT_EQ(a.body, b.body);
  }
  int requests = 0;
  for (int vm = 1; vm <= 3; ++vm) {
    const auto state =
        estate.Call(estate.AgentOperators(vm), "GET", "/v1/state");
    requests += state.body.at("runner").value("ran", 0);
  }
  EXPECT_EQ(requests, 20);
}

// Found by the demo: of two requests of one key on their way at the same time
// each met the other's claim, and neither ran.
TEST(Keys, SentThroughTwoEntriesAtOnceRunOnceAndAnswerBoth) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  for (int i = 0; i < 30; ++i) {
    const HttpHeaders key = {{"Idempotency-Key", "k" + std::to_string(i)}};
    TestEstate::Answer answers[2];
    const auto send = [&](int entry) {
      answers[entry - 1] = estate.Call(estate.Callers(entry), "POST",
                                       "/services/svc/order", "{}", key);
    };
    std::thread other([&] { send(2); });
    send(1);
    other.join();
    EXPECT_EQ(answers[0].outcome, "ran");
    EXPECT_EQ(answers[1].outcome, "ran");
    EXPECT_EQ(answers[0].body, answers[1].body);
  }
  int requests = 0;
  for (int vm = 1; vm <= 3; ++vm) {
    requests += estate.RunnerRecord(vm).value("requests", 0);
  }
  EXPECT_EQ(requests, 30);
}

// The runner of a key is lost with its agent's memory; the other keeper knows.
TEST(Keys, DoNotRunAgainWhenTheirRunnersAgentIsLost) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  const auto send = [&](int entry, int key) {
    return estate.Call(estate.Callers(entry), "POST", "/services/svc/order",
                       "{}", {{"Idempotency-Key", "k" + std::to_string(key)}});
  };
  for (int i = 0; i < 30; ++i) EXPECT_EQ(send(1, i).outcome, "ran");
  estate.Signal("agent-1", SIGKILL);
  ASSERT_TRUE(TestEstate::WaitFor(kLong, [&] {
    const auto state = estate.Call(estate.Operators(2), "GET", "/v1/state");
    return state.body.is_object() && state.body.value("agents", 0) == 2;
  }));
  int repeated = 0;
  int unknown = 0;
  for (int i = 0; i < 30; ++i) {
    const auto answer = send(2, i);
    repeated += answer.outcome == "ran" ? 1 : 0;
    unknown += answer.outcome == "unknown" ? 1 : 0;
  }
  EXPECT_EQ(repeated + unknown, 30);
  EXPECT_GT(unknown, 0) << "no key was at home on the lost agent";
  EXPECT_EQ(send(2, 1000).outcome, "ran");
  int requests = 0;
  for (int vm = 1; vm <= 3; ++vm) {
    requests += estate.RunnerRecord(vm).value("requests", 0);
  }
  EXPECT_EQ(requests, 31);
}

// A repeat that was given up before its claim was answered took the claim back
// that the first request had made. With the first keeper lost, the key ran
// again.
TEST(Keys, StayRememberedThoughARepeatIsGivenUpWhileItsClaimIsOpen) {
  TestEstate estate({});
  ASSERT_TRUE(estate.WaitUntilOwned());
  const auto send = [&](int entry, int key, const std::string& deadline) {
    return estate.Call(estate.Callers(entry), "POST", "/services/svc/order",
                       "{}",
                       {{"Idempotency-Key", "k" + std::to_string(key)},
                        {"Beamhill-Deadline-Ms", deadline}});
  };
  constexpr int kKeys = 30;
  for (int i = 0; i < kKeys; ++i) EXPECT_EQ(send(1, i, "9000").outcome, "ran");
  for (const char* agent : {"agent-2", "agent-3"}) {
    estate.Signal(agent, SIGSTOP);
  }
  int not_run = 0;
  for (int i = 0; i < kKeys; ++i) {
    not_run += send(2, i, "20").outcome == "not-run" ? 1 : 0;
  }
  EXPECT_GT(not_run, 0) << "no claim was open";
  for (const char* agent : {"agent-2", "agent-3"}) {
    estate.Signal(agent, SIGCONT);
  }
  Sleep(seconds(1));
  estate.Signal("agent-1", SIGKILL);
  ASSERT_TRUE(TestEstate::WaitFor(kLong, [&] {
    const auto state = estate.Call(estate.Operators(2), "GET", "/v1/state");
    return state.body.is_object() && state.body.value("agents", 0) == 2;
  }));
  for (int i = 0; i < kKeys; ++i) send(2, i, "9000");
  int requests = 0;
  for (int vm = 1; vm <= 3; ++vm) {
    requests += estate.RunnerRecord(vm).value("requests", 0);
  }
  EXPECT_EQ(requests, kKeys);
}

}  // namespace
}  // namespace beamhill
