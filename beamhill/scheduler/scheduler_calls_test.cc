// Tests the calls that schedulers relay to the owner, over loopback.
//
// Memory of the size of a Link is reused in the order in which it was freed, so
// that new links get the addresses of earlier ones in every run. With the
// default allocator, that happens in some runs only.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>
#include <new>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beamhill/link/link.h"
#include "beamhill/scheduler/scheduler_test_base.h"

namespace {

// A queue of freed blocks of the size of a Link, linked through their first
// word.
struct FreeBlock {
  FreeBlock* next;
};

constexpr size_t kBlockSize = sizeof(beamhill::Link);
static_assert(kBlockSize >= sizeof(FreeBlock));
FreeBlock* first_free = nullptr;
FreeBlock* last_free = nullptr;

// Empties the queue, so that the next block to be freed is reused first.
void ReleaseFreeBlocks() {
  while (first_free != nullptr) {
    FreeBlock* block = first_free;
    first_free = block->next;
    std::free(block);  // NOLINT(cppcoreguidelines-no-malloc)
  }
  last_free = nullptr;
}

}  // namespace

void* operator new(size_t size) {
  if (size == kBlockSize && first_free != nullptr) {
    FreeBlock* block = first_free;
    first_free = block->next;
    if (first_free == nullptr) last_free = nullptr;
    return block;
  }
  void* block = std::malloc(size);  // NOLINT(cppcoreguidelines-no-malloc)
  if (block == nullptr) std::abort();
  return block;
}

void operator delete(void* block) noexcept {
  std::free(block);  // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete(void* block, size_t size) noexcept {
  if (size != kBlockSize || block == nullptr) {
    std::free(block);  // NOLINT(cppcoreguidelines-no-malloc)
    return;
  }
  auto* freed = static_cast<FreeBlock*>(block);
  freed->next = nullptr;
  (last_free == nullptr ? first_free : last_free->next) = freed;
  last_free = freed;
}

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr size_t kPeers = 30;

std::string WorkflowId(size_t number) {
  return "workflow-" + std::to_string(number);
}

Workflow OneTask(size_t number) {
  Workflow workflow;
  workflow.id = WorkflowId(number);
  workflow.steps.resize(1);
  workflow.steps[0].tasks = 1;
  return workflow;
}

// The scheduler under test is the owner; the test acts as its peers.
class OwnerCallsTest : public SchedulerTestBase {
 protected:
  void SetUp() override {
    evacuations_.known = true;  // Otherwise nothing is loaded.
    StartScheduler();
    ASSERT_TRUE(RunUntil(seconds(5), [&] {
      return scheduler_->owns() && DumpContains("workflows 0");
    }));
  }

  // Dials the owner as a peer, sends `first`, and records results in
  // `results_`.
  void DialOwner(std::vector<DispatchMessage> first) {
    LinkHooks hooks;
    hooks.on_open = [first = std::move(first)](Link& link) {
      for (const DispatchMessage& m : first) link.Send(EncodeDispatch(m));
    };
    hooks.on_message = [this](Link&, std::string_view frame) {
      const auto message = ValueOf(DecodeDispatch(frame));
      if (const auto* result = std::get_if<RelayedResult>(&message)) {
        results_.push_back(*result);
      }
    };
    peers_.push_back(Link::Dial(*loop_, address_, std::move(hooks)));
  }

  bool WaitForPeers(size_t count) {
    return RunUntil(seconds(5), [&] {
      return DumpContains("peers " + std::to_string(count) + " ");
    });
  }

  // All peers send a call, end before the table answers, and others connect in
  // their place. Then the table answers.
  void ReplacePeersBeforeTheirResults(
      const std::function<DispatchMessage(size_t)>& call) {
    HoldTable();
    for (size_t i = 0; i < kPeers; ++i) DialOwner({call(i)});
    ASSERT_TRUE(WaitForPeers(kPeers));
    ASSERT_TRUE(RunUntil(seconds(1), [&] { return held_calls() > 0; }));
    RunUntil(milliseconds(50), [] { return false; });
    ReleaseFreeBlocks();
    peers_.clear();
    ASSERT_TRUE(WaitForPeers(0));
    for (size_t i = 0; i < kPeers; ++i) DialOwner({});
    ASSERT_TRUE(WaitForPeers(kPeers));
    ReleaseTable();
    RunUntil(milliseconds(300), [] { return false; });
  }

  std::vector<std::unique_ptr<Link>> peers_;
  std::vector<RelayedResult> results_;
};

TEST_F(OwnerCallsTest, EachPeerGetsTheResultOfItsCall) {
  for (size_t i = 0; i < kPeers; ++i) {
    DialOwner({RelayedSubmit{i, OneTask(i)}});
  }
  ASSERT_TRUE(RunUntil(seconds(5), [&] { return results_.size() == kPeers; }));
  std::set<uint64_t> ids;
  for (const RelayedResult& result : results_) ids.insert(result.id);
  EXPECT_THAT(ids, SizeIs(kPeers));
}

