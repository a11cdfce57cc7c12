// How the Dispatcher heeds what filling tasks do to serving ones.
#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using testing::Contains;
using testing::SizeIs;

class DispatcherPressureTest : public DispatcherTest {
 protected:
  // Two VMs, each full of one serving image; returns where the calm one is.
  std::string ServeCalmAndTouchy() {
    Take({});
    Link("vm-1");
    Link("vm-2");
    for (const char* image : {"calm", "touchy"}) {
      Workflow serving = OneStep(image, 1, 2);
      serving.steps[0].each = {8000, 1000, 0};
      serving.steps[0].image = image;
      serving.steps[0].tail_target = milliseconds(20);
      serving.steps[0].long_running = true;
      dispatcher_->AddWorkflow(serving, std::nullopt, now_);
    }
    std::string calm_vm;
    for (const auto& [vm, run] : Tick().starts) {
      if (run.task.workflow == "calm") calm_vm = vm;
    }
    return calm_vm;
  }

  // The touchy image suffers from filler "f", the calm one does not.
  void Teach(const std::string& calm_vm) {
    for (int i = 0; i < 60; ++i) {
      const int64_t cpu = (i % 4) * 1000;
      for (const char* vm : {"vm-1", "vm-2"}) {
        const bool calm = vm == calm_vm;
        const Duration tail = milliseconds(calm ? 6 : 6 + cpu / 100);
        dispatcher_->OnPressure(
            vm, {2, {{calm ? "calm" : "touchy", tail}}, {{"f", cpu, 100}}},
            now_);
      }
    }
  }

  static Workflow Filler() {
    Workflow filling = OneStep("f", 1, 2);
    filling.steps[0].fills = true;
    filling.steps[0].saves_progress = true;
    filling.steps[0].image = "f";
    return filling;
  }
};

TEST_F(DispatcherPressureTest, FillerAvoidsTheImageThatItDisturbs) {
  const std::string calm_vm = ServeCalmAndTouchy();
  Teach(calm_vm);
  dispatcher_->AddWorkflow(Filler(), std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts[0].first, calm_vm);
}

TEST_F(DispatcherPressureTest, NextOwnerRecallsWhatWasLearned) {
  Teach(ServeCalmAndTouchy());
  const PressureRecord learned = dispatcher_->LearnedPressure();
  const std::string calm_vm = ServeCalmAndTouchy();
  dispatcher_->RecallPressure(learned);
  dispatcher_->AddWorkflow(Filler(), std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts[0].first, calm_vm);
}

TEST_F(DispatcherPressureTest, StarvedFillerIsMovedToACalmPlace) {
  const std::string calm_vm = ServeCalmAndTouchy();
  const std::string other = calm_vm == "vm-1" ? "vm-2" : "vm-1";
  dispatcher_->OnLinkDown(calm_vm);
  dispatcher_->AddWorkflow(Filler(), std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(1));
  ASSERT_EQ(starts[0].first, other);
  Link(calm_vm, {{{"calm", 0, 0, 0}, 1001}});
  Teach(calm_vm);
  for (int i = 0; i < 5; ++i) {
    now_ += milliseconds(300);
    for (const char* vm : {"vm-1", "vm-2"}) {
      dispatcher_->OnHeartbeat(vm, {2, now_}, now_);
    }
    dispatcher_->OnPressure(
        other, {2, {{"touchy", milliseconds(25)}}, {{"f", 0, 0}}}, now_);
    dispatcher_->Tick(now_, kUnix);
  }
  EXPECT_THAT(Take().stops, Contains(std::pair(other, starts[0].second)));
}

}  // namespace
}  // namespace beamhill
