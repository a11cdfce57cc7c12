#include "beamhill/cell/rows.h"

#include <nlohmann/json.hpp>

namespace beamhill {

using Json = nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Resources, cpu_millis, memory_mib,
                                   accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CellRow, owner, incarnation, epoch, released)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PartResult, done, failed, evictions,
                                   cancelled)

// Ranges are written as pairs to keep snapshots short: they hold many.
static void to_json(Json& json, const TaskRange& range) {
  json = Json::array({range.begin, range.end});
}
static void from_json(const Json& json, TaskRange& range) {
  json.at(0).get_to(range.begin);
  json.at(1).get_to(range.end);
}

static void to_json(Json& json, const Checkpoint& checkpoint) {
  json = Json::array(
      {checkpoint.index, checkpoint.attempt.value, checkpoint.name});
}
static void from_json(const Json& json, Checkpoint& checkpoint) {
  json.at(0).get_to(checkpoint.index);
  json.at(1).get_to(checkpoint.attempt.value);
  json.at(2).get_to(checkpoint.name);
}

static void to_json(Json& json, const FailureCount& count) {
  json = Json::array({count.index, count.failures});
}
static void from_json(const Json& json, FailureCount& count) {
  json.at(0).get_to(count.index);
  json.at(1).get_to(count.failures);
}

static void to_json(Json& json, const JobSpec& job) {
  json = Json{{"id", job.id},
              {"team", job.team},
              {"class", job.work_class},
              {"urgent", job.urgency == Urgency::kUrgent},
              {"latency_critical", job.kind == WorkKind::kLatencyCritical},
              {"tasks", job.tasks},
              {"each", job.each},
              {"declared_run_us", job.declared_run.count()}};
}
static void from_json(const Json& json, JobSpec& job) {
  json.at("id").get_to(job.id);
  json.at("team").get_to(job.team);
  json.at("class").get_to(job.work_class);
  job.urgency =
      json.at("urgent").get<bool>() ? Urgency::kUrgent : Urgency::kNormal;
  job.kind = json.at("latency_critical").get<bool>()
                 ? WorkKind::kLatencyCritical
                 : WorkKind::kBatch;
  json.at("tasks").get_to(job.tasks);
  json.at("each").get_to(job.each);
  job.declared_run = Duration(json.at("declared_run_us").get<int64_t>());
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RangeRow, job, range, cancelled,
                                   initial_window)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RangeProgress, job, done, failed, window,
                                   checkpoints, failures)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CellSnapshot, sequence, epoch, roster,
                                   ranges)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobPart, cell, range)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobRow, job, parts, cancelled)

namespace {

template <typename T>
Status Parse(const std::string& text, T* row) {
  try {
    Json::parse(text).get_to(*row);
    return Ok{};
  } catch (const Json::exception& e) {
    return Error{ErrorCode::kInternal,
                 std::string("cannot decode row: ") + e.what(),
                 "check which version of beamhill wrote the row"};
  }
}

template <typename T>
std::string Serialize(const T& row) {
  return Json(row).dump();
}

}  // namespace

std::string CellKey(const std::string& cell) { return "cells/" + cell; }
std::string ProgressKey(const std::string& cell) { return "progress/" + cell; }
std::string RangePrefix(const std::string& cell) {
  return "work/" + cell + "/";
}
std::string RangeKey(const std::string& cell, const std::string& job) {
  return RangePrefix(cell) + job;
}
std::string JobKey(const std::string& job) { return "jobs/" + job; }
std::string ResultPrefix(const std::string& job) {
  return "results/" + job + "/";
}
std::string ResultKey(const std::string& job, const std::string& cell) {
  return ResultPrefix(job) + cell;
}

std::string EncodeRow(const CellRow& row) { return Serialize(row); }
std::string EncodeRow(const RangeRow& row) { return Serialize(row); }
std::string EncodeRow(const CellSnapshot& row) { return Serialize(row); }
std::string EncodeRow(const JobRow& row) { return Serialize(row); }
std::string EncodeRow(const PartResult& row) { return Serialize(row); }

Status DecodeRow(const std::string& text, CellRow* row) {
  return Parse(text, row);
}
Status DecodeRow(const std::string& text, RangeRow* row) {
  return Parse(text, row);
}
Status DecodeRow(const std::string& text, CellSnapshot* row) {
  return Parse(text, row);
}
Status DecodeRow(const std::string& text, JobRow* row) {
  return Parse(text, row);
}
Status DecodeRow(const std::string& text, PartResult* row) {
  return Parse(text, row);
}

}  // namespace beamhill
