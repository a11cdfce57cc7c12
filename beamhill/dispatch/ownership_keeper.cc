#include "beamhill/dispatch/ownership_keeper.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Spreads the claims of peers that see the same row.
constexpr Duration kClaimSpread = std::chrono::milliseconds(60);
// Of one transaction: that three answers in a row are lost is rare, and where
// none comes the table may be silent.
constexpr int kMostSends = 3;

}  // namespace

OwnershipKeeper::OwnershipKeeper(const OwnershipKeeperOptions& options,
                                 Table table, OwnershipKeeperHooks hooks)
    : options_(options), table_(std::move(table)), hooks_(std::move(hooks)) {
  look_at_ = hooks_.now();
}

bool OwnershipKeeper::MayAct() const {
  return owns_ && SinceConfirmed() < options_.authority_term;
}

Duration OwnershipKeeper::SinceConfirmed() const {
  return hooks_.now() - confirmed_at_;
}

void OwnershipKeeper::OnOwnerHeard(uint64_t epoch) {
  if (owns_ || epoch < record_.epoch) return;
  heard_at_ = hooks_.now();
  look_at_ = heard_at_ + options_.silence_before_look;
}

void OwnershipKeeper::OnOwnerCutOff() {
  if (!owns_) look_at_ = hooks_.now();
}

void OwnershipKeeper::OnOwnerAnnounced(const OwnerRecord& owner) {
  if (owner.epoch <= record_.epoch) return;
  if (owns_) Lose("a later owner has made itself known");
  record_ = owner;
  row_seen_ = true;
  version_ = 0;
  heard_at_ = hooks_.now();
  look_at_ = heard_at_ + options_.silence_before_look;
  hooks_.on_follow(owner);
}

void OwnershipKeeper::OnOwnerGone(uint64_t incarnation) {
  if (owns_ || incarnation == gone_incarnation_) return;
  gone_incarnation_ = incarnation;
  hooks_.log("owner_gone", record_.owner);
  look_at_ = hooks_.now();
}

void OwnershipKeeper::OnHandOver(uint64_t epoch) {
  if (owns_ || epoch < record_.epoch) return;
  hooks_.log("hand_over_received", "epoch " + std::to_string(epoch));
  handed_over_epoch_ = epoch;
  look_at_ = hooks_.now();
}

void OwnershipKeeper::Tick() {
  const TimePoint now = hooks_.now();
  if (owns_) {
    const bool idle = now - last_commit_ >= options_.confirm_interval;
    if (idle && !commit_ && !releasing_) Commit({}, [](bool) {});
    const bool overdue =
        commit_ && now - commit_->last_sent >= answer_times_.ReplyTimeout();
    if (overdue && !rechecking_ && !looking_) LookForCommit();
    return;
  }
  if (!busy_ && now >= look_at_) ReadRow();
}

void OwnershipKeeper::ReadRow() {
  busy_ = true;
  const TimePoint sent_at = hooks_.now();
  const Duration jitter = std::chrono::duration_cast<Duration>(
      hooks_.random() * options_.look_interval / 2);
  look_at_ = sent_at + options_.look_interval + jitter;
  table_.read({options_.row_key},
              lifetime_.Guard([this, sent_at](Result<std::vector<Row>> rows) {
                busy_ = false;
                if (!IsOk(rows) || owns_) return;
                OnRow(ValueOf(rows).front(), sent_at);
              }));
}

// What a read shows was so at some moment between its call and its answer, and
// a store that was silent answers seconds late: so the row is only known to be
// unchanged from the answer to one read until the call of another.
bool OwnershipKeeper::OwnerLooksLost(TimePoint sent_at) const {
  if (record_.incarnation == gone_incarnation_) return true;
  return sent_at - heard_at_ >= options_.silence_before_look &&
         sent_at - unchanged_since_ >= options_.unchanged_before_claim;
}

bool OwnershipKeeper::Remember(const OwnerRecord& seen, uint64_t version) {
  if (!row_seen_ || version != version_) unchanged_since_ = hooks_.now();
  const bool new_owner = !row_seen_ || seen.incarnation != record_.incarnation;
  row_seen_ = true;
  version_ = version;
  record_ = seen;
  return new_owner;
}

