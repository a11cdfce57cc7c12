// One caller's submission on its route into the table: through the owner, or by
// this scheduler itself.
//
// Loads that it answers. Hundreds of schedulers that each write by themselves
// queue behind one another in a slow table, where the owner stores what came
// meanwhile in one transaction. A table that turns this scheduler away
// owner_responsive the owner; an owner that is lost leaves the table; and one
// that both have turned away may be stored by the next owner. Each route may be
// tried after the other, whatever became of it: storing a submission a second
// time changes nothing.
//
// Pure.
//
//   SubmitCall call;
//   while (const auto route = call.Next(owner, waited)) Try(*route);
//   call.OnResult(SubmitRoute::kOwner, result);
//   if (call.outcome()) Answer(*call.outcome());
#ifndef BEAMHILL_SCHEDULER_SUBMIT_CALL_H_
#define BEAMHILL_SCHEDULER_SUBMIT_CALL_H_

#include <cstdint>
#include <optional>

#include "beamhill/base/time.h"
#include "beamhill/scheduler/job_repository.h"

namespace beamhill {

enum class SubmitRoute : uint8_t { kOwner, kLocal };

// What this scheduler knows of the owner.
struct OwnerReachability {
  bool connected = false;
  Duration since_heartbeat{};
  // Since the table last answered the owner, by its word.
  Duration since_table_answer{};
};

// Whether submissions go to the owner first.
bool IsOwnerResponsive(const OwnerReachability& owner);

class SubmitCall {
 public:
  // A route to try now, which counts as tried from then on; nothing when there
  // is none, or the outcome is known. `waited`: since the caller came.
  std::optional<SubmitRoute> Next(const OwnerReachability& owner,
                                  Duration waited);
  void OnResult(SubmitRoute route, SubmitResult result);
  // No answer of the owner that was asked can come any more; another one, or
  // the same on another link, can be asked.
  void OnOwnerLost();
  // What the caller is told. A refusal only when every try has refused; nothing
  // while it isn't known.
  std::optional<SubmitResult> outcome() const { return outcome_; }

 private:
  struct Attempt {
    bool tried = false;
    std::optional<SubmitResult> result;
    bool open() const { return tried && !result; }
  };

  Attempt& AttemptFor(SubmitRoute route) {
    return route == SubmitRoute::kOwner ? owner_ : local_;
  }
  void DecideOutcome(Duration waited);

  Attempt owner_;
  Attempt local_;
  bool may_be_stored_ = false;  // Some try may have stored it.
  std::optional<SubmitResult> outcome_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_SUBMIT_CALL_H_
