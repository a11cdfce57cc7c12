#include "beamhill/testing/sim_nodes.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

constexpr char kCell[] = "hall";
// Short lease terms, so that many faults last longer than a lease.
constexpr Duration kAgentTerm = std::chrono::seconds(10);
constexpr Duration kOwnershipTerm = std::chrono::seconds(30);
constexpr Duration kEntryTick = std::chrono::milliseconds(100);
constexpr Duration kAgentTick = std::chrono::milliseconds(200);
constexpr Duration kListPeriod = std::chrono::milliseconds(500);
constexpr Duration kMaxSlowCallDelay = std::chrono::seconds(3);

Duration ShortDelay(SimWorld& world) {
  return world.Between(Duration(200), std::chrono::milliseconds(4));
}

// Returns the delivery time of the next message of a connection, which keeps
// messages in order.
TimePoint NextDelivery(SimWorld& world, Duration link_delay, TimePoint* last) {
  *last = std::max(*last, world.now() + ShortDelay(world) + link_delay);
  return *last;
}

}  // namespace

SimEntry::SimEntry(SimWorld& world, SimTable& table, std::string name)
    : world_(world), table_(table), name_(std::move(name)), process_(world) {
  Start();
}

void SimEntry::Start() {
  process_.Start();
  CellHostOptions options;
  options.owner.cell = kCell;
  options.owner.agent_term = kAgentTerm;
  options.owner.ownership_term = kOwnershipTerm;
  options.owner.snapshot_interval = std::chrono::seconds(2);
  options.entry = name_;
  options.incarnation = process_.incarnation();
  CellHostHooks hooks;
  hooks.now = [this] { return process_.LocalNow(); };
  hooks.random = [this] { return world_.Uniform(); };
  hooks.claim_delay = [this] {
    return world_.Between(Duration(0), std::chrono::milliseconds(300));
  };
  host_ = std::make_unique<CellHost>(
      options, table_.For(process_, &table_blocked), std::move(hooks));
  process_.After(kEntryTick, [this] { Tick(); });
}

void SimEntry::Kill() {
  process_.Kill();
  if (host_) takeovers += host_->counts().takeovers;
  host_.reset();
  const auto peers = std::exchange(peers_, {});
  for (const auto& [vm, peer] : peers) {
    peer.vm->OnEntryClosed(name_, peer.link);
  }
}

void SimEntry::Release() {
  if (!process_.alive()) return;
  process_.Deliver([this] { host_->Release([] {}); });
  process_.After(std::chrono::seconds(1), [this] { Kill(); });
}

void SimEntry::Tick() {
  host_->Tick(process_.LocalNow());
  Flush();
  process_.After(kEntryTick, [this] { Tick(); });
}

void SimEntry::Flush() {
  for (AgentMessage& message : host_->TakeMessages()) {
    const auto it = peers_.find(message.vm);
    if (it == peers_.end()) continue;
    SimVm* vm = it->second.vm;
    const uint64_t link = it->second.link;
    vm->SendFromEntry(name_, link, std::move(message.message));
  }
  for (const std::string& vm : host_->TakeDroppedVms()) {
    const auto it = peers_.find(vm);
    if (it != peers_.end()) {
      it->second.vm->OnEntryClosed(name_, it->second.link);
    }
  }
}

void SimEntry::OnHello(SimVm* vm, uint64_t link, const Hello& hello) {
  process_.Deliver([this, vm, link, hello] {
    Peer& peer = peers_[hello.vm];
    if (peer.link != 0) host_->OnLinkDown(hello.vm, peer.session);
    peer = {vm, link, hello.session};
    host_->OnHello(hello, process_.LocalNow());
    Flush();
  });
}

void SimEntry::OnMessage(const std::string& vm, uint64_t link,
                         const Message& message) {
  process_.Deliver([this, vm, link, message] {
    const auto it = peers_.find(vm);
    if (it == peers_.end() || it->second.link != link) return;
    host_->OnAgentMessage(vm, message, process_.LocalNow());
    Flush();
  });
}

