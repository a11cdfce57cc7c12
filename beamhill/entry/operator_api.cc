#include "beamhill/entry/operator_api.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "beamhill/entry/json_reply.h"
#include "beamhill/log/log.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;

constexpr char kJobsPath[] = "/v1/jobs";
constexpr char kSettingsPath[] = "/v1/settings";
constexpr uint32_t kMinTasksPerPart = 64;

// Makes the exchange copyable, as a capture of a std::function has to be.
std::shared_ptr<HttpExchange> ShareExchange(HttpExchange exchange) {
  return std::make_shared<HttpExchange>(std::move(exchange));
}

HttpResponse JsonReply(int status, const Json& body) {
  return {status,
          {{"Content-Type", "application/json"}},
          body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}

void ReplyNotFound(HttpExchange& exchange) {
  exchange.Reply(ErrorReply(
      {ErrorCode::kNotFound, "no such path", "see docs/operators/http.md"}));
}

void ReplyMethodNotAllowed(HttpExchange& exchange) {
  exchange.Reply(ErrorReply(
      405, {ErrorCode::kInvalidArgument, "this path does not take that method",
            "see docs/operators/http.md"}));
}

std::string JobStateName(const JobStatus& status) {
  if (status.parts_finished == status.parts) {
    if (status.cancelled) return "cancelled";
    return status.failed > 0 ? "finished_with_failures" : "finished";
  }
  return status.cancelled ? "cancelling" : "active";
}

Json ToJson(const JobSpec& job) {
  return {
      {"job", job.id},
      {"team", job.team},
      {"class", job.work_class},
      {"urgency", job.urgency == Urgency::kUrgent ? "urgent" : "normal"},
      {"kind", job.kind == WorkKind::kLatencyCritical ? "service" : "batch"},
      {"tasks", job.tasks},
      {"cpu_millis", job.each.cpu_millis},
      {"memory_mib", job.each.memory_mib},
      {"accelerators", job.each.accelerators},
      {"run_ms", ToMillis(job.declared_run)}};
}

// Returns what follows the prefix and a slash in the path; empty when nothing
// does.
std::string PathAfterPrefix(const std::string& path,
                            const std::string& prefix) {
  if (path.size() <= prefix.size() + 1) return "";
  return path.substr(prefix.size() + 1);
}

bool HasPathPrefix(const std::string& path, const std::string& prefix) {
  return path == prefix || path.rfind(prefix + "/", 0) == 0;
}

}  // namespace

OperatorApi::OperatorApi(JobStore& jobs, SettingsStore& settings,
                         Metrics& metrics, std::string token,
                         OperatorApiHooks hooks)
    : jobs_(jobs),
      settings_(settings),
      metrics_(metrics),
      token_(std::move(token)),
      hooks_(std::move(hooks)) {}

void OperatorApi::HandleOperator(HttpExchange exchange) {
  const HttpRequest& request = exchange.request();
  const std::string path = request.path;
  const auto authorization = FindHeader(request.headers, "Authorization");
  if (authorization != "Bearer " + token_) {
    Log(LogLevel::kWarning, "operator_refused", {{"path", path}});
    exchange.Reply(ErrorReply({ErrorCode::kPermissionDenied,
                               "wrong or missing operators' token",
                               "send Authorization: Bearer {token}"}));
  } else if (path == "/healthz") {
    exchange.Reply({200, {{"Content-Type", "text/plain"}}, "ok\n"});
  } else if (path == "/metrics") {
    exchange.Reply({200,
                    {{"Content-Type", "text/plain; version=0.0.4"}},
                    metrics_.ToPrometheus()});
  } else if (path == "/v1/state") {
    exchange.Reply(
        {200, {{"Content-Type", "application/json"}}, hooks_.state()});
  } else if (path == "/v1/drain" && request.method == "POST") {
    exchange.Reply(JsonReply(202, {{"draining", true}}));
    hooks_.drain();
  } else if (HasPathPrefix(path, kJobsPath)) {
    HandleJobs(std::move(exchange));
  } else if (path == "/v1/settings-history") {
    GetHistory(std::move(exchange));
  } else if (HasPathPrefix(path, kSettingsPath)) {
    HandleSettings(std::move(exchange), PathAfterPrefix(path, kSettingsPath));
  } else {
    ReplyNotFound(exchange);
  }
}

