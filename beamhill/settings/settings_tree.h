// The tree of settings: estate > region > hall.
//
// A lower level overrides a higher one, key by key. Every accepted change
// takes the next revision of the whole tree, so "newer" has one meaning
// everywhere and a process never goes back.
//
//   SettingsTree tree;
//   tree.Replace(revision, rows);
//   auto in_force = tree.Effective("estate/mongolia/khan-uul");
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

// One known key.
struct SettingSpec {
  std::string_view key;
  SettingType type;
  std::string_view default_value;
  int64_t low = 0;           // kInt: least; kDuration: least, in milliseconds.
  int64_t high = 0;          // Likewise the greatest.
  std::string_view choices;  // kChoice: separated by '|'.
  std::string_view meaning;
};

// All known keys, by name.
const std::vector<SettingSpec>& KnownSettings();

using SettingValues = std::map<std::string, std::string>;

// Refuses unknown keys and values out of range; the error names each.
Status ValidateSettings(const SettingValues& values);

// "estate", "estate/{region}" or "estate/{region}/{hall}".
bool IsSettingsNode(std::string_view node);
std::string HallNode(const std::string& region, const std::string& hall);

struct EffectiveSetting {
  std::string value;
  std::string node;  // The level it came from; "default" for none.
};

class SettingsTree {
 public:
  // Takes the values of all nodes as of `revision`. Returns false, and
  // changes nothing, when a later or equal revision is in force.
  bool Replace(uint64_t revision, std::map<std::string, SettingValues> nodes);

  uint64_t revision() const { return revision_; }
  std::map<std::string, EffectiveSetting> Effective(
      const std::string& node) const;
  std::vector<std::pair<std::string, std::string>> EffectiveValues(
      const std::string& node) const;

 private:
  uint64_t revision_ = 0;
  std::map<std::string, SettingValues> nodes_;
};

// Typed reading of a value in force; the defaults stand in for what is absent.
int64_t SettingInt(const SettingValues& values, const std::string& key);
Duration SettingDuration(const SettingValues& values, const std::string& key);
std::string SettingString(const SettingValues& values, const std::string& key);

}  // namespace beamhill

#endif  // BEAMHILL_SETTINGS_SETTINGS_TREE_H_
