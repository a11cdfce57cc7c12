// Stores the settings tree in the platform's table and polls it for changes.
//
// An accepted change is durable. One row holds the revision of the whole tree,
// and one row per node holds the node's values. A change writes both in one
// transaction, so revisions have no gaps and two concurrent changes never get
// the same revision.
//
//   SettingsStore store(table, hooks);
//   store.Poll();  // Once per second.
//   store.Put("estate", values, version, "ana", [](auto result) { ... });
#ifndef BEAMHILL_SETTINGS_SETTINGS_STORE_H_
#define BEAMHILL_SETTINGS_SETTINGS_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/base/lifetime.h"
#include "beamhill/base/time.h"
#include "beamhill/settings/settings_tree.h"
#include "beamhill/table/table.h"

namespace beamhill {

// A node as stored in the table. An update must pass the current `version`,
// which is 0 for a node that has no row.
struct SettingsNode {
  uint64_t version = 0;
  uint64_t revision = 0;
  std::string changed_by;
  SettingValues values;
};

// An entry of the change history. `values` are all values of the node after the
// change.
struct SettingsChange {
  uint64_t revision = 0;
  std::string node;
  std::string changed_by;
  SettingValues values;
};

// Reads and updates settings nodes, and keeps a local copy of the whole tree.
// Not thread-safe; callbacks aren't called after the store is destroyed.
class SettingsStore {
 public:
  struct Hooks {
    std::function<TimePoint()> now;
    // Returns an id that is unique among all changes. The store uses it to
    // recognize its own write after the answer to a commit was lost.
    std::function<std::string()> new_change_id;
    // Called after a later revision has been loaded into tree().
    std::function<void()> on_change;
  };

  SettingsStore(Table table, Hooks hooks);
  ~SettingsStore();

  // Reads the revision from the table and loads the tree if it is later than
  // that of tree(). Does nothing while an earlier poll is in progress.
  void Poll();

  using NodeCallback = std::function<void(Result<SettingsNode>)>;
  // Reads a node from the table; a node without a row has version 0.
  void Get(const std::string& node, NodeCallback done);
  // Replaces all values of a node. `version` must be the node's current
  // version, or 0 for a node that has no row. `changed_by` names the operator.
  // Errors:
  //   kConflict: the node has another version;
  //   kUnavailable: the table refused the write, or too many changes competed;
  //   kUnknownOutcome: the change may or may not have been applied.
  void Put(const std::string& node, const SettingValues& values,
           uint64_t version, const std::string& changed_by, NodeCallback done);
  // Reads the last 200 changes, newest first.
  void History(std::function<void(Result<std::vector<SettingsChange>>)> done);

  const SettingsTree& tree() const { return tree_; }
  // The send time of the last read that showed the revision of tree() to be the
  // latest; empty before the first one.
  std::optional<TimePoint> confirmed_at() const { return confirmed_at_; }

 private:
  struct PendingPut;
  void Load(uint64_t revision, TimePoint sent_at);
  void TryPut(const std::shared_ptr<PendingPut>& put);

  Table table_;
  Hooks hooks_;
  SettingsTree tree_;
  bool polling_ = false;
  std::optional<TimePoint> confirmed_at_;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SETTINGS_SETTINGS_STORE_H_