void OperatorApi::HandleJobs(HttpExchange exchange) {
  const std::string job = PathAfterPrefix(exchange.request().path, kJobsPath);
  const std::string method = exchange.request().method;
  if (method == "POST" && job.empty()) {
    SubmitJob(std::move(exchange));
  } else if (method == "GET" && job.empty()) {
    ListJobs(std::move(exchange));
  } else if (method == "GET") {
    GetJob(std::move(exchange), job);
  } else if (method == "DELETE" && !job.empty()) {
    CancelJob(std::move(exchange), job);
  } else {
    ReplyMethodNotAllowed(exchange);
  }
}

void OperatorApi::SubmitJob(HttpExchange exchange) {
  const auto key = FindHeader(exchange.request().headers, "Idempotency-Key");
  if (!key || key->empty()) {
    exchange.Reply(
        ErrorReply({ErrorCode::kInvalidArgument, "no Idempotency-Key header",
                    "send a key of your own, new for each job"}));
    return;
  }
  const Result<JobSpec> job = ParseJob(exchange.request().body, *key);
  if (!IsOk(job)) {
    exchange.Reply(ErrorReply(ErrorOf(job)));
    return;
  }
  const std::vector<CellCapacity> cells = hooks_.cells();
  if (cells.empty()) {
    exchange.Reply(ErrorReply({ErrorCode::kUnavailable,
                               "no agent has connected to this entry yet",
                               "try again; the job was not accepted"}));
    return;
  }
  const auto parts = SplitOverCells(ValueOf(job), cells, kMinTasksPerPart);
  if (!IsOk(parts)) {
    exchange.Reply(ErrorReply(422, ErrorOf(parts)));
    return;
  }
  const auto shared_exchange = ShareExchange(std::move(exchange));
  jobs_.Submit(ValueOf(job), ValueOf(parts),
               [this, shared_exchange](const Result<JobAccepted>& accepted) {
                 if (!IsOk(accepted)) {
                   shared_exchange->Reply(ErrorReply(ErrorOf(accepted)));
                   return;
                 }
                 const JobAccepted& job = ValueOf(accepted);
                 Log(LogLevel::kInfo, "job_accepted",
                     {{"job", job.job}, {"repeated", job.repeated}});
                 hooks_.on_job_change();
                 shared_exchange->Reply(
                     JsonReply(job.repeated ? 200 : 201,
                               {{"job", job.job}, {"repeated", job.repeated}}));
               });
}

void OperatorApi::GetJob(HttpExchange exchange, const std::string& job) {
  const auto shared_exchange = ShareExchange(std::move(exchange));
  jobs_.Get(job, [shared_exchange](const Result<JobStatus>& result) {
    if (!IsOk(result)) {
      shared_exchange->Reply(ErrorReply(ErrorOf(result)));
      return;
    }
    const JobStatus& status = ValueOf(result);
    Json body = ToJson(status.job);
    body["state"] = JobStateName(status);
    body["done"] = status.done;
    body["failed"] = status.failed;
    body["evictions"] = status.evictions;
    shared_exchange->Reply(JsonReply(200, body));
  });
}

void OperatorApi::ListJobs(HttpExchange exchange) {
  const auto shared_exchange = ShareExchange(std::move(exchange));
  jobs_.List([shared_exchange](const Result<std::vector<JobRow>>& result) {
    if (!IsOk(result)) {
      shared_exchange->Reply(ErrorReply(ErrorOf(result)));
      return;
    }
    Json list = Json::array();
    for (const JobRow& row : ValueOf(result)) {
      Json item = ToJson(row.job);
      item["cancelled"] = row.cancelled;
      list.push_back(std::move(item));
    }
    shared_exchange->Reply(JsonReply(200, {{"jobs", list}}));
  });
}

void OperatorApi::CancelJob(HttpExchange exchange, const std::string& job) {
  const auto shared_exchange = ShareExchange(std::move(exchange));
  jobs_.Cancel(job, [this, shared_exchange, job](const Status& status) {
    if (!IsOk(status)) {
      shared_exchange->Reply(ErrorReply(ErrorOf(status)));
      return;
    }
    Log(LogLevel::kInfo, "job_cancelled", {{"job", job}});
    hooks_.on_job_change();
    shared_exchange->Reply(JsonReply(200, {{"job", job}, {"cancelled", true}}));
  });
}

void OperatorApi::HandleSettings(HttpExchange exchange,
                                 const std::string& node) {
  if (!IsSettingsNode(node)) {
    exchange.Reply(ErrorReply(
        {ErrorCode::kInvalidArgument, "not a settings node: '" + node + "'",
         "use estate, estate/{region} or estate/{region}/{hall}"}));
    return;
  }
  const std::string method = exchange.request().method;
  if (method == "GET") {
    GetSettings(std::move(exchange), node);
  } else if (method == "PUT") {
    PutSettings(std::move(exchange), node);
  } else {
    ReplyMethodNotAllowed(exchange);
  }
}

