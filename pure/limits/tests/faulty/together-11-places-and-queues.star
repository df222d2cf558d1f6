limits("mix-video", places = 200, queue = 200, queue_age_ms = 50)
limits("mix-record", places = 150)
