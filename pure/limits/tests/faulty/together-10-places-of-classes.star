limits("mix-video", places = 300)
limits("formula-card", places = 300)
