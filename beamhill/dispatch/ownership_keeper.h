// Elects the owner of the deployment among the schedulers: each scheduler has
// one OwnershipKeeper, which claims, confirms, hands over and releases the
// ownership.
//
// A single row of the table, the owner row, names the owner. A scheduler takes
// ownership by a conditional write to the row that raises the epoch. Every
// transaction of the owner rewrites the row on condition of its last version.
// So the transactions of one owner take effect in order or not at all: one
// whose answer was lost cannot take effect after a later one, and an owner that
// has lost the row cannot store anything.
//
// An owner may act for `authority_term` after it sent its latest transaction
// that took effect. A successor does not wait for this term to end: executors
// obey the higher epoch at once, and Dispatcher waits until the leases of
// executors that it cannot reach have expired. How long that takes depends on
// whether earlier owners may still grant leases; see EarlierOwner.
//
//   OwnershipKeeper keeper(options, table, hooks);
//   keeper.Tick();                                   // every 50 ms
//   keeper.OnOwnerHeard(epoch);                      // on its heartbeat
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
  std::string name;          // Of this scheduler.
  uint64_t incarnation = 0;  // Of this process.
  std::string address;       // Where this scheduler accepts links.
  std::string row_key = rows::kOwner;
  // How long an owner may act after its latest transaction that took effect.
  // Running tasks survive outages of the table up to this long.
  Duration authority_term = std::chrono::seconds(8);
  // How often an owner with nothing to store rewrites the row.
  Duration confirm_interval = std::chrono::milliseconds(500);
  // An owner that sends no heartbeats is considered lost once the row has not
  // changed for this long. Exceeds `confirm_interval` plus a slow answer.
  Duration unchanged_before_claim = std::chrono::milliseconds(1700);
  // How long the owner may be silent on its link before the row is read.
  Duration owner_silence_before_read = std::chrono::milliseconds(900);
  // Time between reads of the row, extended by a random part of up to one half.
  Duration row_read_interval = std::chrono::milliseconds(350);
  // After handing over, how long this scheduler does not claim the row.
  Duration hand_over_pause = std::chrono::seconds(3);
};

// What is known of the owners before this one when the ownership is taken.
enum class EarlierOwner : uint8_t {
  kReleased,  // The last one had stopped acting, or there was none.
  // The process of the last one has ended: the row names this scheduler with
  // another process incarnation, or another incarnation answers at the owner's
  // address. Silence, or a row that does not change, proves nothing.
  kEnded,
  // Some earlier owner may still act and grant leases.
  kUnknown,
};

// Callbacks of an OwnershipKeeper; all must be set.
struct OwnershipKeeperHooks {
  std::function<TimePoint()> now;
  std::function<double()> random;  // Uniform in [0, 1).
  // How long to wait before claiming a free row, so that others may claim it
  // first. Called once each time the row becomes free.
  std::function<Duration()> claim_delay;
  // Another process is the owner.
  std::function<void(const OwnerRecord&)> on_follow;
  // This process has become the owner. `first`: there was no earlier owner.
  std::function<void(uint64_t epoch, EarlierOwner earlier, bool first)>
      on_taken;
  // This process is no longer the owner.
  std::function<void()> on_lost;
  // A transaction of the owner has ended, also one that only confirms the row:
  // what waits for Commit can be sent, before the next confirmation. Optional.
  std::function<void()> on_commit_ended;
  std::function<void(const std::string& event, const std::string& detail)> log;
};

class OwnershipKeeper {
 public:
  OwnershipKeeper(const OwnershipKeeperOptions& options, Table table,
                  OwnershipKeeperHooks hooks);

  // Reads or rewrites the row when that is due.
  void Tick();
  // A heartbeat of the owner of this epoch has arrived.
  void OnOwnerHeard(uint64_t epoch);
  // The owner has reported that the table does not answer it: reads the row at
  // the next tick, to find out whether the table answers this process.
  void OnOwnerLostTable();
  // An owner announcement has arrived; one of an older epoch is ignored.
  void OnOwnerAnnounced(const OwnerRecord& owner);
  // The owner process with this incarnation has ended: another one answers at
  // its address.
  void OnOwnerGone(uint64_t incarnation);
  // The owner of this epoch has stopped acting and handed over to this process.
  void OnHandOver(uint64_t epoch);

