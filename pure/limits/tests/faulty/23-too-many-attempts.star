limits("formula-card", attempts = 9)