void OwnershipKeeper::OnRow(const Row& row, TimePoint sent_at) {
  const TimePoint now = hooks_.now();
  if (row.version == 0) {
    if (MayClaim(true, now)) Claim(row, /*released=*/true);
    return;
  }
  const Result<OwnerRecord> decoded = DecodeRecord<OwnerRecord>(row.value);
  if (!IsOk(decoded)) {
    hooks_.log("bad_owner_row", ErrorOf(decoded).message);
    return;
  }
  const OwnerRecord& seen = ValueOf(decoded);
  const bool new_owner = Remember(seen, row.version);
  const bool own_row =
      seen.owner == options_.name && seen.incarnation == options_.incarnation;
  if (own_row && seen.epoch > last_owned_epoch_ && !seen.released) {
    // A claim of ours whose answer was lost.
    Take(seen, row.version, sent_at, /*released=*/false);
    return;
  }
  // We owned it and stopped acting; what we did is known to no one, so it
  // takes a new epoch to go on. Or it was given to us.
  const bool given = own_row || handed_over_epoch_ == seen.epoch;
  // An earlier run of this process is gone for certain.
  const bool own_earlier_run = seen.owner == options_.name;
  const bool free = seen.released || own_earlier_run || OwnerLooksLost(sent_at);
  if (MayClaim(free, now) || given) {
    Claim(row, seen.released || given);
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
  look_at_ = std::min(look_at_, *claim_at_);
  return false;
}

void OwnershipKeeper::Claim(const Row& row, bool released) {
  const TimePoint now = hooks_.now();
  if (now < no_claim_before_) return;
  busy_ = true;
  OwnerRecord mine;
  mine.epoch = (row.version == 0 ? 0 : record_.epoch) + 1;
  mine.owner = options_.name;
  mine.incarnation = options_.incarnation;
  mine.address = options_.address;
  const bool first = row.version == 0;
  hooks_.log("claiming", "epoch " + std::to_string(mine.epoch) +
                             (first ? ", first"
                                    : ", after " + record_.owner +
                                          (released ? ", released" : "")));
  Transaction transaction;
  transaction.writes.push_back(
      {options_.row_key, row.version, EncodeRecord(mine)});
  table_.commit(
      std::move(transaction),
      lifetime_.Guard([this, mine, now, released](CommitAnswer answer) {
        busy_ = false;
        if (answer.result == CommitResult::kCommitted) {
          Take(mine, answer.versions.front(), now, released);
          return;
        }
        const Duration pause = std::chrono::duration_cast<Duration>(
            hooks_.random() * kClaimSpread);
        look_at_ = hooks_.now() + pause;
      }));
}

void OwnershipKeeper::Take(const OwnerRecord& record, uint64_t version,
                           TimePoint sent_at, bool released) {
  record_ = record;
  version_ = version;
  confirmed_at_ = sent_at;
  last_commit_ = hooks_.now();
  owns_ = true;
  last_owned_epoch_ = record.epoch;
  last_sequence_ = std::max(last_sequence_, record.sequence);
  handed_over_epoch_ = 0;
  claim_at_.reset();
  hooks_.log("ownership_taken", "epoch " + std::to_string(record.epoch));
  hooks_.on_taken(record.epoch, released, record.epoch == 1);
}

void OwnershipKeeper::Lose(const std::string& why) {
  if (!owns_) return;
  owns_ = false;
  row_seen_ = false;
  look_at_ = hooks_.now();
  heard_at_ = hooks_.now();
  hooks_.log("ownership_lost", why);
  if (commit_) FinishCommit(false);
  hooks_.on_lost();
}

void OwnershipKeeper::Commit(std::vector<RowWrite> writes,
                             std::function<void(bool)> done) {
  if (!owns_ || commit_ || rechecking_) {
    done(false);
    return;
  }
  last_commit_ = hooks_.now();
  OpenCommit commit;
  commit.next = record_;
  commit.next.sequence = ++last_sequence_;
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
  ++commit_->open;
  table_.commit(commit_->transaction,
                lifetime_.Guard([this, sequence = commit_->next.sequence,
                                 sent_at](const CommitAnswer& answer) {
                  OnCommitAnswer(sequence, sent_at, answer);
                }));
}

void OwnershipKeeper::LookForCommit() {
  looking_ = true;
  const TimePoint sent_at = hooks_.now();
  table_.read({options_.row_key},
              lifetime_.Guard([this, sequence = commit_->next.sequence,
                               sent_at](const Result<std::vector<Row>>& rows) {
                looking_ = false;
                OnCommitLook(sequence, sent_at, rows);
              }));
}

void OwnershipKeeper::OnCommitLook(uint64_t sequence, TimePoint sent_at,
                                   const Result<std::vector<Row>>& rows) {
  if (!IsOk(rows)) return;
  const Duration took = hooks_.now() - sent_at;
  const bool lost = answer_times_.ImpliesLostReply(took);
  answer_times_.Add(took);
  const bool open = commit_ && commit_->next.sequence == sequence;
  if (!open || rechecking_) return;
  if (OnRechecked(rows, sent_at)) {
    FinishCommit(true);
  } else if (commit_ && lost && commit_->sent < kMostSends) {
    SendCommit();
  }
}

void OwnershipKeeper::OnCommitAnswer(uint64_t sequence, TimePoint sent_at,
                                     const CommitAnswer& answer) {
  // One that was repeated has ended by another answer.
  if (!commit_ || commit_->next.sequence != sequence) return;
  --commit_->open;
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
      if (!rechecking_) Recheck();
      return;
    case CommitResult::kNotApplied:
    case CommitResult::kUnknown:
      if (commit_->open == 0 && !rechecking_) FinishCommit(false);
      return;
  }
}

