// beamhill-agent: the process that runs the agent of one VM.
//
//   beamhill-agent agent.yaml
//   beamhill-agent --check agent.yaml
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

#include "beamhill/agent/agent.h"
#include "beamhill/log/log.h"

namespace beamhill {
namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 1;

int Main(int argc, char** argv) {
  TCLAP::CmdLine cmd(
      "beamhill agent: runs on each VM, next to its runner and worker.");
  TCLAP::UnlabeledValueArg<std::string> file(
      "settings", "path of the settings file", true, "", "file.yaml", cmd);
  TCLAP::SwitchArg check("", "check", "validate the settings file and exit",
                         cmd);
  cmd.parse(argc, argv);
  const Result<AgentSettings> settings = ReadAgentSettings(file.getValue());
  if (!IsOk(settings)) {
    std::cerr << ErrorOf(settings).message << ErrorOf(settings).action << "\n";
    return kExitBadSettings;
  }
  if (check.getValue()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  InitLog("agent-" + ValueOf(settings).vm, LogLevel::kInfo);
  auto loop = EventLoop::Create();
  CheckInvariant(IsOk(loop), "cannot create the event loop");
  auto agent = Agent::Start(*ValueOf(loop), ValueOf(settings));
  if (!IsOk(agent)) {
    std::cerr << ErrorOf(agent).message << "; " << ErrorOf(agent).action
              << "\n";
    return kExitCannotStart;
  }
  std::cout << "operators " << ValueOf(agent)->operators_port() << std::endl;
  ValueOf(agent)->set_on_drained([&] { ValueOf(loop)->Stop(); });
  const auto stop = [&] { ValueOf(agent)->Drain(); };
  const Timer term = ValueOf(loop)->OnSignal(SIGTERM, stop);
  const Timer interrupt = ValueOf(loop)->OnSignal(SIGINT, stop);
  ValueOf(loop)->Run();
  return 0;
}

}  // namespace
}  // namespace beamhill

int main(int argc, char** argv) { return beamhill::Main(argc, argv); }
