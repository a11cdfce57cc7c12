#include "beamhill/settings/settings_tree.h"

#include <algorithm>

#include "beamhill/config/config.h"

namespace beamhill {
namespace {

// Quotas have one key per team, "quota.{team}", and share one SettingSpec.
constexpr std::string_view kQuotaPrefix = "quota.";
constexpr SettingSpec kQuota = {
    "quota.{team}",
    SettingType::kInt,
    "100",
    1,
    100,
    "",
    "the largest part of each cell that the team may hold, in percent"};

// Returns nullptr for an unknown key.
const SettingSpec* FindSpec(std::string_view key) {
  if (key.size() > kQuotaPrefix.size() &&
      key.substr(0, kQuotaPrefix.size()) == kQuotaPrefix) {
    return &kQuota;
  }
  const auto& specs = KnownSettings();
  const auto it =
      std::find_if(specs.begin(), specs.end(),
                   [&](const SettingSpec& s) { return s.key == key; });
  return it == specs.end() ? nullptr : &*it;
}

// At most 17 characters, so that the number fits into an int64_t.
bool IsInt(const std::string& text) {
  const size_t digits_at = text.rfind('-', 0) == 0 ? 1 : 0;
  return text.size() > digits_at && text.size() < 18 &&
         text.find_first_not_of("0123456789", digits_at) == std::string::npos;
}

// Returns an empty text if the value is allowed, otherwise the constraint that
// it violates.
std::string ViolatedConstraint(const SettingSpec& spec,
                               const std::string& value) {
  const std::string range =
      std::to_string(spec.low) + " to " + std::to_string(spec.high);
  switch (spec.type) {
    case SettingType::kInt: {
      if (!IsInt(value)) return "a whole number from " + range;
      const int64_t number = std::stoll(value);
      const bool ok = number >= spec.low && number <= spec.high;
      return ok ? "" : "a whole number from " + range;
    }
    case SettingType::kDuration: {
      const Result<Duration> parsed = ParseDuration(value);
      if (!IsOk(parsed)) return "a duration from " + range + " ms";
      const double ms = ToMillis(ValueOf(parsed));
      const bool ok = ms >= static_cast<double>(spec.low) &&
                      ms <= static_cast<double>(spec.high);
      return ok ? "" : "a duration from " + range + " ms";
    }
    case SettingType::kChoice: {
      const std::string all = "|" + std::string(spec.choices) + "|";
      const bool ok = value.find('|') == std::string::npos &&
                      all.find("|" + value + "|") != std::string::npos;
      return ok ? "" : "one of " + std::string(spec.choices);
    }
  }
  return "";
}

bool IsName(std::string_view text) {
  return !text.empty() &&
         text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
             std::string_view::npos;
}

// Returns the node and its ancestors, starting with the root.
std::vector<std::string> PathFromRoot(const std::string& node) {
  std::vector<std::string> path;
  for (size_t at = node.find('/'); at != std::string::npos;
       at = node.find('/', at + 1)) {
    path.push_back(node.substr(0, at));
  }
  path.push_back(node);
  return path;
}

}  // namespace

const std::vector<SettingSpec>& KnownSettings() {
  static const std::vector<SettingSpec> kSpecs = {
      {"log.level", SettingType::kChoice, "info", 0, 0,
       "debug|info|warning|error", "least level that is logged"},
      {"requests.deadline", SettingType::kDuration, "10s", 10, 600'000, "",
       "longest time a caller's request may take"},
      {"requests.retry_percent", SettingType::kInt, "20", 0, 100, "",
       "retries of proven not-run requests, as a share of requests"},
      {"weights.tail_latency", SettingType::kInt, "50", 0, 100, "",
       "weight of the services' tail latency in decisions"},
      {"weights.throughput", SettingType::kInt, "30", 0, 100, "",
       "weight of batch throughput in decisions"},
      {"weights.evictions", SettingType::kInt, "20", 0, 100, "",
       "weight of avoided evictions in decisions"},
      {"evictions.per_hour", SettingType::kInt, "60", 0, 100'000, "",
       "evictions that one cell may order in an hour"},
      {"latency.target", SettingType::kDuration, "100ms", 1, 60'000, "",
       "service latency above which batch tasks yield"},
  };
  return kSpecs;
}

Status ValidateSettings(const SettingValues& values) {
  std::string violations;
  for (const auto& [key, value] : values) {
    const SettingSpec* spec = FindSpec(key);
    const std::string constraint =
        spec == nullptr ? "an unknown key" : ViolatedConstraint(*spec, value);
    if (constraint.empty()) continue;
    violations += (violations.empty() ? "" : "; ") + key;
    violations += spec == nullptr
                      ? " is an unknown key"
                      : " must be " + constraint + ", not '" + value + "'";
  }
  if (violations.empty()) return Ok{};
  return Error{ErrorCode::kInvalidArgument, violations,
               "see docs/operators/settings.md for all keys"};
}

bool IsSettingsNode(std::string_view node) {
  const std::vector<std::string> path = PathFromRoot(std::string(node));
  if (path.front() != "estate" || path.size() > 3) return false;
  for (size_t i = 1; i < path.size(); ++i) {
    if (!IsName(path[i].substr(path[i - 1].size() + 1))) return false;
  }
  return true;
}

std::string HallNode(const std::string& region, const std::string& hall) {
  return "estate/" + region + "/" + hall;
}

bool SettingsTree::Replace(uint64_t revision,
                           std::map<std::string, SettingValues> nodes) {
  if (revision <= revision_) return false;
  revision_ = revision;
  nodes_ = std::move(nodes);
  return true;
}

std::map<std::string, EffectiveSetting> SettingsTree::Effective(
    const std::string& node) const {
  std::map<std::string, EffectiveSetting> result;
  for (const SettingSpec& spec : KnownSettings()) {
    result[std::string(spec.key)] = {std::string(spec.default_value),
                                     "default"};
  }
  for (const std::string& ancestor : PathFromRoot(node)) {
    const auto it = nodes_.find(ancestor);
    if (it == nodes_.end()) continue;
    for (const auto& [key, value] : it->second) result[key] = {value, ancestor};
  }
  return result;
}

std::vector<std::pair<std::string, std::string>> SettingsTree::EffectiveValues(
    const std::string& node) const {
  std::vector<std::pair<std::string, std::string>> values;
  for (const auto& [key, setting] : Effective(node)) {
    values.emplace_back(key, setting.value);
  }
  return values;
}

std::string SettingString(const SettingValues& values, const std::string& key) {
  const auto it = values.find(key);
  if (it != values.end()) return it->second;
  const SettingSpec* spec = FindSpec(key);
  CheckInvariant(spec != nullptr, "every key that is read has a SettingSpec");
  return std::string(spec->default_value);
}

int64_t SettingInt(const SettingValues& values, const std::string& key) {
  return std::stoll(SettingString(values, key));
}

Duration SettingDuration(const SettingValues& values, const std::string& key) {
  const Result<Duration> parsed = ParseDuration(SettingString(values, key));
  CheckInvariant(IsOk(parsed), "only validated settings are stored");
  return ValueOf(parsed);
}

}  // namespace beamhill
