route("all", of = "mix-video", caller = "spiffe://partner.example/**", attempts = 3)
