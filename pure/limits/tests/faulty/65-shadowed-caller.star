route("a", of = "mix-video", caller = "spiffe://a/*", attempts = 3)
route("b", of = "mix-video", caller = "spiffe://a/front", attempts = 2)
