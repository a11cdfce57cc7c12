#include "beamhill/entry/agent_links.h"

#include <utility>

#include "beamhill/log/log.h"
#include "beamhill/messages/codec.h"

namespace beamhill {
namespace {

// Time limit for an agent to send its Hello after it connects.
constexpr Duration kHelloTimeout = std::chrono::seconds(5);
// A piece of a runner's response has this size at most.
constexpr size_t kMaxMessageBytes = 4 * 1024 * 1024;

// Compares in constant time, so that timing does not reveal how much of a
// guessed key is right.
bool ConstantTimeEquals(const std::string& a, const std::string& b) {
  unsigned char difference = a.size() == b.size() ? 0 : 1;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i] ^ (b.empty() ? 0 : b[i % b.size()]));
  }
  return difference == 0;
}

}  // namespace

Result<std::unique_ptr<AgentLinks>> AgentLinks::Listen(
    EventLoop& loop, const Address& address, const ListenerLimits& limits,
    const std::string& entry, const std::string& shared_key,
    AgentLinksHooks hooks) {
  std::unique_ptr<AgentLinks> links(
      new AgentLinks(loop, entry, shared_key, std::move(hooks)));
  AgentLinks* raw = links.get();
  LinkListenerLimits link_limits;
  link_limits.total = limits;
  link_limits.max_message_bytes = kMaxMessageBytes;
  auto listener = LinkListener::Listen(
      loop, address, [raw](Link& link) { return raw->OnAccept(link); },
      link_limits);
  if (!IsOk(listener)) return ErrorOf(listener);
  links->listener_ = std::move(ValueOf(listener));
  return links;
}

AgentLinks::AgentLinks(EventLoop& loop, std::string entry,
                       std::string shared_key, AgentLinksHooks hooks)
    : loop_(loop),
      entry_(std::move(entry)),
      shared_key_(std::move(shared_key)),
      hooks_(std::move(hooks)) {}

AgentLinks::~AgentLinks() = default;

LinkHooks AgentLinks::OnAccept(Link& link) {
  AgentConnection& connection = connections_[link.id()];
  connection.link = &link;
  Link* raw = &link;
  connection.hello_timer = loop_.After(kHelloTimeout, [raw] { raw->Close(); });
  LinkHooks hooks;
  hooks.on_message = [this](Link& l, std::string_view frame) {
    OnFrame(l, frame);
  };
  hooks.on_close = [this](Link& l) { OnClose(l); };
  return hooks;
}

void AgentLinks::OnFrame(Link& link, std::string_view frame) {
  AgentConnection& connection = connections_.at(link.id());
  const Result<Message> message = Decode(frame);
  if (!IsOk(message)) {
    Log(LogLevel::kWarning, "bad_message",
        {{"vm", connection.hello.vm}, {"error", ErrorOf(message).message}});
    link.Close();
    return;
  }
  if (const auto* hello = std::get_if<Hello>(&ValueOf(message))) {
    OnHello(connection, *hello);
    return;
  }
  if (!connection.hello_accepted) {
    link.Close();
    return;
  }
  hooks_.on_message(connection.hello.vm, ValueOf(message));
}

void AgentLinks::OnHello(AgentConnection& connection, const Hello& hello) {
  const bool key_ok = ConstantTimeEquals(hello.shared_key, shared_key_);
  if (!key_ok || hello.version != kProtocolVersion ||
      connection.hello_accepted) {
    ++rejected_hellos_;
    Log(LogLevel::kWarning, "hello_refused",
        {{"vm", hello.vm},
         {"error", key_ok ? "unsupported protocol version or repeated Hello"
                          : "wrong shared key"}});
    connection.link->Close();
    return;
  }
  connection.hello_accepted = true;
  connection.link->MarkTrusted();
  connection.hello_timer.Cancel();
  connection.hello = hello;
  connection.hello.shared_key.clear();
  const auto earlier = link_by_vm_.find(hello.vm);
  if (earlier != link_by_vm_.end()) {
    AgentConnection& replaced = connections_.at(earlier->second);
    const Hello replaced_hello = replaced.hello;
    replaced.hello_accepted = false;
    link_by_vm_.erase(earlier);
    replaced.link->Close();
    hooks_.on_link_down(replaced_hello);
  }
  link_by_vm_[hello.vm] = connection.link->id();
  connection.link->Send(Encode(Welcome{entry_}));
  hooks_.on_hello(connection.hello);
}

void AgentLinks::OnClose(Link& link) {
  const auto it = connections_.find(link.id());
  if (it == connections_.end()) return;
  closed_bytes_sent_ += link.bytes_sent();
  const AgentConnection connection = std::move(it->second);
  connections_.erase(it);
  if (!connection.hello_accepted) return;
  link_by_vm_.erase(connection.hello.vm);
  hooks_.on_link_down(connection.hello);
}

bool AgentLinks::Send(const std::string& vm, const Message& message) {
  const auto it = link_by_vm_.find(vm);
  if (it == link_by_vm_.end()) return false;
  Link& link = *connections_.at(it->second).link;
  if (!link.is_open()) return false;
  link.Send(Encode(message));
  return true;
}

void AgentLinks::Drop(const std::string& vm) {
  const auto it = link_by_vm_.find(vm);
  if (it != link_by_vm_.end()) connections_.at(it->second).link->Close();
}

uint64_t AgentLinks::OpenBytesSent() const {
  uint64_t sum = 0;
  for (const auto& [id, connection] : connections_) {
    sum += connection.link->bytes_sent();
  }
  return sum;
}

}  // namespace beamhill
