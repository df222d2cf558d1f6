limits("mix-video", queue = 10, queue_age_ms = 50)
