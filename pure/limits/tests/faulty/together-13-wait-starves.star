limits("formula-card", deadline_ms = 1000, attempt_ms = 600, attempts = 1, places = 20, queue = 10, queue_age_ms = 500)
