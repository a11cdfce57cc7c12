#include <nlohmann/json.hpp>
#include <set>

#include "beamhill/entry/operator_api.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxTasks = 1'000'000;
constexpr int64_t kMaxCpuMillis = 1'000'000;
constexpr int64_t kMaxMemoryMib = 16'000'000;
constexpr int64_t kMaxAccelerators = 64;
constexpr int64_t kMaxRunTimeMillis = int64_t{30} * 24 * 3600 * 1000;
constexpr size_t kMaxNameLength = 64;

// Reads the fields of a job and collects all errors, so that one response can
// report them together.
class JobParser {
 public:
  explicit JobParser(const Json& json) : json_(json) {}

  std::string Name(const char* key, bool required) {
    known_keys_.insert(key);
    const auto it = json_.find(key);
    if (it == json_.end()) {
      if (required) AddError(key, "is missing");
      return "";
    }
    const std::string text = it->is_string() ? it->get<std::string>() : "";
    const bool ok = !text.empty() && text.size() <= kMaxNameLength &&
                    text.find_first_not_of(
                        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                        "0123456789-_.") == std::string::npos;
    if (!ok) {
      AddError(key,
               "must be 1 to 64 letters, digits, dots, dashes or "
               "underscores");
    }
    return text;
  }

  int64_t Number(const char* key, int64_t low, int64_t high,
                 int64_t default_value) {
    known_keys_.insert(key);
    const auto it = json_.find(key);
    if (it == json_.end()) return default_value;
    const bool ok = it->is_number_integer() && it->get<int64_t>() >= low &&
                    it->get<int64_t>() <= high;
    if (ok) return it->get<int64_t>();
    AddError(key, "must be a whole number from " + std::to_string(low) +
                      " to " + std::to_string(high));
    return low;
  }

  // Returns the index of the value among the choices, or 0 when it is absent.
  size_t Choice(const char* key, const std::vector<std::string>& choices) {
    known_keys_.insert(key);
    const auto it = json_.find(key);
    if (it == json_.end()) return 0;
    for (size_t i = 0; i < choices.size(); ++i) {
      if (*it == choices[i]) return i;
    }
    AddError(key, "must be " + choices[0] + " or " + choices[1]);
    return 0;
  }

  std::string FinishErrors() {
    for (const auto& [key, value] : json_.items()) {
      if (known_keys_.count(key) == 0) AddError(key, "is an unknown key");
    }
    return errors_;
  }

 private:
  void AddError(const std::string& key, const std::string& text) {
    errors_ += (errors_.empty() ? "" : "; ") + key + " " + text;
  }

  const Json& json_;
  std::set<std::string> known_keys_;
  std::string errors_;
};

}  // namespace

Result<JobSpec> ParseJob(const std::string& body,
                         const std::string& idempotency_key) {
  const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return Error{ErrorCode::kInvalidArgument, "the body is not a JSON object",
                 "send the job as JSON; see docs/operators/jobs.md"};
  }
  JobParser parser(json);
  JobSpec job;
  job.team = parser.Name("team", /*required=*/true);
  job.work_class = parser.Name("class", /*required=*/true);
  job.urgency = parser.Choice("urgency", {"normal", "urgent"}) == 1
                    ? Urgency::kUrgent
                    : Urgency::kNormal;
  job.kind = parser.Choice("kind", {"batch", "service"}) == 1
                 ? WorkKind::kLatencyCritical
                 : WorkKind::kBatch;
  job.tasks = static_cast<uint32_t>(parser.Number("tasks", 1, kMaxTasks, 1));
  job.each.cpu_millis = parser.Number("cpu_millis", 1, kMaxCpuMillis, 1000);
  job.each.memory_mib = parser.Number("memory_mib", 0, kMaxMemoryMib, 128);
  job.each.accelerators = parser.Number("accelerators", 0, kMaxAccelerators, 0);
  job.declared_run = std::chrono::milliseconds(
      parser.Number("run_ms", 1, kMaxRunTimeMillis, 60'000));
  const std::string errors = parser.FinishErrors();
  if (!errors.empty()) {
    return Error{ErrorCode::kInvalidArgument, errors,
                 "correct these; nothing was changed"};
  }
  job.id = JobIdFor(job.team, idempotency_key);
  return job;
}

}  // namespace beamhill
