// The part of Executor that looks at what the runner holds, and tells the owner
// what it sees.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/executor/executor.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;

// How long a look waits for an end: short while pacing needs fresh figures, or
// a stop is to take effect.
constexpr milliseconds kShortWait{250};
constexpr milliseconds kQuietWait{1000};
// While ends wait to be settled a look returns at once, so it is repeated
// only so often.
constexpr Duration kUnsettledPause = std::chrono::milliseconds(70);
constexpr Duration kLostPause = std::chrono::milliseconds(250);
constexpr int kMaxLooksOpen = 2;
// The first ends that are not settled are reported again this often: the report
// may have been of no use to the owner, or its word that they are settled be
// lost. Few at a time, since while the table is away none is settled and all
// VMs report at once.
constexpr Duration kReportAgain = std::chrono::seconds(1);
constexpr size_t kMostReportedAgain = 8;

// Looks may be answered in another order than they were sent, so this may be
// less than what an earlier view listed.
uint64_t HighestOf(const std::vector<RunEnd>& ends) {
  uint64_t highest = 0;
  for (const RunEnd& end : ends) highest = std::max(highest, end.number);
  return highest;
}

}  // namespace

void Executor::OnSettled(const EndsSettled& settled) {
  if (settled.through <= settled_) return;
  settled_ = settled.through;
  LookSoon();
}

milliseconds Executor::NextWait() const {
  if (highest_listed_ > settled_) return milliseconds(0);
  const bool paced =
      std::any_of(paced_.begin(), paced_.end(), [](const auto& entry) {
        return entry.second.traits.tail_target > Duration(0);
      });
  const bool stopping = std::any_of(
      orders_.begin(), orders_.end(),
      [](const auto& entry) { return entry.second.phase == Phase::kStopped; });
  return paced || stopping ? kShortWait : kQuietWait;
}

bool Executor::LookSoon() {
  if (looks_open_ < kMaxLooksOpen) {
    Look(milliseconds(0));
    return true;
  }
  next_look_ = hooks_.now();
  return false;
}

void Executor::LookIfDue(TimePoint now) {
  if (now >= next_look_ && looks_open_ < kMaxLooksOpen && !slow_look_open_) {
    Look(NextWait());
  }
}

void Executor::Look(milliseconds wait) {
  if (status_.life.empty() || epoch_ == 0) return;
  ++looks_open_;
  ++counts_.looks;
  const bool slow = wait > milliseconds(0);
  if (slow) slow_look_open_ = true;
  const TimePoint sent_at = hooks_.now();
  RunnerPoll call{status_.life, epoch_, settled_, LeaseEndForRunner(), wait};
  runner_.poll(std::move(call),
               lifetime_.Guard([this, sent_at, slow, epoch = epoch_,
                                life = status_.life](RunnerView view) {
                 --looks_open_;
                 if (slow) slow_look_open_ = false;
                 OnView(std::move(view), sent_at, epoch, life);
               }));
}

void Executor::OnView(RunnerView view, TimePoint sent_at, uint64_t epoch,
                      const std::string& life) {
  const TimePoint now = hooks_.now();
  if (epoch != epoch_ || life != status_.life) {
    next_look_ = now;
    return;
  }
  if (leave_asked_at_) {
    OnLeaveAnswered(view.reply.verdict, sent_at);
    if (runner_is_gone_) return;
  }
  if (view.reply.verdict != RunnerVerdict::kDone) {
    next_look_ = now + kLostPause;
    if (view.reply.verdict == RunnerVerdict::kFenced) {
      hooks_.log("fenced", "", "epoch " + std::to_string(epoch));
    }
    if (view.reply.verdict == RunnerVerdict::kOtherIncarnation)
      NoteAnotherAnswers();
    return;
  }
  NoteClock(view.reply.clock);
  last_answer_ = now;
  for (const RunEnd& end : view.ended) {
    highest_listed_ = std::max(highest_listed_, end.number);
    paced_.erase(end.run);
  }
  const auto wants_inventory = [this] {
    return inventory_wanted_ && owner_link_;
  };
  if (wants_inventory() && sent_at >= inventory_after_) SendInventory(view);
  ReportEnds(view);
  ResolveOrders(view, sent_at);
  Pace(view, sent_at, now);
  life_record_.OnView(std::move(view), sent_at);
  next_look_ = highest_listed_ > settled_ ? now + kUnsettledPause : now;
  if (wants_inventory()) {
    LookSoon();
  } else if (next_look_ <= now && !slow_look_open_) {
    Look(NextWait());
  }
}

void Executor::SendInventory(const RunnerView& view) {
  VmInventory inventory;
  inventory.epoch = epoch_;
  inventory.status = status_;
  for (const RunningRun& running : view.running) {
    inventory.running.push_back(running.run);
  }
  for (const auto& [run, order] : orders_) inventory.pending.push_back(run);
  inventory.ended = view.ended;
  AddPastLives(inventory);
  inventory_wanted_ = false;
  reported_ = HighestOf(view.ended);
  reported_at_ = hooks_.now();
  calm_told_ = false;
  SendToOwner(inventory);
  // Asks for a lease at once.
  last_heartbeat_ = hooks_.now();
  SendToOwner(VmHeartbeat{epoch_, last_heartbeat_});
}

void Executor::SendEmptyInventory() {
  VmInventory inventory;
  inventory.epoch = epoch_;
  AddPastLives(inventory);
  SendToOwner(inventory);
}

void Executor::AddPastLives(VmInventory& inventory) const {
  for (const auto& [at, past] : past_lives_) {
    inventory.past_lives.push_back(past);
  }
}

bool Executor::AllLeasesOver(TimePoint now) const {
  const TimePoint earlier_runs = started_at_ + options_.max_lease;
  const TimePoint last = std::max(lease_end_, earlier_runs);
  const bool silent = now - last_answer_ >= options_.runner_lost_after;
  return silent && now >= last + options_.lease_margin;
}

void Executor::NoteAnotherAnswers() {
  if (another_answers_) return;
  another_answers_ = true;
  hooks_.log("another_life_answers", "", "not " + status_.life);
}

void Executor::ReportEnds(const RunnerView& view) {
  if (!owner_link_) return;
  const TimePoint now = hooks_.now();
  const bool again = now - reported_at_ >= kReportAgain;
  RunReports reports{epoch_, status_.life, {}, {}, {}};
  size_t repeated = 0;
  for (const RunEnd& end : view.ended) {
    if (end.number <= settled_) continue;
    const bool is_new = end.number > reported_;
    if (!is_new && (!again || ++repeated > kMostReportedAgain)) continue;
    reports.ended.push_back(end);
  }
  if (reports.ended.empty()) return;
  reported_ = std::max(reported_, HighestOf(view.ended));
  reported_at_ = now;
  SendToOwner(reports);
}

}  // namespace beamhill
