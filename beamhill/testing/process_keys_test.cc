// Checks with real processes that each request with an idempotency key runs at
// most once.
#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <thread>

#include "beamhill/testing/test_deployment.h"

namespace beamhill {
namespace {

using std::chrono::seconds;

constexpr Duration kWaitLimit = seconds(90);

void Sleep(Duration duration) { std::this_thread::sleep_for(duration); }

TEST(Keys, RunOnceThroughTwoEntries) {
  TestDeployment deployment({});
  ASSERT_TRUE(deployment.WaitUntilOwned());
  for (int i = 0; i < 20; ++i) {
    const HttpHeaders key = {{"Idempotency-Key", "k" + std::to_string(i)}};
    const auto a = deployment.Call(deployment.Callers(1), "POST",
                                   "/services/svc/order", "{}", key);
    const auto b = deployment.Call(deployment.Callers(2), "POST",
                                   "/services/svc/order", "{}", key);
    EXPECT_EQ(a.outcome, "ran");
    EXPECT_EQ(b.outcome, "ran");
    EXPECT_EQ(a.body, b.body);
  }
  int requests = 0;
  for (int vm = 1; vm <= 3; ++vm) {
    const auto state =
        deployment.Call(deployment.AgentOperators(vm), "GET", "/v1/state");
    requests += state.body.at("runner").value("ran", 0);
  }
  EXPECT_EQ(requests, 20);
}

// Guards against concurrent requests with the same key blocking each other:
// each found the other's claim, and neither ran.
TEST(Keys, SentThroughTwoEntriesAtOnceRunOnceAndAnswerBoth) {
  TestDeployment deployment({});
  ASSERT_TRUE(deployment.WaitUntilOwned());
  for (int i = 0; i < 30; ++i) {
    const HttpHeaders key = {{"Idempotency-Key", "k" + std::to_string(i)}};
    TestDeployment::Answer answers[2];
    const auto send = [&](int entry) {
      answers[entry - 1] = deployment.Call(deployment.Callers(entry), "POST",
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
    requests += deployment.RunnerRecord(vm).value("requests", 0);
  }
  EXPECT_EQ(requests, 30);
}

// The agent that ran a key is lost with its record of the key; the other agent
// that keeps a record must prevent a second run.
TEST(Keys, DoNotRunAgainWhenTheirRunnersAgentIsLost) {
  TestDeployment deployment({});
  ASSERT_TRUE(deployment.WaitUntilOwned());
  const auto send = [&](int entry, int key) {
    return deployment.Call(deployment.Callers(entry), "POST",
                           "/services/svc/order", "{}",
                           {{"Idempotency-Key", "k" + std::to_string(key)}});
  };
  for (int i = 0; i < 30; ++i) EXPECT_EQ(send(1, i).outcome, "ran");
  deployment.Signal("agent-1", SIGKILL);
  ASSERT_TRUE(TestDeployment::WaitFor(kWaitLimit, [&] {
    const auto state =
        deployment.Call(deployment.Operators(2), "GET", "/v1/state");
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
  EXPECT_GT(unknown, 0) << "the lost agent had run none of the keys";
  EXPECT_EQ(send(2, 1000).outcome, "ran");
  int requests = 0;
  for (int vm = 1; vm <= 3; ++vm) {
    requests += deployment.RunnerRecord(vm).value("requests", 0);
  }
  EXPECT_EQ(requests, 31);
}

// Guards against a repeated request that times out before its claim is
// answered: it withdrew the claim that the first request had made, and the key
// ran again once the first agent with a record of the key was lost.
TEST(Keys, StayRecordedWhenARepeatTimesOutBeforeItsClaimIsAnswered) {
  TestDeployment deployment({});
  ASSERT_TRUE(deployment.WaitUntilOwned());
  const auto send = [&](int entry, int key, const std::string& deadline) {
    return deployment.Call(deployment.Callers(entry), "POST",
                           "/services/svc/order", "{}",
                           {{"Idempotency-Key", "k" + std::to_string(key)},
                            {"Beamhill-Deadline-Ms", deadline}});
  };
  constexpr int kKeys = 30;
  for (int i = 0; i < kKeys; ++i) EXPECT_EQ(send(1, i, "9000").outcome, "ran");
  for (const char* agent : {"agent-2", "agent-3"}) {
    deployment.Signal(agent, SIGSTOP);
  }
  int not_run = 0;
  for (int i = 0; i < kKeys; ++i) {
    not_run += send(2, i, "20").outcome == "not-run" ? 1 : 0;
  }
  EXPECT_GT(not_run, 0) << "no repeat timed out while its claim was pending";
  for (const char* agent : {"agent-2", "agent-3"}) {
    deployment.Signal(agent, SIGCONT);
  }
  Sleep(seconds(1));
  deployment.Signal("agent-1", SIGKILL);
  ASSERT_TRUE(TestDeployment::WaitFor(kWaitLimit, [&] {
    const auto state =
        deployment.Call(deployment.Operators(2), "GET", "/v1/state");
    return state.body.is_object() && state.body.value("agents", 0) == 2;
  }));
  for (int i = 0; i < kKeys; ++i) send(2, i, "9000");
  int requests = 0;
  for (int vm = 1; vm <= 3; ++vm) {
    requests += deployment.RunnerRecord(vm).value("requests", 0);
  }
  EXPECT_EQ(requests, kKeys);
}

}  // namespace
}  // namespace beamhill