void OwnershipKeeper::FinishCommit(bool committed) {
  const std::function<void(bool)> done = std::move(commit_->done);
  commit_.reset();
  done(committed);
  ResumeRelease();
}

// A release that waited for the row's version to be known.
void OwnershipKeeper::ResumeRelease() {
  if (!release_wanted_ || commit_ || rechecking_) return;
  const std::function<void()> done = std::exchange(release_wanted_, nullptr);
  Release(done);
}

// The row is not as we left it: another has it, or a transaction of ours
// without an answer took effect, this one or an earlier one.
void OwnershipKeeper::Recheck() {
  rechecking_ = true;
  const TimePoint sent_at = hooks_.now();
  table_.read({options_.row_key},
              lifetime_.Guard([this, sent_at](Result<std::vector<Row>> rows) {
                rechecking_ = false;
                const bool committed = OnRechecked(rows, sent_at);
                if (commit_) FinishCommit(committed);
                ResumeRelease();
              }));
}

bool OwnershipKeeper::OnRechecked(const Result<std::vector<Row>>& rows,
                                  TimePoint sent_at) {
  if (!owns_ || !IsOk(rows)) return false;
  const Row& row = ValueOf(rows).front();
  const Result<OwnerRecord> seen = DecodeRecord<OwnerRecord>(row.value);
  const bool ours = IsOk(seen) && ValueOf(seen).epoch == record_.epoch &&
                    ValueOf(seen).incarnation == record_.incarnation;
  if (!ours) {
    Lose("the row names another owner");
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
  if (commit_ || rechecking_) {
    release_wanted_ = std::move(done);
    return;
  }
  OwnerRecord last = record_;
  last.sequence = ++last_sequence_;
  last.released = true;
  Transaction transaction;
  transaction.writes.push_back(
      {options_.row_key, version_, EncodeRecord(last)});
  no_claim_before_ = TimePoint::max();
  table_.commit(std::move(transaction),
                lifetime_.Guard([this, done](CommitAnswer answer) {
                  hooks_.log("ownership_released",
                             answer.result == CommitResult::kCommitted
                                 ? "stored"
                                 : "not known to be stored");
                  owns_ = false;
                  done();
                }));
}

void OwnershipKeeper::HandOverTo() {
  no_claim_before_ = hooks_.now() + options_.hand_over_pause;
  Lose("handed over: the table does not answer here");
}

}  // namespace beamhill
