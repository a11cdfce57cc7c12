#include "beamhill/table/row_names.h"

namespace beamhill {
namespace rows {

std::string NewMarker(const std::string& workflow) {
  return std::string(kArrivals) + "n-" + workflow;
}

std::string CancelMarker(const std::string& workflow) {
  return std::string(kArrivals) + "c-" + workflow;
}

}  // namespace rows

}  // namespace beamhill
