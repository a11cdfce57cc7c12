// Tests what a Dispatcher does with decided messages while it has no authority.
#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::Pair;
using testing::SizeIs;

class DispatcherAuthorityTest : public DispatcherTest {
 protected:
  void SetAuthority(Authority authority) {
    dispatcher_->SetAuthority(authority, now_);
  }

  // Leaves a start of "w" on vm-1 decided but not sent.
  void DecideStartOnVm1() {
    TakeOwnership({});
    ConnectVm("vm-1");
    dispatcher_->TakeMessages();
    dispatcher_->AddWorkflow(SingleStepWorkflow("w", 1, 2), std::nullopt, now_);
    dispatcher_->Tick(now_, kUnixNow);
    ASSERT_EQ(dispatcher_->HeldRunsOf("w"), 1);
  }

  size_t CountAttaches(const std::string& vm) {
    size_t attaches = 0;
    for (const VmMessage& out : dispatcher_->TakeMessages()) {
      const bool attach = std::holds_alternative<Attach>(out.message);
      if (attach && out.vm == vm) ++attaches;
    }
    return attaches;
  }
};

TEST_F(DispatcherAuthorityTest, NothingIsSentWithoutAuthority) {
  DecideStartOnVm1();
  const RunRef run = TakeSent().starts.at(0).second;
  ReceiveEnd("vm-1", 1, run, RunEndKind::kDone);
  ASSERT_TRUE(CommitProgress());  // Its acknowledgement is ready to be sent.
  SetAuthority(Authority::kNone);
  EXPECT_THAT(dispatcher_->TakeMessages(), IsEmpty());
  SetAuthority(Authority::kFull);
  EXPECT_THAT(TakeSent().acknowledged, ElementsAre(Pair("vm-1", 1)));
}

TEST_F(DispatcherAuthorityTest, StartThatWasNotSentIsWithdrawn) {
  DecideStartOnVm1();
  SetAuthority(Authority::kNone);
  EXPECT_EQ(dispatcher_->HeldRunsOf("w"), 0);
  now_ += milliseconds(400);
  SetAuthority(Authority::kFull);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

// While the owner had no authority, the VM reported that its runner was gone
// and then that it was back under the same name. Two starts of one task were
// then sent at once.
TEST_F(DispatcherAuthorityTest, StartOfAReleasedRunIsNotSent) {
  DecideStartOnVm1();
  SetAuthority(Authority::kNone);
  now_ += milliseconds(300);
  dispatcher_->OnInventory("vm-1", {2, VmStatus(), {}, {}, {}, {}}, now_);
  now_ += milliseconds(300);
  ReceiveInventory("vm-1");
  ConnectVm("vm-2");
  SetAuthority(Authority::kFull);
  ReceiveInventory("vm-2");
  now_ += milliseconds(100);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherAuthorityTest,
       StopOfWorkCancelledWithoutAuthorityIsSentLater) {
  DecideStartOnVm1();
  const RunRef run = TakeSent().starts.at(0).second;
  SetAuthority(Authority::kNone);
  dispatcher_->Cancel("w", now_);
  EXPECT_THAT(Tick().stops, IsEmpty());
  SetAuthority(Authority::kClosing);
  EXPECT_THAT(Tick().stops, ElementsAre(Pair("vm-1", run)));
}

// An outage of minutes would queue thousands of them for each VM.
TEST_F(DispatcherAuthorityTest, AttachesDoNotAccumulateWithoutAuthority) {
  TakeOwnership({});
  SetAuthority(Authority::kNone);
  dispatcher_->OnLinkUp("vm-1");
  for (int i = 0; i < 100; ++i) dispatcher_->RetryAttach();
  SetAuthority(Authority::kFull);
  EXPECT_EQ(CountAttaches("vm-1"), 1);
}

}  // namespace
}  // namespace beamhill
