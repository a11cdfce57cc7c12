// Names of runner incarnations.
//
// A runner that restarts keeps its id but none of its runs. So the name of an
// incarnation consists of the runner's id and its start time, if the runner
// reports one. Other processes treat the name as an opaque string.
//
//   std::string name = IncarnationName("i-7f3a", UnixMillis(1764745200000));
//   // name == "i-7f3a/1764745200000", RunnerOf(name) == "i-7f3a"
#ifndef BEAMHILL_DISPATCH_INCARNATION_NAME_H_
#define BEAMHILL_DISPATCH_INCARNATION_NAME_H_

#include <optional>
#include <string>
#include <string_view>

#include "beamhill/workflow/workflow.h"

namespace beamhill {

// Returns the name of an incarnation: the runner's id, which must not contain a
// slash, alone if there is no start time.
std::string IncarnationName(std::string_view runner,
                            std::optional<UnixMillis> started);
// Returns the id of the incarnation's runner.
std::string RunnerOf(std::string_view incarnation);
// Whether both names may be of the same incarnation. Executors of an earlier
// version omit the start time, so a name without it matches any incarnation of
// its runner.
bool MayBeSameIncarnation(std::string_view a, std::string_view b);

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_INCARNATION_NAME_H_
