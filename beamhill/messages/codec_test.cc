#include "beamhill/messages/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace beamhill {
namespace {

const Fence kFence{7, {0x123456789abcdefULL, 3}};

std::vector<Message> OneOfEach() {
  const JobSpec job{
      "j", "team",    "class",    Urgency::kUrgent, WorkKind::kLatencyCritical,
      9,   {1, 2, 3}, Duration(5)};
  const TaskOutcome outcome{{"j", 4}, {77}, OutcomeKind::kEvicted, "c", "r"};
  return {
      Hello{1,
            "key",
            "vm",
            "r",
            "h",
            "k",
            "c",
            {5, 6},
            {1, 2, 3},
            "s",
            8,
            64,
            Duration(7)},
      Welcome{"e"},
      Heartbeat{kFence, TimePoint(Duration(99))},
      Grant{kFence, TimePoint(Duration(99)), Duration(1000)},
      InventoryRequest{"c", true, 3, kFence},
      Inventory{kFence, 3, {{{"j", 1}, {5}, {1, 1, 1}}}, {outcome}},
      StartTasks{kFence, job, {{4, {8}, "ck"}}},
      StopTasks{kFence, StopMode::kEvict, {{{"j", 1}, {5}}}},
      Outcomes{kFence, {outcome}},
      AcknowledgeOutcomes{kFence, {{{"j", 1}, {5}}}},
      OwnerLost{4},
      RunnerReport{1, 8, 3, Duration(5), true},
      RequestStart{
          1, "s", "GET", "/x", {{"A", "b"}}, "k", true, Duration(9), "\xff"},
      RequestCancel{1},
      ResponseStart{1, 200, {{"A", "b"}}},
      ResponseBytes{1, std::string("\0\xfe", 2)},
      ResponseEnd{1, RequestOutcome::kNotRun, "r"},
      ActiveSettings{8, {{"a", "b"}}},
      BatchEvictionRequest{kFence},
      KeyClaim{1, "k"},
      KeyClaimed{1, true},
      KeyRelease{"k"}};
}

TEST(Codec, RoundTripsEachMessage) {
  const std::vector<Message> messages = OneOfEach();
  ASSERT_EQ(messages.size(), std::variant_size_v<Message>);
  for (size_t i = 0; i < messages.size(); ++i) {
    SCOPED_TRACE(i);
    ASSERT_EQ(messages[i].index(), i);
    const std::string bytes = Encode(messages[i]);
    const Result<Message> decoded = Decode(bytes);
    ASSERT_TRUE(IsOk(decoded)) << ErrorOf(decoded).message;
    EXPECT_EQ(Encode(ValueOf(decoded)), bytes);
  }
}

TEST(Codec, RejectsTruncatedAndOverlongMessages) {
  for (const Message& message : OneOfEach()) {
    const std::string bytes = Encode(message);
    for (size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(IsOk(Decode(bytes.substr(0, size))));
    }
    EXPECT_FALSE(IsOk(Decode(bytes + "x")));
  }
}

RC_GTEST_PROP(Codec, SurvivesArbitraryBytes, (const std::string& bytes)) {
  const Result<Message> decoded = Decode(bytes);
  if (IsOk(decoded)) {
    RC_ASSERT(IsOk(Decode(Encode(ValueOf(decoded)))));
  }
}

TEST(Codec, RejectsImpossibleContainerSize) {
  EXPECT_FALSE(
      IsOk(Decode("\xBB"
                  "aaaaaaaa")));
}

TEST(Codec, FrequentMessagesAreSmall) {
  const TimePoint now = BootClock::now();
  EXPECT_LE(Encode(Heartbeat{kFence, now}).size(), 60U);
  EXPECT_LE(Encode(Grant{kFence, now, std::chrono::minutes(2)}).size(), 60U);
  EXPECT_LE(Encode(RunnerReport{8, 8, 40, Duration(1500), false}).size(), 16U);
}

}  // namespace
}  // namespace beamhill
