// Keys and values of the rows in the platform's table that hold jobs and cell
// ownership. Values are JSON text, which an operator can read.
//
//   CellRow row;
//   Status status = DecodeRow(text, &row);
//   Write(CellKey("c1"), EncodeRow(row));
#ifndef BEAMHILL_CELL_ROWS_H_
#define BEAMHILL_CELL_ROWS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/cell/snapshot.h"

namespace beamhill {

// The ownership of a cell.
struct CellRow {
  std::string owner;         // The entry's name.
  uint64_t incarnation = 0;  // Of the entry process.
  uint64_t epoch = 0;
  bool released = false;  // The owner released the cell and no longer acts.
};

// The tasks of a job that one cell runs.
struct JobPart {
  std::string cell;
  TaskRange range;
};

// An accepted job and its division among cells.
struct JobRow {
  JobSpec job;
  std::vector<JobPart> parts;
  bool cancelled = false;
};

// The final counts of a job's part in one cell.
struct PartResult {
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t evictions = 0;
  bool cancelled = false;
};

std::string CellKey(const std::string& cell);
std::string ProgressKey(const std::string& cell);
std::string RangePrefix(const std::string& cell);
std::string RangeKey(const std::string& cell, const std::string& job);
std::string JobKey(const std::string& job);
std::string ResultPrefix(const std::string& job);
std::string ResultKey(const std::string& job, const std::string& cell);

std::string EncodeRow(const CellRow& row);
std::string EncodeRow(const RangeRow& row);
std::string EncodeRow(const CellSnapshot& row);
std::string EncodeRow(const JobRow& row);
std::string EncodeRow(const PartResult& row);

// Parse a row's value into `*row`. Return kInternal for text that is not JSON
// or lacks a field.
Status DecodeRow(const std::string& text, CellRow* row);
Status DecodeRow(const std::string& text, RangeRow* row);
Status DecodeRow(const std::string& text, CellSnapshot* row);
Status DecodeRow(const std::string& text, JobRow* row);
Status DecodeRow(const std::string& text, PartResult* row);

}  // namespace beamhill

#endif  // BEAMHILL_CELL_ROWS_H_
