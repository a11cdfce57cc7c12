// One scheduler's part in deciding who owns the deployment's work.
//
// The owner is named by one row of the table; it is taken by a conditional
// write that raises the epoch. Every transaction of an owner rewrites the row
// under the condition of its last version. So transactions of one owner take
// effect in their order or not at all: one whose answer was lost can't land
// after a later one has, and an owner that has lost the row can't store
// anything.
//
// An owner may act for `authority_term` from the sending of its last
// transaction that took effect. A successor need not wait for that: executors
// obey the higher epoch at once, and what an executor that is out of reach
// may still run is waited out (see Dispatcher).
//
//   OwnershipKeeper keeper(options, table, hooks);
//   keeper.Tick();                                   // every 50 ms
//   keeper.OnOwnerHeard(epoch);                      // the owner's heartbeat
//   keeper.Commit(writes, [](bool committed) { ... });
#ifndef BEAMHILL_DISPATCH_OWNERSHIP_KEEPER_H_
#define BEAMHILL_DISPATCH_OWNERSHIP_KEEPER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/lifetime.h"
#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/table/response_time_estimator.h"
#include "beamhill/table/row_names.h"
#include "beamhill/table/table.h"

namespace beamhill {

struct OwnershipKeeperOptions {
  std::string name;
  uint64_t incarnation = 0;
  std::string address;
  std::string row_key = rows::kOwner;
  // How long an owner acts without a transaction that took effect: the
  // longest outage of the table that work outlives.
  Duration authority_term = std::chrono::seconds(8);
  // An owner with nothing to store rewrites its row this often.
  Duration confirm_interval = std::chrono::milliseconds(500);
  // An owner that its peers don't hear and whose row has not changed for so
  // long is taken for lost. Above the confirm interval and a slow answer.
  Duration unchanged_before_claim = std::chrono::milliseconds(1700);
  // Silence on the link to the owner after which the row is looked at.
  Duration silence_before_look = std::chrono::milliseconds(900);
  Duration look_interval = std::chrono::milliseconds(350);
  // After handing over, how long to leave the row to others.
  Duration hand_over_pause = std::chrono::seconds(3);
};

struct OwnershipKeeperHooks {
  std::function<TimePoint()> now;
  std::function<double()> random;  // Uniform in [0, 1).
  // How long a row that is free to be claimed is left to others; asked once
  // each time that it becomes free.
  std::function<Duration()> claim_delay;
  // Another process owns the row.
  std::function<void(const OwnerRecord&)> on_follow;
  // This process owns it now. `released`: the earlier owner had stopped
  // acting; `first`: there was none.
  std::function<void(uint64_t epoch, bool released, bool first)> on_taken;
  std::function<void()> on_lost;
  std::function<void(const std::string& event, const std::string& detail)> log;
};

class OwnershipKeeper {
 public:
  OwnershipKeeper(const OwnershipKeeperOptions& options, Table table,
                  OwnershipKeeperHooks hooks);

  void Tick();
  // The owner of that epoch was heard on its link.
  void OnOwnerHeard(uint64_t epoch);
  // The owner says that the table does not answer it: find out whether it
  // answers us.
  void OnOwnerCutOff();
  // A later owner has made itself known on a link.
  void OnOwnerAnnounced(const OwnerRecord& owner);
  // That run of the owner is certainly gone.
  void OnOwnerGone(uint64_t incarnation);
  // The owner of that epoch has stopped acting in our favour.
  void OnHandOver(uint64_t epoch);

  bool owns() const { return owns_; }
  uint64_t epoch() const { return record_.epoch; }
  const OwnerRecord& record() const { return record_; }
  bool MayAct() const;
  // When the last call was sent that found the row still ours.
  TimePoint confirmed_at() const { return confirmed_at_; }
  Duration SinceConfirmed() const;

  // Stores writes as the owner. One at a time; `done` gets whether they took
  // effect. When not, they may still do so, but only before a later commit. One
  // whose answer is overdue is looked for, since everything waits for it: the
  // row's sequence tells which one took effect. It is repeated if it has not.
  void Commit(std::vector<RowWrite> writes, std::function<void(bool)> done);
  bool committing() const { return commit_.has_value(); }

  // Gives the row up; the caller has stopped acting. `done` runs when that is
  // stored or can't be.
  void Release(std::function<void()> done);
  // Stops owning without a word to the table; a peer claims.
  void HandOverTo();

 private:
  struct OpenCommit {
    Transaction transaction;
    OwnerRecord next;
    std::function<void(bool)> done;
    int sent = 0;
    int open = 0;  // Sent and not answered.
    TimePoint last_sent{};
  };

  void ReadRow();
  // Takes in the row as it was read; whether another process owns the work
  // than the row said before.
  bool Remember(const OwnerRecord& seen, uint64_t version);
  void OnRow(const Row& row, TimePoint sent_at);
  // By the row as it was read with a call sent then.
  bool OwnerLooksLost(TimePoint sent_at) const;
  // Whether the row may be claimed, and has been so for the claim delay.
  bool MayClaim(bool claimable, TimePoint now);
  void Claim(const Row& row, bool released);
  void Take(const OwnerRecord& record, uint64_t version, TimePoint sent_at,
            bool released);
  void Lose(const std::string& why);
  void SendCommit();
  void LookForCommit();
  void OnCommitLook(uint64_t sequence, TimePoint sent_at,
                    const Result<std::vector<Row>>& rows);
  // Of the transaction with that sequence.
  void OnCommitAnswer(uint64_t sequence, TimePoint sent_at,
                      const CommitAnswer& answer);
  void FinishCommit(bool committed);
  void Recheck();
  // Whether the row was found to hold the open commit.
  bool OnRechecked(const Result<std::vector<Row>>& rows, TimePoint sent_at);
  void ResumeRelease();

  OwnershipKeeperOptions options_;
  Table table_;
  OwnershipKeeperHooks hooks_;

  bool owns_ = false;
  bool busy_ = false;  // A read or claim is open.
  bool rechecking_ = false;
  bool looking_ = false;  // For the open commit.
  bool releasing_ = false;
  std::function<void()> release_wanted_;
  OwnerRecord record_;
  uint64_t version_ = 0;
  std::optional<OpenCommit> commit_;
  // Of the last transaction made here; no two have the same.
  uint64_t last_sequence_ = 0;
  ResponseTimeEstimator answer_times_;
  TimePoint confirmed_at_{};
  TimePoint last_commit_{};

  bool row_seen_ = false;
  TimePoint unchanged_since_{};  // When the row was first seen as it is.
  TimePoint heard_at_{};
  TimePoint look_at_{};
  TimePoint no_claim_before_{};
  std::optional<TimePoint> claim_at_;  // While the row is free to be claimed.
  uint64_t gone_incarnation_ = 0;
  uint64_t handed_over_epoch_ = 0;
  uint64_t last_owned_epoch_ = 0;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_OWNERSHIP_KEEPER_H_
