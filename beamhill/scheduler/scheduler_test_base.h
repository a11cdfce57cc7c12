// A Scheduler on an in-memory table, for its tests.
#ifndef BEAMHILL_SCHEDULER_SCHEDULER_TEST_BASE_H_
#define BEAMHILL_SCHEDULER_SCHEDULER_TEST_BASE_H_

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/event/event_loop.h"
#include "beamhill/link/link.h"
#include "beamhill/scheduler/scheduler.h"
#include "beamhill/testing/faulty_table.h"
#include "beamhill/testing/free_port.h"

namespace beamhill {

class SchedulerTestBase : public testing::Test {
 protected:
  SchedulerTestBase() {
    deliver_ = loop_->Every(std::chrono::milliseconds(1),
                            [this] { table_.Deliver(); });
  }

  // Starts the scheduler under test.
  void StartScheduler() {
    SchedulerHooks hooks;
    hooks.table_silence = [this] { return table_silence_; };
    hooks.settings_version = [this] { return settings_version_; };
    hooks.settings_document = [] { return std::string(); };
    hooks.on_settings_copy = [](uint64_t, const std::string&) {};
    hooks.evacuations = [this]() -> const Evacuations& { return evacuations_; };
    hooks.on_evacuations_copy = [](const Evacuations&) {};
    SchedulerSettings settings;
    settings.name = "follower";
    settings.peers = address_;
    settings.claim_delay = Duration(0);
    settings.lease_term = lease_term_;
    settings.authority_term = authority_term_;
    settings.work_bytes = work_bytes_;
    scheduler_ = std::move(ValueOf(Scheduler::Start(
        *loop_, settings, HeldTable(), std::move(hooks), metrics_)));
  }

  // Stores the record of the earlier owner, with epoch 1.
  void StoreOwner(const std::string& name, uint64_t incarnation,
                  const std::string& address) {
    OwnerRecord record;
    record.epoch = 1;
    record.owner = name;
    record.incarnation = incarnation;
    record.address = address;
    table_.model().Commit(
        {{}, {{rows::kOwner, kAnyVersion, EncodeRecord(record)}}});
  }

  static std::string AddressOf(const LinkListener& listener) {
    return "127.0.0.1:" + std::to_string(listener.port());
  }

  // Holds back all calls to the table until ReleaseTable.
  void HoldTable() { hold_table_ = true; }
  void ReleaseTable() {
    hold_table_ = false;
    for (const auto& call : std::exchange(held_calls_, {})) call();
  }
  size_t held_calls() const { return held_calls_.size(); }

  bool RunUntil(Duration timeout, const std::function<bool()>& done) {
    const Timer poll = loop_->Every(std::chrono::milliseconds(5), [&] {
      if (done()) loop_->Stop();
    });
    const Timer end = loop_->After(timeout, [this] { loop_->Stop(); });
    loop_->Run();
    return done();
  }

  // Whether the scheduler's description of its state contains `text`.
  bool DumpContains(const std::string& text) const {
    return scheduler_->Dump().find(text) != std::string::npos;
  }

  // The value of a metric, as exported.
  std::string MetricValue(const std::string& metric) const {
    const std::string name = "\n" + metric + " ";
    const std::string text = metrics_.ToPrometheus();
    const size_t begin = text.find(name) + name.size();
    return text.substr(begin, text.find('\n', begin) - begin);
  }

  std::unique_ptr<EventLoop> loop_ = std::move(ValueOf(EventLoop::Create()));
  FaultyTable table_;
  Metrics metrics_;
  Evacuations evacuations_;
  Duration table_silence_{};
  uint64_t settings_version_ = 0;
  uint64_t work_bytes_ = SchedulerSettings().work_bytes;
  Duration lease_term_ = std::chrono::milliseconds(300);
  Duration authority_term_ = std::chrono::seconds(3);
  const Address address_ = {"127.0.0.1", FreePort()};
  std::unique_ptr<Scheduler> scheduler_;

 private:
  // `table_`, with calls held back on demand.
  Table HeldTable() {
    const Table inner = table_.AsTable();
    Table held;
    held.read = [this, inner](std::vector<std::string> keys, ReadAnswer done) {
      HoldOrRun([=] { inner.read(keys, done); });
    };
    held.scan = [this, inner](std::string prefix, ReadAnswer done) {
      HoldOrRun([=] { inner.scan(prefix, done); });
    };
    held.commit = [this, inner](Transaction transaction, CommitDone done) {
      HoldOrRun([=] { inner.commit(transaction, done); });
    };
    return held;
  }

  void HoldOrRun(std::function<void()> call) {
    if (hold_table_) {
      held_calls_.push_back(std::move(call));
    } else {
      call();
    }
  }

  bool hold_table_ = false;
  std::vector<std::function<void()>> held_calls_;
  Timer deliver_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_SCHEDULER_TEST_BASE_H_
