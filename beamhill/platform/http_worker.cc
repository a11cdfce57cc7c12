#include "beamhill/platform/http_worker.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace beamhill {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxConnections = 4;
constexpr Duration kCallTimeout = std::chrono::seconds(3);

Json ToJson(const TaskId& task, Attempt attempt) {
  return {{"job", task.job}, {"index", task.index}, {"attempt", attempt.value}};
}

Json ToJson(const Resources& r) {
  return {{"cpu_millis", r.cpu_millis},
          {"memory_mib", r.memory_mib},
          {"accelerators", r.accelerators}};
}

Resources ParseResources(const Json& json) {
  return {json.at("cpu_millis"), json.at("memory_mib"),
          json.at("accelerators")};
}

WorkerTaskState ParseState(const std::string& name) {
  if (name == "done") return WorkerTaskState::kDone;
  if (name == "failed") return WorkerTaskState::kFailed;
  if (name == "evicted") return WorkerTaskState::kEvicted;
  return WorkerTaskState::kRunning;
}

}  // namespace

struct HttpWorker::Impl {
  Impl(EventLoop& loop, const Address& platform, std::string vm,
       uint64_t incarnation)
      : http(loop, platform, kMaxConnections),
        base_path("/workers/" + std::move(vm)),
        attachment_id(incarnation) {}

  void Post(const std::string& endpoint, Json body, HttpClient::Done done) {
    body["agent"] = attachment_id;
    http.Fetch({"POST",
                base_path + endpoint,
                {{"Content-Type", "application/json"}},
                body.dump()},
               kCallTimeout, std::move(done));
  }

  // Stores the worker's clock from an answer. The worker read it before the
  // answer arrived, so the stored clock can only lag, which shortens leases.
  void StoreWorkerClock(const Json& answer) {
    worker_clock = Duration(answer.at("now_us").get<int64_t>());
    worker_clock_received_at = BootClock::now();
  }

  // Converts a lease end to microseconds on the worker's clock.
  int64_t ToWorkerClock(TimePoint lease_end) const {
    return (worker_clock + (lease_end - worker_clock_received_at)).count();
  }

  void Start(const WorkerCommand& command, const StartCallback& on_start) {
    Json body = ToJson(command.task, command.attempt);
    body["each"] = ToJson(command.job.each);
    body["class"] = command.job.work_class;
    body["latency_critical"] = command.job.kind == WorkKind::kLatencyCritical;
    body["declared_run_us"] = command.job.declared_run.count();
    body["checkpoint"] = command.checkpoint;
    body["lease_end_us"] = ToWorkerClock(command.lease_end);
    Post("/start", std::move(body),
         [on_start, task = command.task,
          attempt = command.attempt](const HttpOutcome& outcome) {
           std::string reason;
           const WorkerStartAnswer answer = ParseStartAnswer(outcome, &reason);
           on_start(task, attempt, answer, reason);
         });
  }

  // Called when the worker has restarted or obeys another agent. Changes the
  // attachment ID that calls carry, so that the worker rejects calls of the old
  // attachment that arrive during the next one: their lease ends are times on
  // the clock of the worker's previous start.
  void Detach() {
    if (attached) ++attachment_id;
    attached = false;
  }

  static WorkerStartAnswer ParseStartAnswer(const HttpOutcome& outcome,
                                            std::string* reason) {
    if (outcome.delivery != HttpDelivery::kAnswered) {
      // A start that was not sent counts as unknown too: the next list shows
      // that the task is not running, and the start is retried.
      return WorkerStartAnswer::kUnknown;
    }
    if (outcome.response.status == 200) return WorkerStartAnswer::kStarted;
    if (outcome.response.status != 409) return WorkerStartAnswer::kUnknown;
    const Json body = Json::parse(outcome.response.body, nullptr, false);
    if (body.is_object()) *reason = body.value("reason", "");
    return WorkerStartAnswer::kRefused;
  }

  HttpClient http;
  std::string base_path;
  // Identifies the current attachment to the worker. Starts as the incarnation
  // of the agent process.
  uint64_t attachment_id;
  bool attached = false;
  Duration worker_clock{};
  TimePoint worker_clock_received_at{};
};

HttpWorker::HttpWorker(EventLoop& loop, const Address& platform, std::string vm,
                       uint64_t agent_incarnation)
    : impl_(std::make_unique<Impl>(loop, platform, std::move(vm),
                                   agent_incarnation)) {}
HttpWorker::~HttpWorker() = default;

void HttpWorker::Run(const WorkerCommand& command,
                     const StartCallback& on_start) {
  const auto ignore_answer = [](const HttpOutcome&) {};
  Json body = ToJson(command.task, command.attempt);
  switch (command.kind) {
    case WorkerCommandKind::kStart:
      impl_->Start(command, on_start);
      return;
    case WorkerCommandKind::kRenew:
      impl_->Post("/renew",
                  {{"lease_end_us", impl_->ToWorkerClock(command.lease_end)}},
                  ignore_answer);
      return;
    case WorkerCommandKind::kCancel:
    case WorkerCommandKind::kEvict:
      body["checkpoint"] = command.kind == WorkerCommandKind::kEvict;
      impl_->Post("/stop", std::move(body), ignore_answer);
      return;
    case WorkerCommandKind::kForget:
      impl_->Post("/forget", std::move(body), ignore_answer);
      return;
    case WorkerCommandKind::kThrottle:
      impl_->Post("/throttle", {{"percent", command.percent}}, ignore_answer);
      return;
  }
}

void HttpWorker::List(
    std::function<void(Result<std::vector<WorkerTask>>, TimePoint sent_at)>
        done) {
  const TimePoint sent_at = BootClock::now();
  const std::string endpoint = impl_->attached ? "/list" : "/attach";
  impl_->Post(
      endpoint, Json::object(),
      [this, sent_at, done = std::move(done)](const HttpOutcome& outcome) {
        if (outcome.delivery != HttpDelivery::kAnswered ||
            outcome.response.status != 200) {
          if (outcome.response.status == 409) impl_->Detach();
          return done(Error{ErrorCode::kUnavailable,
                            "the worker did not answer", "wait"},
                      sent_at);
        }
        try {
          const Json body = Json::parse(outcome.response.body);
          std::vector<WorkerTask> tasks;
          for (const Json& task : body.at("tasks")) {
            tasks.push_back({{task.at("job"), task.at("index")},
                             {task.at("attempt")},
                             ParseState(task.at("state")),
                             ParseResources(task.at("granted")),
                             task.at("checkpoint"),
                             task.at("reason")});
          }
          impl_->StoreWorkerClock(body);
          impl_->attached = true;
          done(std::move(tasks), sent_at);
        } catch (const Json::exception& e) {
          done(Error{ErrorCode::kInternal, e.what(), ""}, sent_at);
        }
      });
}

}  // namespace beamhill
