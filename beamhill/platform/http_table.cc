#include "beamhill/platform/http_table.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace beamhill {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxConnections = 16;

HttpCall Post(const std::string& target, const Json& body) {
  return {"POST", target, {{"Content-Type", "application/json"}}, body.dump()};
}

Error UnavailableError(const HttpOutcome& outcome) {
  const std::string failure =
      outcome.delivery == HttpDelivery::kAnswered
          ? "answered " + std::to_string(outcome.response.status)
          : (outcome.timed_out ? "timed out" : "did not answer");
  return {ErrorCode::kUnavailable, "the platform's table " + failure,
          "wait; calls are repeated"};
}

Result<std::vector<Row>> ParseRows(const HttpOutcome& outcome) {
  if (outcome.delivery != HttpDelivery::kAnswered ||
      outcome.response.status != 200) {
    return UnavailableError(outcome);
  }
  try {
    std::vector<Row> rows;
    const Json body = Json::parse(outcome.response.body);
    for (const Json& row : body.at("rows")) {
      rows.push_back({row.at("key"), row.at("value"), row.at("version")});
    }
    return rows;
  } catch (const Json::exception& e) {
    return Error{ErrorCode::kInternal, e.what(), ""};
  }
}

CommitAnswer ParseCommit(const HttpOutcome& outcome) {
  if (outcome.delivery == HttpDelivery::kNotSent) {
    return {CommitResult::kNotApplied, {}};
  }
  if (outcome.delivery == HttpDelivery::kNoAnswer) {
    return {CommitResult::kUnknown, {}};
  }
  switch (outcome.response.status) {
    case 200:
      break;
    case 409:
      return {CommitResult::kConflict, {}};
    case 429:  // Rate limit: rejected before the transaction was processed.
    case 503:
      return {CommitResult::kNotApplied, {}};
    default:
      return {CommitResult::kUnknown, {}};
  }
  try {
    return {CommitResult::kCommitted, Json::parse(outcome.response.body)
                                          .at("versions")
                                          .get<std::vector<uint64_t>>()};
  } catch (const Json::exception&) {
    return {CommitResult::kUnknown, {}};
  }
}

Json ToJson(const Transaction& transaction) {
  Json checks = Json::array();
  for (const RowCheck& check : transaction.checks) {
    checks.push_back({{"key", check.key}, {"version", check.expected_version}});
  }
  Json writes = Json::array();
  for (const RowWrite& write : transaction.writes) {
    Json item = {{"key", write.key}, {"version", write.expected_version}};
    item["value"] = write.value ? Json(*write.value) : Json(nullptr);
    writes.push_back(std::move(item));
  }
  return {{"checks", checks}, {"writes", writes}};
}

}  // namespace

struct PlatformClient::Impl {
  Impl(EventLoop& loop, const Address& platform, Duration t)
      : http(loop, platform, kMaxConnections), timeout(t) {}

  HttpClient http;
  Duration timeout;
};

PlatformClient::PlatformClient(EventLoop& loop, const Address& platform,
                               Duration timeout)
    : impl_(std::make_unique<Impl>(loop, platform, timeout)) {}
PlatformClient::~PlatformClient() = default;

Table PlatformClient::table() {
  Impl* impl = impl_.get();
  Table table;
  table.read = [impl](const std::vector<std::string>& keys, ReadAnswer done) {
    impl->http.Fetch(Post("/table/read", {{"keys", keys}}), impl->timeout,
                     [done = std::move(done)](const HttpOutcome& outcome) {
                       done(ParseRows(outcome));
                     });
  };
  table.scan = [impl](const std::string& prefix, ReadAnswer done) {
    impl->http.Fetch(Post("/table/scan", {{"prefix", prefix}}), impl->timeout,
                     [done = std::move(done)](const HttpOutcome& outcome) {
                       done(ParseRows(outcome));
                     });
  };
  table.commit = [impl](const Transaction& transaction, CommitDone done) {
    impl->http.Fetch(Post("/table/commit", ToJson(transaction)), impl->timeout,
                     [done = std::move(done)](const HttpOutcome& outcome) {
                       done(ParseCommit(outcome));
                     });
  };
  return table;
}

void PlatformClient::ListVms(
    std::function<void(Result<std::vector<ListedVm>>)> done) {
  impl_->http.Fetch(
      {"GET", "/vms", {}, ""}, impl_->timeout,
      [done = std::move(done)](const HttpOutcome& outcome) {
        if (outcome.delivery != HttpDelivery::kAnswered ||
            outcome.response.status != 200) {
          return done(UnavailableError(outcome));
        }
        try {
          std::vector<ListedVm> vms;
          const Json body = Json::parse(outcome.response.body);
          for (const Json& vm : body.at("vms")) {
            vms.push_back({vm.at("vm"), vm.at("state") == "leaving"});
          }
          done(std::move(vms));
        } catch (const Json::exception& e) {
          done(Error{ErrorCode::kInternal, e.what(), ""});
        }
      });
}

}  // namespace beamhill
