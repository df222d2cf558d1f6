limits("formula-card", attempt_ms = 1000, attempts = 4)
