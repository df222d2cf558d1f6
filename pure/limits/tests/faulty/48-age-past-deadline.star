limits("mix-video", places = 20, queue = 10, queue_age_ms = 5000)
