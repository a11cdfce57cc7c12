#include "beamhill/dispatch/ownership_keeper.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Upper bound of the random delay after a failed claim, so that peers that read
// the same row do not claim it at the same time again.
constexpr Duration kMaxClaimRetryDelay = std::chrono::milliseconds(60);
// How often one transaction is sent at most: three lost answers in a row are
// rare, so after these the table itself is likely not to answer.
constexpr int kMaxCommitSends = 3;

const char* EarlierOwnerName(EarlierOwner earlier) {
  switch (earlier) {
    case EarlierOwner::kReleased:
      return "released";
    case EarlierOwner::kEnded:
      return "its process has ended";
    case EarlierOwner::kUnknown:
      break;
  }
  return "which may still act";
}

}  // namespace

OwnershipKeeper::OwnershipKeeper(const OwnershipKeeperOptions& options,
                                 Table table, OwnershipKeeperHooks hooks)
    : options_(options), table_(std::move(table)), hooks_(std::move(hooks)) {
  next_read_at_ = hooks_.now();
}

bool OwnershipKeeper::MayAct() const {
  return owns_ && SinceConfirmed() < options_.authority_term;
}

Duration OwnershipKeeper::SinceConfirmed() const {
  return hooks_.now() - confirmed_at_;
}

void OwnershipKeeper::OnOwnerHeard(uint64_t epoch) {
  if (owns_ || epoch < record_.epoch) return;
  owner_heard_at_ = hooks_.now();
  next_read_at_ = owner_heard_at_ + options_.owner_silence_before_read;
}

void OwnershipKeeper::OnOwnerLostTable() {
  if (!owns_) next_read_at_ = hooks_.now();
}

void OwnershipKeeper::OnOwnerAnnounced(const OwnerRecord& owner) {
  if (owner.epoch <= record_.epoch) return;
  if (owns_) LoseOwnership("a later owner was announced");
  record_ = owner;
  row_known_ = true;
  version_ = 0;
  owner_heard_at_ = hooks_.now();
  next_read_at_ = owner_heard_at_ + options_.owner_silence_before_read;
  hooks_.on_follow(owner);
}

void OwnershipKeeper::OnOwnerGone(uint64_t incarnation) {
  if (owns_ || incarnation == gone_owner_incarnation_) return;
  gone_owner_incarnation_ = incarnation;
  hooks_.log("owner_gone", record_.owner);
  next_read_at_ = hooks_.now();
}

void OwnershipKeeper::OnHandOver(uint64_t epoch) {
  if (owns_ || epoch < record_.epoch) return;
  hooks_.log("hand_over_received", "epoch " + std::to_string(epoch));
  handed_over_epoch_ = epoch;
  next_read_at_ = hooks_.now();
}

void OwnershipKeeper::Tick() {
  const TimePoint now = hooks_.now();
  if (owns_) {
    const bool idle = now - last_commit_ >= options_.confirm_interval;
    if (idle && !commit_ && !releasing_) Commit({}, [](bool) {});
    const bool overdue =
        commit_ && now - commit_->last_sent >= answer_times_.ReplyTimeout();
    if (overdue && !resolving_conflict_ && !checking_commit_) ReadForCommit();
    return;
  }
  if (!read_or_claim_open_ && now >= next_read_at_) ReadRow();
}

void OwnershipKeeper::ReadRow() {
  read_or_claim_open_ = true;
  const TimePoint sent_at = hooks_.now();
  const Duration jitter = std::chrono::duration_cast<Duration>(
      hooks_.random() * options_.row_read_interval / 2);
  next_read_at_ = sent_at + options_.row_read_interval + jitter;
  table_.read({options_.row_key},
              lifetime_.Guard([this, sent_at](Result<std::vector<Row>> rows) {
                read_or_claim_open_ = false;
                if (!IsOk(rows) || owns_) return;
                OnRow(ValueOf(rows).front(), sent_at);
              }));
}