void SimEntry::OnLinkDown(const std::string& vm, uint64_t link) {
  process_.Deliver([this, vm, link] {
    const auto it = peers_.find(vm);
    if (it == peers_.end() || it->second.link != link) return;
    const Session session = it->second.session;
    peers_.erase(it);
    host_->OnLinkDown(vm, session);
  });
}

void SimEntry::OnVmGone(const std::string& vm) {
  process_.Deliver([this, vm] { host_->OnVmGone(vm, process_.LocalNow()); });
}

void SimEntry::Evict(const TaskId& task) {
  process_.Deliver([this, task] {
    if (!host_->owns()) return;
    host_->owner()->Evict(task);
    Flush();
  });
}

SimVm::SimVm(SimWorld& world, WorkRecord& record, std::string name,
             const Resources& capacity,
             std::vector<std::unique_ptr<SimEntry>>& entries, SimDefect defect)
    : world_(world),
      record_(record),
      name_(std::move(name)),
      capacity_(capacity),
      entries_(entries),
      defect_(defect),
      process_(world),
      worker_(name_, capacity, &record) {
  StartAgent();
}

void SimVm::StartAgent() {
  if (lost_) return;
  process_.Start();
  if (unreachable_since_) {
    record_.AddUnreachable(name_, *unreachable_since_, world_.now());
    unreachable_since_.reset();
  }
  AgentCoreOptions options;
  options.vm = name_;
  options.capacity = capacity_;
  incarnation_ = process_.incarnation() * 1000 + world_.Below(1000);
  options.incarnation = incarnation_;
  options.checkpoint_lead = std::chrono::seconds(3);
  core_ = AgentCore::Create(options);
  links_.assign(entries_.size(), {});
  list_in_flight_ = false;
  for (size_t i = 0; i < entries_.size(); ++i) Dial(i);
  ListWorker();
  process_.After(kAgentTick, [this] { Tick(); });
}

void SimVm::KillAgent() {
  unreachable_since_ = world_.now();
  process_.Kill();
  core_.reset();
  for (size_t i = 0; i < links_.size(); ++i) {
    if (links_[i].id == 0) continue;
    entries_[i]->OnLinkDown(name_, links_[i].id);
    links_[i] = {};
  }
}

void SimVm::Lose() {
  lost_ = true;
  worker_.Kill(world_.now());
  record_.AddUnreachable(name_, unreachable_since_.value_or(world_.now()),
                         TimePoint::max());
  process_.Kill();
  core_.reset();
  // A lost VM closes no connections, so entries detect the loss late.
  for (size_t i = 0; i < links_.size(); ++i) {
    const uint64_t id = links_[i].id;
    links_[i] = {};
    world_.After(
        world_.Between(std::chrono::seconds(1), std::chrono::seconds(20)),
        [this, i, id] { entries_[i]->OnLinkDown(name_, id); });
  }
}

size_t SimVm::EntryIndex(const std::string& name) const {
  const auto it = std::find_if(
      entries_.begin(), entries_.end(),
      [&name](const auto& entry) { return entry->name() == name; });
  return static_cast<size_t>(it - entries_.begin());
}

void SimVm::Dial(size_t entry) {
  process_.After(world_.Between(std::chrono::milliseconds(5),
                                std::chrono::milliseconds(500)),
                 [this, entry] {
                   if (links_[entry].up) return;
                   if (!entries_[entry]->process().alive()) return Dial(entry);
                   Connected(entry);
                 });
}

void SimVm::Connected(size_t entry) {
  static uint64_t next_id = 1;
  links_[entry] = {next_id++, true, {}, {}};
  Hello hello;
  hello.vm = name_;
  hello.cell = kCell;
  hello.capacity = capacity_;
  hello.session = core_->OnLinkUp(entries_[entry]->name());
  const uint64_t id = links_[entry].id;
  world_.At(NextDelivery(world_, link_delay, &links_[entry].last_to_entry),
            [this, entry, id, hello] {
              if (links_[entry].id == id && links_[entry].up) {
                entries_[entry]->OnHello(this, id, hello);
              }
            });
}

