limits("mix-video", places = 20, queue_age_ms = 50)