  bool owns() const { return owns_; }
  uint64_t epoch() const { return record_.epoch; }
  const OwnerRecord& record() const { return record_; }
  // Whether this process is the owner and its authority has not expired.
  bool MayAct() const;
  // When the latest call was sent that confirmed the ownership.
  TimePoint confirmed_at() const { return confirmed_at_; }
  Duration SinceConfirmed() const;

  // Stores `writes` as the owner, in one transaction; only one may be open at a
  // time. `done` receives whether it is known to have taken effect. If not, it
  // may still take effect, but only before a later commit does. If the answer
  // is overdue, the row is read, since all later commits wait: its sequence
  // shows which transaction took effect, and this one is sent again if it has
  // not.
  void Commit(std::vector<RowWrite> writes, std::function<void(bool)> done);
  bool committing() const { return commit_.has_value(); }

  // No lease of an earlier owner is valid any more, or the VMs have reported
  // all work under such leases. The next transaction records this in the row.
  void OnEarlierLeasesOver() { earlier_leases_over_ = true; }

  // Marks the row as released; the caller must have stopped acting. Runs `done`
  // once this is stored or has failed.
  void Release(std::function<void()> done);
  // Stops being the owner without writing to the table; a peer claims the row.
  void HandOverToPeer();

 private:
  struct OpenCommit {
    Transaction transaction;
    OwnerRecord next;  // The row as the transaction writes it.
    std::function<void(bool)> done;
    int sent = 0;  // How many times it was sent.
    int unanswered = 0;
    TimePoint last_sent{};
  };

  void ReadRow();
  // Stores the row as it was read. Returns whether it names another process
  // than before.
  bool UpdateKnownOwner(const OwnerRecord& seen, uint64_t version);
  void OnRow(const Row& row, TimePoint sent_at);
  // Judges by the row that a read sent at `sent_at` returned.
  bool OwnerLooksLost(TimePoint sent_at) const;
  // Whether the row has been claimable for the claim delay.
  bool MayClaim(bool claimable, TimePoint now);
  // What is known of the owner that the row names.
  EarlierOwner JudgeEarlierOwner(bool handed_over) const;
  void Claim(const Row& row, EarlierOwner earlier);
  void TakeOwnership(const OwnerRecord& record, uint64_t version,
                     TimePoint sent_at, EarlierOwner earlier);
  void LoseOwnership(const std::string& reason);
  void SendCommit();
  void ReadForCommit();
  void OnReadForCommit(uint64_t sequence, TimePoint sent_at,
                       const Result<std::vector<Row>>& rows);
  // Handles the answer to the transaction with this sequence.
  void OnCommitAnswer(uint64_t sequence, TimePoint sent_at,
                      const CommitAnswer& answer);
  void FinishCommit(bool committed);
  void ReadRowAfterConflict();
  // Updates the state of an owner from the row. Returns whether the row
  // contains the open commit. Ends the ownership if the row names another
  // owner.
  bool UpdateFromRow(const Result<std::vector<Row>>& rows, TimePoint sent_at);
  // Starts a release that had to wait for the row's version.
  void ResumeRelease();

  OwnershipKeeperOptions options_;
  Table table_;
  OwnershipKeeperHooks hooks_;

  bool owns_ = false;
  bool read_or_claim_open_ = false;
  bool resolving_conflict_ = false;
  bool checking_commit_ = false;
  bool releasing_ = false;
  std::function<void()> pending_release_;  // Callback of a release that waits.
  OwnerRecord record_;
  uint64_t version_ = 0;
  std::optional<OpenCommit> commit_;
  // Sequence of the latest transaction of this process; never used twice.
  uint64_t last_sequence_ = 0;
  ResponseTimeEstimator answer_times_;
  TimePoint confirmed_at_{};
  TimePoint last_commit_{};

  bool row_known_ = false;
  TimePoint unchanged_since_{};  // First answer with the present version.
  TimePoint owner_heard_at_{};
  TimePoint next_read_at_{};
  TimePoint no_claim_before_{};
  std::optional<TimePoint> claim_at_;  // Set while the row is claimable.
  std::optional<uint64_t> gone_owner_incarnation_;
  uint64_t handed_over_epoch_ = 0;
  uint64_t last_owned_epoch_ = 0;
  bool earlier_leases_over_ = false;  // Of this ownership.
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_OWNERSHIP_KEEPER_H_