void SimVm::SendToEntry(size_t entry, Message message) {
  if (!links_[entry].up) return;
  const uint64_t id = links_[entry].id;
  if (defect_ == SimDefect::kInventoryPartial) {
    if (auto* inventory = std::get_if<Inventory>(&message)) {
      inventory->running.resize(inventory->running.size() / 2);
    }
  }
  world_.At(NextDelivery(world_, link_delay, &links_[entry].last_to_entry),
            [this, entry, id, m = std::move(message)] {
              if (links_[entry].id == id && links_[entry].up) {
                entries_[entry]->OnMessage(name_, id, m);
              }
            });
}

void SimVm::CutLink(size_t entry) {
  if (!links_[entry].up) return;
  const uint64_t id = links_[entry].id;
  links_[entry].up = false;
  record_.AddUnreachable(name_, world_.now(),
                         world_.now() + std::chrono::seconds(20));
  world_.After(world_.Between(Duration(0), std::chrono::seconds(15)),
               [this, entry, id] { entries_[entry]->OnLinkDown(name_, id); });
  ScheduleLinkDown(entry,
                   world_.Between(Duration(0), std::chrono::seconds(10)));
}

void SimVm::ScheduleLinkDown(size_t entry, Duration delay) {
  process_.After(delay, [this, entry] {
    core_->OnLinkDown(entries_[entry]->name());
    Dial(entry);
  });
}

void SimVm::OnEntryClosed(const std::string& entry, uint64_t link) {
  const size_t i = EntryIndex(entry);
  if (links_.empty() || links_[i].id != link || !links_[i].up) return;
  links_[i].up = false;
  const uint64_t id = link;
  world_.After(ShortDelay(world_),
               [this, i, id] { entries_[i]->OnLinkDown(name_, id); });
  ScheduleLinkDown(i, ShortDelay(world_));
}

void SimVm::SendFromEntry(const std::string& entry, uint64_t link,
                          Message message) {
  if (links_.empty()) return;
  Connection& connection = links_[EntryIndex(entry)];
  world_.At(NextDelivery(world_, link_delay, &connection.last_to_vm),
            [this, entry, link, m = std::move(message)] {
              OnMessage(entry, link, m);
            });
}

// Changes a message so that the agent acts as if it lacked one of its checks.
void SimVm::InjectDefect(std::string* entry, Message* message) {
  if (auto* request = std::get_if<InventoryRequest>(message)) {
    if (defect_ == SimDefect::kUnconfirmedAccepted) request->confirmed = true;
  }
  if (auto* grant = std::get_if<Grant>(message)) {
    if (defect_ == SimDefect::kLeaseCountedFromArrival) {
      grant->echoed_stamp = process_.LocalNow();
    }
  }
  if (auto* starts = std::get_if<StartTasks>(message)) {
    const bool any_epoch = defect_ == SimDefect::kEpochNotChecked;
    const bool any_session = defect_ == SimDefect::kSessionNotChecked &&
                             starts->fence.epoch == core_->epoch();
    if (any_epoch) *entry = core_->owner();
    if (any_epoch || any_session) starts->fence = core_->current_fence();
  }
}

void SimVm::OnMessage(const std::string& entry, uint64_t link,
                      Message message) {
  const size_t i = EntryIndex(entry);
  if (lost_ || links_.empty()) return;
  const bool current = links_[i].id == link && links_[i].up;
  if (!current && defect_ != SimDefect::kSessionNotChecked) return;
  process_.Deliver([this, entry, m = std::move(message)]() mutable {
    std::string from = entry;
    InjectDefect(&from, &m);
    core_->OnMessage(from, m, process_.LocalNow());
    Flush();
  });
}

