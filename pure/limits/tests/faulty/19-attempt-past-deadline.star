limits("mix-video", deadline_ms = 1000, attempt_ms = 1001)
