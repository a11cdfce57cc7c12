#include "beamhill/scheduler/submit_call.h"

namespace beamhill {
namespace {

// An owner answers heartbeats each 0.3 s; one that has missed one may be lost.
constexpr Duration kHeardLately = std::chrono::milliseconds(450);
// It has had no answer of the table for so long that it may be cut off.
constexpr Duration kServedLately = std::chrono::milliseconds(900);

bool IsStored(SubmitResult result) {
  return result == SubmitResult::kAccepted ||
         result == SubmitResult::kAlreadyStored;
}

}  // namespace

bool StoresForOthers(const OwnerReach& owner) {
  return owner.linked && owner.heard_ago < kHeardLately &&
         owner.served_ago < kServedLately;
}

std::optional<SubmitWay> SubmitCall::Next(const OwnerReach& owner) {
  if (outcome_) return std::nullopt;
  const bool serves = StoresForOthers(owner);
  const bool owner_fails = owner_.result || !serves;
  if (!owner_.tried && !here_.tried && serves) {
    owner_.tried = true;
    return SubmitWay::kOwner;
  }
  if (!here_.tried && owner_fails) {
    here_.tried = true;
    return SubmitWay::kHere;
  }
  if (!owner_.tried && here_.result && serves) {
    owner_.tried = true;
    return SubmitWay::kOwner;
  }
  Conclude();
  return std::nullopt;
}

void SubmitCall::OnResult(SubmitWay way, SubmitResult result) {
  Of(way).result = result;
  if (IsStored(result)) outcome_ = result;
}

void SubmitCall::OnOwnerLost() {
  if (owner_.open()) owner_.result = SubmitResult::kUnknown;
}

void SubmitCall::Conclude() {
  if (owner_.open() || here_.open()) return;
  const bool unsure = owner_.result == SubmitResult::kUnknown ||
                      here_.result == SubmitResult::kUnknown;
  outcome_ = unsure ? SubmitResult::kUnknown : SubmitResult::kRefused;
}

}  // namespace beamhill