void SimVm::Tick() {
  core_->Tick(process_.LocalNow());
  Flush();
  process_.After(kAgentTick, [this] { Tick(); });
}

void SimVm::Flush() {
  for (const WorkerCommand& command : core_->TakeCommands()) {
    RunCommand(command);
  }
  for (EntryMessage& message : core_->TakeMessages()) {
    if (defect_ == SimDefect::kAcknowledgedBeforeDurable) {
      if (const auto* out = std::get_if<Outcomes>(&message.message)) {
        AcknowledgeOutcomes settled{core_->current_fence(), {}};
        for (const TaskOutcome& outcome : out->outcomes) {
          settled.tasks.push_back({outcome.task, outcome.attempt});
        }
        core_->OnMessage(message.entry, settled, process_.LocalNow());
      }
    }
    SendToEntry(EntryIndex(message.entry), std::move(message.message));
  }
  if (const auto reset = core_->TakeLinkToReset()) {
    CutLink(EntryIndex(*reset));
  }
}

// Calls reach the worker in order, even after the agent has died.
void SimVm::RunCommand(const WorkerCommand& command) {
  const uint64_t agent = incarnation_;
  TimePoint lease_end =
      worker_clock_ + (command.lease_end - worker_clock_read_at_);
  if (defect_ == SimDefect::kLeaseNeverEnds) lease_end = TimePoint::max();
  const bool slow = world_.Chance(0.02);
  last_call_at_ = std::max(
      last_call_at_,
      world_.now() + (slow ? world_.Between(Duration(0), kMaxSlowCallDelay)
                           : ShortDelay(world_)));
  world_.At(last_call_at_, [this, agent, command, lease_end] {
    const TimePoint now = world_.now();
    worker_.Advance(now);
    if (defect_ == SimDefect::kEarlierAgentAccepted) worker_.Attach(agent);
    std::string reason;
    WorkerStartAnswer answer = WorkerStartAnswer::kUnknown;
    switch (command.kind) {
      case WorkerCommandKind::kStart:
        answer = worker_.Start(agent, command, lease_end, now, &reason);
        if (world_.Chance(0.02)) answer = WorkerStartAnswer::kUnknown;
        if (agent != incarnation_) return;
        process_.After(ShortDelay(world_), [this, command, answer, reason] {
          core_->OnStartAnswer(command.task, command.attempt, answer, reason,
                               process_.LocalNow());
          Flush();
        });
        return;
      case WorkerCommandKind::kRenew:
        worker_.Renew(agent, lease_end, now);
        return;
      case WorkerCommandKind::kCancel:
      case WorkerCommandKind::kEvict:
        worker_.Stop(agent, command.task, command.attempt,
                     command.kind == WorkerCommandKind::kEvict, now);
        return;
      case WorkerCommandKind::kForget:
        worker_.Forget(agent, command.task, command.attempt);
        return;
      case WorkerCommandKind::kThrottle:
        worker_.Throttle(agent, command.percent, now);
        return;
    }
  });
}

void SimVm::ListWorker() {
  process_.After(kListPeriod, [this] { ListWorker(); });
  if (list_in_flight_) return;
  list_in_flight_ = true;
  const TimePoint sent_at = process_.LocalNow();
  const uint64_t incarnation = process_.incarnation();
  world_.After(ShortDelay(world_), [this, sent_at, incarnation] {
    if (process_.incarnation() != incarnation || lost_) return;
    worker_.Attach(incarnation_);
    worker_.Advance(world_.now());
    const auto list = worker_.List();
    const TimePoint clock = world_.now();
    process_.After(ShortDelay(world_), [this, list, clock, sent_at] {
      list_in_flight_ = false;
      worker_clock_ = clock;
      worker_clock_read_at_ = process_.LocalNow();
      core_->OnWorkerList(list, sent_at);
      Flush();
    });
  });
}

}  // namespace beamhill
