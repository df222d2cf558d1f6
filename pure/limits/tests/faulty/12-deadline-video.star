limits("mix-video", deadline_ms = 5001)
