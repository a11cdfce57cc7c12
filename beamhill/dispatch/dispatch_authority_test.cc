// What an owner does with its decisions while its authority is over.
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
  void Have(Authority authority) { dispatcher_->SetAuthority(authority, now_); }

  // A start on vm-1 is decided and has not left.
  void DecideStart() {
    Take({});
    Link("vm-1");
    dispatcher_->TakeMessages();
    dispatcher_->AddWorkflow(OneStep("w", 1, 2), std::nullopt, now_);
    dispatcher_->Tick(now_, kUnix);
    ASSERT_EQ(dispatcher_->HeldRunsOf("w"), 1);
  }

  size_t AttachesTo(const std::string& vm) {
    size_t attaches = 0;
    for (const VmMessage& out : dispatcher_->TakeMessages()) {
      const bool attach = std::holds_alternative<Attach>(out.message);
      if (attach && out.vm == vm) ++attaches;
    }
    return attaches;
  }
};

TEST_F(DispatcherAuthorityTest, NothingLeavesWithoutAuthority) {
  DecideStart();
  const RunRef run = Take().starts.at(0).second;
  End("vm-1", 1, run, RunEndKind::kDone);
  ASSERT_TRUE(Store());  // The word that it is settled is ready to leave.
  Have(Authority::kNone);
  EXPECT_THAT(dispatcher_->TakeMessages(), IsEmpty());
  Have(Authority::kFull);
  EXPECT_THAT(Take().settled, ElementsAre(Pair("vm-1", 1)));
}

TEST_F(DispatcherAuthorityTest, StartThatHasNotLeftIsGivenBack) {
  DecideStart();
  Have(Authority::kNone);
  EXPECT_EQ(dispatcher_->HeldRunsOf("w"), 0);
  now_ += milliseconds(400);
  Have(Authority::kFull);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

// The VM told meanwhile that its runner is gone, and that it is back under its
// name: two starts of one task left at once.
TEST_F(DispatcherAuthorityTest, StartOfARunThatWasLetGoDoesNotLeave) {
  DecideStart();
  Have(Authority::kNone);
  now_ += milliseconds(300);
  dispatcher_->OnInventory("vm-1", {2, VmStatus(), {}, {}, {}, {}}, now_);
  now_ += milliseconds(300);
  Answer("vm-1");
  Link("vm-2");
  Have(Authority::kFull);
  Answer("vm-2");
  now_ += milliseconds(100);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherAuthorityTest, StopOfWorkThatIsCancelledMeanwhileLeavesLater) {
  DecideStart();
  const RunRef run = Take().starts.at(0).second;
  Have(Authority::kNone);
  dispatcher_->Cancel("w", now_);
  EXPECT_THAT(Tick().stops, IsEmpty());
  Have(Authority::kClosing);
  EXPECT_THAT(Tick().stops, ElementsAre(Pair("vm-1", run)));
}

// An outage of minutes would make thousands of these for each VM.
TEST_F(DispatcherAuthorityTest, AttachesDoNotPileUpMeanwhile) {
  Take({});
  Have(Authority::kNone);
  dispatcher_->OnLinkUp("vm-1");
  for (int i = 0; i < 100; ++i) dispatcher_->RetryAttach();
  Have(Authority::kFull);
  EXPECT_EQ(AttachesTo("vm-1"), 1);
}

}  // namespace
}  // namespace beamhill