void OperatorApi::GetSettings(HttpExchange exchange, const std::string& node) {
  const auto& query = exchange.request().query;
  const auto effective = query.find("effective");
  if (effective != query.end() && effective->second == "1") {
    Json values = Json::object();
    for (const auto& [key, setting] : settings_.tree().Effective(node)) {
      values[key] = {{"value", setting.value}, {"from", setting.node}};
    }
    exchange.Reply(JsonReply(200, {{"node", node},
                                   {"revision", settings_.tree().revision()},
                                   {"effective", values}}));
    return;
  }
  const auto shared_exchange = ShareExchange(std::move(exchange));
  settings_.Get(
      node, [shared_exchange, node](const Result<SettingsNode>& result) {
        if (!IsOk(result)) {
          shared_exchange->Reply(ErrorReply(ErrorOf(result)));
          return;
        }
        const SettingsNode& found = ValueOf(result);
        HttpResponse reply = JsonReply(200, {{"node", node},
                                             {"revision", found.revision},
                                             {"changed_by", found.changed_by},
                                             {"values", found.values}});
        reply.headers.emplace_back("ETag",
                                   "\"" + std::to_string(found.version) + "\"");
        shared_exchange->Reply(reply);
      });
}

void OperatorApi::PutSettings(HttpExchange exchange, const std::string& node) {
  const HttpRequest& request = exchange.request();
  const auto refuse = [&exchange](int status, const std::string& message,
                                  const std::string& action) {
    exchange.Reply(
        ErrorReply(status, {ErrorCode::kInvalidArgument, message, action}));
  };
  const auto if_match = FindHeader(request.headers, "If-Match");
  if (!if_match) {
    return refuse(428, "no If-Match header",
                  "send the ETag of the node as you read it; \"0\" for none");
  }
  const size_t digits_at = if_match->find_first_of("0123456789");
  if (digits_at == std::string::npos) {
    return refuse(400, "If-Match is not a version", "send the ETag as it was");
  }
  const uint64_t version =
      std::strtoull(if_match->c_str() + digits_at, nullptr, 10);
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return refuse(400, "the body is not a JSON object",
                  "send all values of the node, as {\"key\": \"value\"}");
  }
  SettingValues values;
  for (const auto& [key, value] : body.items()) {
    values[key] = value.is_string() ? value.get<std::string>() : value.dump();
  }
  const Status valid = ValidateSettings(values);
  if (!IsOk(valid)) {
    exchange.Reply(ErrorReply(ErrorOf(valid)));
    return;
  }
  const std::string operator_name =
      FindHeader(request.headers, "Beamhill-Operator").value_or("unnamed");
  const auto shared_exchange = ShareExchange(std::move(exchange));
  settings_.Put(node, values, version, operator_name,
                [shared_exchange, node,
                 operator_name](const Result<SettingsNode>& result) {
                  if (!IsOk(result)) {
                    const Error& error = ErrorOf(result);
                    const bool stale = error.code == ErrorCode::kConflict;
                    shared_exchange->Reply(stale ? ErrorReply(412, error)
                                                 : ErrorReply(error));
                    return;
                  }
                  const SettingsNode& accepted = ValueOf(result);
                  Log(LogLevel::kInfo, "settings_accepted",
                      {{"node", node},
                       {"by", operator_name},
                       {"revision", accepted.revision}});
                  HttpResponse reply = JsonReply(
                      200, {{"node", node}, {"revision", accepted.revision}});
                  reply.headers.emplace_back(
                      "ETag", "\"" + std::to_string(accepted.version) + "\"");
                  shared_exchange->Reply(reply);
                });
}

void OperatorApi::GetHistory(HttpExchange exchange) {
  const auto shared_exchange = ShareExchange(std::move(exchange));
  settings_.History(
      [shared_exchange](const Result<std::vector<SettingsChange>>& result) {
        if (!IsOk(result)) {
          shared_exchange->Reply(ErrorReply(ErrorOf(result)));
          return;
        }
        Json list = Json::array();
        for (const SettingsChange& change : ValueOf(result)) {
          list.push_back({{"revision", change.revision},
                          {"node", change.node},
                          {"changed_by", change.changed_by},
                          {"values", change.values}});
        }
        shared_exchange->Reply(JsonReply(200, {{"changes", list}}));
      });
}

}  // namespace beamhill
