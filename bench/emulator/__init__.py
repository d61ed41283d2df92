"""Plays heavy days of a site in simulated time, with the product's own decision code.

Engines, plain services, callers and links are models with a seed; what chooses the
upstream of a call, refuses it, bounds calls to cold engines and lets engines change
over is the code that the programs run. A day takes seconds, so that policies can
be compared over many seeds before one is measured with real processes.
"""
