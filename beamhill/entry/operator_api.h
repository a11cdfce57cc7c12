// HTTP API for jobs, settings, process state and metrics.
//
// Everything is served on the operators' address and requires the operators'
// token there. The callers' address serves only jobs, without a token.
//
//   OperatorApi api(jobs, settings, metrics, token, hooks);
//   api.HandleOperator(std::move(exchange));  // from the operators' server
//   api.HandleJobs(std::move(exchange));      // from the callers' server
#ifndef BEAMHILL_ENTRY_OPERATOR_API_H_
#define BEAMHILL_ENTRY_OPERATOR_API_H_

#include <functional>
#include <string>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/http/http_server.h"
#include "beamhill/jobs/job_store.h"
#include "beamhill/metrics/metrics.h"
#include "beamhill/settings/settings_store.h"

namespace beamhill {

struct OperatorApiHooks {
  // Returns the cells that this entry knows; jobs are split among them.
  std::function<std::vector<CellCapacity>()> cells;
  // Called when a job was accepted or cancelled, so that cells read it soon.
  std::function<void()> on_job_change;
  // Returns the state of the process as JSON text.
  std::function<std::string()> state;
  // Starts the shutdown of this entry.
  std::function<void()> drain;
};

class OperatorApi {
 public:
  OperatorApi(JobStore& jobs, SettingsStore& settings, Metrics& metrics,
              std::string token, OperatorApiHooks hooks);

  // Handles any request on the operators' address.
  void HandleOperator(HttpExchange exchange);
  // Handles a request for /v1/jobs on either address. Does not check the token.
  void HandleJobs(HttpExchange exchange);

 private:
  void SubmitJob(HttpExchange exchange);
  void GetJob(HttpExchange exchange, const std::string& job);
  void ListJobs(HttpExchange exchange);
  void CancelJob(HttpExchange exchange, const std::string& job);
  void HandleSettings(HttpExchange exchange, const std::string& node);
  void GetSettings(HttpExchange exchange, const std::string& node);
  void PutSettings(HttpExchange exchange, const std::string& node);
  void GetHistory(HttpExchange exchange);

  JobStore& jobs_;
  SettingsStore& settings_;
  Metrics& metrics_;
  std::string token_;
  OperatorApiHooks hooks_;
};

// Parses a job from JSON. Fails with kInvalidArgument on unknown keys, wrong
// types and values out of range; the message names each of them. The job's ID
// is derived from its team and `idempotency_key`.
Result<JobSpec> ParseJob(const std::string& body,
                         const std::string& idempotency_key);

}  // namespace beamhill

#endif  // BEAMHILL_ENTRY_OPERATOR_API_H_
