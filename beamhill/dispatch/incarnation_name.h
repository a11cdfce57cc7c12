// Names of lives of runners.
//
// A runner may start again under the id that it had, and holds nothing of
// before then. So an incarnation is named by the id and the moment of its
// start, where the runner tells it; processes pass the name on and compare it
// as a whole.
//
//   IncarnationName("i-7f3a", UnixMillis(1764745200000));  //
//   "i-7f3a/1764745200000" RunnerOf("i-7f3a/1764745200000");               //
//   "i-7f3a"
#ifndef BEAMHILL_DISPATCH_INCARNATION_NAME_H_
#define BEAMHILL_DISPATCH_INCARNATION_NAME_H_

#include <optional>
#include <string>
#include <string_view>

#include "beamhill/workflow/workflow.h"

namespace beamhill {

// The id, which holds no slash, stands alone where no start is told.
std::string IncarnationName(std::string_view runner,
                            std::optional<UnixMillis> started);
// The id of the runner whose incarnation it is.
std::string RunnerOf(std::string_view incarnation);
// Whether both may name one incarnation: executors of an earlier version leave
// out the moment of the start.
bool MayBeSameIncarnation(std::string_view a, std::string_view b);

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_INCARNATION_NAME_H_
