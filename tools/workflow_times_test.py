"""Tests tools/workflow-times. Run with python3 tools/workflow_times_test.py."""
import importlib.machinery
import importlib.util
import json
import pathlib
import unittest

PATH = str(pathlib.Path(__file__).parent / "workflow-times")
LOADER = importlib.machinery.SourceFileLoader("workflow_times", PATH)
SPEC = importlib.util.spec_from_loader("workflow_times", LOADER)
workflow_times = importlib.util.module_from_spec(SPEC)
LOADER.exec_module(workflow_times)


def log_line(second, event, detail, request="w", prefix=""):
    fields = {"ts": f"2026-01-01T00:00:{second:06.3f}Z", "event": event}
    return prefix + json.dumps({**fields, "request": request, "detail": detail})


class WorkflowTimesTest(unittest.TestCase):
    def read(self, *lines):
        workflows, last = workflow_times.read_workflows(lines)
        return workflow_times.format_row("w", workflows["w"], last)

    def test_separates_waiting_from_running(self):
        row = self.read(
            log_line(0, "workflow_added", "new here, 1x2000m+fills"),
            log_line(3, "run_ordered", "0.0 image f: 0/1@vm-1"),
            log_line(5, "run_moved", "0.0 too little: 0/1@vm-1"),
            log_line(6, "run_ended", "0.0 stopped: 0/1@vm-1"),
            log_line(8, "run_ordered", "0.0 image f: 0/2@vm-2"),
            log_line(9.5, "run_ended", "0.0 done: 0/2@vm-2"),
            log_line(9.5, "workflow_over", "completed"),
        )
        self.assertIn("total 9.5 waited 5.0 runs 2 moved 1 failed 0", row)
        self.assertIn("longest 3.0 completed", row)

    def test_runs_that_a_new_owner_does_not_adopt_count_as_waiting(self):
        row = self.read(
            log_line(0, "workflow_added", "new here, 1x2000m"),
            log_line(0, "run_ordered", "0.0 image f: 0/1@vm-1"),
            log_line(4, "workflow_added", "inherited, 1x2000m"),
            log_line(10, "vm_lapsed", "vm-1", request=""),
        )
        self.assertIn("total 10.0 waited 6.0 runs 1", row)
        self.assertIn("open", row)

    def test_skips_lines_that_are_no_log_lines(self):
        row = self.read(
            "vm boots",
            log_line(1, "workflow_added", "new here, 1x2000m", prefix="1.0 vm-1 "),
            '{"ts": "cut off',
            log_line(2, "run_let_go", "0.0 lapsed: 0/9@vm-1"),
        )
        self.assertIn("total 1.0 waited 1.0 runs 0 moved 0 failed 0 let_go 1", row)


if __name__ == "__main__":
    unittest.main()
