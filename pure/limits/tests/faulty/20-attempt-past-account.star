limits("formula-card", attempt_ms = 3100)
