limits("mix-video", keep = 4)
