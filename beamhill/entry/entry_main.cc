// beamhill-entry: runs one entry process until SIGTERM or SIGINT, which shut it
// down after its requests have finished.
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

#include "beamhill/entry/entry.h"
#include "beamhill/log/log.h"

namespace beamhill {
namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 1;

int Main(int argc, char** argv) {
  TCLAP::CmdLine cmd(
      "beamhill entry: serves callers' requests and the operators' HTTP API, "
      "connects agents and schedules cells.");
  TCLAP::UnlabeledValueArg<std::string> file(
      "settings", "path of the process's settings file (YAML)", true, "",
      "file.yaml", cmd);
  TCLAP::SwitchArg check("", "check", "validate the settings file and exit",
                         cmd);
  cmd.parse(argc, argv);
  const Result<EntrySettings> settings = ReadEntrySettings(file.getValue());
  if (!IsOk(settings)) {
    std::cerr << ErrorOf(settings).message << ErrorOf(settings).action << "\n";
    return kExitBadSettings;
  }
  if (check.getValue()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  InitLog(ValueOf(settings).name, LogLevel::kInfo);
  auto loop = EventLoop::Create();
  CheckInvariant(IsOk(loop), "event loop must be created");
  auto entry = Entry::Start(*ValueOf(loop), ValueOf(settings));
  if (!IsOk(entry)) {
    std::cerr << ErrorOf(entry).message << "; " << ErrorOf(entry).action
              << "\n";
    return kExitCannotStart;
  }
  std::cout << "callers " << ValueOf(entry)->callers_port() << " operators "
            << ValueOf(entry)->operators_port() << " agents "
            << ValueOf(entry)->agents_port() << std::endl;
  ValueOf(entry)->set_on_drained([&] { ValueOf(loop)->Stop(); });
  const auto stop = [&] { ValueOf(entry)->Drain(); };
  const Timer term = ValueOf(loop)->OnSignal(SIGTERM, stop);
  const Timer interrupt = ValueOf(loop)->OnSignal(SIGINT, stop);
  ValueOf(loop)->Run();
  return 0;
}

}  // namespace
}  // namespace beamhill

int main(int argc, char** argv) { return beamhill::Main(argc, argv); }