// A read returns the row as it was at some moment between its call and its
// answer, and a table that recovers from an outage answers seconds late. So the
// row is known to be unchanged only from the answer to one read until the call
// of a later one.
bool OwnershipKeeper::OwnerLooksLost(TimePoint sent_at) const {
  if (record_.incarnation == gone_owner_incarnation_) return true;
  return sent_at - owner_heard_at_ >= options_.owner_silence_before_read &&
         sent_at - unchanged_since_ >= options_.unchanged_before_claim;
}

bool OwnershipKeeper::UpdateKnownOwner(const OwnerRecord& seen,
                                       uint64_t version) {
  if (!row_known_ || version != version_) unchanged_since_ = hooks_.now();
  const bool new_owner = !row_known_ || seen.incarnation != record_.incarnation;
  row_known_ = true;
  version_ = version;
  record_ = seen;
  return new_owner;
}

void OwnershipKeeper::OnRow(const Row& row, TimePoint sent_at) {
  const TimePoint now = hooks_.now();
  if (row.version == 0) {
    if (MayClaim(true, now)) Claim(row, EarlierOwner::kReleased);
    return;
  }
  const Result<OwnerRecord> decoded = DecodeRecord<OwnerRecord>(row.value);
  if (!IsOk(decoded)) {
    hooks_.log("bad_owner_row", ErrorOf(decoded).message);
    return;
  }
  const OwnerRecord& seen = ValueOf(decoded);
  const bool new_owner = UpdateKnownOwner(seen, row.version);
  const bool own_row =
      seen.owner == options_.name && seen.incarnation == options_.incarnation;
  if (own_row && seen.epoch > last_owned_epoch_ && !seen.released) {
    // A claim of this process took effect, but its answer was lost.
    TakeOwnership(
        seen, row.version, sent_at,
        seen.earlier_leases ? EarlierOwner::kUnknown : EarlierOwner::kEnded);
    return;
  }
  // Either this process was the owner under this epoch and gave it up: nobody
  // else knows its latest decisions, so it needs a new epoch to continue. Or
  // the owner has handed over to this process.
  const bool handed_to_us = own_row || handed_over_epoch_ == seen.epoch;
  // An earlier incarnation of this scheduler cannot be running any more.
  const bool own_earlier_incarnation = seen.owner == options_.name;
  const bool free =
      seen.released || own_earlier_incarnation || OwnerLooksLost(sent_at);
  if (MayClaim(free, now) || handed_to_us) {
    Claim(row, JudgeEarlierOwner(handed_to_us));
    return;
  }
  if (new_owner && !free) hooks_.on_follow(seen);
}

bool OwnershipKeeper::MayClaim(bool claimable, TimePoint now) {
  if (!claimable) {
    claim_at_.reset();
    return false;
  }
  if (!claim_at_) claim_at_ = now + hooks_.claim_delay();
  if (now >= *claim_at_) return true;
  next_read_at_ = std::min(next_read_at_, *claim_at_);
  return false;
}

// An owner whose own takeover left leases of unknown owners open may end before
// those have expired, so its end is not the end of them.
EarlierOwner OwnershipKeeper::JudgeEarlierOwner(bool handed_over) const {
  if (record_.earlier_leases) return EarlierOwner::kUnknown;
  if (record_.released || handed_over) return EarlierOwner::kReleased;
  const bool ended = record_.owner == options_.name ||
                     record_.incarnation == gone_owner_incarnation_;
  return ended ? EarlierOwner::kEnded : EarlierOwner::kUnknown;
}

