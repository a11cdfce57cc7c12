// An entry's links to agents: handshake, lookup by VM, and typed messages.
//
//   auto links = AgentLinks::Listen(loop, address, "entry-1", shared_key,
//                                   {on_hello, on_link_down, on_message});
//   ValueOf(links)->Send("vm-1", message);
//
// When an agent connects again, its new link replaces the one before.
#ifndef BEAMHILL_ENTRY_AGENT_LINKS_H_
#define BEAMHILL_ENTRY_AGENT_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "beamhill/base/error.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/link/link.h"
#include "beamhill/messages/messages.h"

namespace beamhill {

struct AgentLinksHooks {
  // Called after an agent's handshake has been accepted.
  std::function<void(const Hello& hello)> on_hello;
  // Called once for each accepted link that has been closed or replaced.
  std::function<void(const Hello& hello)> on_link_down;
  std::function<void(const std::string& vm, const Message& message)> on_message;
};

class AgentLinks {
 public:
  // Listens for agents. `entry` is the name that this entry sends to agents;
  // agents that present another `shared_key` are rejected.
  static Result<std::unique_ptr<AgentLinks>> Listen(
      EventLoop& loop, const Address& address, const ListenerLimits& limits,
      const std::string& entry, const std::string& shared_key,
      AgentLinksHooks hooks);
  ~AgentLinks();

  // Returns false, without sending, when the VM has no open link.
  bool Send(const std::string& vm, const Message& message);
  // Closes the VM's link, if any; its agent then reconnects.
  void Drop(const std::string& vm);
  bool Has(const std::string& vm) const { return link_by_vm_.count(vm) > 0; }

  uint16_t port() const { return listener_->port(); }
  size_t size() const { return link_by_vm_.size(); }
  uint64_t bytes_sent() const { return closed_bytes_sent_ + OpenBytesSent(); }
  // Of the links; limits apply to those without an accepted Hello.
  ListenerCounts counts() const { return listener_->counts(); }
  uint64_t rejected_hellos() const { return rejected_hellos_; }

 private:
  // A link and the state of its handshake.
  struct AgentConnection {
    Link* link = nullptr;
    bool hello_accepted = false;
    Hello hello;
    Timer hello_timer;
  };

  AgentLinks(EventLoop& loop, std::string entry, std::string shared_key,
             AgentLinksHooks hooks);
  LinkHooks OnAccept(Link& link);
  void OnFrame(Link& link, std::string_view frame);
  void OnHello(AgentConnection& connection, const Hello& hello);
  void OnClose(Link& link);
  uint64_t OpenBytesSent() const;

  EventLoop& loop_;
  std::string entry_;
  std::string shared_key_;
  AgentLinksHooks hooks_;
  std::unique_ptr<LinkListener> listener_;
  std::map<LinkId, AgentConnection> connections_;
  std::map<std::string, LinkId> link_by_vm_;
  uint64_t closed_bytes_sent_ = 0;
  uint64_t rejected_hellos_ = 0;
};

}  // namespace beamhill

#endif  // BEAMHILL_ENTRY_AGENT_LINKS_H_
