limits("mix-video", places = 20, queue = 5000, queue_age_ms = 50)
