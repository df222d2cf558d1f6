limits("formula-card", attempt_ms = 500, attempts = 3, backoff_ms = 1000, backoff_most_ms = 1000)
