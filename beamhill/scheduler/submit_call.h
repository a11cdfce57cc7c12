// Chooses the route by which one submission reaches the table: through the
// owner, or stored directly by this scheduler (local).
//
// A responsive owner comes first: hundreds of schedulers that each write
// directly queue behind one another in a slow table, whereas the owner stores
// concurrent submissions in one transaction. If the table rejects this
// scheduler, it may accept the owner; if the owner is lost, this scheduler can
// write; if both are rejected, the next owner may succeed. Each route may be
// tried after the other whatever the result, since storing a submission twice
// has no further effect.
//
// The class is pure: its user performs the attempts.
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

// The owner's reachability as this scheduler sees it.
struct OwnerReachability {
  bool connected = false;
  Duration since_heartbeat{};
  // Time since the table last answered the owner, as the owner reported.
  Duration table_silence{};
};

// Returns whether both this scheduler and the table have been in recent contact
// with the owner, so that submissions go to it first.
bool IsOwnerResponsive(const OwnerReachability& owner);

class SubmitCall {
 public:
  // Returns a route to try now and marks it as tried; nullopt if there is none
  // or the outcome is known. `waited` is the time since the call arrived.
  std::optional<SubmitRoute> Next(const OwnerReachability& owner,
                                  Duration waited);
  void OnResult(SubmitRoute route, SubmitResult result);
  // The owner that was tried can no longer answer. A new owner, or the same one
  // on another link, may be tried.
  void OnOwnerLost();
  // The result for the caller, or nullopt while it is undecided. Refused only
  // if every attempt was refused; the owner's refusal for want of memory is
  // final.
  std::optional<SubmitResult> outcome() const { return outcome_; }

 private:
  struct RouteAttempt {
    bool tried = false;
    std::optional<SubmitResult> result;
    bool open() const { return tried && !result; }
  };

  RouteAttempt& AttemptFor(SubmitRoute route) {
    return route == SubmitRoute::kOwner ? owner_ : local_;
  }
  // Whether the owner has no memory for it.
  bool IsExhausted() const {
    return owner_.result == SubmitResult::kResourceExhausted;
  }
  // Sets the outcome unless an attempt is open or the next owner is awaited.
  void DecideOutcome(Duration waited);

  RouteAttempt owner_;
  RouteAttempt local_;
  bool may_be_stored_ = false;  // Some attempt may have stored it.
  std::optional<SubmitResult> outcome_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_SUBMIT_CALL_H_