// Guards against results that reach a later link at the address of the one that
// asked: a restarted peer took them for results of its own calls, and its
// callers were told that jobs were stored which were not.
TEST_F(OwnerCallsTest, ResultOfASubmissionReachesOnlyTheLinkThatAsked) {
  ReplacePeersBeforeTheirResults([](size_t i) {
    return RelayedSubmit{i, OneTask(i)};
  });
  EXPECT_THAT(results_, IsEmpty());
  EXPECT_THAT(table_.model().Scan(rows::kWorkflows), SizeIs(kPeers));
}

// As above, for callers who were told that a job was cancelled which ran on.
TEST_F(OwnerCallsTest, ResultOfACancellationReachesOnlyTheLinkThatAsked) {
  for (size_t i = 0; i < kPeers; ++i) {
    table_.model().Commit(
        {{},
         {{rows::kWorkflows + WorkflowId(i), 0, EncodeRecord(OneTask(i))}}});
  }
  ReplacePeersBeforeTheirResults([](size_t i) {
    return RelayedCancel{i, WorkflowId(i)};
  });
  EXPECT_THAT(results_, IsEmpty());
  EXPECT_THAT(table_.model().Scan(rows::kCancels), SizeIs(kPeers));
}

constexpr uint64_t kOwnerIncarnation = 7;
// The ids of as many calls of an earlier process are answered.
constexpr uint64_t kEarlierCalls = 20;

// The scheduler under test follows an owner that the test acts as. The table
// refuses all writes.
class FollowerCallsTest : public SchedulerTestBase {
 protected:
  void SetUp() override {
    owner_ = std::move(ValueOf(LinkListener::Listen(
        *loop_, {"127.0.0.1", 0}, [this](Link&) { return OwnerHooks(); })));
    StoreOwner("owner", kOwnerIncarnation, AddressOf(*owner_));
    StartScheduler();
    ASSERT_TRUE(RunUntil(seconds(5), [&] { return owner_heartbeats_ > 1; }));
    table_.set_fault(TableFault::kDown);
  }

  // The owner answers each call with `misdirected_` for ids of an earlier
  // process, then with `result_` for the call itself.
  LinkHooks OwnerHooks() {
    LinkHooks hooks;
    hooks.on_message = [this](Link& link, std::string_view frame) {
      const auto message = ValueOf(DecodeDispatch(frame));
      if (std::holds_alternative<SchedulerHeartbeat>(message)) {
        ++owner_heartbeats_;
        SchedulerHeartbeat heartbeat;
        heartbeat.incarnation = kOwnerIncarnation;
        heartbeat.epoch = heartbeat.known_epoch = 1;
        link.Send(EncodeDispatch(heartbeat));
      } else if (const auto* submit = std::get_if<RelayedSubmit>(&message)) {
        SendResults(link, submit->id);
      } else if (const auto* cancel = std::get_if<RelayedCancel>(&message)) {
        SendResults(link, cancel->id);
      }
    };
    return hooks;
  }

  void SendResults(Link& link, uint64_t id) const {
    for (uint64_t earlier = 1; earlier <= kEarlierCalls; ++earlier) {
      link.Send(EncodeDispatch(RelayedResult{earlier, misdirected_}));
    }
    link.Send(EncodeDispatch(RelayedResult{id, result_}));
  }

  std::unique_ptr<LinkListener> owner_;
  int owner_heartbeats_ = 0;
  uint8_t misdirected_ = 0;
  uint8_t result_ = 0;
};

// Guards against ids that begin with 1 in each process: a scheduler took the
// result of another process's call for its own.
TEST_F(FollowerCallsTest, ResultOfAnEarlierProcessDoesNotEndASubmission) {
  misdirected_ = static_cast<uint8_t>(SubmitResult::kAccepted);
  result_ = static_cast<uint8_t>(SubmitResult::kRefused);
  std::optional<SubmitResult> result;
  scheduler_->Submit(OneTask(1), [&](SubmitResult r) { result = r; });
  ASSERT_TRUE(RunUntil(seconds(4), [&] { return result.has_value(); }));
  EXPECT_EQ(result, SubmitResult::kRefused);
  EXPECT_EQ(MetricValue("beamhill_unmatched_answers_total{call=\"unknown\"}"),
            std::to_string(kEarlierCalls));
}

// As above, for a caller who was told that a job was cancelled.
TEST_F(FollowerCallsTest, ResultOfAnEarlierProcessDoesNotEndACancellation) {
  misdirected_ = static_cast<uint8_t>(CancelResult::kCancelled);
  result_ = static_cast<uint8_t>(CancelResult::kNoSuchJob);
  table_silence_ = seconds(2);  // So that the call is relayed at once.
  std::optional<CancelResult> result;
  scheduler_->Cancel("workflow-1", [&](CancelResult r) { result = r; });
  ASSERT_TRUE(RunUntil(seconds(4), [&] { return result.has_value(); }));
  EXPECT_EQ(result, CancelResult::kNoSuchJob);
}

}  // namespace
}  // namespace beamhill