void OwnershipKeeper::Claim(const Row& row, EarlierOwner earlier) {
  const TimePoint now = hooks_.now();
  if (now < no_claim_before_) return;
  read_or_claim_open_ = true;
  OwnerRecord claimed;
  claimed.epoch = (row.version == 0 ? 0 : record_.epoch) + 1;
  claimed.owner = options_.name;
  claimed.incarnation = options_.incarnation;
  claimed.address = options_.address;
  claimed.earlier_leases = earlier == EarlierOwner::kUnknown;
  const bool first = row.version == 0;
  hooks_.log("claiming", "epoch " + std::to_string(claimed.epoch) +
                             (first ? ", first"
                                    : ", after " + record_.owner + ", " +
                                          EarlierOwnerName(earlier)));
  Transaction transaction;
  transaction.writes.push_back(
      {options_.row_key, row.version, EncodeRecord(claimed)});
  table_.commit(
      std::move(transaction),
      lifetime_.Guard([this, claimed, now, earlier](CommitAnswer answer) {
        read_or_claim_open_ = false;
        if (answer.result == CommitResult::kCommitted) {
          TakeOwnership(claimed, answer.versions.front(), now, earlier);
          return;
        }
        const Duration pause = std::chrono::duration_cast<Duration>(
            hooks_.random() * kMaxClaimRetryDelay);
        next_read_at_ = hooks_.now() + pause;
      }));
}

void OwnershipKeeper::TakeOwnership(const OwnerRecord& record, uint64_t version,
                                    TimePoint sent_at, EarlierOwner earlier) {
  record_ = record;
  version_ = version;
  confirmed_at_ = sent_at;
  last_commit_ = hooks_.now();
  owns_ = true;
  last_owned_epoch_ = record.epoch;
  last_sequence_ = std::max(last_sequence_, record.sequence);
  handed_over_epoch_ = 0;
  earlier_leases_over_ = false;
  claim_at_.reset();
  hooks_.log("ownership_taken", "epoch " + std::to_string(record.epoch));
  hooks_.on_taken(record.epoch, earlier, record.epoch == 1);
}

void OwnershipKeeper::LoseOwnership(const std::string& reason) {
  if (!owns_) return;
  owns_ = false;
  row_known_ = false;
  next_read_at_ = hooks_.now();
  owner_heard_at_ = hooks_.now();
  hooks_.log("ownership_lost", reason);
  if (commit_) FinishCommit(false);
  hooks_.on_lost();
}

void OwnershipKeeper::Commit(std::vector<RowWrite> writes,
                             std::function<void(bool)> done) {
  if (!owns_ || commit_ || resolving_conflict_) {
    done(false);
    return;
  }
  last_commit_ = hooks_.now();
  OpenCommit commit;
  commit.next = record_;
  commit.next.sequence = ++last_sequence_;
  if (earlier_leases_over_) commit.next.earlier_leases = false;
  commit.transaction.writes = std::move(writes);
  commit.transaction.writes.push_back(
      {options_.row_key, version_, EncodeRecord(commit.next)});
  commit.done = std::move(done);
  commit_ = std::move(commit);
  SendCommit();
}

void OwnershipKeeper::SendCommit() {
  const TimePoint sent_at = hooks_.now();
  commit_->last_sent = sent_at;
  ++commit_->sent;
  ++commit_->unanswered;
  table_.commit(commit_->transaction,
                lifetime_.Guard([this, sequence = commit_->next.sequence,
                                 sent_at](const CommitAnswer& answer) {
                  OnCommitAnswer(sequence, sent_at, answer);
                }));
}

void OwnershipKeeper::ReadForCommit() {
  checking_commit_ = true;
  const TimePoint sent_at = hooks_.now();
  table_.read({options_.row_key},
              lifetime_.Guard([this, sequence = commit_->next.sequence,
                               sent_at](const Result<std::vector<Row>>& rows) {
                checking_commit_ = false;
                OnReadForCommit(sequence, sent_at, rows);
              }));
}

void OwnershipKeeper::OnReadForCommit(uint64_t sequence, TimePoint sent_at,
                                      const Result<std::vector<Row>>& rows) {
  if (!IsOk(rows)) return;
  const Duration read_time = hooks_.now() - sent_at;
  const bool lost = answer_times_.ImpliesLostReply(read_time);
  answer_times_.Add(read_time);
  const bool open = commit_ && commit_->next.sequence == sequence;
  if (!open || resolving_conflict_) return;
  if (UpdateFromRow(rows, sent_at)) {
    FinishCommit(true);
  } else if (commit_ && lost && commit_->sent < kMaxCommitSends) {
    SendCommit();
  }
}

