limits("formula-card", deadline_ms = 2000, attempt_ms = 600, attempts = 3, backoff_ms = 300, backoff_most_ms = 300, jitter_percent = 100, places = 20, queue = 10, queue_age_ms = 400)
