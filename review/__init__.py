"""Test cases of the review; see REPORT.md."""
