# Limits that end a storm of repeats: about as many places as the boxes serve at once with a little room, and a wait for one
# that is short beside the clients' patience. What has no place is told so at once, and told to stay away for a while.
budget("all", percent = 10, burst = 40)
budget("video", percent = 3, burst = 10, parent = "all")
budget("card", percent = 4, burst = 20, parent = "all")
budget("record", percent = 10, burst = 10, parent = "all")

limits(attempts = 3)
limits("mix-video", budget = "video", places = 16, queue = 8, queue_age_ms = 30, wait_ms = 500)
limits("formula-card", budget = "card", places = 28, queue = 8, queue_age_ms = 30, wait_ms = 500)
limits("mix-record", budget = "record", places = 6, queue = 8, queue_age_ms = 30)