void OwnershipKeeper::OnCommitAnswer(uint64_t sequence, TimePoint sent_at,
                                     const CommitAnswer& answer) {
  // A transaction that was sent again may have finished by an earlier answer.
  if (!commit_ || commit_->next.sequence != sequence) return;
  --commit_->unanswered;
  switch (answer.result) {
    case CommitResult::kCommitted:
      answer_times_.Add(hooks_.now() - sent_at);
      record_ = commit_->next;
      version_ = answer.versions.back();
      confirmed_at_ = sent_at;
      FinishCommit(true);
      return;
    case CommitResult::kConflict:
      answer_times_.Add(hooks_.now() - sent_at);
      if (!resolving_conflict_) ReadRowAfterConflict();
      return;
    case CommitResult::kNotApplied:
    case CommitResult::kUnknown:
      if (commit_->unanswered == 0 && !resolving_conflict_) FinishCommit(false);
      return;
  }
}

void OwnershipKeeper::FinishCommit(bool committed) {
  const std::function<void(bool)> done = std::move(commit_->done);
  commit_.reset();
  done(committed);
  ResumeRelease();
  const bool free = owns_ && !commit_ && !resolving_conflict_ && !releasing_;
  if (free && hooks_.on_commit_ended) hooks_.on_commit_ended();
}

void OwnershipKeeper::ResumeRelease() {
  if (!pending_release_ || commit_ || resolving_conflict_) return;
  const std::function<void()> done = std::exchange(pending_release_, nullptr);
  Release(done);
}

// After a conflict the row names another owner, or contains a transaction of
// this process whose answer was lost: the open one or an earlier one.
void OwnershipKeeper::ReadRowAfterConflict() {
  resolving_conflict_ = true;
  const TimePoint sent_at = hooks_.now();
  table_.read({options_.row_key},
              lifetime_.Guard([this, sent_at](Result<std::vector<Row>> rows) {
                resolving_conflict_ = false;
                const bool committed = UpdateFromRow(rows, sent_at);
                if (commit_) FinishCommit(committed);
                ResumeRelease();
              }));
}

bool OwnershipKeeper::UpdateFromRow(const Result<std::vector<Row>>& rows,
                                    TimePoint sent_at) {
  if (!owns_ || !IsOk(rows)) return false;
  const Row& row = ValueOf(rows).front();
  const Result<OwnerRecord> seen = DecodeRecord<OwnerRecord>(row.value);
  const bool ours = IsOk(seen) && ValueOf(seen).epoch == record_.epoch &&
                    ValueOf(seen).incarnation == record_.incarnation;
  if (!ours) {
    LoseOwnership("the owner row names another owner");
    return false;
  }
  version_ = row.version;
  record_ = ValueOf(seen);
  confirmed_at_ = std::max(confirmed_at_, sent_at);
  return commit_ && record_.sequence == commit_->next.sequence;
}

void OwnershipKeeper::Release(std::function<void()> done) {
  if (!owns_) {
    done();
    return;
  }
  releasing_ = true;
  if (commit_ || resolving_conflict_) {
    pending_release_ = std::move(done);
    return;
  }
  OwnerRecord last = record_;
  last.sequence = ++last_sequence_;
  last.released = true;
  if (earlier_leases_over_) last.earlier_leases = false;
  Transaction transaction;
  transaction.writes.push_back(
      {options_.row_key, version_, EncodeRecord(last)});
  no_claim_before_ = TimePoint::max();
  table_.commit(std::move(transaction),
                lifetime_.Guard([this, done](CommitAnswer answer) {
                  hooks_.log("ownership_released",
                             answer.result == CommitResult::kCommitted
                                 ? "stored"
                                 : "outcome unknown");
                  owns_ = false;
                  done();
                }));
}

void OwnershipKeeper::HandOverToPeer() {
  no_claim_before_ = hooks_.now() + options_.hand_over_pause;
  LoseOwnership("handed over: the table does not answer this process");
}

}  // namespace beamhill
