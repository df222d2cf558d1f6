limits("mix-vido", attempts = 3)
