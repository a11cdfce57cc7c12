// Messages, and one stored record, for pacing: how fast best-effort tasks may
// run beside serving tasks on a VM. DispatchMessage of dispatch_messages.h
// carries them.
//
//   VmInterference report;
//   report.epoch = epoch;
//   report.serving.push_back({"web", std::chrono::milliseconds(18)});
//   report.best_effort_loads.push_back({"batch", 2500, 100});
//   link.Send(EncodeDispatch(report));
#ifndef BEAMHILL_DISPATCH_PACING_MESSAGES_H_
#define BEAMHILL_DISPATCH_PACING_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/workflow/workflow.h"

namespace beamhill {

// Properties of a task that pacing depends on.
struct TaskTraits {
  std::string image;
  // Runs only on processor time that other tasks leave idle.
  bool best_effort = false;
  // Target of a serving task's tail latency; 0 for tasks that don't serve.
  Duration tail_target{};
  // Requested processor time, in thousandths of a core.
  int64_t cpu_millis = 0;
  // Best-effort tasks are slowed down in descending order of this rank; see
  // BestEffortRank.
  double best_effort_rank = 0;

  // Whether pacing takes the task into account.
  bool paced() const { return best_effort || tail_target > Duration(0); }

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.image, s.best_effort, s.tail_target, s.cpu_millis,
                    s.best_effort_rank);
  }
};

struct RunTraits {
  RunRef run;
  TaskTraits traits;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.run, s.traits);
  }
};

// Owner to executor: traits of runs that the executor holds. Sent after an
// inventory, since the executor may have restarted, and when ranks change.
struct RunTraitsList {
  uint64_t epoch = 0;
  std::string incarnation;
  std::vector<RunTraits> runs;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.incarnation, s.runs);
  }
};

// Tail latency of one serving image on a VM over the last half second.
struct ServingTailLatency {
  std::string image;
  Duration tail{};

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.image, s.tail);
  }
};

// Processor time that the tasks of one best-effort image used on a VM over the
// same half second, in thousandths of a core.
struct BestEffortLoad {
  std::string image;
  int64_t cpu_millis = 0;
  int32_t percent = 100;  // Pace that its tasks are limited to.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.image, s.cpu_millis, s.percent);
  }
};

// Executor to owner: the tail latencies of serving images on the VM and the
// loads of the best-effort images that ran beside them.
struct VmInterference {
  uint64_t epoch = 0;
  std::vector<ServingTailLatency> serving;
  std::vector<BestEffortLoad> best_effort_loads;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.serving, s.best_effort_loads);
  }
};

// Interference of a best-effort image with a serving image.
struct InterferenceWeight {
  std::string serving;
  std::string best_effort_image;
  // Added tail latency if the best-effort image used a whole VM.
  Duration per_vm{};

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.serving, s.best_effort_image, s.per_vm);
  }
};

// Owner to executors: interference learned from the reports of all VMs.
struct InterferenceWeights {
  uint64_t epoch = 0;
  std::vector<InterferenceWeight> weights;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.weights);
  }
};

// How executors pace best-effort tasks beside serving tasks.
enum class PacePolicy : uint8_t {
  // Best-effort tasks are slowed down as soon as a tail latency approaches its
  // target, and sped up again step by step.
  kCautious,
  // Best-effort tasks run at full pace, and are paused when a tail latency has
  // been too high for long.
  kGuarded,
};
std::string_view PacePolicyName(PacePolicy policy);

// Owner to executor: the pace policy from now on. Sent after an inventory, and
// when the policy changes.
struct PacePolicyNotice {
  uint64_t epoch = 0;
  PacePolicy policy = PacePolicy::kCautious;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.policy);
  }
};

// Stored record of the interference that an owner has learned, from which the
// next owner continues.
struct InterferenceRecord {
  // A serving image.
  struct Image {
    std::string serving;
    Duration alone{};  // Tail latency without best-effort tasks beside it.
    std::vector<InterferenceWeight> weights;

    template <typename S>
    static auto Fields(S& s) {
      return std::tie(s.serving, s.alone, s.weights);
    }
  };
  std::vector<Image> images;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.images);
  }
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_PACING_MESSAGES_H_
