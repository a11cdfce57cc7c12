// Settings that operators change at run time, as a tree of nodes: the estate
// (the root), its regions and their data halls.
//
// A value set on a lower level overrides the value of the same key on a higher
// one. Every accepted change increments the revision of the whole tree, so all
// processes agree on which settings are newer, and none returns to older ones.
//
//   SettingsTree tree;
//   tree.Replace(revision, rows);
//   auto effective = tree.Effective("estate/north/hall-2");
#ifndef BEAMHILL_SETTINGS_SETTINGS_TREE_H_
#define BEAMHILL_SETTINGS_SETTINGS_TREE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/base/time.h"

namespace beamhill {

enum class SettingType : uint8_t { kInt, kDuration, kChoice };

// Describes a key: its type, default and allowed values.
struct SettingSpec {
  std::string_view key;
  SettingType type;
  std::string_view default_value;
  int64_t low = 0;           // Minimum; of kDuration in milliseconds.
  int64_t high = 0;          // Maximum; of kDuration in milliseconds.
  std::string_view choices;  // Allowed values of kChoice, separated by '|'.
  std::string_view description;
};

// Returns all keys except the quotas, whose keys contain the team:
// "quota.{team}".
const std::vector<SettingSpec>& KnownSettings();

// Values by key.
using SettingValues = std::map<std::string, std::string>;

// Checks all keys and values. The error kInvalidArgument lists every unknown
// key and every value that isn't allowed.
Status ValidateSettings(const SettingValues& values);

// Returns whether `node` has the form "estate", "estate/{region}" or
// "estate/{region}/{hall}".
bool IsSettingsNode(std::string_view node);
// Returns "estate/{region}/{hall}".
std::string HallNode(const std::string& region, const std::string& hall);

// The value that applies to a node.
struct EffectiveSetting {
  std::string value;
  std::string node;  // The node that sets the value, or "default".
};

// Holds the values of all nodes at one revision.
class SettingsTree {
 public:
  // Replaces the values of all nodes by those at `revision`. Does nothing and
  // returns false unless `revision` is later than the current one.
  bool Replace(uint64_t revision, std::map<std::string, SettingValues> nodes);

  uint64_t revision() const { return revision_; }
  // Returns the value of every key that applies to the node, with its origin.
  std::map<std::string, EffectiveSetting> Effective(
      const std::string& node) const;
  // Returns the same keys and values without the origin.
  std::vector<std::pair<std::string, std::string>> EffectiveValues(
      const std::string& node) const;

 private:
  uint64_t revision_ = 0;
  std::map<std::string, SettingValues> nodes_;
};

// These return the value of a key, or its default if `values` lacks it. The key
// must be known and the value valid for its type.
int64_t SettingInt(const SettingValues& values, const std::string& key);
Duration SettingDuration(const SettingValues& values, const std::string& key);
std::string SettingString(const SettingValues& values, const std::string& key);

}  // namespace beamhill

#endif  // BEAMHILL_SETTINGS_SETTINGS_TREE_H_
