#include "beamhill/settings/settings_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace beamhill {
namespace {

using Json = nlohmann::json;

const char kRevisionKey[] = "settings-revision";
const char kNodePrefix[] = "settings/";
const char kHistoryPrefix[] = "settings-history/";
// Concurrent changes compete for the next revision, and one that keeps losing
// fails after this many attempts.
constexpr int kMaxAttempts = 8;
// Number of changes that History returns.
constexpr uint64_t kMaxHistoryEntries = 200;
// Zero-padded, so that the key order of the history rows is the revision order.
constexpr int kRevisionDigits = 12;

std::string HistoryKey(uint64_t revision) {
  const std::string digits = std::to_string(revision);
  return kHistoryPrefix + std::string(kRevisionDigits - digits.size(), '0') +
         digits;
}

// The JSON form of a row of a node. `unique` is the id of the last change.
struct StoredNode {
  uint64_t revision = 0;
  std::string changed_by;
  std::string unique;
  SettingValues values;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoredNode, revision, changed_by, unique,
                                   values)

// Returns nothing if the text isn't JSON of the expected form.
template <typename T>
std::optional<T> Parse(const std::string& text) {
  try {
    return Json::parse(text).get<T>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

// Returns 0 for a missing or malformed row.
uint64_t ParseRevision(const Row& row) {
  return row.version == 0 ? 0 : Parse<uint64_t>(row.value).value_or(0);
}

SettingsNode ToNode(const Row& row) {
  SettingsNode node;
  if (row.version == 0) return node;
  const StoredNode stored = Parse<StoredNode>(row.value).value_or(StoredNode{});
  node.version = row.version;
  node.revision = stored.revision;
  node.changed_by = stored.changed_by;
  node.values = stored.values;
  return node;
}

Error VersionConflict(const SettingsNode& current) {
  return {ErrorCode::kConflict,
          "the node has version " + std::to_string(current.version) +
              ", last changed by '" + current.changed_by + "'",
          "read it again and repeat the change on that version"};
}

}  // namespace

struct SettingsStore::PendingPut {
  std::string node;
  SettingValues values;
  uint64_t version = 0;
  std::string changed_by;
  std::string change_id;
  NodeCallback done;
  int attempts = 0;
};

SettingsStore::SettingsStore(Table table, Hooks hooks)
    : table_(std::move(table)), hooks_(std::move(hooks)) {}
SettingsStore::~SettingsStore() = default;

void SettingsStore::Poll() {
  if (polling_) return;
  polling_ = true;
  const TimePoint sent_at = hooks_.now();
  table_.read({kRevisionKey},
              lifetime_.Guard([this, sent_at](Result<std::vector<Row>> rows) {
                polling_ = false;
                if (!IsOk(rows)) return;
                const uint64_t revision = ParseRevision(ValueOf(rows).front());
                if (revision <= tree_.revision()) {
                  confirmed_at_ = sent_at;
                  return;
                }
                Load(revision, sent_at);
              }));
}

// Reads all nodes. They are read after `revision` was, so they are at least as
// new as that revision.
void SettingsStore::Load(uint64_t revision, TimePoint sent_at) {
  polling_ = true;
  table_.scan(
      kNodePrefix,
      lifetime_.Guard([this, revision, sent_at](Result<std::vector<Row>> rows) {
        polling_ = false;
        if (!IsOk(rows)) return;
        std::map<std::string, SettingValues> nodes;
        for (const Row& row : ValueOf(rows)) {
          const std::string node = row.key.substr(sizeof(kNodePrefix) - 1);
          nodes[node] = ToNode(row).values;
        }
        confirmed_at_ = sent_at;
        if (tree_.Replace(revision, std::move(nodes))) {
          hooks_.on_change();
        }
      }));
}

void SettingsStore::Get(const std::string& node, NodeCallback done) {
  table_.read(
      {kNodePrefix + node},
      lifetime_.Guard([done = std::move(done)](Result<std::vector<Row>> rows) {
        if (!IsOk(rows)) return done(ErrorOf(rows));
        done(ToNode(ValueOf(rows).front()));
      }));
}

void SettingsStore::Put(const std::string& node, const SettingValues& values,
                        uint64_t version, const std::string& changed_by,
                        NodeCallback done) {
  auto put = std::make_shared<PendingPut>();
  put->node = node;
  put->values = values;
  put->version = version;
  put->changed_by = changed_by;
  put->change_id = hooks_.new_change_id();
  put->done = std::move(done);
  TryPut(put);
}

void SettingsStore::TryPut(const std::shared_ptr<PendingPut>& put) {
  if (++put->attempts > kMaxAttempts) {
    put->done(Error{ErrorCode::kUnavailable,
                    "too many changes at the same moment", "try again"});
    return;
  }
  table_.read(
      {kRevisionKey, kNodePrefix + put->node},
      lifetime_.Guard([this, put](Result<std::vector<Row>> rows) {
        if (!IsOk(rows)) {
          // An earlier attempt may have been committed although its answer was
          // lost. Only on the first attempt has nothing been written for sure.
          Error error = ErrorOf(rows);
          if (put->attempts > 1) error.code = ErrorCode::kUnknownOutcome;
          return put->done(error);
        }
        const Row& revision_row = ValueOf(rows)[0];
        const Row& node_row = ValueOf(rows)[1];
        const auto stored = Parse<StoredNode>(node_row.value);
        if (stored && stored->unique == put->change_id) {
          return put->done(
              ToNode(node_row));  // An earlier attempt was committed.
        }
        if (node_row.version != put->version) {
          return put->done(VersionConflict(ToNode(node_row)));
        }
        StoredNode next;
        next.revision = ParseRevision(revision_row) + 1;
        next.changed_by = put->changed_by;
        next.unique = put->change_id;
        next.values = put->values;
        Transaction change;
        change.writes.push_back(
            {kRevisionKey, revision_row.version, Json(next.revision).dump()});
        change.writes.push_back(
            {kNodePrefix + put->node, put->version, Json(next).dump()});
        Json history = next;
        history["node"] = put->node;
        change.writes.push_back({HistoryKey(next.revision), 0, history.dump()});
        table_.commit(
            std::move(change),
            lifetime_.Guard([this, put, next](const CommitAnswer& answer) {
              switch (answer.result) {
                case CommitResult::kCommitted: {
                  SettingsNode node;
                  node.version = answer.versions[1];
                  node.revision = next.revision;
                  node.changed_by = next.changed_by;
                  node.values = next.values;
                  put->done(node);
                  Poll();
                  return;
                }
                case CommitResult::kNotApplied:
                  put->done(Error{ErrorCode::kUnavailable,
                                  "the platform's table refused the write",
                                  "try again"});
                  return;
                case CommitResult::kConflict:
                case CommitResult::kUnknown:
                  // The next attempt reads the node and so finds out whether
                  // this commit was applied or another change came first.
                  TryPut(put);
                  return;
              }
            }));
      }));
}

void SettingsStore::History(
    std::function<void(Result<std::vector<SettingsChange>>)> done) {
  table_.scan(
      kHistoryPrefix,
      lifetime_.Guard([done = std::move(done)](Result<std::vector<Row>> rows) {
        if (!IsOk(rows)) return done(ErrorOf(rows));
        std::vector<SettingsChange> changes;
        for (const Row& row : ValueOf(rows)) {
          const Json json = Json::parse(row.value, nullptr, false);
          const auto stored = Parse<StoredNode>(row.value);
          if (!stored || !json.is_object()) continue;
          changes.push_back({stored->revision, json.value("node", ""),
                             stored->changed_by, stored->values});
        }
        std::reverse(changes.begin(), changes.end());
        if (changes.size() > kMaxHistoryEntries) {
          changes.resize(kMaxHistoryEntries);
        }
        done(std::move(changes));
      }));
}

}  // namespace beamhill
