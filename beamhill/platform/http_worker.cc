#include "beamhill/platform/http_worker.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace beamhill {
namespace {

using Json = nlohmann::json;

constexpr size_t kConnections = 4;
constexpr Duration kTimeout = std::chrono::seconds(3);

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
      : http(loop, platform, kConnections),
        base("/workers/" + std::move(vm)),
        agent(incarnation) {}

  void Post(const std::string& verb, Json body, HttpClient::Done done) {
    body["agent"] = agent;
    http.Fetch({"POST",
                base + verb,
                {{"Content-Type", "application/json"}},
                body.dump()},
               kTimeout, std::move(done));
  }

  // Takes over the worker's clock from an answer. The worker read it before
  // the answer came, so it is at most too early, which shortens leases.
  void ReadClock(const Json& answer) {
    worker_clock = Duration(answer.at("now_us").get<int64_t>());
    worker_clock_read_at = BootClock::now();
  }

  int64_t OnWorkerClock(TimePoint lease_end) const {
    return (worker_clock + (lease_end - worker_clock_read_at)).count();
  }

  void Start(const WorkerCommand& command, const StartAnswered& on_start) {
    Json body = ToJson(command.task, command.attempt);
    body["each"] = ToJson(command.job.each);
    body["class"] = command.job.work_class;
    body["latency_critical"] = command.job.kind == WorkKind::kLatencyCritical;
    body["declared_run_us"] = command.job.declared_run.count();
    body["checkpoint"] = command.checkpoint;
    body["lease_end_us"] = OnWorkerClock(command.lease_end);
    Post("/start", std::move(body),
         [on_start, task = command.task,
          attempt = command.attempt](const HttpOutcome& outcome) {
           std::string reason;
           const WorkerStartAnswer answer = ParseStart(outcome, &reason);
           on_start(task, attempt, answer, reason);
         });
  }

  // The worker has started again, or obeys another agent. What is still on its
  // way was meant for before, and must not pass for a call of the next
  // attachment: its lease ends are by another clock.
  void Detach() {
    if (attached) ++agent;
    attached = false;
  }

  static WorkerStartAnswer ParseStart(const HttpOutcome& outcome,
                                      std::string* reason) {
    if (outcome.delivery != HttpDelivery::kAnswered) {
      // Also when it was not sent: the next list leads to another try.
      return WorkerStartAnswer::kUnknown;
    }
    if (outcome.response.status == 200) return WorkerStartAnswer::kStarted;
    if (outcome.response.status != 409) return WorkerStartAnswer::kUnknown;
    const Json body = Json::parse(outcome.response.body, nullptr, false);
    if (body.is_object()) *reason = body.value("reason", "");
    return WorkerStartAnswer::kRefused;
  }

  HttpClient http;
  std::string base;
  uint64_t agent;
  bool attached = false;
  Duration worker_clock{};
  TimePoint worker_clock_read_at{};
};

HttpWorker::HttpWorker(EventLoop& loop, const Address& platform, std::string vm,
                       uint64_t agent_incarnation)
    : impl_(std::make_unique<Impl>(loop, platform, std::move(vm),
                                   agent_incarnation)) {}
HttpWorker::~HttpWorker() = default;

void HttpWorker::Run(const WorkerCommand& command,
                     const StartAnswered& on_start) {
  const auto ignore = [](const HttpOutcome&) {};
  Json body = ToJson(command.task, command.attempt);
  switch (command.kind) {
    case WorkerCommandKind::kStart:
      impl_->Start(command, on_start);
      return;
    case WorkerCommandKind::kRenew:
      impl_->Post("/renew",
                  {{"lease_end_us", impl_->OnWorkerClock(command.lease_end)}},
                  ignore);
      return;
    case WorkerCommandKind::kCancel:
    case WorkerCommandKind::kEvict:
      body["checkpoint"] = command.kind == WorkerCommandKind::kEvict;
      impl_->Post("/stop", std::move(body), ignore);
      return;
    case WorkerCommandKind::kForget:
      impl_->Post("/forget", std::move(body), ignore);
      return;
    case WorkerCommandKind::kThrottle:
      impl_->Post("/throttle", {{"percent", command.percent}}, ignore);
      return;
  }
}

void HttpWorker::List(
    std::function<void(Result<std::vector<WorkerTask>>, TimePoint sent_at)>
        done) {
  const TimePoint sent_at = BootClock::now();
  const std::string verb = impl_->attached ? "/list" : "/attach";
  impl_->Post(
      verb, Json::object(),
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
          impl_->ReadClock(body);
          impl_->attached = true;
          done(std::move(tasks), sent_at);
        } catch (const Json::exception& e) {
          done(Error{ErrorCode::kInternal, e.what(), ""}, sent_at);
        }
      });
}

}  // namespace beamhill
