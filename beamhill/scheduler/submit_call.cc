#include "beamhill/scheduler/submit_call.h"

namespace beamhill {
namespace {

// An owner answers heartbeats each 0.3 s; one that has missed one may be lost.
constexpr Duration kHeardLately = std::chrono::milliseconds(450);
// It has had no answer of the table for so long that it may be cut off.
constexpr Duration kServedLately = std::chrono::milliseconds(900);

constexpr Duration kHerePatience = std::chrono::milliseconds(300);
constexpr Duration kGiveUpAfter = std::chrono::milliseconds(2200);

bool IsStored(SubmitResult result) {
  return result == SubmitResult::kAccepted ||
         result == SubmitResult::kAlreadyStored;
}

}  // namespace

bool StoresForOthers(const OwnerReach& owner) {
  return owner.linked && owner.heard_ago < kHeardLately &&
         owner.served_ago < kServedLately;
}

std::optional<SubmitWay> SubmitCall::Next(const OwnerReach& owner,
                                          Duration waited) {
  if (outcome_) return std::nullopt;
  const bool serves = StoresForOthers(owner);
  // A table that has not answered here by then may turn this scheduler away.
  const bool here_fails = here_.result || waited >= kHerePatience;
  if (!owner_.tried && serves && (!here_.tried || here_fails)) {
    owner_.tried = true;
    return SubmitWay::kOwner;
  }
  const bool owner_fails = owner_.result || !serves;
  if (!here_.tried && owner_fails) {
    here_.tried = true;
    return SubmitWay::kHere;
  }
  Conclude(waited);
  return std::nullopt;
}

void SubmitCall::OnResult(SubmitWay way, SubmitResult result) {
  Of(way).result = result;
  if (result == SubmitResult::kUnknown) unsure_ = true;
  if (IsStored(result)) outcome_ = result;
}

void SubmitCall::OnOwnerLost() {
  if (owner_.open()) unsure_ = true;
  owner_ = Attempt();
}

// One that may be stored can't be tried again by its caller: so the next owner
// is waited for, as long as callers wait.
void SubmitCall::Conclude(Duration waited) {
  if (owner_.open() || here_.open()) return;
  if (unsure_ && !owner_.tried && waited < kGiveUpAfter) return;
  outcome_ = unsure_ ? SubmitResult::kUnknown : SubmitResult::kRefused;
}

}  // namespace beamhill
