"""Request execution: deadlines, retries and at-most-once calls."""
