// The messages, and one stored record, about how fast fillers may work beside
// serving tasks. They travel with those of dispatch_messages.h.
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

// What pacing needs to know of a task.
struct TaskTraits {
  std::string image;
  bool best_effort = false;
  Duration tail_target{};  // Of a serving task; 0: it doesn't serve.
  int64_t cpu_millis = 0;  // What it would like to use.
  // Of fillers, the one with the lowest order keeps its pace longest.
  double best_effort_rank = 0;

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

// Owner to executor: the traits of runs that it holds. After an inventory for
// an executor that has restarted, and when their order has changed.
struct RunTraitsList {
  uint64_t epoch = 0;
  std::string incarnation;
  std::vector<RunTraits> runs;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.incarnation, s.runs);
  }
};

// The tail of one serving image on a VM, over the last half second.
struct ServingTailLatency {
  std::string image;
  Duration tail{};

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.image, s.tail);
  }
};

// The processor time that one filling image used beside it.
struct BestEffortLoad {
  std::string image;
  int64_t cpu_millis = 0;
  int32_t percent = 100;  // The pace that its tasks are held to.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.image, s.cpu_millis, s.percent);
  }
};

// Executor to owner: who was disturbed beside whom.
struct VmInterference {
  uint64_t epoch = 0;
  std::vector<ServingTailLatency> serving;
  std::vector<BestEffortLoad> best_effort_loads;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.serving, s.best_effort_loads);
  }
};

// What a filling image that had a whole VM would add to a serving one's tail.
struct InterferenceWeight {
  std::string serving;
  std::string best_effort_image;
  Duration per_vm{};

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.serving, s.best_effort_image, s.per_vm);
  }
};

// Owner to executors: what all VMs together have taught.
struct InterferenceWeights {
  uint64_t epoch = 0;
  std::vector<InterferenceWeight> weights;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.weights);
  }
};

// How executors pace fillers beside serving tasks.
enum class PacePolicy : uint8_t {
  // Fillers are cut as soon as a tail nears its target, and get their pace back
  // step by step.
  kCautious,
  // Fillers work at their whole pace, and rest when a tail has been up for
  // long.
  kGuarded,
};
std::string_view PacePolicyName(PacePolicy policy);

// Owner to executor: pace fillers so from now on. After an inventory, and when
// it has changed.
struct PacePolicyNotice {
  uint64_t epoch = 0;
  PacePolicy policy = PacePolicy::kCautious;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.policy);
  }
};

// The row that keeps what an owner has learned of pressure for the next one.
struct InterferenceRecord {
  struct Image {
    std::string serving;
    Duration alone{};
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
