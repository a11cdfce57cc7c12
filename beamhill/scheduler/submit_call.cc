#include "beamhill/scheduler/submit_call.h"

namespace beamhill {
namespace {

// An owner answers heartbeats every 0.3 s; without the last answer it may be
// lost.
constexpr Duration kMaxHeartbeatAge = std::chrono::milliseconds(450);
// An owner without table answers for this long may be cut off from the table.
constexpr Duration kMaxTableSilence = std::chrono::milliseconds(900);

constexpr Duration kLocalTimeout = std::chrono::milliseconds(300);
constexpr Duration kMaxWait = std::chrono::milliseconds(2200);

// Whether the result holds for every attempt: the workflow's row exists, as
// that of the workflow or as a tombstone, or can't exist.
bool IsConclusive(SubmitResult result) {
  return result == SubmitResult::kAccepted ||
         result == SubmitResult::kAlreadyStored ||
         result == SubmitResult::kCancelled ||
         result == SubmitResult::kTooLarge;
}

}  // namespace

bool IsOwnerResponsive(const OwnerReachability& owner) {
  return owner.connected && owner.since_heartbeat < kMaxHeartbeatAge &&
         owner.table_silence < kMaxTableSilence;
}

std::optional<SubmitRoute> SubmitCall::Next(const OwnerReachability& owner,
                                            Duration waited) {
  if (outcome_) return std::nullopt;
  const bool owner_responsive = IsOwnerResponsive(owner);
  // Without an answer by then, the table may be rejecting this scheduler.
  const bool local_failed = local_.result || waited >= kLocalTimeout;
  if (!owner_.tried && owner_responsive && (!local_.tried || local_failed)) {
    owner_.tried = true;
    return SubmitRoute::kOwner;
  }
  const bool owner_failed = owner_.result || !owner_responsive;
  if (!local_.tried && owner_failed && !IsExhausted()) {
    local_.tried = true;
    return SubmitRoute::kLocal;
  }
  DecideOutcome(waited);
  return std::nullopt;
}

void SubmitCall::OnResult(SubmitRoute route, SubmitResult result) {
  AttemptFor(route).result = result;
  if (result == SubmitResult::kUnknown) may_be_stored_ = true;
  if (IsConclusive(result)) outcome_ = result;
}

void SubmitCall::OnOwnerLost() {
  if (owner_.open()) may_be_stored_ = true;
  owner_ = RouteAttempt();
}

// The caller can't retry a submission that may be stored, so the call waits for
// the next owner for as long as callers wait.
void SubmitCall::DecideOutcome(Duration waited) {
  if (owner_.open() || local_.open()) return;
  if (may_be_stored_ && !owner_.tried && waited < kMaxWait) return;
  if (may_be_stored_) {
    outcome_ = SubmitResult::kUnknown;
  } else if (IsExhausted() ||
             local_.result == SubmitResult::kResourceExhausted) {
    outcome_ = SubmitResult::kResourceExhausted;
  } else {
    outcome_ = SubmitResult::kRefused;
  }
}

}  // namespace beamhill
