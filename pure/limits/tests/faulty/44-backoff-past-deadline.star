limits("formula-card", backoff_ms = 3000)
