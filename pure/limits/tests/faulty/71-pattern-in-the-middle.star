route("partners", of = "mix-video", caller = "spiffe://*/front", attempts = 3)
